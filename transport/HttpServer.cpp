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
#include <charconv>
#include <cstring>
#include <map>
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
        /// Number in the budget; 0 if the request has no memory.
        BodyBudget::RequestId charge = 0;
        /// Memory of the request without its body.
        std::size_t overheadBytes = 0;
        /// Length of the body in the header; 0 if it is chunked or absent.
        std::size_t announcedBytes = 0;
        /// Status of a request that is refused before it runs; 0 if it is not.
        int refusal = 0;
        /// Bytes of a refused body, which are read and not kept.
        std::size_t discardedBytes = 0;
        /// Dropped for another request; its connection is being closed.
        bool dropped = false;
        bool handled = false;
        /// The request has no effect, so that it may be refused after it has run.
        bool readsOnly = false;
        bool suspended = false;
        bool closed = false;
        std::optional<HttpResponse> response;
    };

    /// Response body that is sent in blocks, so that a client that stops reading is noticed.
    struct BlockwiseBody {
        std::string body;
        std::shared_ptr<BodyBudget> budget;
        BodyBudget::RequestId charge = 0;
    };

    // Objects that belong to one request.
    constexpr std::size_t requestOverheadBytes = 1'024;
    // Part of the first charge that is kept for the response, so that a small one is sent also when the budget is full.
    constexpr std::size_t smallResponseBytes = 1'024;
    // Node of a map with two strings, and the entry in the pool of libmicrohttpd.
    constexpr std::size_t headerOverheadBytes = 128;
    constexpr std::size_t smallestBodyCapacity = 4'096;
    // Larger responses are sent in blocks of this size.
    constexpr std::size_t responseBlockBytes = 16'384;
    // Pool of libmicrohttpd for a connection, which bounds the header of a request. A header above it gets status 431.
    constexpr std::size_t connectionMemoryBytes = 8'192;
    // Received bytes that have not been read count as memory of the process, and the system would let each connection
    // have megabytes of them.
    constexpr int receiveBufferBytes = 65'536;
    // Bytes that a client does not read count too, beside the budget; the system would let each connection have
    // megabytes of them.
    constexpr int sendBufferBytes = 65'536;
    constexpr std::chrono::seconds closedConnectionCheckInterval { 5 };
    constexpr const char* retryAfterSeconds = "1";

    // Connections that libmicrohttpd may accept above the limit while excess connections are being closed.
    constexpr unsigned connectionsAboveLimit = 64;

    struct Connection {
        MHD_socket socket = MHD_INVALID_SOCKET;
        /// Value of the use counter at the last use; the lowest value marks the longest-idle connection.
        std::uint64_t lastUse = 0;
        bool requestInFlight = false;
        bool closing = false;
        /// Address of the client.
        std::string client;
        /// Checks for an end of the connection since the last use.
        int checks = 0;
    };

    std::string addressOf(const sockaddr* address)
    {
        char text[INET_ADDRSTRLEN] = "";
        if (address && address->sa_family == AF_INET)
            inet_ntop(AF_INET, &reinterpret_cast<const sockaddr_in*>(address)->sin_addr, text, sizeof text);
        return text;
    }

    struct ReceivedHeaders {
        HttpHeaders values;
        /// The length of the body is given in two ways, which two readers of the connection may resolve differently.
        bool conflictingLength = false;
    };

    MHD_Result readHeader(void* context, MHD_ValueKind, const char* key, const char* value)
    {
        auto* headers = static_cast<ReceivedHeaders*>(context);
        std::string name = toLower(key);
        std::string text = value ? value : "";
        auto known = headers->values.find(name);
        if (name == "content-length" && known != headers->values.end() && known->second != text)
            headers->conflictingLength = true;
        headers->values[name] = text;
        return MHD_YES;
    }

    ReceivedHeaders readHeaders(MHD_Connection* connection)
    {
        ReceivedHeaders headers;
        MHD_get_connection_values(connection, MHD_HEADER_KIND, &readHeader, &headers);
        if (headers.values.contains("content-length") && headers.values.contains("transfer-encoding"))
            headers.conflictingLength = true;
        return headers;
    }

    std::size_t announcedLength(const HttpHeaders& headers)
    {
        auto found = headers.find("content-length");
        if (found == headers.end())
            return 0;
        std::size_t length = 0;
        const std::string& text = found->second;
        // libmicrohttpd has refused a value that is not a number.
        std::from_chars(text.data(), text.data() + text.size(), length);
        return length;
    }

    const char* refusalReason(int status)
    {
        if (status == 400)
            return "conflicting_length";
        return status == 413 ? "body_too_large" : "no_room";
    }

    ssize_t readBlock(void* context, std::uint64_t position, char* buffer, std::size_t size)
    {
        auto* content = static_cast<BlockwiseBody*>(context);
        std::size_t count = content->body.copy(buffer, size, static_cast<std::size_t>(position));
        // A block is asked for when the one before has been sent.
        content->budget->recordTransfer(content->charge, count, std::chrono::steady_clock::now());
        return static_cast<ssize_t>(count);
    }

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
    std::shared_ptr<BodyBudget> budget;
    EventLoop::TimerId closedConnectionTimer = 0;

    static void onConnection(void* context, MHD_Connection* connection, void**, MHD_ConnectionNotificationCode code);
    void closeLongestIdleConnection();
    void recordUse(MHD_Connection* connection, bool requestInFlight);
    /// Ends the connections whose clients have closed them without libmicrohttpd noticing.
    void endClosedConnections();
    void scheduleClosedConnectionCheck();
    void reportRefusal(const std::string& reason) const;

    /// Asks the budget for the memory of a request with its announced body.
    void charge(const std::shared_ptr<Exchange>& exchange);
    /// Frees the body; what follows of it is not kept.
    void refuse(Exchange& exchange, int status);
    /// Ends a request that has been dropped from the budget.
    void drop(Exchange& exchange);
    MHD_Result receiveBody(Exchange& exchange, const char* data, std::size_t size);
    bool growBody(Exchange& exchange, std::size_t size);
    HttpResponse refusalResponse(int status) const;
    /// Asks the budget for the memory of the response; without room, it is not sent.
    void chargeResponse(Exchange& exchange);
    MHD_Response* createResponse(Exchange& exchange);

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
    const MHD_ConnectionInfo* client = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CLIENT_ADDRESS);
    self->connections[connection] = { .socket = info ? info->connect_fd : MHD_INVALID_SOCKET,
        .lastUse = ++self->useCounter,
        .client = addressOf(client ? client->client_addr : nullptr) };
    self->scheduleClosedConnectionCheck();
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
    known->second.checks = 0;
}

