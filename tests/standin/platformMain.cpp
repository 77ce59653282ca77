#include "tests/standin/PlatformTask.h"
#include "transport/Logger.h"

#include <gflags/gflags.h>

DEFINE_string(address, "127.0.0.1", "IPv4 address to listen on");
DEFINE_int32(port, 7000, "first port");
DEFINE_int32(listeners, 1, "number of consecutive ports; a fault can apply to a single port by its index");
DEFINE_uint64(retention_records, 0, "records kept in each stream; 0 keeps all");
DEFINE_uint64(retention_age_ms, 0, "age in milliseconds up to which records are kept; 0 keeps all");

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("stand-in for the platform's log service, instance list and worker lists");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    lentilsaddle::transport::configureLogging("platform", lentilsaddle::transport::LogLevel::Info);
    lentilsaddle::standin::PlatformTask task(
        {
            .address = FLAGS_address,
            .firstPort = static_cast<std::uint16_t>(FLAGS_port),
            .count = FLAGS_listeners,
        },
        {
            .records = FLAGS_retention_records,
            .age = std::chrono::milliseconds(FLAGS_retention_age_ms),
        });
    task.runUntilTerminated();
    return 0;
}
