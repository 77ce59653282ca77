#include "review/support-2/FailingRunnerHostTask.h"
#include "transport/Logger.h"

#include <gflags/gflags.h>

DEFINE_int32(port, 7100, "port of the first worker");
DEFINE_int32(workers, 4, "number of workers, on consecutive ports");
DEFINE_int32(accelerators, 8, "accelerators of each worker");
DEFINE_uint64(seed, 1, "seed of the random faults");

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("stand-in for workers, some of which fail everything that they start");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    lentilsaddle::transport::configureLogging("workers", lentilsaddle::transport::LogLevel::Info);
    lentilsaddle::review::FailingRunnerHostTask task(
        { .firstPort = static_cast<std::uint16_t>(FLAGS_port), .count = FLAGS_workers }, FLAGS_accelerators,
        FLAGS_seed);
    task.runUntilTerminated();
    return 0;
}
