#include "transport/HttpClient.h"

#include "transport/CallbackGuard.h"
#include "transport/ConnectionRegistry.h"
#include "transport/EventLoop.h"
#include "transport/Logger.h"
#include "transport/TransportError.h"

#include <curl/curl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <functional>
#include <mutex>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

namespace lentilsaddle::transport {

namespace {

    constexpr int maximumSendingsOfRepeatableCall = 2;
    // Each holds a receive buffer of 16 KiB.
    constexpr std::size_t maximumIdleHandles = 128;

    struct CallState {
        HttpClient::CallId id = 0;
        curl_slist* headers = nullptr;
        std::string body;
        HttpResponse response;
        HttpClient::Callback callback;
        /// Index of the connection group.
        std::size_t group = 0;
        /// Authority part of the URL.
        std::string server;
        std::chrono::steady_clock::time_point begin;
        /// Last socket that the call used; negative if there was none.
        curl_socket_t descriptor = CURL_SOCKET_BAD;
        int maximumSendings = 1;
        /// Number of connections on which at least a part of the request was sent.
        int sendings = 0;
        /// Bytes that were sent on these connections together; empty before the first connection.
        std::optional<long> requestBytes;
        /// The empty line after the header of the final response has arrived.
        bool headerComplete = false;
        /// A reused connection was closed before the response, and the request may not be sent again.
        bool connectionClosed = false;
        bool responseTooLarge = false;
        /// Zero without a stall timeout.
        std::chrono::milliseconds stallTimeout { 0 };
        /// When the response must have begun; without a stall timeout, when it must be complete.
        std::chrono::steady_clock::time_point responseDeadline;
        /// Timer of the next check of the response's progress.
        EventLoop::TimerId progressTimer = 0;
        /// The response was overdue at the last check.
        bool overdue = false;
        /// When the last byte of the response arrived; empty before the first.
        std::optional<std::chrono::steady_clock::time_point> lastProgress;
    };

    /// Call with its easy handle, which is reused for later calls because libcurl allocates buffers for each handle.
    struct Call : CallState {
        CURL* easy = nullptr;
        ConnectionRegistry* connections = nullptr;
        std::size_t maximumResponseBytes = 0;

        Call() = default;
        Call(const Call&) = delete;
        Call& operator=(const Call&) = delete;
        ~Call()
        {
            curl_easy_cleanup(easy);
            curl_slist_free_all(headers);
        }

        /// Makes the handle available for another call.
        void reset()
        {
            curl_easy_setopt(easy, CURLOPT_HTTPHEADER, nullptr);
            curl_slist_free_all(headers);
            static_cast<CallState&>(*this) = {};
        }
    };

    void recordSending(Call& call)
    {
        long requestBytes = 0;
        curl_easy_getinfo(call.easy, CURLINFO_REQUEST_SIZE, &requestBytes);
        if (call.requestBytes && requestBytes > *call.requestBytes)
            ++call.sendings;
        call.requestBytes = requestBytes;
    }

    // libcurl sends a request again, without notice, if a reused connection is closed before the first byte of the
    // response.
    bool maySend(Call& call)
    {
        recordSending(call);
        call.connectionClosed = call.sendings >= call.maximumSendings;
        return !call.connectionClosed;
    }

    // Called before each sending of the request.
    int onSending(void* context, char*, char*, int, int)
    {
        return maySend(*static_cast<Call*>(context)) ? CURL_PREREQFUNC_OK : CURL_PREREQFUNC_ABORT;
    }

    // Called before a connection is opened, which a request that may not be sent again does not need.
    curl_socket_t onOpenSocket(void* context, curlsocktype, curl_sockaddr* address)
    {
        auto* call = static_cast<Call*>(context);
        if (!maySend(*call))
            return CURL_SOCKET_BAD;
        curl_socket_t descriptor = socket(address->family, address->socktype | SOCK_CLOEXEC, address->protocol);
        if (descriptor != CURL_SOCKET_BAD)
            call->connections->add(descriptor, call->server, std::chrono::steady_clock::now());
        return descriptor;
    }

    int onCloseSocket(void* context, curl_socket_t descriptor)
    {
        static_cast<ConnectionRegistry*>(context)->remove(descriptor);
        return close(descriptor);
    }

