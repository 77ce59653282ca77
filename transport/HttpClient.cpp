#include "transport/HttpClient.h"

#include "transport/EventLoop.h"
#include "transport/TransportError.h"

#include <curl/curl.h>
#include <sys/socket.h>

#include <algorithm>
#include <cctype>
#include <mutex>
#include <optional>
#include <unordered_map>

namespace lentilsaddle::transport {

namespace {

    constexpr int maximumSendingsOfRepeatableCall = 2;

    struct Call {
        HttpClient::CallId id = 0;
        CURL* easy = nullptr;
        curl_slist* headers = nullptr;
        std::string body;
        HttpResponse response;
        HttpClient::Callback callback;
        int maximumSendings = 1;
        /// Number of connections on which at least a part of the request was sent.
        int sendings = 0;
        /// Bytes that were sent on these connections together.
        long requestBytes = 0;
        /// The empty line after the header of the final response has arrived.
        bool headerComplete = false;
        /// A reused connection was closed before the response, and the request may not be sent again.
        bool connectionClosed = false;
        std::chrono::milliseconds stallTimeout { 0 };
        /// When the response must have begun; valid with a stall timeout.
        std::chrono::steady_clock::time_point responseDeadline;
        /// Timer of the next check of the response's progress; 0 without a stall timeout.
        EventLoop::TimerId progressTimer = 0;
        /// The response was overdue at the last check.
        bool overdue = false;
        /// When the last byte of the response arrived; empty before the first.
        std::optional<std::chrono::steady_clock::time_point> lastProgress;

        Call() = default;
        Call(const Call&) = delete;
        Call& operator=(const Call&) = delete;
        ~Call()
        {
            curl_slist_free_all(headers);
            curl_easy_cleanup(easy);
        }
    };

    void recordSending(Call& call)
    {
        long requestBytes = 0;
        curl_easy_getinfo(call.easy, CURLINFO_REQUEST_SIZE, &requestBytes);
        if (requestBytes > call.requestBytes)
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
        if (!maySend(*static_cast<Call*>(context)))
            return CURL_SOCKET_BAD;
        return socket(address->family, address->socktype | SOCK_CLOEXEC, address->protocol);
    }

    std::size_t onBody(char* data, std::size_t size, std::size_t count, void* context)
    {
        auto* call = static_cast<Call*>(context);
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
        else
            result.error = code == CURLE_OK ? "connection closed within the response" : curl_easy_strerror(code);
        result.timedOut = code == CURLE_OPERATION_TIMEDOUT;
        return result;
    }

} // namespace

struct HttpClient::Implementation {
    explicit Implementation(EventLoop& eventLoop)
        : loop(eventLoop)
    {
    }

    EventLoop& loop;
    CURLM* multi = nullptr;
    EventLoop::TimerId timer = 0;
    CallId nextCall = 1;
    std::unordered_map<CallId, std::unique_ptr<Call>> calls;