// libmicrohttpd misses the end of a connection that arrives together with the last bytes, and would keep it for ever.
void HttpServer::Implementation::endClosedConnections()
{
    closedConnectionTimer = 0;
    std::map<MHD_Connection*, bool> handledRequests;
    for (const auto& exchange : exchanges)
        handledRequests[exchange->connection] = exchange->handled;
    for (auto& [handle, connection] : connections) {
        if (connection.closing) {
            // Wakes libmicrohttpd again in case it missed the end that the first shutdown caused.
            shutdown(connection.socket, SHUT_RDWR);
            continue;
        }
        auto request = handledRequests.find(handle);
        // A client may end its side of the connection and still read its response.
        bool awaitsResponse = request != handledRequests.end() && request->second;
        bool checkedWhileIdle = ++connection.checks > 2 && request == handledRequests.end();
        if (awaitsResponse || checkedWhileIdle)
            continue;
        char byte = 0;
        if (recv(connection.socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT) != 0)
            continue;
        connection.closing = true;
        shutdown(connection.socket, SHUT_RDWR);
    }
    scheduleClosedConnectionCheck();
}

void HttpServer::Implementation::scheduleClosedConnectionCheck()
{
    if (closedConnectionTimer == 0 && !connections.empty())
        closedConnectionTimer = loop.startTimer(closedConnectionCheckInterval, [this] { endClosedConnections(); });
}

void HttpServer::Implementation::reportRefusal(const std::string& reason) const
{
    if (options.onRefusal)
        options.onRefusal(reason);
}

void HttpServer::Implementation::charge(const std::shared_ptr<Exchange>& exchange)
{
    exchange->overheadBytes = requestOverheadBytes + smallResponseBytes + exchange->request.path.size();
    for (const auto& [name, value] : exchange->request.headers)
        exchange->overheadBytes += name.size() + value.size() + headerOverheadBytes;
    for (const auto& [name, value] : exchange->request.query)
        exchange->overheadBytes += name.size() + value.size() + headerOverheadBytes;
    auto known = connections.find(exchange->connection);
    std::string client = known == connections.end() ? "" : known->second.client;
    std::weak_ptr<Exchange> weak = exchange;
    exchange->charge = budget->open(
        client, exchange->overheadBytes + exchange->announcedBytes, std::chrono::steady_clock::now(), [this, weak] {
            if (auto dropped = weak.lock())
                drop(*dropped);
        });
    if (exchange->charge == 0)
        refuse(*exchange, 503);
}

