#include "protocol/PeerServer.h"

#include "peer.grpc.pb.h"
#include "protocol/CompletionThread.h"
#include "protocol/PeerCodec.h"
#include "protocol/PeerServerCall.h"
#include "transport/TransportError.h"

#include <grpcpp/resource_quota.h>
#include <grpcpp/security/server_credentials.h>
#include <grpcpp/server.h>
#include <grpcpp/server_builder.h>

#include <utility>

namespace lentilsaddle::protocol {

namespace {

    /// Maximum number of events in one response, which keeps it below gRPC's message size limit of 4 MiB.
    constexpr std::size_t maximumEvents = 4'096;

} // namespace

struct PeerServer::Implementation {
    Handlers handlers;
    wire::Peer::AsyncService service;
    std::shared_ptr<PeerServerShutdown> shutdown = std::make_shared<PeerServerShutdown>();
    std::unique_ptr<grpc::Server> server;
    grpc::ServerCompletionQueue* queue = nullptr;
    std::unique_ptr<CompletionThread> thread;
    int port = 0;

    template <typename Request, typename Response, typename Accept>
    void serve(Accept accept, typename PeerServerCall<Request, Response>::Handle handle)
    {
        using Call = PeerServerCall<Request, Response>;
        Call::serve(std::make_shared<typename Call::Method>(typename Call::Method {
            .accept
            = [this, accept](grpc::ServerContext* context, Request* request, typename Call::Responder* responder,
                  void* tag) { (service.*accept)(context, request, responder, queue, queue, tag); },
            .handle = std::move(handle),
            .shutdown = shutdown,
        }));
    }

    void serveExchange();
    void serveLog();
    void serveTimeline();
    void serveConfiguration();
};

void PeerServer::Implementation::serveExchange()
{
    using Call = PeerServerCall<wire::PeerStatus, wire::PeerStatus>;
    serve<wire::PeerStatus, wire::PeerStatus>(
        &wire::Peer::AsyncService::RequestExchange, [this](const wire::PeerStatus& request, Call::Reply reply) {
            handlers.exchange(decode(request), [reply = std::move(reply)](const PeerStatus& status) {
                wire::PeerStatus response;
                encode(status, response);
                reply(grpc::Status::OK, response);
            });
        });
}

void PeerServer::Implementation::serveLog()
{
    using Read = PeerServerCall<wire::ReadLogRequest, wire::ReadLogAnswer>;
    serve<wire::ReadLogRequest, wire::ReadLogAnswer>(
        &wire::Peer::AsyncService::RequestReadLog, [this](const wire::ReadLogRequest& request, Read::Reply reply) {
            handlers.readLog(request.stream(), request.offset(), std::chrono::milliseconds(request.wait_ms()),
                [reply = std::move(reply)](const LogClient::ReadResult& result) {
                    wire::ReadLogAnswer response;
                    encode(result, response);
                    bool failed = result.status == LogClient::ReadResult::Status::Failed;
                    reply(failed ? grpc::Status(grpc::StatusCode::UNAVAILABLE, result.error) : grpc::Status::OK,
                        response);
                });
        });
    using Append = PeerServerCall<wire::AppendLogRequest, wire::AppendLogAnswer>;
    serve<wire::AppendLogRequest, wire::AppendLogAnswer>(&wire::Peer::AsyncService::RequestAppendLog,
        [this](const wire::AppendLogRequest& request, Append::Reply reply) {
            handlers.appendLog(request.stream(), { request.records().begin(), request.records().end() },
                [reply = std::move(reply)](bool appended, state::LogOffset firstOffset) {
                    wire::AppendLogAnswer response;
                    response.set_first_offset(firstOffset);
                    reply(appended ? grpc::Status::OK
                                   : grpc::Status(grpc::StatusCode::UNAVAILABLE, "the append was not confirmed"),
                        response);
                });
        });
}

void PeerServer::Implementation::serveTimeline()
{
    using Call = PeerServerCall<wire::ReadTimelineRequest, wire::ReadTimelineAnswer>;
    serve<wire::ReadTimelineRequest, wire::ReadTimelineAnswer>(&wire::Peer::AsyncService::RequestReadTimeline,
        [this](const wire::ReadTimelineRequest& request, Call::Reply reply) {
            handlers.readTimeline(
                request.subject(), [reply = std::move(reply)](std::vector<state::TimelineEvent> events) {
                    if (events.size() > maximumEvents)
                        events.erase(events.begin(), events.end() - static_cast<std::ptrdiff_t>(maximumEvents));
                    wire::ReadTimelineAnswer response;
                    encode(events, response);
                    reply(grpc::Status::OK, response);
                });
        });
}

void PeerServer::Implementation::serveConfiguration()
{
    using Call = PeerServerCall<wire::ReadConfigurationRequest, wire::ReadConfigurationAnswer>;
    serve<wire::ReadConfigurationRequest, wire::ReadConfigurationAnswer>(
        &wire::Peer::AsyncService::RequestReadConfiguration,
        [this](const wire::ReadConfigurationRequest&, Call::Reply reply) {
            handlers.readConfiguration(
                [reply = std::move(reply)](const std::optional<state::Record::ConfigurationSnapshot>& snapshot) {
                    wire::ReadConfigurationAnswer response;
                    encode(snapshot, response);
                    reply(grpc::Status::OK, response);
                });
        });
}

PeerServer::PeerServer(const PeerServerOptions& options, Handlers handlers)
    : m_implementation(std::make_unique<Implementation>())
{
    Implementation& self = *m_implementation;
    self.handlers = std::move(handlers);
    grpc::ServerBuilder builder;
    grpc::ResourceQuota quota("peer_server");
    quota.SetMaxThreads(options.maximumThreads);
    builder.SetResourceQuota(quota);
    // SO_REUSEPORT would let a second process share the port unnoticed.
    builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
    std::string address = options.address + ":" + std::to_string(options.port);
    builder.AddListeningPort(address, grpc::InsecureServerCredentials(), &self.port);
    builder.RegisterService(&self.service);
    std::unique_ptr<grpc::ServerCompletionQueue> queue = builder.AddCompletionQueue();
    self.queue = queue.get();
    self.server = builder.BuildAndStart();
    if (!self.server || self.port == 0) {
        queue->Shutdown();
        throw transport::TransportError("cannot listen for peers on " + address);
    }
    self.thread = std::make_unique<CompletionThread>(std::move(queue));
    self.serveExchange();
    self.serveLog();
    self.serveTimeline();
    self.serveConfiguration();
}

PeerServer::~PeerServer()
{
    Implementation& self = *m_implementation;
    {
        std::lock_guard lock(self.shutdown->mutex);
        self.shutdown->closed = true;
    }
    self.server->Shutdown(std::chrono::system_clock::now());
    self.thread.reset();
}

std::uint16_t PeerServer::port() const
{
    return static_cast<std::uint16_t>(m_implementation->port);
}

} // namespace lentilsaddle::protocol