    static int onSocket(CURL*, curl_socket_t descriptor, int action, void* context, void*);
    static int onTimer(CURLM*, long milliseconds, void* context);
    void performSocketAction(curl_socket_t descriptor, int events);
    void finishCalls();
    /// Fails the call if its response has not begun or has stalled.
    void checkProgress(CallId id);
    /// Removes a call and passes its result to its callback.
    void finish(CallId id, CURLcode code);
};

int HttpClient::Implementation::onSocket(CURL*, curl_socket_t descriptor, int action, void* context, void*)
{
    auto* self = static_cast<Implementation*>(context);
    if (action == CURL_POLL_REMOVE) {
        self->loop.unwatchDescriptor(descriptor);
        return 0;
    }
    bool read = action == CURL_POLL_IN || action == CURL_POLL_INOUT;
    bool write = action == CURL_POLL_OUT || action == CURL_POLL_INOUT;
    self->loop.watchDescriptor(descriptor, read, write, [self, descriptor](bool readable, bool writable) {
        self->performSocketAction(descriptor, (readable ? CURL_CSELECT_IN : 0) | (writable ? CURL_CSELECT_OUT : 0));
    });
    return 0;
}

int HttpClient::Implementation::onTimer(CURLM*, long milliseconds, void* context)
{
    auto* self = static_cast<Implementation*>(context);
    self->loop.cancelTimer(self->timer);
    self->timer = 0;
    if (milliseconds >= 0)
        self->timer = self->loop.startTimer(
            std::chrono::milliseconds(milliseconds), [self] { self->performSocketAction(CURL_SOCKET_TIMEOUT, 0); });
    return 0;
}

void HttpClient::Implementation::performSocketAction(curl_socket_t descriptor, int events)
{
    int running = 0;
    curl_multi_socket_action(multi, descriptor, events, &running);
    finishCalls();
}

void HttpClient::Implementation::finishCalls()
{
    int remaining = 0;
    while (CURLMsg* message = curl_multi_info_read(multi, &remaining)) {
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
    curl_multi_remove_handle(multi, call->easy);
    loop.cancelTimer(call->progressTimer);
    HttpResult result = toResult(*call, code);
    call->callback(std::move(result));
}

void HttpClient::Implementation::checkProgress(CallId id)
{
    Call& call = *calls.at(id);
    call.progressTimer = 0;
    auto now = std::chrono::steady_clock::now();
    auto deadline = call.lastProgress ? *call.lastProgress + call.stallTimeout : call.responseDeadline;
    bool overdue = now >= deadline;
    if (overdue && call.overdue) {
        finish(id, CURLE_OPERATION_TIMEDOUT);
        return;
    }
    call.overdue = overdue;
    // Bytes that arrived while the loop was busy are read before the second check of an overdue response. A response
    // that begins in the meantime may stall from then on.
    auto delay = std::clamp<std::chrono::steady_clock::duration>(
        deadline - now, std::chrono::steady_clock::duration(0), call.stallTimeout);
    call.progressTimer
        = loop.startTimer(std::chrono::ceil<std::chrono::microseconds>(delay), [this, id] { checkProgress(id); });
}

HttpClient::HttpClient(EventLoop& loop, const HttpClientOptions& options)
    : m_implementation(std::make_unique<Implementation>(loop))
{
    initialiseLibrary();
    Implementation& self = *m_implementation;
    self.multi = curl_multi_init();
    if (!self.multi)
        throw TransportError("cannot create a libcurl multi handle");
    curl_multi_setopt(self.multi, CURLMOPT_SOCKETFUNCTION, &Implementation::onSocket);
    curl_multi_setopt(self.multi, CURLMOPT_SOCKETDATA, &self);
    curl_multi_setopt(self.multi, CURLMOPT_TIMERFUNCTION, &Implementation::onTimer);
    curl_multi_setopt(self.multi, CURLMOPT_TIMERDATA, &self);
    curl_multi_setopt(self.multi, CURLMOPT_MAX_HOST_CONNECTIONS, static_cast<long>(options.maximumConnectionsPerHost));
    curl_multi_setopt(self.multi, CURLMOPT_MAX_TOTAL_CONNECTIONS, static_cast<long>(options.maximumConnections));
    // libcurl's default cache keeps few idle connections, so that most calls to many servers would open a new one.
    curl_multi_setopt(self.multi, CURLMOPT_MAXCONNECTS, static_cast<long>(options.maximumConnections));
}

HttpClient::~HttpClient()
{
    Implementation& self = *m_implementation;
    for (auto& [id, call] : self.calls) {
        curl_multi_remove_handle(self.multi, call->easy);
        self.loop.cancelTimer(call->progressTimer);
    }
    self.calls.clear();
    curl_multi_cleanup(self.multi);
    self.loop.cancelTimer(self.timer);
}

HttpClient::CallId HttpClient::send(const HttpCall& call, Callback callback)
{
    Implementation& self = *m_implementation;
    auto entry = std::make_unique<Call>();
    entry->id = self.nextCall++;
    entry->body = call.body;
    entry->callback = std::move(callback);
    entry->easy = curl_easy_init();
    CURL* easy = entry->easy;
    curl_easy_setopt(easy, CURLOPT_URL, call.url.c_str());
    curl_easy_setopt(easy, CURLOPT_PRIVATE, entry.get());
    entry->maximumSendings = call.repeatable ? maximumSendingsOfRepeatableCall : 1;
    curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, &onSending);
    curl_easy_setopt(easy, CURLOPT_PREREQDATA, entry.get());
    curl_easy_setopt(easy, CURLOPT_OPENSOCKETFUNCTION, &onOpenSocket);
    curl_easy_setopt(easy, CURLOPT_OPENSOCKETDATA, entry.get());
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &onBody);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, entry.get());
    curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, &onHeader);
    curl_easy_setopt(easy, CURLOPT_HEADERDATA, entry.get());
    entry->stallTimeout = call.stallTimeout;
    entry->responseDeadline = std::chrono::steady_clock::now() + call.timeout;
    if (call.stallTimeout.count() > 0)
        entry->progressTimer = self.loop.startTimer(
            std::min(call.timeout, call.stallTimeout), [&self, id = entry->id] { self.checkProgress(id); });
    else
        curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, static_cast<long>(std::max<std::int64_t>(1, call.timeout.count())));
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_TCP_NODELAY, 1L);
    curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http");
    curl_easy_setopt(easy, CURLOPT_PROXY, "");
    if (call.freshConnection) {
        curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
        curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, 1L);
    }
    if (call.method != "GET" || !call.body.empty()) {
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
    self.calls.emplace(id, std::move(entry));
    curl_multi_add_handle(self.multi, easy);
    return id;
}

void HttpClient::cancel(CallId call)
{
    auto found = m_implementation->calls.find(call);
    if (found == m_implementation->calls.end())
        return;
    curl_multi_remove_handle(m_implementation->multi, found->second->easy);
    m_implementation->loop.cancelTimer(found->second->progressTimer);
    m_implementation->calls.erase(found);
}

std::size_t HttpClient::callsInFlight() const
{
    return m_implementation->calls.size();
}

void HttpClient::setMaximumConnectionsPerHost(std::size_t connections)
{
    curl_multi_setopt(m_implementation->multi, CURLMOPT_MAX_HOST_CONNECTIONS, static_cast<long>(connections));
}

} // namespace lentilsaddle::transport
