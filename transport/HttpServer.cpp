#include "transport/HttpServer.h"

#include "transport/CallbackGuard.h"
#include "transport/EventLoop.h"
#include "transport/TransportError.h"

#include <arpa/inet.h>
#include <microhttpd.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <cstring>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>

namespace lentilsaddle::transport {

namespace {

    std::string toLower(std::string text)
    {
        std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) { return std::tolower(c); });
        return text;
    }

    /// One request and its response.
    struct Exchange {
        HttpRequest request;
        MHD_Connection* connection = nullptr;
        bool bodyTooLarge = false;
        bool handled = false;
        bool suspended = false;
        bool closed = false;
        std::optional<HttpResponse> response;
    };

    // Connections that libmicrohttpd may accept above the limit while excess connections are being closed.
    constexpr unsigned connectionsAboveLimit = 64;

    struct Connection {
        MHD_socket socket = MHD_INVALID_SOCKET;
        /// Value of the use counter at the last use; the lowest value marks the longest-idle connection.
        std::uint64_t lastUse = 0;
        bool requestInFlight = false;
        bool closing = false;
    };

} // namespace

struct HttpServer::Implementation : std::enable_shared_from_this<HttpServer::Implementation> {
    explicit Implementation(EventLoop& eventLoop)
        : loop(eventLoop)
    {
    }

    EventLoop& loop;
    HttpServerOptions options;
    HttpHandler handler;
    MHD_Daemon* daemon = nullptr;
    int epollDescriptor = -1;
    std::uint16_t port = 0;
    MHD_socket quiescedSocket = MHD_INVALID_SOCKET;
    EventLoop::TimerId runTimer = 0;
    std::set<std::shared_ptr<Exchange>> exchanges;
    std::function<void()> onIdle;
    std::unordered_map<MHD_Connection*, Connection> connections;
    /// Number of uses of all connections.
    std::uint64_t useCounter = 0;

    static void onConnection(void* context, MHD_Connection* connection, void**, MHD_ConnectionNotificationCode code);
    void closeLongestIdleConnection();
    void recordUse(MHD_Connection* connection, bool requestInFlight);

    static MHD_Result onAccess(void* context, MHD_Connection* connection, const char* url, const char* method,
        const char*, const char* uploadData, std::size_t* uploadSize, void** exchangeSlot);
    static void onCompleted(void* context, MHD_Connection* connection, void** exchangeSlot, MHD_RequestTerminationCode);

    MHD_Result beginExchange(MHD_Connection* connection, const char* url, const char* method, void** exchangeSlot);
    MHD_Result dispatch(const std::shared_ptr<Exchange>& exchange);
    MHD_Result sendResponse(Exchange& exchange);
    void respond(const std::shared_ptr<Exchange>& exchange, HttpResponse response);
    void run();
    void scheduleRun(std::chrono::milliseconds delay);
    void notifyIfIdle();
};

void HttpServer::Implementation::onConnection(
    void* context, MHD_Connection* connection, void**, MHD_ConnectionNotificationCode code)
{
    auto* self = static_cast<Implementation*>(context);
    if (code == MHD_CONNECTION_NOTIFY_CLOSED) {
        self->connections.erase(connection);
        return;
    }
    const MHD_ConnectionInfo* info = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD);
    self->connections[connection]
        = { .socket = info ? info->connect_fd : MHD_INVALID_SOCKET, .lastUse = ++self->useCounter };
    if (self->connections.size() > self->options.connectionLimit)
        self->closeLongestIdleConnection();
}

void HttpServer::Implementation::closeLongestIdleConnection()
{
    Connection* longestIdle = nullptr;
    for (auto& [handle, connection] : connections) {
        if (connection.requestInFlight || connection.closing)
            continue;
        if (!longestIdle || connection.lastUse < longestIdle->lastUse)
            longestIdle = &connection;
    }
    if (!longestIdle)
        return;
    longestIdle->closing = true;
    // libmicrohttpd detects the shutdown in its next run and closes the connection.
    shutdown(longestIdle->socket, SHUT_RDWR);
}

void HttpServer::Implementation::recordUse(MHD_Connection* connection, bool requestInFlight)
{
    auto known = connections.find(connection);
    if (known == connections.end())
        return;
    known->second.lastUse = ++useCounter;
    known->second.requestInFlight = requestInFlight;
}

