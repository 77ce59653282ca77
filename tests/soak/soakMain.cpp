#include "tests/process/TemporaryFolder.h"
#include "tests/soak/SoakRun.h"

#include <gflags/gflags.h>

#include <csignal>
#include <filesystem>
#include <iostream>

DEFINE_uint64(seed, 1, "first seed");
DEFINE_uint32(seeds, 1, "number of seeds");
DEFINE_uint32(seconds, 15, "how long faults are injected for each seed");
DEFINE_int32(clients, 2, "threads that submit jobs");
DEFINE_int32(daemons, 3, "number of daemons");
DEFINE_int32(workers, 6, "number of workers");
DEFINE_string(
    daemon, "", "program of the daemons, such as that of an earlier version; empty for the one of this build");
DEFINE_string(folder, "/tmp/lentilsaddle-soak", "folder for logs; kept for seeds that fail");

int main(int argc, char** argv)
{
    using namespace lentilsaddle::soak; // NOLINT(google-build-using-namespace): local to main
    gflags::SetUsageMessage("runs daemons, workers and a store as processes and injects random faults");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    std::signal(SIGPIPE, SIG_IGN);
    std::string daemonProgram = FLAGS_daemon.empty() ? std::string() : std::filesystem::absolute(FLAGS_daemon).string();
    unsigned failed = 0;
    for (std::uint64_t seed = FLAGS_seed; seed < FLAGS_seed + FLAGS_seeds; ++seed) {
        std::filesystem::create_directories(FLAGS_folder);
        std::string folder
            = lentilsaddle::testing_support::makeTemporaryFolder(FLAGS_folder + "/seed-" + std::to_string(seed) + "-");
        SoakResult result = runSoak({
            .seed = seed,
            .duration = std::chrono::seconds(FLAGS_seconds),
            .clients = FLAGS_clients,
            .daemons = FLAGS_daemons,
            .workers = FLAGS_workers,
            .folder = folder,
            .daemonProgram = daemonProgram,
        });
        std::cout << "seed " << seed << ": " << result.jobs << " jobs, " << result.accepted << " accepted, "
                  << result.faults.size() << " faults, " << result.violations.size() << " violations" << std::endl;
        for (const std::string& violation : result.violations)
            std::cout << "  " << violation << '\n';
        if (result.violations.empty()) {
            std::filesystem::remove_all(folder);
            continue;
        }
        ++failed;
        for (const std::string& fault : result.faults)
            std::cout << "  fault at " << fault << '\n';
        std::cout << "  logs: " << folder << std::endl;
    }
    std::cout << FLAGS_seeds - failed << " seeds passed, " << failed << " failed" << std::endl;
    return failed == 0 ? 0 : 1;
}
