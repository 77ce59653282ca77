#include "tests/standin/BackendTask.h"
#include "transport/Logger.h"

#include <gflags/gflags.h>

DEFINE_string(address, "127.0.0.1", "IPv4 address to listen on");
DEFINE_int32(port, 7200, "port of the first server");
DEFINE_int32(servers, 4, "servers on consecutive ports");
DEFINE_int32(slots, 8, "requests that one server runs at the same time");
DEFINE_uint32(connections, 4096, "connections that one server accepts");
DEFINE_uint64(work_ms, 0, "run time of a request whose body has no work_ms field");

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("stand-in for backend servers");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    lentilsaddle::transport::configureLogging("backend", lentilsaddle::transport::LogLevel::Info);
    lentilsaddle::standin::BackendTask task(
        {
            .address = FLAGS_address,
            .firstPort = static_cast<std::uint16_t>(FLAGS_port),
            .count = FLAGS_servers,
            .connectionsPerPort = FLAGS_connections,
        },
        {
            .slots = FLAGS_slots,
            .defaultWorkTime = std::chrono::milliseconds(FLAGS_work_ms),
        });
    task.runUntilTerminated();
    return 0;
}