MHD_Result HttpServer::Implementation::beginExchange(
    MHD_Connection* connection, const char* url, const char* method, void** exchangeSlot)
{
    auto exchange = std::make_shared<Exchange>();
    exchange->connection = connection;
    exchange->request.method = method;
    exchange->request.path = url;
    MHD_get_connection_values(
        connection, MHD_HEADER_KIND,
        [](void* context, MHD_ValueKind, const char* key, const char* value) {
            (*static_cast<HttpHeaders*>(context))[toLower(key)] = value ? value : "";
            return MHD_YES;
        },
        &exchange->request.headers);
    MHD_get_connection_values(
        connection, MHD_GET_ARGUMENT_KIND,
        [](void* context, MHD_ValueKind, const char* key, const char* value) {
            (*static_cast<std::map<std::string, std::string>*>(context))[key] = value ? value : "";
            return MHD_YES;
        },
        &exchange->request.query);
    *exchangeSlot = exchange.get();
    exchanges.insert(std::move(exchange));
    return MHD_YES;
}

MHD_Result HttpServer::Implementation::onAccess(void* context, MHD_Connection* connection, const char* url,
    const char* method, const char*, const char* uploadData, std::size_t* uploadSize, void** exchangeSlot)
{
    auto* self = static_cast<Implementation*>(context);
    if (!*exchangeSlot)
        return self->beginExchange(connection, url, method, exchangeSlot);
    auto* raw = static_cast<Exchange*>(*exchangeSlot);
    if (*uploadSize > 0) {
        if (raw->request.body.size() + *uploadSize > self->options.maximumBodyBytes)
            raw->bodyTooLarge = true;
        else
            raw->request.body.append(uploadData, *uploadSize);
        *uploadSize = 0;
        return MHD_YES;
    }
    if (raw->response)
        return self->sendResponse(*raw);
    if (raw->handled)
        return MHD_YES;
    auto found = std::find_if(
        self->exchanges.begin(), self->exchanges.end(), [raw](const auto& exchange) { return exchange.get() == raw; });
    return self->dispatch(*found);
}

MHD_Result HttpServer::Implementation::dispatch(const std::shared_ptr<Exchange>& exchange)
{
    exchange->handled = true;
    recordUse(exchange->connection, true);
    if (exchange->bodyTooLarge) {
        exchange->response = HttpResponse {
            .status = 413,
            .headers = { { "content-type", "application/json" }, { "request-outcome", "not-run" } },
            .body = R"({"error":"body_too_large","field":"body","reason":"the body exceeds )"
                + std::to_string(options.maximumBodyBytes) + R"( bytes"})",
        };
        return sendResponse(*exchange);
    }
    auto self = shared_from_this();
    bool handled = runGuarded("request", [&] {
        handler(std::move(exchange->request),
            [self, exchange](HttpResponse response) { self->respond(exchange, std::move(response)); });
    });
    // The handler may have passed the request on, so the response does not say that it was not run.
    if (!handled && !exchange->response)
        exchange->response = HttpResponse { .status = 500, .headers = {}, .body = "" };
    if (exchange->response)
        return sendResponse(*exchange);
    MHD_suspend_connection(exchange->connection);
    exchange->suspended = true;
    return MHD_YES;
}

MHD_Result HttpServer::Implementation::sendResponse(Exchange& exchange)
{
    const HttpResponse& content = *exchange.response;
    if (content.dropConnection)
        return MHD_NO;
    MHD_Response* response = MHD_create_response_from_buffer(
        content.body.size(), const_cast<char*>(content.body.data()), MHD_RESPMEM_MUST_COPY);
    for (const auto& [name, value] : content.headers)
        MHD_add_response_header(response, name.c_str(), value.c_str());
    MHD_Result result = MHD_queue_response(exchange.connection, static_cast<unsigned>(content.status), response);
    MHD_destroy_response(response);
    return result;
}

void HttpServer::Implementation::respond(const std::shared_ptr<Exchange>& exchange, HttpResponse response)
{
    if (exchange->closed || exchange->response)
        return;
    exchange->response = std::move(response);
    if (!exchange->suspended)
        return;
    exchange->suspended = false;
    MHD_resume_connection(exchange->connection);
    scheduleRun(std::chrono::milliseconds(0));
}

