/// @file
/// Life of the requests to one service.
#pragma once

#include "coordination/TaskEnvironment.h"
#include "coordination/decisions/RetryBudget.h"
#include "coordination/requests/NonRepeatableRequests.h"
#include "coordination/requests/PendingRequest.h"
#include "coordination/requests/RequestMessage.h"
#include "coordination/requests/RequestReport.h"
#include "coordination/requests/RequestTaskOptions.h"
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

/// Takes each request from its claim over queue, hand-over and retries to its answer.
///
/// Belongs to the thread of its task.
class ServiceRouter {
public:
    struct Hooks {
        std::function<void(LogMessage)> postLog;
        /// Posts to the own task's mailbox; safe from any thread.
        std::function<void(RequestMessage)> post;
        std::function<void(const transport::HttpCall&, transport::HttpClient::Callback)> send;
        std::function<transport::EventLoop::TimerId(std::chrono::microseconds, std::function<void()>)> startTimer;
        std::function<void(transport::EventLoop::TimerId)> cancelTimer;
        /// Called when idle() may have become true.
        std::function<void()> onIdle;
    };

    /// @param environment outlives the router.
    /// @param options outlive the router.
    ServiceRouter(
        state::ServiceId service, const TaskEnvironment& environment, const RequestTaskOptions& options, Hooks hooks);
    ServiceRouter(const ServiceRouter&) = delete;
    ServiceRouter& operator=(const ServiceRouter&) = delete;

    void configure(const state::Configuration& configuration) { m_dispatcher.configure(configuration); }
    void setInstances(const std::vector<state::InstanceInfo>& instances) { m_dispatcher.setInstances(instances); }

    /// Takes a request in hand. Its account and service are known to be configured.
    void submit(RequestMessage::Submit message);

    void acceptLog(const state::StreamBatch& batch);
    void claimAppended(const RequestMessage::ClaimAppended& message);
    void outcomeAppended(const RequestMessage::OutcomeAppended& message);
    void setLogReachable(bool reachable);
    void appendSnapshot() { m_nonRepeatable.appendSnapshot(); }

    /// @return whether no request is in hand and every outcome is recorded, as far as the log can be reached.
    bool idle() const;

private:
    using Ticket = std::uint64_t;
    using Answer = RequestMessage::ServiceResponse;

    ServiceDispatcher::Hooks dispatcherHooks();
    NonRepeatableRequests::Hooks nonRepeatableHooks();
    PendingRequest* find(Ticket ticket);
    AdmissionQueue::Item itemOf(const PendingRequest& pending) const;

    void begin(PendingRequest& pending);
    void enqueue(PendingRequest& pending);

    std::optional<ServiceDispatcher::Delivery> prepare(Ticket ticket, const state::InstanceId& runner);
    void onHandedOver(Ticket ticket);
    void onResult(Ticket ticket, int attempt, RequestPolicy::Result result, transport::HttpResponse response);
    void onLateResult(PendingRequest& pending, RequestPolicy::Result result, const transport::HttpResponse& response);
    void retry(PendingRequest& pending, std::string_view reason);
    RetryBudget& budgetOf(const state::AccountId& account);

    void startDeadlineTimer(PendingRequest& pending);
    void onDeadline(Ticket ticket);
    void endAtDeadline(PendingRequest& pending);
    /// Ends a request that is not handed over now: unknown if an earlier attempt may have run, else not run.
    void endUnserved(
        PendingRequest& pending, std::string_view reason, std::chrono::seconds retryAfter = std::chrono::seconds(0));
    void reply(PendingRequest& pending, const Answer& answer);
    /// Answers the caller and forgets the request.
    void finish(PendingRequest& pending, const Answer& answer);

    state::ServiceId m_service;
    const TaskEnvironment& m_environment;
    const RequestTaskOptions& m_options;
    Hooks m_hooks;
    RequestReport m_report;
    NonRepeatableRequests m_nonRepeatable;
    ServiceDispatcher m_dispatcher;
    std::map<Ticket, PendingRequest> m_pending;
    std::map<state::AccountId, RetryBudget> m_budgets;
    Ticket m_lastTicket = 0;
};

} // namespace lentilsaddle::coordination
