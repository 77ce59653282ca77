/// @file
/// Request handling of one service.
#pragma once

#include "coordination/TaskEnvironment.h"
#include "coordination/decisions/RetryBudget.h"
#include "coordination/requests/NonRepeatableRequests.h"
#include "coordination/requests/PendingRequest.h"
#include "coordination/requests/RequestMessage.h"
#include "coordination/requests/RequestTaskOptions.h"
#include "coordination/requests/RequestTelemetry.h"
#include "coordination/requests/ServiceDispatcher.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lentilsaddle::coordination {

/// Runs each request to the service from submission through claim, queue, dispatch and retries to its response.
///
/// Not thread-safe; used only on the thread of the owning task.
class ServiceRouter {
public:
    struct Hooks {
        std::function<void(LogMessage)> postLog;
        /// Posts to the mailbox of the owning task; safe from any thread.
        std::function<void(RequestMessage)> post;
        std::function<void(const transport::HttpCall&, transport::HttpClient::Callback)> send;
        std::function<transport::EventLoop::TimerId(std::chrono::microseconds, std::function<void()>)> startTimer;
        std::function<void(transport::EventLoop::TimerId)> cancelTimer;
        /// Called when idle() may have become true.
        std::function<void()> onIdle;
    };

    /// @param environment must outlive the router.
    /// @param options must outlive the router.
    ServiceRouter(
        state::ServiceId service, const TaskEnvironment& environment, const RequestTaskOptions& options, Hooks hooks);
    ServiceRouter(const ServiceRouter&) = delete;
    ServiceRouter& operator=(const ServiceRouter&) = delete;

    void configure(const state::Configuration& configuration) { m_dispatcher.configure(configuration); }
    void setInstances(const std::vector<state::InstanceInfo>& instances) { m_dispatcher.setInstances(instances); }

    /// Starts a request. Its client account and service must be configured.
    void submit(RequestMessage::Submit message);

    void applyBatch(const state::StreamBatch& batch);
    void onClaimAppendResult(const RequestMessage::ClaimAppendResult& message);
    void onOutcomeAppendResult(const RequestMessage::OutcomeAppendResult& message);
    void setLogReachable(bool reachable);
    void appendSnapshot() { m_nonRepeatable.appendSnapshot(); }

    /// @return whether no request is pending and every outcome is recorded; outcomes are not waited for while the log
    /// is unreachable.
    bool idle() const;

private:
    using Ticket = std::uint64_t;
    using Response = RequestMessage::ServiceResponse;

    ServiceDispatcher::Hooks dispatcherHooks();
    NonRepeatableRequests::Hooks nonRepeatableHooks();
    PendingRequest* find(Ticket ticket);
    AdmissionQueue::Item queueItem(const PendingRequest& pending) const;

    void begin(PendingRequest& pending);
    void enqueue(PendingRequest& pending);

    std::optional<ServiceDispatcher::PreparedCall> prepare(Ticket ticket, const state::InstanceId& backendServer);
    void onDispatched(Ticket ticket);
    void onResult(Ticket ticket, int attempt, RequestPolicy::Result result, transport::HttpResponse response);
    /// Handles the result of a non-repeatable request whose caller already got the response unknown.
    void onLateResult(PendingRequest& pending, RequestPolicy::Result result, const transport::HttpResponse& response);
    void retry(PendingRequest& pending, std::string_view reason);
    RetryBudget& retryBudgetFor(const state::AccountId& account);

    void startDeadlineTimer(PendingRequest& pending);
    void onDeadline(Ticket ticket);
    void finishAtDeadline(PendingRequest& pending);
    /// Ends a request without a further dispatch: unknown if an earlier attempt may have run, else not run.
    void finishUnserved(
        PendingRequest& pending, std::string_view reason, std::chrono::seconds retryAfter = std::chrono::seconds(0));
    /// Sends the response to the caller, unless one was sent before.
    void reply(PendingRequest& pending, const Response& response);
    /// Ends the request: removes it, records its outcome and sends the response to the caller.
    void finish(PendingRequest& pending, const Response& response);

    state::ServiceId m_service;
    const TaskEnvironment& m_environment;
    const RequestTaskOptions& m_options;
    Hooks m_hooks;
    RequestTelemetry m_telemetry;
    NonRepeatableRequests m_nonRepeatable;
    ServiceDispatcher m_dispatcher;
    std::map<Ticket, PendingRequest> m_pending;
    std::map<state::AccountId, RetryBudget> m_budgets;
    Ticket m_lastTicket = 0;
};

} // namespace lentilsaddle::coordination