    std::size_t onBody(char* data, std::size_t size, std::size_t count, void* context)
    {
        auto* call = static_cast<Call*>(context);
        call->responseTooLarge = call->response.body.size() + size * count > call->maximumResponseBytes;
        if (call->responseTooLarge)
            return 0;
        call->response.body.append(data, size * count);
        call->lastProgress = std::chrono::steady_clock::now();
        return size * count;
    }

    std::size_t onHeader(char* data, std::size_t size, std::size_t count, void* context)
    {
        auto* call = static_cast<Call*>(context);
        call->lastProgress = std::chrono::steady_clock::now();
        std::string line(data, size * count);
        // An interim response has a header of its own, after which that of the final response follows.
        if (line.starts_with("HTTP/"))
            call->headerComplete = false;
        else if (line == "\r\n" || line == "\n")
            call->headerComplete = true;
        auto colon = line.find(':');
        if (colon == std::string::npos)
            return size * count;
        std::string name = line.substr(0, colon);
        std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) { return std::tolower(c); });
        auto first = line.find_first_not_of(" \t", colon + 1);
        auto last = line.find_last_not_of(" \t\r\n");
        call->response.headers[name]
            = first == std::string::npos || first > last ? "" : line.substr(first, last - first + 1);
        return size * count;
    }

    std::string serverOf(const std::string& url)
    {
        std::size_t begin = url.find("//");
        begin = begin == std::string::npos ? 0 : begin + 2;
        return url.substr(begin, std::min(url.find('/', begin), url.size()) - begin);
    }

    std::string headerLine(const std::string& name, const std::string& value)
    {
        std::string line = name;
        line += ": ";
        line += value;
        return line;
    }

    void initialiseLibrary()
    {
        static std::once_flag once;
        std::call_once(once, [] { curl_global_init(CURL_GLOBAL_DEFAULT); });
    }

    HttpResult toResult(Call& call, CURLcode code)
    {
        HttpResult result;
        result.receivedBytes = call.response.body.size();
        long newConnections = 0;
        curl_easy_getinfo(call.easy, CURLINFO_NUM_CONNECTS, &newConnections);
        result.newConnections = static_cast<int>(newConnections);
        // libcurl accepts a response whose header is cut by the end of the connection.
        if (code == CURLE_OK && call.headerComplete) {
            long status = 0;
            curl_easy_getinfo(call.easy, CURLINFO_RESPONSE_CODE, &status);
            call.response.status = static_cast<int>(status);
            result.response = std::move(call.response);
            return result;
        }
        recordSending(call);
        result.failure = call.sendings > 0 ? HttpFailure::ResponseLost : HttpFailure::NotSent;
        if (call.connectionClosed)
            result.error = "connection closed without a response";
        else if (call.responseTooLarge)
            result.error = "the response body exceeds " + std::to_string(call.maximumResponseBytes) + " bytes";
        else
            result.error = code == CURLE_OK ? "connection closed within the response" : curl_easy_strerror(code);
        result.timedOut = code == CURLE_OPERATION_TIMEDOUT;
        return result;
    }

} // namespace

struct HttpClient::Implementation {
    /// Servers that share a multi handle. libcurl walks lists of all connections and transfers of a multi handle.
    struct Group {
        Implementation* client = nullptr;
        CURLM* multi = nullptr;
        EventLoop::TimerId timer = 0;
        /// When the timer expires; valid if there is one.
        std::chrono::steady_clock::time_point timerDue;
    };

    explicit Implementation(EventLoop& eventLoop)
        : loop(eventLoop)
    {
    }

    EventLoop& loop;
    /// Outlives the connections, which libcurl closes with the groups.
    ConnectionRegistry connections;
    CallId nextCall = 1;
    std::size_t maximumResponseBytes = 0;
    std::vector<std::unique_ptr<Group>> groups;
    std::unordered_map<CallId, std::unique_ptr<Call>> calls;
    std::vector<std::unique_ptr<Call>> idleCalls;

