#include "tests/transport/LoopbackListener.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace lentilsaddle::testing_support {

namespace {

    constexpr int backlog = 64;

} // namespace

LoopbackListener::LoopbackListener()
    : m_socket(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    (void)bind(m_socket, reinterpret_cast<sockaddr*>(&address), sizeof address);
    listen(m_socket, backlog);
    socklen_t length = sizeof address;
    getsockname(m_socket, reinterpret_cast<sockaddr*>(&address), &length);
    m_port = ntohs(address.sin_port);
}

LoopbackListener::~LoopbackListener()
{
    close(m_socket);
}

int LoopbackListener::accept() const
{
    return ::accept(m_socket, nullptr, nullptr);
}

void LoopbackListener::shutDown() const
{
    shutdown(m_socket, SHUT_RDWR);
}

} // namespace lentilsaddle::testing_support
