#include "tests/transport/ScriptedServer.h"

#include <sys/socket.h>
#include <unistd.h>

#include <strings.h>

#include <utility>

namespace lentilsaddle::testing_support {

namespace {

    constexpr const char* lengthHeader = "Content-Length:";

    std::size_t bodyLength(const std::string& head)
    {
        for (std::size_t line = 0; line != std::string::npos; line = head.find("\r\n", line)) {
            line += line == 0 ? 0 : 2;
            if (strncasecmp(head.c_str() + line, lengthHeader, std::char_traits<char>::length(lengthHeader)) == 0)
                return std::stoul(head.substr(line + std::char_traits<char>::length(lengthHeader)));
        }
        return 0;
    }

    // Reads one request, of which none follows before its response.
    bool readRequest(int connection)
    {
        std::string text;
        while (true) {
            std::size_t end = text.find("\r\n\r\n");
            if (end != std::string::npos && text.size() >= end + 4 + bodyLength(text.substr(0, end)))
                return true;
            char buffer[4096];
            ssize_t count = recv(connection, buffer, sizeof buffer, 0);
            if (count <= 0)
                return false;
            text.append(buffer, static_cast<std::size_t>(count));
        }
    }

} // namespace

ScriptedServer::ScriptedServer(Script script)
    : m_script(std::move(script))
    , m_thread([this] { serve(); })
{
}

ScriptedServer::~ScriptedServer()
{
    m_stopping = true;
    m_listener.shutDown();
    // Ends the wait for a client that keeps the connection open.
    if (int connection = m_connection; connection >= 0)
        shutdown(connection, SHUT_RDWR);
    m_thread.join();
}

void ScriptedServer::serve()
{
    for (int connection = m_listener.accept(); connection >= 0; connection = m_listener.accept()) {
        ++m_connections;
        m_connection = connection;
        if (!m_stopping)
            serveConnection(connection);
        m_connection = -1;
        close(connection);
    }
}

void ScriptedServer::serveConnection(int connection)
{
    while (readRequest(connection)) {
        if (!respond(connection))
            return;
    }
}

bool ScriptedServer::respond(int connection)
{
    std::optional<Response> response = m_script(++m_requests);
    if (!response)
        return false;
    if (response->stopListening)
        m_listener.shutDown();
    std::string text = "HTTP/1.1 " + std::to_string(response->status)
        + " Scripted\r\nContent-Length: " + std::to_string(response->body.size()) + "\r\n\r\n" + response->body;
    return send(connection, text.data(), text.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(text.size());
}

} // namespace lentilsaddle::testing_support
