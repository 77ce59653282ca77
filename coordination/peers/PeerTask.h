/// @file
/// Task that communicates with the other entry instances.
#pragma once

#include "coordination/TaskEnvironment.h"
#include "coordination/configuration/ConfigurationCatchUp.h"
#include "coordination/decisions/Membership.h"
#include "coordination/jobs/SchedulerFailureDetector.h"
#include "coordination/peers/PeerMessage.h"
#include "coordination/peers/PeerTaskHooks.h"
#include "coordination/peers/PeerTaskOptions.h"
#include "protocol/InstanceListClient.h"
#include "protocol/PeerClient.h"
#include "protocol/PeerServer.h"
#include "transport/Task.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace lentilsaddle::coordination {

/// Owns the peer service, the channels to peers and the membership.
class PeerTask : public transport::Task<PeerMessage> {
public:
    PeerTask(TaskEnvironment environment, PeerTaskOptions options, PeerTaskHooks hooks);
    ~PeerTask() override;

protected:
    /// @throws CoordinationError if the peer port cannot be opened.
    void onStart() override;
    void onStop() override;
    void onMessage(PeerMessage message) override;

private:
    void handle(const PeerMessage::ConfigurationVersion& message);
    void handle(const PeerMessage::SchedulerRole& message);
    void handle(const PeerMessage::LogReachability& message);
    void handle(const PeerMessage::Draining& message);
    void handle(PeerMessage::ReadTimeline message);
    void handle(const PeerMessage::QueryPeers& message);
    void handle(const PeerMessage::Invoke& message);
    void handle(PeerMessage::RelayRead message);
    void handle(const PeerMessage::RelayAppend& message);

    protocol::PeerServer::Handlers serverHandlers();
    /// Posts the callback to the task's own mailbox.
    void invoke(std::function<void()> callback);

    void readInstanceList();
    void onInstanceList(const std::optional<std::vector<state::InstanceInfo>>& list);

    void sendHeartbeat();
    void exchangeWithAll();
    void exchange(const state::InstanceInfo& peer);
    void onExchangeResult(const state::InstanceInfo& peer, const std::optional<protocol::PeerStatus>& status);
    void scheduleExchange();

    void resetFailureDetector();
    void onSchedulerSuspected();
    void publishMembers();

    void compareConfiguration();
    void readConfiguration(const state::InstanceInfo& peer, std::chrono::milliseconds timeout,
        const std::function<void(std::optional<state::Record::ConfigurationSnapshot>)>& callback);

    std::optional<state::InstanceInfo> pickRandom(const std::vector<state::InstanceInfo>& candidates) const;

    TaskEnvironment m_environment;
    PeerTaskOptions m_options;
    PeerTaskHooks m_hooks;
    protocol::PeerStatus m_ownStatus;
    Membership m_membership;
    std::unique_ptr<protocol::InstanceListClient> m_instanceList;
    std::unique_ptr<protocol::PeerServer> m_server;
    std::unique_ptr<protocol::PeerClient> m_client;

    std::unique_ptr<SchedulerFailureDetector> m_schedulerFailureDetector;
    state::MonotonicTime m_nextExchange;
    bool m_exchangeScheduled = false;
    std::vector<state::InstanceInfo> m_publishedMembers;
    bool m_publishedSuspicion = false;

    /// The own configuration is ready.
    bool m_configurationReady = false;
    std::unique_ptr<ConfigurationCatchUp> m_catchUp;
};

} // namespace lentilsaddle::coordination