void HttpServer::Implementation::onCompleted(
    void* context, MHD_Connection* connection, void** exchangeSlot, MHD_RequestTerminationCode)
{
    auto* self = static_cast<Implementation*>(context);
    self->recordUse(connection, false);
    auto* raw = static_cast<Exchange*>(*exchangeSlot);
    if (!raw)
        return;
    raw->closed = true;
    std::erase_if(self->exchanges, [raw](const auto& exchange) { return exchange.get() == raw; });
    self->notifyIfIdle();
}

void HttpServer::Implementation::notifyIfIdle()
{
    if (!exchanges.empty() || !onIdle)
        return;
    auto callback = std::exchange(onIdle, nullptr);
    callback();
}

void HttpServer::Implementation::run()
{
    if (!daemon)
        return;
    MHD_run(daemon);
    MHD_UNSIGNED_LONG_LONG timeout = 0;
    if (MHD_get_timeout(daemon, &timeout) == MHD_YES)
        scheduleRun(std::chrono::milliseconds(timeout));
}

void HttpServer::Implementation::scheduleRun(std::chrono::milliseconds delay)
{
    loop.cancelTimer(runTimer);
    runTimer = loop.startTimer(delay, [this] { run(); });
}

HttpServer::HttpServer(EventLoop& loop, const HttpServerOptions& options, HttpHandler handler)
    : m_implementation(std::make_shared<Implementation>(loop))
{
    Implementation& self = *m_implementation;
    self.options = options;
    self.handler = std::move(handler);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(options.port);
    if (inet_pton(AF_INET, options.address.c_str(), &address.sin_addr) != 1)
        throw TransportError("invalid listen address '" + options.address + "': expected an IPv4 address");
    self.daemon = MHD_start_daemon(MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME | MHD_USE_ITC, options.port, nullptr,
        nullptr, &Implementation::onAccess, &self, MHD_OPTION_SOCK_ADDR, &address, MHD_OPTION_CONNECTION_LIMIT,
        options.connectionLimit + connectionsAboveLimit, MHD_OPTION_NOTIFY_CONNECTION, &Implementation::onConnection,
        &self, MHD_OPTION_CONNECTION_TIMEOUT, static_cast<unsigned>(options.idleTimeout.count()),
        MHD_OPTION_NOTIFY_COMPLETED, &Implementation::onCompleted, &self, MHD_OPTION_END);
    if (!self.daemon)
        throw TransportError(
            "cannot listen on " + options.address + ":" + std::to_string(options.port) + ": " + std::strerror(errno));
    self.epollDescriptor = MHD_get_daemon_info(self.daemon, MHD_DAEMON_INFO_EPOLL_FD)->epoll_fd;
    self.port = MHD_get_daemon_info(self.daemon, MHD_DAEMON_INFO_BIND_PORT)->port;
    loop.watchDescriptor(self.epollDescriptor, true, false, [&self](bool, bool) { self.run(); });
    self.run();
}

HttpServer::~HttpServer()
{
    Implementation& self = *m_implementation;
    self.loop.unwatchDescriptor(self.epollDescriptor);
    self.loop.cancelTimer(self.runTimer);
    // libmicrohttpd requires that no connection is suspended when the daemon stops.
    for (const auto& exchange : self.exchanges) {
        exchange->closed = true;
        if (exchange->suspended)
            MHD_resume_connection(exchange->connection);
    }
    MHD_stop_daemon(self.daemon);
    self.daemon = nullptr;
    if (self.quiescedSocket != MHD_INVALID_SOCKET)
        close(self.quiescedSocket);
}

std::uint16_t HttpServer::port() const
{
    return m_implementation->port;
}

void HttpServer::stopListening()
{
    Implementation& self = *m_implementation;
    if (self.quiescedSocket == MHD_INVALID_SOCKET)
        self.quiescedSocket = MHD_quiesce_daemon(self.daemon);
}

void HttpServer::whenIdle(std::function<void()> callback)
{
    m_implementation->onIdle = std::move(callback);
    m_implementation->notifyIfIdle();
}

} // namespace lentilsaddle::transport