void HttpServer::Implementation::refuse(Exchange& exchange, int status)
{
    exchange.refusal = status;
    exchange.request = {};
    budget->close(exchange.charge);
    exchange.charge = 0;
    reportRefusal(refusalReason(status));
}

void HttpServer::Implementation::drop(Exchange& exchange)
{
    exchange.dropped = true;
    exchange.charge = 0;
    exchange.request = {};
    reportRefusal(exchange.handled ? "response_not_read" : "body_without_progress");
    auto known = connections.find(exchange.connection);
    if (known == connections.end())
        return;
    known->second.closing = true;
    shutdown(known->second.socket, SHUT_RDWR);
}

MHD_Result HttpServer::Implementation::beginExchange(
    MHD_Connection* connection, const char* url, const char* method, void** exchangeSlot)
{
    auto exchange = std::make_shared<Exchange>();
    exchange->connection = connection;
    exchange->request.method = method;
    exchange->request.path = url;
    ReceivedHeaders headers = readHeaders(connection);
    exchange->request.headers = std::move(headers.values);
    MHD_get_connection_values(
        connection, MHD_GET_ARGUMENT_KIND,
        [](void* context, MHD_ValueKind, const char* key, const char* value) {
            (*static_cast<std::map<std::string, std::string>*>(context))[key] = value ? value : "";
            return MHD_YES;
        },
        &exchange->request.query);
    exchange->announcedBytes = announcedLength(exchange->request.headers);
    *exchangeSlot = exchange.get();
    exchanges.insert(exchange);
    if (!headers.conflictingLength && exchange->announcedBytes <= options.maximumBodyBytes) {
        charge(exchange);
        return MHD_YES;
    }
    // The body is not read; libmicrohttpd closes the connection after the response.
    refuse(*exchange, headers.conflictingLength ? 400 : 413);
    return dispatch(exchange);
}

MHD_Result HttpServer::Implementation::receiveBody(Exchange& exchange, const char* data, std::size_t size)
{
    if (exchange.dropped)
        return MHD_NO;
    std::string& body = exchange.request.body;
    if (exchange.refusal == 0 && body.size() + size > options.maximumBodyBytes)
        refuse(exchange, 413);
    if (exchange.refusal == 0 && body.size() + size > body.capacity() && !growBody(exchange, body.size() + size))
        refuse(exchange, 503);
    if (exchange.refusal != 0) {
        // A client that sends its whole body before it reads gets the response; one that sends on does not.
        exchange.discardedBytes += size;
        return exchange.discardedBytes <= options.maximumBodyBytes ? MHD_YES : MHD_NO;
    }
    body.append(data, size);
    // At the limit of connections, one that is receiving is not the longest idle.
    recordUse(exchange.connection, false);
    budget->recordTransfer(exchange.charge, size, std::chrono::steady_clock::now());
    return MHD_YES;
}

bool HttpServer::Implementation::growBody(Exchange& exchange, std::size_t size)
{
    std::string& body = exchange.request.body;
    auto now = std::chrono::steady_clock::now();
    if (size <= exchange.announcedBytes) {
        body.reserve(exchange.announcedBytes);
    } else {
        std::size_t capacity = std::max({ size, 2 * body.capacity(), smallestBodyCapacity });
        capacity = std::max(size, std::min(capacity, options.maximumBodyBytes));
        if (!budget->resize(exchange.charge, exchange.overheadBytes + capacity, now))
            return false;
        body.reserve(capacity);
    }
    // A string may allocate more than it is asked for, up to twice its capacity.
    return budget->resize(exchange.charge, exchange.overheadBytes + body.capacity(), now);
}

MHD_Result HttpServer::Implementation::onAccess(void* context, MHD_Connection* connection, const char* url,
    const char* method, const char*, const char* uploadData, std::size_t* uploadSize, void** exchangeSlot)
{
    auto* self = static_cast<Implementation*>(context);
    if (!*exchangeSlot)
        return self->beginExchange(connection, url, method, exchangeSlot);
    auto* raw = static_cast<Exchange*>(*exchangeSlot);
    if (*uploadSize > 0) {
        std::size_t size = std::exchange(*uploadSize, 0);
        return self->receiveBody(*raw, uploadData, size);
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
    if (exchange->dropped)
        return MHD_NO;
    if (exchange->refusal != 0) {
        exchange->response = refusalResponse(exchange->refusal);
        return sendResponse(*exchange);
    }
    budget->startRunning(exchange->charge);
    auto self = shared_from_this();
    exchange->readsOnly = exchange->request.method == "GET";
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

HttpResponse HttpServer::Implementation::refusalResponse(int status) const
{
    HttpResponse response { .status = status,
        .headers = { { "content-type", "application/json" }, { "request-outcome", "not-run" } } };
    if (status == 400) {
        // The next request on the connection would begin at an uncertain byte.
        response.headers["connection"] = "close";
        response.body = R"({"error":"conflicting_length","field":"Content-Length",)"
                        R"("reason":"the header gives the length of the body in two ways"})";
    } else if (status == 413) {
        response.body = R"({"error":"body_too_large","field":"body","reason":"the body exceeds )"
            + std::to_string(options.maximumBodyBytes) + R"( bytes"})";
    } else {
        response.headers["retry-after"] = retryAfterSeconds;
        response.body = R"({"error":"no_room","reason":"unfinished requests take all the memory; try again"})";
    }
    return response;
}

