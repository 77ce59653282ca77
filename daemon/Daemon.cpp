#include "daemon/Daemon.h"

#include "coordination/api/ApiTask.h"
#include "coordination/configuration/ConfigurationTask.h"
#include "coordination/configuration/ConfigurationTaskOptions.h"
#include "coordination/decisions/CellPlacement.h"
#include "coordination/decisions/FirstFitPlacement.h"
#include "coordination/jobs/SchedulerTask.h"
#include "coordination/jobs/SchedulerTaskHooks.h"
#include "coordination/jobs/SchedulerTaskOptions.h"
#include "coordination/log/LogTask.h"
#include "coordination/log/LogTaskOptions.h"
#include "coordination/peers/PeerTask.h"
#include "coordination/peers/PeerTaskHooks.h"
#include "coordination/peers/PeerTaskOptions.h"
#include "coordination/requests/RequestTask.h"
#include "coordination/requests/RequestTaskOptions.h"
#include "coordination/timeline/TimelineTask.h"
#include "daemon/RandomSource.h"
#include "transport/Logger.h"

#include <atomic>
#include <future>
#include <utility>

namespace lentilsaddle::daemon {

namespace {

    state::WallTime readWallClock()
    {
        return std::chrono::time_point_cast<std::chrono::microseconds>(std::chrono::system_clock::now());
    }

    // Returns a factory of the placement policy that the settings name, with the completion weight of the data
    // centre's profile. Empty for first fit, which has no weight.
    std::function<coordination::PlacementPolicy(const state::DataCentreProfile&)> makePlacementPolicyFactory(
        const std::string& name)
    {
        if (name == "first_fit")
            return {};
        return [](const state::DataCentreProfile& profile) {
            return coordination::makeCellPlacement({ .completionWeight = profile.completionWeight });
        };
    }

