#include "bench/BatchBypassBench.h"
#include "bench/BatchPlanBench.h"
#include "bench/OwnershipBench.h"
#include "bench/PlacementBench.h"
#include "bench/PreemptionBench.h"
#include "bench/ScaleBench.h"
#include "bench/WorkerSpeedBench.h"

#include <gflags/gflags.h>

#include <cstdint>
#include <iostream>
#include <string>

DEFINE_uint32(seed, 1, "first seed");
DEFINE_int32(seeds, 5, "number of seeds");
DEFINE_double(load, 0.85, "offered work as a share of the site's accelerators");
DEFINE_int32(maximum_bypass, 32, "largest number of bypasses of a waiting job (placement)");

namespace {

/// Exit code of a usage error, as in the CLI.
constexpr int usageExitCode = 2;

} // namespace

int main(int argc, char** argv)
{
    using namespace lentilsaddle::bench; // NOLINT(google-build-using-namespace): local to main
    gflags::SetUsageMessage(
        "[flags] placement|ownership|scale|batch|bypass|speed|preemption\nWrites Markdown tables to standard output.");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    std::string command = argc == 2 ? argv[1] : "";
    if (FLAGS_seeds < 1 || FLAGS_load <= 0)
        command.clear();
    if (command == "placement") {
        runPlacementBench({ .firstSeed = FLAGS_seed,
                              .seeds = FLAGS_seeds,
                              .load = FLAGS_load,
                              .maximumBypass = FLAGS_maximum_bypass },
            std::cout);
    } else if (command == "ownership") {
        runOwnershipBench({ .firstSeed = FLAGS_seed, .seeds = FLAGS_seeds, .load = FLAGS_load }, std::cout);
    } else if (command == "scale") {
        runScaleBench(std::cout);
    } else if (command == "batch") {
        runBatchPlanBench(std::cout);
    } else if (command == "bypass") {
        runBatchBypassBench(FLAGS_seed, FLAGS_seeds, FLAGS_load, std::cout);
    } else if (command == "speed") {
        runWorkerSpeedBench({ .firstSeed = FLAGS_seed, .seeds = FLAGS_seeds }, std::cout);
    } else if (command == "preemption") {
        runPreemptionBench(FLAGS_seed, FLAGS_seeds, FLAGS_load, std::cout);
    } else {
        std::cerr
            << "lentilsaddle_bench: expected one of placement, ownership, scale, batch, bypass, speed, preemption; "
               "--seeds >= 1, --load > 0\n";
        return usageExitCode;
    }
    return 0;
}