    void addGroup(const HttpClientOptions& options);
    std::size_t groupOf(const std::string& server) const;
    std::unique_ptr<Call> takeCall();
    /// Removes the call from libcurl and keeps its easy handle for a later one.
    void release(std::unique_ptr<Call> call);
    static int onSocket(CURL* easy, curl_socket_t descriptor, int action, void* context, void*);
    static int onTimer(CURLM*, long milliseconds, void* context);
    void performSocketAction(Group& group, curl_socket_t descriptor, int events);
    void finishCalls(Group& group);
    /// Fails the call if its response has not begun, has stalled, or is not complete in time.
    void checkProgress(CallId id);
    /// Ends the idle connections to the server of a call whose connection has gone silent.
    void endSilentConnections(const Call& call, const HttpResult& result);
    /// Removes a call and passes its result to its callback.
    void finish(CallId id, CURLcode code);
};

void HttpClient::Implementation::addGroup(const HttpClientOptions& options)
{
    auto group = std::make_unique<Group>();
    group->client = this;
    group->multi = curl_multi_init();
    if (!group->multi)
        throw TransportError("cannot create a libcurl multi handle");
    // Rounded up, so that the shares of all groups allow at least the maximum.
    auto connections
        = static_cast<long>((options.maximumConnections + options.connectionGroups - 1) / options.connectionGroups);
    curl_multi_setopt(group->multi, CURLMOPT_SOCKETFUNCTION, &Implementation::onSocket);
    curl_multi_setopt(group->multi, CURLMOPT_SOCKETDATA, group.get());
    curl_multi_setopt(group->multi, CURLMOPT_TIMERFUNCTION, &Implementation::onTimer);
    curl_multi_setopt(group->multi, CURLMOPT_TIMERDATA, group.get());
    curl_multi_setopt(
        group->multi, CURLMOPT_MAX_HOST_CONNECTIONS, static_cast<long>(options.maximumConnectionsPerHost));
    curl_multi_setopt(group->multi, CURLMOPT_MAX_TOTAL_CONNECTIONS, connections);
    // libcurl's default cache keeps few idle connections, so that most calls to many servers would open a new one.
    curl_multi_setopt(group->multi, CURLMOPT_MAXCONNECTS, connections);
    groups.push_back(std::move(group));
}

std::size_t HttpClient::Implementation::groupOf(const std::string& server) const
{
    return std::hash<std::string> {}(server) % groups.size();
}

