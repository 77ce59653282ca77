#include "review/support/Http.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <chrono>
#include <optional>
#include <stdexcept>
#include <utility>

namespace lentilsaddle::review {

namespace {

    constexpr std::size_t readSize = 65'536;
    constexpr int backlog = 128;

    std::string percentDecode(const std::string& text)
    {
        std::string decoded;
        for (std::size_t index = 0; index < text.size(); ++index) {
            if (text[index] == '%' && index + 2 < text.size()) {
                decoded.push_back(static_cast<char>(std::stoi(text.substr(index + 1, 2), nullptr, 16)));
                index += 2;
            } else {
                decoded.push_back(text[index]);
            }
        }
        return decoded;
    }

    void parseTarget(const std::string& target, ServerRequest& request)
    {
        std::size_t mark = target.find('?');
        request.path = percentDecode(target.substr(0, mark));
        while (mark != std::string::npos) {
            std::size_t begin = mark + 1;
            mark = target.find('&', begin);
            std::string pair = target.substr(begin, mark == std::string::npos ? mark : mark - begin);
            std::size_t equals = pair.find('=');
            if (equals != std::string::npos)
                request.query[percentDecode(pair.substr(0, equals))] = percentDecode(pair.substr(equals + 1));
        }
    }

    ServerRequest parseHead(const std::string& head)
    {
        ServerRequest request;
        std::size_t lineEnd = head.find("\r\n");
        std::string first = head.substr(0, lineEnd);
        std::size_t space = first.find(' ');
        std::size_t second = first.find(' ', space + 1);
        request.method = first.substr(0, space);
        parseTarget(first.substr(space + 1, second - space - 1), request);
        while (lineEnd != std::string::npos && lineEnd + 2 < head.size()) {
            std::size_t begin = lineEnd + 2;
            lineEnd = head.find("\r\n", begin);
            std::string line = head.substr(begin, lineEnd == std::string::npos ? lineEnd : lineEnd - begin);
            std::size_t colon = line.find(':');
            if (colon == std::string::npos)
                continue;
            std::string name = line.substr(0, colon);
            std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) { return std::tolower(c); });
            std::size_t value = line.find_first_not_of(' ', colon + 1);
            request.headers[name] = value == std::string::npos ? "" : line.substr(value);
        }
        return request;
    }

    bool readMore(int connection, std::string& buffer)
    {
        std::string chunk(readSize, '\0');
        ssize_t count = recv(connection, chunk.data(), chunk.size(), 0);
        if (count <= 0)
            return false;
        buffer.append(chunk, 0, static_cast<std::size_t>(count));
        return true;
    }

    // Reads one request with a Content-Length; the rest of the buffer belongs to the next one.
    std::optional<ServerRequest> readRequest(int connection, std::string& buffer)
    {
        std::size_t headEnd = std::string::npos;
        while ((headEnd = buffer.find("\r\n\r\n")) == std::string::npos) {
            if (!readMore(connection, buffer))
                return std::nullopt;
        }
        ServerRequest request = parseHead(buffer.substr(0, headEnd));
        auto length = request.headers.find("content-length");
        std::size_t size = length == request.headers.end() ? 0 : std::stoul(length->second);
        while (buffer.size() < headEnd + 4 + size) {
            if (!readMore(connection, buffer))
                return std::nullopt;
        }
        request.body = buffer.substr(headEnd + 4, size);
        buffer.erase(0, headEnd + 4 + size);
        return request;
    }

    bool sendAll(int connection, const std::string& text)
    {
        for (std::size_t sent = 0; sent < text.size();) {
            ssize_t count = send(connection, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
            if (count <= 0)
                return false;
            sent += static_cast<std::size_t>(count);
        }
        return true;
    }

    void resetOnClose(int connection)
    {
        linger option { .l_onoff = 1, .l_linger = 0 };
        setsockopt(connection, SOL_SOCKET, SO_LINGER, &option, sizeof option);
    }

} // namespace

Server::Server(std::uint16_t port, Handler handler)
    : m_port(port)
    , m_handler(std::move(handler))
{
}

Server::~Server()
{
    stop();
    // The connections are shut down, so their threads end when their handlers return.
    while (m_threads > 0)
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
}

void Server::start()
{
    std::lock_guard lock(m_mutex);
    if (m_listener >= 0)
        return;
    m_listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int enabled = 1;
    setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof enabled);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(m_port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (bind(m_listener, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0
        || listen(m_listener, backlog) != 0)
        throw std::runtime_error("cannot listen on port " + std::to_string(m_port));
    m_acceptor = std::thread([this, listener = m_listener] { acceptConnections(listener); });
}

void Server::stop()
{
    int listener = -1;
    {
        std::lock_guard lock(m_mutex);
        listener = std::exchange(m_listener, -1);
        for (int connection : m_connections) {
            resetOnClose(connection);
            shutdown(connection, SHUT_RD);
        }
    }
    if (listener < 0)
        return;
    shutdown(listener, SHUT_RDWR);
    m_acceptor.join();
    close(listener);
}

void Server::acceptConnections(int listener)
{
    while (true) {
        int connection = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (connection < 0)
            return;
        int enabled = 1;
        setsockopt(connection, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
        {
            std::lock_guard lock(m_mutex);
            m_connections.insert(connection);
        }
        ++m_threads;
        std::thread([this, connection] {
            serve(connection);
            {
                std::lock_guard lock(m_mutex);
                m_connections.erase(connection);
                close(connection);
            }
            --m_threads;
        }).detach();
    }
}

void Server::serve(int connection)
{
    std::string buffer;
    while (std::optional<ServerRequest> request = readRequest(connection, buffer)) {
        ServerResponse response;
        try {
            response = m_handler(*request);
        } catch (const std::exception& error) {
            response = { .status = 400, .body = R"({"error":"unreadable request"})" };
        }
        if (response.reset) {
            resetOnClose(connection);
            return;
        }
        std::string text = "HTTP/1.1 " + std::to_string(response.status)
            + " Status\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(response.body.size())
            + "\r\n\r\n" + response.body;
        if (!sendAll(connection, text))
            return;
    }
}

} // namespace lentilsaddle::review
