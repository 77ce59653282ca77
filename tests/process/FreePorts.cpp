#include "tests/process/FreePorts.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <stdexcept>
#include <vector>

namespace lentilsaddle::testing_support {

namespace {

    // Below the kernel's ephemeral port range: an outgoing connection could take a port before its server binds it.
    constexpr int lowestPort = 19'000;
    constexpr int portCount = 13'000;

    // Ports that a process uses alone. Its guard, the first port, stays bound while the process runs.
    constexpr int blockSize = 100;
    constexpr int blockCount = portCount / blockSize;

    // @return the bound socket, or -1 if the port is in use.
    int bindPort(int port)
    {
        int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(static_cast<std::uint16_t>(port));
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        if (bind(descriptor, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0)
            return descriptor;
        close(descriptor);
        return -1;
    }

    bool areFree(int first, int count)
    {
        for (int port = first; port < first + count; ++port) {
            int descriptor = bindPort(port);
            if (descriptor < 0)
                return false;
            close(descriptor);
        }
        return true;
    }

    /// Blocks of ports of this process. Another process that looks for ports skips a block whose guard is bound, so it
    /// does not take the port of a server that is being restarted.
    class PortBlocks {
    public:
        int next(int count)
        {
            for (int attempt = 0; attempt < 2 * blockCount; ++attempt) {
                if (m_first != 0 && m_next + count <= m_first + blockSize) {
                    int first = m_next;
                    m_next += count;
                    if (areFree(first, count))
                        return first;
                    continue;
                }
                claim();
            }
            throw std::runtime_error("no range of consecutive free TCP ports on loopback");
        }

    private:
        void claim()
        {
            // Processes that start at the same time begin their search at different blocks.
            for (int block = 0; block < blockCount; ++block) {
                int first = lowestPort + (static_cast<int>(getpid()) + block) % blockCount * blockSize;
                if (bindPort(first) < 0)
                    continue;
                m_guards.push_back(first);
                use(first);
                return;
            }
            if (m_guards.empty())
                throw std::runtime_error("all blocks of TCP ports on loopback are in use");
            // All blocks are in use: the oldest one of this process is used again.
            use(m_guards.front());
            std::rotate(m_guards.begin(), m_guards.begin() + 1, m_guards.end());
        }

        void use(int first)
        {
            m_first = first;
            m_next = first + 1;
        }

        std::vector<int> m_guards;
        int m_first = 0;
        int m_next = 0;
    };

} // namespace

std::uint16_t findFreePorts(int count)
{
    static PortBlocks blocks;
    return static_cast<std::uint16_t>(blocks.next(count));
}

} // namespace lentilsaddle::testing_support
