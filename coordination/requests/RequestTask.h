/// @file
/// Task that routes service requests to backend servers.
#pragma once

#include "coordination/TaskEnvironment.h"
#include "coordination/log/LogMessage.h"
#include "coordination/requests/RequestMessage.h"
#include "coordination/requests/RequestTaskOptions.h"
#include "coordination/requests/RequestTelemetry.h"
#include "state/Configuration.h"
#include "transport/Task.h"

#include <functional>
#include <map>
#include <memory>
#include <string_view>
#include <vector>

namespace lentilsaddle::transport {
class HttpClient;
}

namespace lentilsaddle::coordination {

class ServiceRouter;

/// Validates service requests and passes them to the router of their service. Owns the HTTP connections to
/// the backend servers and, in one ServiceRouter for each service, the list of backend servers and the request ledger.
///
/// Subscribes to the log streams of its services; the owner of the tasks must forward RequestMessage::LogReachability.
class RequestTask : public transport::Task<RequestMessage> {
public:
    /// @param postLog posts to the log task. The log task's hooks post to this task, so the log task must stop before
    /// this task is destroyed.
    RequestTask(TaskEnvironment environment, RequestTaskOptions options, std::function<void(LogMessage)> postLog);
    ~RequestTask() override;

protected:
    void onStart() override;
    void onStop() override;
    void onMessage(RequestMessage message) override;

private:
    void handle(RequestMessage::Submit message);
    void handle(RequestMessage::Configure message);
    void handle(RequestMessage::Instances message);
    void handle(const RequestMessage::LogBatch& message);
    void handle(const RequestMessage::LogReachability& message);
    void handle(RequestMessage::Drain message);
    void handle(const RequestMessage::ClaimAppendResult& message);
    void handle(const RequestMessage::OutcomeAppendResult& message);

    /// @return the machine-readable reason why a request is refused; empty if it is accepted.
    std::string_view refusalReason(const RequestMessage::ServiceRequest& request) const;
    /// Limits the connections to each backend server, idle ones included, to this instance's share.
    void limitConnections();
    void addRouter(const state::ServiceId& service);
    ServiceRouter* findRouter(const state::ServiceId& service);
    /// Appends snapshots of all ledgers at each RequestTaskOptions::snapshotInterval.
    void scheduleSnapshots();
    void finishDrainIfIdle();

    TaskEnvironment m_environment;
    RequestTaskOptions m_options;
    std::function<void(LogMessage)> m_postLog;
    RequestTelemetry m_telemetry;
    std::map<state::ServiceId, std::unique_ptr<ServiceRouter>> m_routers;
    std::unique_ptr<transport::HttpClient> m_client;
    std::shared_ptr<const state::Configuration> m_configuration;
    bool m_ready = false;
    bool m_logReachable = true;
    bool m_draining = false;
    std::vector<state::InstanceInfo> m_instances;
    std::vector<std::function<void()>> m_onDrained;
};

} // namespace lentilsaddle::coordination