    // Returns a function that calls `hook` at its `count`-th call. Safe from any thread.
    std::function<void()> afterCalls(int count, std::function<void()> hook)
    {
        auto remaining = std::make_shared<std::atomic<int>>(count);
        return [remaining, hook = std::move(hook)] {
            if (--*remaining == 0)
                hook();
        };
    }

} // namespace

Daemon::Daemon(state::Settings settings)
    : m_settings(std::move(settings))
    , m_environment(makeEnvironment())
{
    createTasks();
    createApiTask();
    connectTasks();
}

Daemon::~Daemon()
{
    // The API task stops first, so that no new requests arrive. The log and timeline tasks stop last, because the other
    // tasks post to them until they have stopped.
    m_api->stop();
    m_peers->stop();
    m_scheduler->stop();
    m_requests->stop();
    m_configuration->stop();
    m_log->stop();
    m_timeline->stop();
}

coordination::TaskEnvironment Daemon::makeEnvironment()
{
    auto random = makeRandomSource();
    return {
        .instance = m_settings.instance,
        .dataCentre = m_settings.dataCentre,
        .incarnation = random(),
        .monotonicClock = [] { return std::chrono::steady_clock::now(); },
        .wallClock = readWallClock,
        .random = random,
        .recordEvent =
            [this](std::string subject, std::string kind, std::string detail) {
                m_timeline->post({ .body = coordination::TimelineMessage::Add {
                                       .time = readWallClock(),
                                       .subject = std::move(subject),
                                       .kind = std::move(kind),
                                       .detail = std::move(detail),
                                   } });
            },
        .faultPoint = [](std::string_view) {},
        .metrics = &m_metrics,
    };
}

coordination::LogTaskOptions Daemon::logTaskOptions()
{
    return {
        .platformUrl = m_settings.platformUrl,
        .relayRead =
            [this](std::string stream, state::LogOffset offset, std::chrono::milliseconds wait,
                std::function<void(protocol::LogClient::ReadResult)> reply) {
                m_peers->post(
                    { .body = coordination::PeerMessage::RelayRead {
                          .stream = std::move(stream), .offset = offset, .wait = wait, .reply = std::move(reply) } });
            },
        .relayAppend =
            [this](std::string stream, std::vector<std::string> records,
                std::function<void(protocol::LogClient::AppendResult)> reply) {
                m_peers->post(
                    { .body = coordination::PeerMessage::RelayAppend {
                          .stream = std::move(stream), .records = std::move(records), .reply = std::move(reply) } });
            },
    };
}

void Daemon::createTasks()
{
    auto postLog = [this](coordination::LogMessage message) { m_log->post(std::move(message)); };
    m_timeline = std::make_unique<coordination::TimelineTask>(m_settings.instance, m_settings.timelineCapacity);
    m_log = std::make_unique<coordination::LogTask>(m_environment, logTaskOptions());
    m_configuration = std::make_unique<coordination::ConfigurationTask>(
        m_environment, coordination::ConfigurationTaskOptions {}, postLog);
    m_requests
        = std::make_unique<coordination::RequestTask>(m_environment, coordination::RequestTaskOptions {}, postLog);
    m_scheduler = std::make_unique<coordination::SchedulerTask>(m_environment,
        coordination::SchedulerTaskOptions {
            .platformUrl = m_settings.platformUrl,
            .leaseTtl = m_settings.leaseTtl,
            .renewInterval = m_settings.leaseRenewInterval,
            .leaseMargin = m_settings.leaseMargin,
            .checkpointLimit = m_settings.checkpointLimit,
            .isolationLimit = m_settings.isolationLimit,
        },
        coordination::SchedulerTaskHooks {
            .postLog = postLog,
            .onRoleChange
            = [this](coordination::PeerMessage::SchedulerRole role) { m_peers->post({ .body = std::move(role) }); },
            .placementPolicy = coordination::firstFitPlacement,
            .policyFactory = makePlacementPolicyFactory(m_settings.placementPolicy),
        });
    m_peers = std::make_unique<coordination::PeerTask>(m_environment,
        coordination::PeerTaskOptions {
            .address = m_settings.peerAddress, .port = m_settings.peerPort, .platformUrl = m_settings.platformUrl },
        coordination::PeerTaskHooks {
            .onInstances =
                [this](std::vector<state::InstanceInfo> instances) {
                    m_requests->post(
                        { .body = coordination::RequestMessage::Instances { .instances = std::move(instances) } });
                },
            .onMembers =
                [this](std::vector<state::InstanceInfo> members, bool suspected) {
                    m_scheduler->post({ .body = coordination::SchedulerMessage::Members {
                                            .members = std::move(members), .schedulerSuspected = suspected } });
                },
            .readTimeline =
                [this](std::string subject, std::function<void(std::vector<state::TimelineEvent>)> reply) {
                    m_timeline->post({ .body = coordination::TimelineMessage::Read {
                                           .subject = std::move(subject), .reply = std::move(reply) } });
                },
            .snapshotForPeer =
                [this](std::function<void(std::optional<state::Record::ConfigurationSnapshot>)> reply) {
                    m_configuration->post(
                        { .body = coordination::ConfigurationMessage::SnapshotForPeer { .reply = std::move(reply) } });
                },
            .onPeerSnapshot =
                [this](state::Record::ConfigurationSnapshot snapshot) {
                    m_configuration->post({ .body
                        = coordination::ConfigurationMessage::PeerSnapshot { .snapshot = std::move(snapshot) } });
                },
            .relayRead =
                [this](std::string stream, state::LogOffset offset, std::chrono::milliseconds wait,
                    std::function<void(protocol::LogClient::ReadResult)> reply) {
                    m_log->post({ .body = coordination::LogMessage::RelayRead { .stream = std::move(stream),
                                      .offset = offset,
                                      .wait = wait,
                                      .onResult = std::move(reply) } });
                },
            .relayAppend =
                [this](std::string stream, std::vector<std::string> records,
                    std::function<void(bool, state::LogOffset)> reply) {
                    m_log->post({ .body = coordination::LogMessage::RelayAppend { .stream = std::move(stream),
                                      .records = std::move(records),
                                      .onResult = std::move(reply) } });
                },
        });
}

void Daemon::createApiTask()
{
    transport::HttpServerOptions server { .address = m_settings.httpAddress,
        .port = m_settings.httpPort,
        .requestMemoryBytes = m_settings.requestMemoryBytes() };
    coordination::ApiTaskHooks hooks {
        .postRequest = [this](coordination::RequestMessage message) { m_requests->post(std::move(message)); },
        .postScheduler = [this](coordination::SchedulerMessage message) { m_scheduler->post(std::move(message)); },
        .postConfiguration
        = [this](coordination::ConfigurationMessage message) { m_configuration->post(std::move(message)); },
        .postPeer = [this](coordination::PeerMessage message) { m_peers->post(std::move(message)); },
        .postTimeline = [this](coordination::TimelineMessage message) { m_timeline->post(std::move(message)); },
        .startDrain = [this] { startDrain([] {}); },
    };
    m_api = std::make_unique<coordination::ApiTask>(m_environment, server, std::move(hooks));
}

void Daemon::connectTasks()
{
    m_configuration->post(
        { .body = coordination::ConfigurationMessage::Watch {
              .onChange = [this](const coordination::ConfigurationMessage::View& view) {
                  m_requests->post({ .body = coordination::RequestMessage::Configure {
                                         .configuration = view.configuration, .ready = view.ready } });
                  m_scheduler->post({ .body = coordination::SchedulerMessage::Configure {
                                          .configuration = view.configuration, .ready = view.ready } });
                  m_peers->post(
                      { .body = coordination::PeerMessage::ConfigurationVersion {
                            .version = view.configuration ? view.configuration->version : 0, .ready = view.ready } });
              } } });
    m_log->post({ .body = coordination::LogMessage::WatchReachability { .onChange = [this](bool reachable) {
        m_configuration->post(
            { .body = coordination::ConfigurationMessage::LogReachability { .reachable = reachable } });
        m_requests->post({ .body = coordination::RequestMessage::LogReachability { .reachable = reachable } });
        m_scheduler->post({ .body = coordination::SchedulerMessage::LogReachability { .reachable = reachable } });
    } } });
    // Peers may relay log calls through this instance only while its own connection to the log works.
    m_log->post({ .body = coordination::LogMessage::WatchReachability {
                      .directOnly = true, .onChange = [this](bool reachable) {
                          m_peers->post(
                              { .body = coordination::PeerMessage::LogReachability { .reachable = reachable } });
                      } } });
}

void Daemon::start()
{
    m_timeline->start();
    m_log->start();
    m_configuration->start();
    m_requests->start();
    m_scheduler->start();
    m_peers->start();
    m_api->start();
}

void Daemon::startDrain(const std::function<void()>& onDrained)
{
    transport::writeLog(transport::LogLevel::Info, "daemon", "drain started");
    std::function<void()> onTaskDrained = afterCalls(2, onDrained);
    m_api->post({ .body = coordination::ApiMessage::StartDraining {} });
    m_peers->post({ .body = coordination::PeerMessage::Draining {} });
    m_requests->post({ .body = coordination::RequestMessage::Drain { .onDrained = onTaskDrained } });
    m_scheduler->post({ .body = coordination::SchedulerMessage::Drain { .onDrained = onTaskDrained } });
}

bool Daemon::shutDown()
{
    auto deadline = std::chrono::steady_clock::now() + m_settings.shutdownLimit;
    auto idle = std::make_shared<std::promise<void>>();
    auto onIdle = afterCalls(2, [idle] { idle->set_value(); });
    m_api->post({ .body = coordination::ApiMessage::StartDraining {} });
    m_api->post({ .body = coordination::ApiMessage::StopListening {
                      .notice = m_settings.shutdownNotice,
                      .onListeningStopped = [this, onIdle] { startDrain(onIdle); },
                      .onIdle = onIdle,
                  } });
    bool finished = idle->get_future().wait_until(deadline) == std::future_status::ready;
    transport::writeLog(finished ? transport::LogLevel::Info : transport::LogLevel::Warning, "daemon",
        finished ? "all requests finished" : "shutdown limit reached with requests in flight");
    return finished;
}

} // namespace lentilsaddle::daemon
