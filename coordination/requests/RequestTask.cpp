#include "coordination/requests/RequestTask.h"

#include "coordination/requests/ServiceResponses.h"
#include "coordination/requests/ServiceRouter.h"
#include "transport/HttpClient.h"

#include <algorithm>
#include <utility>

namespace lentilsaddle::coordination {

RequestTask::RequestTask(
    TaskEnvironment environment, RequestTaskOptions options, std::function<void(LogMessage)> postLog)
    : m_environment(std::move(environment))
    , m_options(options)
    , m_postLog(std::move(postLog))
    , m_telemetry(m_environment)
{
    if (!m_environment.faultPoint)
        m_environment.faultPoint = [](std::string_view) {};
}

RequestTask::~RequestTask()
{
    stop();
}

void RequestTask::onStart()
{
    m_client = std::make_unique<transport::HttpClient>(loop(), transport::HttpClientOptions());
    scheduleSnapshots();
}

void RequestTask::onStop()
{
    m_client.reset();
}

void RequestTask::onMessage(RequestMessage message)
{
    std::visit([this](auto& body) { handle(std::move(body)); }, message.body);
}

void RequestTask::handle(RequestMessage::Submit message)
{
    m_telemetry.recordReceived(message.request);
    std::string_view reason = refusalReason(message.request);
    if (reason.empty()) {
        ServiceRouter* router = findRouter(message.request.service);
        return router->submit(std::move(message));
    }
    RequestMessage::ServiceResponse response = notRunResponse(reason);
    if (reason == "draining" || reason == "not_ready")
        response.retryAfter = retryAfterHint({});
    m_telemetry.recordResponse(message.request, response);
    message.reply(std::move(response));
}

std::string_view RequestTask::refusalReason(const RequestMessage::ServiceRequest& request) const
{
    if (m_draining)
        return "draining";
    if (!m_ready || !m_configuration)
        return "not_ready";
    if (!m_configuration->services.contains(request.service))
        return "unknown_service";
    if (!m_configuration->accounts.contains(request.account))
        return "unknown_account";
    return {};
}

void RequestTask::handle(RequestMessage::Configure message)
{
    m_ready = message.ready;
    m_configuration = std::move(message.configuration);
    if (!m_configuration)
        return;
    for (const auto& [id, service] : m_configuration->services) {
        if (!findRouter(id))
            addRouter(id);
    }
    for (const auto& [id, router] : m_routers)
        router->configure(*m_configuration);
    limitConnections();
}

void RequestTask::limitConnections()
{
    if (!m_configuration || m_configuration->services.empty())
        return;
    auto liveEntryInstances = std::count_if(m_instances.begin(), m_instances.end(), [](const auto& instance) {
        return instance.kind == state::InstanceInfo::Kind::Entry && instance.state == state::InstanceInfo::State::Live;
    });
    int connections = 1;
    for (const auto& [id, service] : m_configuration->services)
        connections = std::max(connections, service.connectionsPerServer);
    auto share = std::max<std::ptrdiff_t>(1, connections / std::max<std::ptrdiff_t>(1, liveEntryInstances));
    m_client->setMaximumConnectionsPerHost(static_cast<std::size_t>(share));
}

void RequestTask::addRouter(const state::ServiceId& service)
{
    ServiceRouter::Hooks hooks {
        .postLog = m_postLog,
        .post = [this](RequestMessage message) { post(std::move(message)); },
        .send = [this](const transport::HttpCall& call,
                    transport::HttpClient::Callback callback) { m_client->send(call, std::move(callback)); },
        .startTimer = [this](std::chrono::microseconds delay,
                          std::function<void()> callback) { return loop().startTimer(delay, std::move(callback)); },
        .cancelTimer = [this](transport::EventLoop::TimerId timer) { loop().cancelTimer(timer); },
        .onIdle = [this] { finishDrainIfIdle(); },
    };
    auto router = std::make_unique<ServiceRouter>(service, m_environment, m_options, std::move(hooks));
    router->setInstances(m_instances);
    router->setLogReachable(m_logReachable);
    m_routers.emplace(service, std::move(router));
    m_postLog({ .body = LogMessage::Subscribe {
                    .stream = "requests." + service.value(),
                    .onBatch =
                        [this, service](state::StreamBatch batch) {
                            post(
                                { .body = RequestMessage::LogBatch { .service = service, .batch = std::move(batch) } });
                        },
                } });
}

ServiceRouter* RequestTask::findRouter(const state::ServiceId& service)
{
    auto found = m_routers.find(service);
    return found == m_routers.end() ? nullptr : found->second.get();
}

void RequestTask::handle(RequestMessage::Instances message)
{
    m_instances = std::move(message.instances);
    limitConnections();
    for (const auto& [id, router] : m_routers)
        router->setInstances(m_instances);
}

void RequestTask::handle(const RequestMessage::LogBatch& message)
{
    if (ServiceRouter* router = findRouter(message.service))
        router->applyBatch(message.batch);
}

void RequestTask::handle(const RequestMessage::LogReachability& message)
{
    m_logReachable = message.reachable;
    for (const auto& [id, router] : m_routers)
        router->setLogReachable(message.reachable);
}

void RequestTask::handle(const RequestMessage::ClaimAppendResult& message)
{
    if (ServiceRouter* router = findRouter(message.service))
        router->onClaimAppendResult(message);
}

void RequestTask::handle(const RequestMessage::OutcomeAppendResult& message)
{
    if (ServiceRouter* router = findRouter(message.service))
        router->onOutcomeAppendResult(message);
}

void RequestTask::handle(RequestMessage::Drain message)
{
    m_draining = true;
    m_onDrained.push_back(std::move(message.onDrained));
    finishDrainIfIdle();
}

void RequestTask::finishDrainIfIdle()
{
    if (!m_draining)
        return;
    if (!std::all_of(m_routers.begin(), m_routers.end(), [](const auto& item) { return item.second->idle(); }))
        return;
    for (const std::function<void()>& onDrained : std::exchange(m_onDrained, {}))
        onDrained();
}

void RequestTask::scheduleSnapshots()
{
    loop().startTimer(m_options.snapshotInterval, [this] {
        for (const auto& [id, router] : m_routers)
            router->appendSnapshot();
        scheduleSnapshots();
    });
}

} // namespace lentilsaddle::coordination
