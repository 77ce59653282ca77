#include "tests/standin/WorkerHostTask.h"
#include "transport/Logger.h"

#include <gflags/gflags.h>

DEFINE_string(address, "127.0.0.1", "IPv4 address to listen on");
DEFINE_int32(port, 7100, "port of all workers");
DEFINE_int32(workers, 8, "number of workers");
DEFINE_int32(accelerators, 8, "accelerators of each worker");
DEFINE_int32(workers_per_rack, 8, "workers in each rack");
DEFINE_string(prefix, "w", "prefix of the worker and rack names");

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("stand-in for many workers");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    lentilsaddle::transport::configureLogging(FLAGS_prefix, lentilsaddle::transport::LogLevel::Info);
    lentilsaddle::standin::WorkerHostTask task(
        { .address = FLAGS_address, .firstPort = static_cast<std::uint16_t>(FLAGS_port) },
        {
            .workers = FLAGS_workers,
            .accelerators = FLAGS_accelerators,
            .workersPerRack = FLAGS_workers_per_rack,
            .prefix = FLAGS_prefix,
        });
    task.runUntilTerminated();
    return 0;
}
