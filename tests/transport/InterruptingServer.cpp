#include "tests/transport/InterruptingServer.h"

#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <limits>
#include <string_view>
#include <utility>

namespace lentilsaddle::testing_support {

namespace {

    constexpr std::string_view headerEnd = "\r\n\r\n";
    constexpr std::string_view lengthHeader = "Content-Length: ";

    // Reads single bytes, so that the rest of the request stays unread.
    // @return the header, shorter if the connection ends before.
    std::string readHeader(int connection)
    {
        std::string header;
        char byte = 0;
        while (!header.ends_with(headerEnd) && recv(connection, &byte, 1, 0) == 1)
            header.push_back(byte);
        return header;
    }

    std::size_t bodyLength(const std::string& header)
    {
        std::size_t found = header.find(lengthHeader);
        return found == std::string::npos ? 0 : std::stoul(header.substr(found + lengthHeader.size()));
    }

    // @return bytes read, fewer than the length if the connection ends before.
    std::size_t readBody(int connection, std::size_t length)
    {
        std::size_t total = 0;
        char buffer[4096];
        while (total < length) {
            ssize_t count = recv(connection, buffer, std::min(sizeof buffer, length - total), 0);
            if (count <= 0)
                break;
            total += static_cast<std::size_t>(count);
        }
        return total;
    }

    void sendText(int connection, const std::string& text)
    {
        (void)send(connection, text.data(), text.size(), MSG_NOSIGNAL);
    }

    std::string responseHeader(int status, std::size_t bodyLength)
    {
        return "HTTP/1.1 " + std::to_string(status) + " Interrupted\r\nContent-Length: " + std::to_string(bodyLength)
            + std::string(headerEnd);
    }

    // A zero linger time makes close() send a reset.
    void resetOnClose(int connection)
    {
        linger option { .l_onoff = 1, .l_linger = 0 };
        setsockopt(connection, SOL_SOCKET, SO_LINGER, &option, sizeof option);
    }

} // namespace

InterruptingServer::InterruptingServer(Options options)
    : m_options(std::move(options))
    , m_thread([this] { serve(); })
{
}

InterruptingServer::~InterruptingServer()
{
    m_stopping = true;
    m_mayEndIdle = true;
    m_mayEndIdle.notify_all();
    m_listener.shutDown();
    if (int connection = m_connection; connection >= 0)
        shutdown(connection, SHUT_RDWR);
    m_thread.join();
}

void InterruptingServer::endIdleConnection()
{
    m_mayEndIdle = true;
    m_mayEndIdle.notify_all();
    waitForInterruption();
}

void InterruptingServer::serve()
{
    for (int connection = m_listener.accept(); connection >= 0; connection = m_listener.accept()) {
        m_connection = connection;
        if (!m_stopping && !m_interrupted) {
            answerRequests(connection, m_options.answered, 200, m_options.answer);
            interrupt(connection);
        } else if (!m_stopping) {
            answerRequests(connection, std::numeric_limits<int>::max(), 503, "{}");
        }
        m_connection = -1;
        close(connection);
        m_interrupted = true;
        m_interrupted.notify_all();
    }
}

void InterruptingServer::answerRequests(int connection, int limit, int status, const std::string& body)
{
    for (int number = 0; number < limit; ++number) {
        std::string header = readHeader(connection);
        std::size_t length = bodyLength(header);
        if (!header.ends_with(headerEnd) || readBody(connection, length) < length)
            return;
        ++m_requests;
        sendText(connection, responseHeader(status, body.size()) + body);
    }
}

void InterruptingServer::interrupt(int connection)
{
    if (m_options.point == Point::BeforeRequest) {
        // A reset discards an answer that the client has not read yet.
        if (m_options.answered > 0)
            m_mayEndIdle.wait(false);
    } else {
        std::string header = readHeader(connection);
        std::size_t length = bodyLength(header);
        std::size_t wanted = length;
        if (m_options.point == Point::AfterHeader)
            wanted = 0;
        else if (m_options.point == Point::WithinBody)
            wanted = length / 2;
        std::size_t count = readBody(connection, wanted);
        m_interruptedBytes = header.size() + count;
        if (header.ends_with(headerEnd) && count == length)
            ++m_requests;
    }
    std::string response = responseHeader(m_options.interruptedStatus, m_options.answer.size());
    if (m_options.point == Point::WithinResponseHeader)
        sendText(connection, response.substr(0, response.find("\r\n") + 2));
    else if (m_options.point == Point::WithinResponseBody)
        sendText(connection, response + m_options.answer.substr(0, m_options.answer.size() / 2));
    if (m_options.afterwards == Afterwards::RefuseConnections)
        m_listener.shutDown();
    if (m_options.ending == Ending::Reset)
        resetOnClose(connection);
}

} // namespace lentilsaddle::testing_support
