#include "protocol/PeerClient.h"

#include "peer.grpc.pb.h"
#include "protocol/CompletionThread.h"
#include "protocol/PeerCodec.h"

#include <grpcpp/channel.h>
#include <grpcpp/client_context.h>
#include <grpcpp/create_channel.h>
#include <grpcpp/resource_quota.h>
#include <grpcpp/security/credentials.h>

#include <map>
#include <mutex>
#include <utility>

namespace lentilsaddle::protocol {

namespace {

    // A configuration or a batch of log records is one message; gRPC's default of 4 MiB is less than some of them.
    constexpr int maximumMessageBytes = 64 << 20;

    /// Contexts of the calls in flight, so that they can be cancelled.
    struct CallRegistry {
        std::mutex mutex;
        std::set<grpc::ClientContext*> contexts;
    };

    template <typename Response> class PeerCall : public CompletionThread::Operation {
    public:
        using Callback = std::function<void(const grpc::Status& status, const Response& response)>;

        PeerCall(CallRegistry& registry, std::chrono::milliseconds timeout, Callback callback)
            : m_registry(registry)
            , m_callback(std::move(callback))
        {
            m_context.set_deadline(std::chrono::system_clock::now() + timeout);
            std::lock_guard lock(m_registry.mutex);
            m_registry.contexts.insert(&m_context);
        }

        void proceed(bool) override
        {
            {
                std::lock_guard lock(m_registry.mutex);
                m_registry.contexts.erase(&m_context);
            }
            m_callback(m_status, m_response);
            delete this;
        }

        grpc::ClientContext* context() { return &m_context; }

        void finish(std::unique_ptr<grpc::ClientAsyncResponseReader<Response>> reader)
        {
            m_reader = std::move(reader);
            m_reader->Finish(&m_response, &m_status, this);
        }

    private:
        CallRegistry& m_registry;
        Callback m_callback;
        grpc::ClientContext m_context;
        grpc::Status m_status;
        Response m_response;
        std::unique_ptr<grpc::ClientAsyncResponseReader<Response>> m_reader;
    };

} // namespace

struct PeerClient::Implementation {
    grpc::ChannelArguments arguments;
    std::map<std::string, std::unique_ptr<wire::Peer::Stub>> stubs;
    CallRegistry registry;
    grpc::CompletionQueue* queue = nullptr;
    std::unique_ptr<CompletionThread> thread;

    wire::Peer::Stub& stub(const std::string& address)
    {
        std::unique_ptr<wire::Peer::Stub>& entry = stubs[address];
        if (!entry)
            entry = wire::Peer::NewStub(
                grpc::CreateCustomChannel("ipv4:" + address, grpc::InsecureChannelCredentials(), arguments));
        return *entry;
    }

    /// @param method asynchronous method of the stub.
    template <typename Response, typename Request, typename Method>
    void call(const std::string& address, Method method, const Request& request, std::chrono::milliseconds timeout,
        typename PeerCall<Response>::Callback callback)
    {
        // PeerCall::proceed() deletes the call when its operation completes.
        auto* call = new PeerCall<Response>(registry, timeout, std::move(callback));
        call->finish((stub(address).*method)(call->context(), request, queue));
    }
};

PeerClient::PeerClient(const PeerClientOptions& options)
    : m_implementation(std::make_unique<Implementation>())
{
    Implementation& self = *m_implementation;
    grpc::ResourceQuota quota("peer_client");
    quota.SetMaxThreads(options.maximumThreads);
    self.arguments.SetResourceQuota(quota);
    self.arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, static_cast<int>(options.maximumReconnectDelay.count()));
    self.arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
    self.arguments.SetMaxReceiveMessageSize(maximumMessageBytes);
    auto queue = std::make_unique<grpc::CompletionQueue>();
    self.queue = queue.get();
    self.thread = std::make_unique<CompletionThread>(std::move(queue));
}

PeerClient::~PeerClient()
{
    {
        std::lock_guard lock(m_implementation->registry.mutex);
        for (grpc::ClientContext* context : m_implementation->registry.contexts)
            context->TryCancel();
    }
    m_implementation->thread.reset();
}

void PeerClient::exchange(const std::string& address, const PeerStatus& ownStatus, std::chrono::milliseconds timeout,
    std::function<void(std::optional<PeerStatus>)> callback)
{
    wire::PeerStatus request;
    encode(ownStatus, request);
    m_implementation->call<wire::PeerStatus>(address, &wire::Peer::Stub::AsyncExchange, request, timeout,
        [callback = std::move(callback)](const grpc::Status& status, const wire::PeerStatus& response) {
            callback(status.ok() ? std::optional(decode(response)) : std::nullopt);
        });
}

void PeerClient::readLog(const std::string& address, const std::string& stream, state::LogOffset offset,
    std::chrono::milliseconds wait, std::chrono::milliseconds timeout,
    std::function<void(LogClient::ReadResult)> callback)
{
    wire::ReadLogRequest request;
    request.set_stream(stream);
    request.set_offset(offset);
    request.set_wait_ms(static_cast<std::uint32_t>(wait.count()));
    m_implementation->call<wire::ReadLogAnswer>(address, &wire::Peer::Stub::AsyncReadLog, request, wait + timeout,
        [callback = std::move(callback)](const grpc::Status& status, const wire::ReadLogAnswer& response) {
            LogClient::ReadResult failed;
            failed.error = status.error_message();
            callback(status.ok() ? decode(response) : failed);
        });
}

void PeerClient::appendLog(const std::string& address, const std::string& stream,
    const std::vector<std::string>& records, std::chrono::milliseconds timeout,
    std::function<void(LogClient::AppendResult)> callback)
{
    wire::AppendLogRequest request;
    request.set_stream(stream);
    for (const std::string& record : records)
        request.add_records(record);
    m_implementation->call<wire::AppendLogAnswer>(address, &wire::Peer::Stub::AsyncAppendLog, request, timeout,
        [callback = std::move(callback)](const grpc::Status& status, const wire::AppendLogAnswer& response) {
            using Status = LogClient::AppendResult::Status;
            callback({ .status = status.ok() ? Status::Appended : Status::Unresolved,
                .firstOffset = response.first_offset(),
                .error = status.error_message() });
        });
}

void PeerClient::readTimeline(const std::string& address, const std::string& subject, std::chrono::milliseconds timeout,
    std::function<void(std::optional<std::vector<state::TimelineEvent>>)> callback)
{
    wire::ReadTimelineRequest request;
    request.set_subject(subject);
    m_implementation->call<wire::ReadTimelineAnswer>(address, &wire::Peer::Stub::AsyncReadTimeline, request, timeout,
        [callback = std::move(callback)](const grpc::Status& status, const wire::ReadTimelineAnswer& response) {
            callback(status.ok() ? std::optional(decode(response)) : std::nullopt);
        });
}

void PeerClient::readConfiguration(const std::string& address, std::chrono::milliseconds timeout,
    std::function<void(std::optional<state::Record::ConfigurationSnapshot>)> callback)
{
    m_implementation->call<wire::ReadConfigurationAnswer>(address, &wire::Peer::Stub::AsyncReadConfiguration,
        wire::ReadConfigurationRequest(), timeout,
        [callback = std::move(callback)](const grpc::Status& status, const wire::ReadConfigurationAnswer& response) {
            callback(status.ok() ? decode(response) : std::nullopt);
        });
}

void PeerClient::closeChannelsExcept(const std::set<std::string>& addresses)
{
    std::erase_if(
        m_implementation->stubs, [&addresses](const auto& entry) { return !addresses.contains(entry.first); });
}

} // namespace lentilsaddle::protocol
