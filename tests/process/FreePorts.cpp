#include "tests/process/FreePorts.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <stdexcept>

namespace lentilsaddle::testing_support {

namespace {

    // Below the kernel's ephemeral port range: an outgoing connection could take a port before its server binds it.
    constexpr int lowestPort = 19'000;
    constexpr int portCount = 13'000;

    bool isFree(int port)
    {
        int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(static_cast<std::uint16_t>(port));
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        bool bound = bind(descriptor, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0;
        close(descriptor);
        return bound;
    }

    bool areFree(int first, int count)
    {
        for (int port = first; port < first + count; ++port) {
            if (!isFree(port))
                return false;
        }
        return true;
    }

} // namespace

std::uint16_t findFreePorts(int count)
{
    // Test programs that run concurrently start their search at different ports.
    static int next = static_cast<int>(getpid()) * 131 % portCount;
    for (int attempt = 0; attempt < portCount; ++attempt) {
        if (next + count > portCount)
            next = 0;
        int first = lowestPort + next;
        if (areFree(first, count)) {
            next += count;
            return static_cast<std::uint16_t>(first);
        }
        ++next;
    }
    throw std::runtime_error("no range of consecutive free TCP ports on loopback");
}

} // namespace lentilsaddle::testing_support