std::unique_ptr<Call> HttpClient::Implementation::takeCall()
{
    if (!idleCalls.empty()) {
        std::unique_ptr<Call> call = std::move(idleCalls.back());
        idleCalls.pop_back();
        return call;
    }
    auto call = std::make_unique<Call>();
    call->easy = curl_easy_init();
    if (!call->easy)
        throw TransportError("cannot create a libcurl easy handle");
    curl_easy_setopt(call->easy, CURLOPT_PRIVATE, call.get());
    curl_easy_setopt(call->easy, CURLOPT_PREREQFUNCTION, &onSending);
    curl_easy_setopt(call->easy, CURLOPT_PREREQDATA, call.get());
    curl_easy_setopt(call->easy, CURLOPT_OPENSOCKETFUNCTION, &onOpenSocket);
    curl_easy_setopt(call->easy, CURLOPT_OPENSOCKETDATA, call.get());
    curl_easy_setopt(call->easy, CURLOPT_CLOSESOCKETFUNCTION, &onCloseSocket);
    curl_easy_setopt(call->easy, CURLOPT_CLOSESOCKETDATA, &connections);
    call->connections = &connections;
    call->maximumResponseBytes = maximumResponseBytes;
    curl_easy_setopt(call->easy, CURLOPT_WRITEFUNCTION, &onBody);
    curl_easy_setopt(call->easy, CURLOPT_WRITEDATA, call.get());
    curl_easy_setopt(call->easy, CURLOPT_HEADERFUNCTION, &onHeader);
    curl_easy_setopt(call->easy, CURLOPT_HEADERDATA, call.get());
    curl_easy_setopt(call->easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(call->easy, CURLOPT_TCP_NODELAY, 1L);
    curl_easy_setopt(call->easy, CURLOPT_PROTOCOLS_STR, "http");
    curl_easy_setopt(call->easy, CURLOPT_PROXY, "");
    return call;
}

void HttpClient::Implementation::release(std::unique_ptr<Call> call)
{
    curl_multi_remove_handle(groups[call->group]->multi, call->easy);
    loop.cancelTimer(call->progressTimer);
    if (idleCalls.size() >= maximumIdleHandles)
        return;
    call->reset();
    idleCalls.push_back(std::move(call));
}

int HttpClient::Implementation::onSocket(CURL* easy, curl_socket_t descriptor, int action, void* context, void*)
{
    auto* group = static_cast<Group*>(context);
    EventLoop& loop = group->client->loop;
    // libcurl watches a connection only for the call that uses it.
    group->client->connections.setBusy(descriptor, action != CURL_POLL_REMOVE);
    if (action == CURL_POLL_REMOVE) {
        loop.unwatchDescriptor(descriptor);
        return 0;
    }
    Call* user = nullptr;
    curl_easy_getinfo(easy, CURLINFO_PRIVATE, &user);
    if (user)
        user->descriptor = descriptor;
    bool read = action == CURL_POLL_IN || action == CURL_POLL_INOUT;
    bool write = action == CURL_POLL_OUT || action == CURL_POLL_INOUT;
    loop.watchDescriptor(descriptor, read, write, [group, descriptor](bool readable, bool writable) {
        group->client->performSocketAction(
            *group, descriptor, (readable ? CURL_CSELECT_IN : 0) | (writable ? CURL_CSELECT_OUT : 0));
    });
    return 0;
}

int HttpClient::Implementation::onTimer(CURLM*, long milliseconds, void* context)
{
    auto* group = static_cast<Group*>(context);
    EventLoop& loop = group->client->loop;
    auto due = std::chrono::steady_clock::now() + std::chrono::milliseconds(std::max(milliseconds, 0L));
    // Each new call asks for an immediate expiry.
    if (milliseconds == 0 && group->timer != 0 && group->timerDue <= due)
        return 0;
    loop.cancelTimer(group->timer);
    group->timer = 0;
    if (milliseconds < 0)
        return 0;
    group->timerDue = due;
    group->timer = loop.startTimer(std::chrono::milliseconds(milliseconds), [group] {
        group->timer = 0;
        group->client->performSocketAction(*group, CURL_SOCKET_TIMEOUT, 0);
    });
    return 0;
}

void HttpClient::Implementation::performSocketAction(Group& group, curl_socket_t descriptor, int events)
{
    int running = 0;
    curl_multi_socket_action(group.multi, descriptor, events, &running);
    finishCalls(group);
}

void HttpClient::Implementation::finishCalls(Group& group)
{
    int remaining = 0;
    while (CURLMsg* message = curl_multi_info_read(group.multi, &remaining)) {
        if (message->msg != CURLMSG_DONE)
            continue;
        CURL* easy = message->easy_handle;
        CURLcode code = message->data.result;
        void* context = nullptr;
        curl_easy_getinfo(easy, CURLINFO_PRIVATE, &context);
        finish(static_cast<Call*>(context)->id, code);
    }
}

void HttpClient::Implementation::finish(CallId id, CURLcode code)
{
    auto node = calls.extract(id);
    std::unique_ptr<Call> call = std::move(node.mapped());
    HttpResult result = toResult(*call, code);
    if (result.failure == HttpFailure::None)
        connections.recordResponse(call->descriptor, std::chrono::steady_clock::now());
    else if (result.timedOut)
        endSilentConnections(*call, result);
    Callback callback = std::move(call->callback);
    release(std::move(call));
    runGuarded("response", [&] { callback(std::move(result)); });
}

void HttpClient::Implementation::endSilentConnections(const Call& call, const HttpResult& result)
{
    // A new connection that has not responded yet says nothing of those that have: the server may be slow.
    bool responded = result.newConnections == 0 || call.lastProgress;
    if (result.failure != HttpFailure::ResponseLost || !responded)
        return;
    std::size_t ended = connections.shutDownIdle(call.server, call.lastProgress.value_or(call.begin));
    if (ended > 0)
        writeLog(LogLevel::Info, "http", "idle connections ended after one went silent",
            { { "server", call.server }, { "connections", std::to_string(ended) } });
}

void HttpClient::Implementation::checkProgress(CallId id)
{
    Call& call = *calls.at(id);
    call.progressTimer = 0;
    auto now = std::chrono::steady_clock::now();
    bool mayStall = call.stallTimeout.count() > 0 && call.lastProgress;
    auto deadline = mayStall ? *call.lastProgress + call.stallTimeout : call.responseDeadline;
    bool overdue = now >= deadline;
    if (overdue && call.overdue) {
        finish(id, CURLE_OPERATION_TIMEDOUT);
        return;
    }
    call.overdue = overdue;
    // Bytes that arrived while the loop was busy are read before the second check of an overdue response. A response
    // that begins in the meantime may stall from then on.
    auto delay = std::max<std::chrono::steady_clock::duration>(deadline - now, std::chrono::steady_clock::duration(0));
    if (call.stallTimeout.count() > 0)
        delay = std::min<std::chrono::steady_clock::duration>(delay, call.stallTimeout);
    call.progressTimer
        = loop.startTimer(std::chrono::ceil<std::chrono::microseconds>(delay), [this, id] { checkProgress(id); });
}

HttpClient::HttpClient(EventLoop& loop, const HttpClientOptions& options)
    : m_implementation(std::make_unique<Implementation>(loop))
{
    initialiseLibrary();
    m_implementation->maximumResponseBytes = options.maximumResponseBytes;
    for (std::size_t index = 0; index < std::max<std::size_t>(options.connectionGroups, 1); ++index)
        m_implementation->addGroup(options);
}

HttpClient::~HttpClient()
{
    Implementation& self = *m_implementation;
    for (auto& [id, call] : self.calls) {
        curl_multi_remove_handle(self.groups[call->group]->multi, call->easy);
        self.loop.cancelTimer(call->progressTimer);
    }
    self.calls.clear();
    self.idleCalls.clear();
    for (auto& group : self.groups) {
        curl_multi_cleanup(group->multi);
        self.loop.cancelTimer(group->timer);
    }
}

HttpClient::CallId HttpClient::send(const HttpCall& call, Callback callback)
{
    Implementation& self = *m_implementation;
    std::unique_ptr<Call> entry = self.takeCall();
    entry->id = self.nextCall++;
    entry->server = serverOf(call.url);
    entry->group = self.groupOf(entry->server);
    entry->begin = std::chrono::steady_clock::now();
    entry->body = call.body;
    entry->callback = std::move(callback);
    entry->maximumSendings = call.repeatable ? maximumSendingsOfRepeatableCall : 1;
    entry->stallTimeout = call.stallTimeout;
    entry->responseDeadline = entry->begin + call.timeout;
    auto firstCheck = call.stallTimeout.count() > 0 ? std::min(call.timeout, call.stallTimeout) : call.timeout;
    entry->progressTimer = self.loop.startTimer(firstCheck, [&self, id = entry->id] { self.checkProgress(id); });
    CURL* easy = entry->easy;
    curl_easy_setopt(easy, CURLOPT_URL, call.url.c_str());
    curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, call.freshConnection ? 1L : 0L);
    curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, call.freshConnection ? 1L : 0L);
    if (call.method == "GET" && call.body.empty()) {
        curl_easy_setopt(easy, CURLOPT_POSTFIELDS, nullptr);
        curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, nullptr);
        curl_easy_setopt(easy, CURLOPT_HTTPGET, 1L);
    } else {
        curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(entry->body.size()));
        curl_easy_setopt(easy, CURLOPT_POSTFIELDS, entry->body.c_str());
        curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, call.method.c_str());
    }
    // An empty Expect header stops libcurl from waiting for "100 Continue" before a larger body.
    entry->headers = curl_slist_append(nullptr, "Expect:");
    for (const auto& [name, value] : call.headers)
        entry->headers = curl_slist_append(entry->headers, headerLine(name, value).c_str());
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, entry->headers);
    CallId id = entry->id;
    CURLM* multi = self.groups[entry->group]->multi;
    self.calls.emplace(id, std::move(entry));
    curl_multi_add_handle(multi, easy);
    return id;
}

void HttpClient::cancel(CallId call)
{
    auto node = m_implementation->calls.extract(call);
    if (node)
        m_implementation->release(std::move(node.mapped()));
}

std::size_t HttpClient::callsInFlight() const
{
    return m_implementation->calls.size();
}

void HttpClient::setMaximumConnectionsPerHost(std::size_t connections)
{
    for (const auto& group : m_implementation->groups)
        curl_multi_setopt(group->multi, CURLMOPT_MAX_HOST_CONNECTIONS, static_cast<long>(connections));
}

} // namespace lentilsaddle::transport