void HttpServer::Implementation::chargeResponse(Exchange& exchange)
{
    std::size_t size = exchange.overheadBytes;
    if (exchange.response->body.size() > smallResponseBytes)
        size += exchange.response->body.size();
    if (exchange.response->body.size() > responseBlockBytes)
        size += responseBlockBytes;
    if (exchange.charge == 0 || budget->resize(exchange.charge, size, std::chrono::steady_clock::now()))
        return;
    reportRefusal("response_no_room");
    // A request that may have had an effect has no truthful refusal.
    if (exchange.readsOnly)
        exchange.response = refusalResponse(503);
    else
        exchange.response = HttpResponse { .dropConnection = true };
}

MHD_Response* HttpServer::Implementation::createResponse(Exchange& exchange)
{
    std::string& body = exchange.response->body;
    if (body.size() > responseBlockBytes) {
        auto* content = new BlockwiseBody { .body = std::move(body), .budget = budget, .charge = exchange.charge };
        return MHD_create_response_from_callback(content->body.size(), responseBlockBytes, &readBlock, content,
            [](void* context) { delete static_cast<BlockwiseBody*>(context); });
    }
    return MHD_create_response_from_buffer(body.size(), body.data(), MHD_RESPMEM_MUST_COPY);
}

MHD_Result HttpServer::Implementation::sendResponse(Exchange& exchange)
{
    const HttpResponse& content = *exchange.response;
    if (content.dropConnection || exchange.dropped)
        return MHD_NO;
    budget->startSending(exchange.charge, std::chrono::steady_clock::now());
    // At the limit of connections, one whose client does not read its response may be closed.
    recordUse(exchange.connection, false);
    MHD_Response* response = createResponse(exchange);
    if (!response)
        return MHD_NO;
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
    chargeResponse(*exchange);
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
    self->budget->close(raw->charge);
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
    self.budget = options.budget
        ? options.budget
        : std::make_shared<BodyBudget>(BodyBudget::Options { .limitBytes = options.requestMemoryBytes });
    self.handler = std::move(handler);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(options.port);
    if (inet_pton(AF_INET, options.address.c_str(), &address.sin_addr) != 1)
        throw TransportError("invalid listen address '" + options.address + "': expected an IPv4 address");
    self.daemon = MHD_start_daemon(MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME | MHD_USE_ITC, options.port, nullptr,
        nullptr, &Implementation::onAccess, &self, MHD_OPTION_SOCK_ADDR, &address, MHD_OPTION_CONNECTION_LIMIT,
        options.connectionLimit + connectionsAboveLimit, MHD_OPTION_NOTIFY_CONNECTION, &Implementation::onConnection,
        &self, MHD_OPTION_CONNECTION_MEMORY_LIMIT, connectionMemoryBytes, MHD_OPTION_CONNECTION_TIMEOUT,
        static_cast<unsigned>(options.idleTimeout.count()), MHD_OPTION_NOTIFY_COMPLETED, &Implementation::onCompleted,
        &self, MHD_OPTION_END);
    if (!self.daemon)
        throw TransportError(
            "cannot listen on " + options.address + ":" + std::to_string(options.port) + ": " + std::strerror(errno));
    // Accepted connections inherit both sizes.
    MHD_socket listener = MHD_get_daemon_info(self.daemon, MHD_DAEMON_INFO_LISTEN_FD)->listen_fd;
    setsockopt(listener, SOL_SOCKET, SO_RCVBUF, &receiveBufferBytes, sizeof receiveBufferBytes);
    setsockopt(listener, SOL_SOCKET, SO_SNDBUF, &sendBufferBytes, sizeof sendBufferBytes);
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
    self.loop.cancelTimer(self.closedConnectionTimer);
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
