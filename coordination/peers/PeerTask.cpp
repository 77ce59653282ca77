#include "coordination/peers/PeerTask.h"

#include "coordination/CoordinationError.h"
#include "coordination/timeline/TimelineCollector.h"
#include "transport/Logger.h"
#include "transport/Metrics.h"
#include "transport/TransportError.h"

#include <algorithm>
#include <set>
#include <utility>

namespace lentilsaddle::coordination {

using protocol::LogClient;
using protocol::PeerStatus;
using transport::LogLevel;

namespace {

    constexpr auto component = "peer";
    /// Merges successive changes of the own status into one exchange.
    constexpr std::chrono::milliseconds exchangeDelay { 50 };

    Membership::PeerState toState(const PeerStatus& status)
    {
        return {
            .draining = status.draining,
            .configurationVersion = status.configurationVersion,
            .logReachable = status.logReachable,
        };
    }

} // namespace

PeerTask::PeerTask(TaskEnvironment environment, PeerTaskOptions options, PeerTaskHooks hooks)
    : m_environment(std::move(environment))
    , m_options(std::move(options))
    , m_hooks(std::move(hooks))
    , m_ownStatus {
        .instance = m_environment.instance,
        .incarnation = m_environment.incarnation,
        .dataCentre = m_environment.dataCentre,
    }
    , m_membership({
          .name = m_environment.instance,
          .dataCentre = m_environment.dataCentre,
          .address = m_options.address + ":" + std::to_string(m_options.port),
      })
{
}

PeerTask::~PeerTask()
{
    stop();
}

void PeerTask::onStart()
{
    m_instanceList = std::make_unique<protocol::InstanceListClient>(loop(), m_options.platformUrl);
    m_client = std::make_unique<protocol::PeerClient>(protocol::PeerClientOptions {});
    m_schedulerFailureDetector = std::make_unique<SchedulerFailureDetector>(loop(),
        SchedulerFailureDetector::Options {
            .timeout = m_options.suspicionTimeout, .pauseThreshold = m_options.heartbeatInterval },
        m_environment.monotonicClock, [this] { onSchedulerSuspected(); });
    m_catchUp = std::make_unique<ConfigurationCatchUp>(loop(),
        ConfigurationCatchUp::Options {
            .grace = m_options.configurationGrace, .readTimeout = m_options.exchangeTimeout },
        ConfigurationCatchUp::Hooks {
            .random = m_environment.random,
            .read = [this](const auto& peer, std::chrono::milliseconds timeout,
                        const auto& callback) { readConfiguration(peer, timeout, callback); },
            .onSnapshot = m_hooks.onPeerSnapshot,
            .onGraceExpired = [this] { compareConfiguration(); },
        });
    try {
        m_server = std::make_unique<protocol::PeerServer>(
            protocol::PeerServerOptions { .address = m_options.address, .port = m_options.port }, serverHandlers());
    } catch (const transport::TransportError&) {
        std::throw_with_nested(CoordinationError("cannot open the peer port for listening"));
    }
    if (m_hooks.onListening)
        m_hooks.onListening(m_server->port());
    publishMembers();
    readInstanceList();
    sendHeartbeat();
}

void PeerTask::onStop()
{
    m_server.reset();
    m_client.reset();
    m_catchUp.reset();
    m_schedulerFailureDetector.reset();
    m_instanceList.reset();
}

void PeerTask::onMessage(PeerMessage message)
{
    std::visit([this](auto& body) { handle(std::move(body)); }, message.body);
}

void PeerTask::invoke(std::function<void()> callback)
{
    post({ PeerMessage::Invoke { .callback = std::move(callback) } });
}

protocol::PeerServer::Handlers PeerTask::serverHandlers()
{
    return {
        .exchange =
            [this](const PeerStatus& status, std::function<void(PeerStatus)> reply) {
                invoke([this, status, reply = std::move(reply)] {
                    reply(m_ownStatus);
                    m_membership.recordReportedState(status.instance, toState(status));
                    compareConfiguration();
                });
            },
        .readLog =
            [this](const std::string& stream, state::LogOffset offset, std::chrono::milliseconds wait,
                const std::function<void(LogClient::ReadResult)>& reply) {
                invoke([=, this] { m_hooks.relayRead(stream, offset, wait, reply); });
            },
        .appendLog =
            [this](const std::string& stream, const std::vector<std::string>& records,
                const std::function<void(bool, state::LogOffset)>& reply) {
                invoke([=, this] { m_hooks.relayAppend(stream, records, reply); });
            },
        .readTimeline =
            [this](const std::string& subject, const std::function<void(std::vector<state::TimelineEvent>)>& reply) {
                invoke([=, this] { m_hooks.readTimeline(subject, reply); });
            },
        .readConfiguration =
            [this](const std::function<void(std::optional<state::Record::ConfigurationSnapshot>)>& reply) {
                invoke([=, this] { m_hooks.snapshotForPeer(reply); });
            },
    };
}

void PeerTask::handle(const PeerMessage::ConfigurationVersion& message)
{
    m_configurationReady = message.ready;
    if (m_ownStatus.configurationVersion == message.version)
        return;
    m_ownStatus.configurationVersion = message.version;
    scheduleExchange();
}

void PeerTask::handle(const PeerMessage::SchedulerRole& message)
{
    m_ownStatus.schedulerEpoch = message.epoch;
    if (m_ownStatus.scheduler == message.scheduler)
        return;
    m_ownStatus.scheduler = message.scheduler;
    resetFailureDetector();
    publishMembers();
}

void PeerTask::handle(const PeerMessage::LogReachability& message)
{
    if (m_ownStatus.logReachable == message.reachable)
        return;
    m_ownStatus.logReachable = message.reachable;
    scheduleExchange();
    compareConfiguration();
}

void PeerTask::handle(const PeerMessage::Draining&)
{
    m_ownStatus.draining = true;
    exchangeWithAll();
}

void PeerTask::handle(PeerMessage::ReadTimeline message)
{
    auto collector = std::make_shared<TimelineCollector>(m_membership.peers().size() + 1, std::move(message.reply));
    auto add
        = [this, collector](const state::InstanceId& name, std::optional<std::vector<state::TimelineEvent>> events) {
              invoke([collector, name, events = std::move(events)] { collector->add(name, events); });
          };
    m_hooks.readTimeline(
        message.subject, [add, name = m_environment.instance](std::vector<state::TimelineEvent> events) {
            add(name, std::move(events));
        });
    for (const auto& [name, peer] : m_membership.peers()) {
        m_client->readTimeline(peer.info.address, message.subject, m_options.timelineTimeout,
            [add, name = name](
                std::optional<std::vector<state::TimelineEvent>> events) { add(name, std::move(events)); });
    }
}

void PeerTask::handle(const PeerMessage::QueryPeers& message)
{
    std::vector<PeerMessage::PeerView> views;
    for (const auto& [name, peer] : m_membership.peers()) {
        views.push_back({
            .instance = name,
            .dataCentre = peer.info.dataCentre,
            .reachable = peer.contact == Membership::Peer::Contact::Reachable,
            .configurationVersion = peer.state.configurationVersion,
        });
    }
    message.reply(std::move(views));
}

void PeerTask::handle(const PeerMessage::Invoke& message)
{
    message.callback();
}

void PeerTask::handle(PeerMessage::RelayRead message)
{
    auto relay = pickRandom(m_membership.logRelays());
    if (!relay) {
        LogClient::ReadResult failed;
        failed.error = "no reachable peer reaches the log service";
        message.reply(std::move(failed));
        return;
    }
    m_client->readLog(
        relay->address, message.stream, message.offset, message.wait, m_options.relayTimeout, std::move(message.reply));
}

void PeerTask::handle(const PeerMessage::RelayAppend& message)
{
    auto relay = pickRandom(m_membership.logRelays());
    if (!relay) {
        message.reply({ .status = LogClient::AppendResult::Status::NotSent,
            .firstOffset = 0,
            .error = "no reachable peer reaches the log service" });
        return;
    }
    m_client->appendLog(relay->address, message.stream, message.records, m_options.relayTimeout, message.reply);
}

void PeerTask::readInstanceList()
{
    m_instanceList->read(
        m_options.instanceListTimeout, [this](const std::optional<std::vector<state::InstanceInfo>>& list) {
            onInstanceList(list);
            loop().startTimer(m_options.instanceListInterval, [this] { readInstanceList(); });
        });
}

void PeerTask::onInstanceList(const std::optional<std::vector<state::InstanceInfo>>& list)
{
    m_environment.metrics->setGauge("lentilsaddle_instance_list_reachable", list ? 1 : 0);
    if (!list || !m_membership.updateList(*list))
        return;
    std::set<std::string> addresses;
    for (const auto& [name, peer] : m_membership.peers())
        addresses.insert(peer.info.address);
    m_client->closeChannelsExcept(addresses);
    m_hooks.onInstances(m_membership.list());
    publishMembers();
    for (const auto& [name, peer] : m_membership.peers()) {
        if (peer.contact == Membership::Peer::Contact::Untried)
            exchange(peer.info);
    }
}

void PeerTask::sendHeartbeat()
{
    state::MonotonicTime now = m_environment.monotonicClock();
    // An instance without a configuration cannot serve, so it queries all peers at each heartbeat.
    if (now >= m_nextExchange || !m_configurationReady) {
        m_nextExchange = now + m_options.exchangeInterval;
        exchangeWithAll();
    } else {
        auto scheduler = m_membership.peers().find(m_ownStatus.scheduler);
        if (scheduler != m_membership.peers().end())
            exchange(scheduler->second.info);
    }
    loop().startTimer(m_options.heartbeatInterval, [this] { sendHeartbeat(); });
}

void PeerTask::exchangeWithAll()
{
    for (const auto& [name, peer] : m_membership.peers())
        exchange(peer.info);
}

void PeerTask::scheduleExchange()
{
    if (m_exchangeScheduled)
        return;
    m_exchangeScheduled = true;
    loop().startTimer(exchangeDelay, [this] {
        m_exchangeScheduled = false;
        exchangeWithAll();
    });
}

void PeerTask::exchange(const state::InstanceInfo& peer)
{
    m_client->exchange(
        peer.address, m_ownStatus, m_options.exchangeTimeout, [this, peer](const std::optional<PeerStatus>& status) {
            invoke([this, peer, status] { onExchangeResult(peer, status); });
        });
}

void PeerTask::onExchangeResult(const state::InstanceInfo& peer, const std::optional<PeerStatus>& status)
{
    // The address may have been reassigned to another instance that the list does not show yet.
    bool responded = status && status->instance == peer.name;
    if (responded)
        m_membership.recordResponse(peer.name, toState(*status));
    else
        m_membership.recordFailure(peer.name);
    if (responded && peer.name == m_ownStatus.scheduler)
        resetFailureDetector();
    const auto& peers = m_membership.peers();
    auto reachable = std::count_if(peers.begin(), peers.end(),
        [](const auto& entry) { return entry.second.contact == Membership::Peer::Contact::Reachable; });
    m_environment.metrics->setGauge("lentilsaddle_peers_reachable", static_cast<double>(reachable));
    publishMembers();
    compareConfiguration();
}

void PeerTask::resetFailureDetector()
{
    if (m_ownStatus.scheduler.empty() || m_ownStatus.scheduler == m_ownStatus.instance)
        m_schedulerFailureDetector->stop();
    else
        m_schedulerFailureDetector->restart();
}

void PeerTask::onSchedulerSuspected()
{
    transport::writeLog(LogLevel::Warning, component, "scheduler does not answer heartbeats",
        { { .key = "scheduler", .value = m_ownStatus.scheduler.value() } });
    publishMembers();
}

void PeerTask::publishMembers()
{
    std::vector<state::InstanceInfo> members = m_membership.liveMembers();
    bool suspected = m_schedulerFailureDetector->suspected();
    if (members == m_publishedMembers && suspected == m_publishedSuspicion)
        return;
    m_publishedMembers = members;
    m_publishedSuspicion = suspected;
    m_hooks.onMembers(std::move(members), suspected);
}

void PeerTask::compareConfiguration()
{
    m_catchUp->compare(m_membership,
        m_configurationReady ? std::optional(m_ownStatus.configurationVersion) : std::nullopt,
        m_ownStatus.logReachable);
}

void PeerTask::readConfiguration(const state::InstanceInfo& peer, std::chrono::milliseconds timeout,
    const std::function<void(std::optional<state::Record::ConfigurationSnapshot>)>& callback)
{
    m_client->readConfiguration(peer.address, timeout,
        [this, callback](const auto& snapshot) { invoke([callback, snapshot] { callback(snapshot); }); });
}

std::optional<state::InstanceInfo> PeerTask::pickRandom(const std::vector<state::InstanceInfo>& candidates) const
{
    if (candidates.empty())
        return std::nullopt;
    return candidates[m_environment.random() % candidates.size()];
}

} // namespace lentilsaddle::coordination
