#include "tests/standin/KeyedStoreTask.h"
#include "transport/Logger.h"

#include <gflags/gflags.h>

DEFINE_int32(port, 7000, "first port");
DEFINE_int32(ports, 1, "number of consecutive ports, one for each caller");
DEFINE_uint64(seed, 1, "seed of the random faults");

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("stand-in for the platform's store");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    lentilsaddle::transport::configureLogging("store", lentilsaddle::transport::LogLevel::Info);
    lentilsaddle::standin::KeyedStoreTask task(
        { .firstPort = static_cast<std::uint16_t>(FLAGS_port), .count = FLAGS_ports }, FLAGS_seed);
    task.runUntilTerminated();
    return 0;
}
