/// @file
/// Queue and backend connections of one service.
#pragma once

#include "coordination/TaskEnvironment.h"
#include "coordination/decisions/AdmissionQueue.h"
#include "coordination/decisions/BackendServerSelector.h"
#include "coordination/decisions/OutlierDetector.h"
#include "coordination/decisions/RequestPolicy.h"
#include "coordination/requests/RequestReport.h"
#include "coordination/requests/RequestTaskOptions.h"
#include "state/Configuration.h"
#include "state/InstanceInfo.h"
#include "transport/HttpClient.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace lentilsaddle::coordination {

/// Hands queued requests over to runners and classifies what comes back.
///
/// Belongs to the thread of its task.
class ServiceDispatcher {
public:
    /// One hand-over.
    struct Delivery {
        transport::HttpCall call;
        state::RequestId request;
        int attempt = 0;
    };

    struct Hooks {
        std::function<void(const transport::HttpCall&, transport::HttpClient::Callback)> send;
        std::function<void(std::chrono::microseconds, std::function<void()>)> startTimer;
        /// @return runner of the previous attempt, or an empty identifier.
        std::function<state::InstanceId(std::uint64_t ticket)> previousRunner;
        /// Last check before a hand-over. Returns nothing if the request must not be handed over any more.
        std::function<std::optional<Delivery>(std::uint64_t ticket, const state::InstanceId& runner)> prepare;
        /// Called after the request was given to the client.
        std::function<void(std::uint64_t ticket)> onHandedOver;
        std::function<void(std::uint64_t ticket, int attempt, RequestPolicy::Result, transport::HttpResponse)> onResult;
        /// The request lost its place in the queue to another account.
        std::function<void(std::uint64_t ticket, std::chrono::milliseconds estimatedWait)> onEvicted;
    };

    /// @param environment outlives the dispatcher.
    ServiceDispatcher(
        state::ServiceId service, const TaskEnvironment& environment, const RequestTaskOptions& options, Hooks hooks);
    ServiceDispatcher(const ServiceDispatcher&) = delete;
    ServiceDispatcher& operator=(const ServiceDispatcher&) = delete;

    void configure(const state::Configuration& configuration);

    /// Takes over the service's runners from the instance list.
    void setInstances(const std::vector<state::InstanceInfo>& instances);

    bool anyRunner() const { return m_selector.anyLive(); }

    /// @return the verdict that offer() would give now.
    AdmissionQueue::Verdict check(const AdmissionQueue::Item& item) const;

    /// Queues a request; call pump() afterwards.
    AdmissionQueue::Admission offer(const AdmissionQueue::Item& item);

    /// Hands over as many queued requests as the runners have room for.
    void pump();

    /// Removes and returns the queued requests whose deadline has passed.
    std::vector<AdmissionQueue::Item> takeExpired();

private:
    struct InFlight {
        std::uint64_t ticket = 0;
        state::RequestId request;
        int attempt = 0;
        state::InstanceId runner;
        state::MonotonicTime sentAt;
    };

    bool handOverNext();
    void handOver(const AdmissionQueue::Item& item, const state::InstanceId& runner, const Delivery& delivery);
    void onHttpResult(const InFlight& sent, transport::HttpResult result);
    RequestPolicy::Result classify(const InFlight& sent, const transport::HttpResult& result) const;
    void judgeRunner(const InFlight& sent, RequestPolicy::Result result, const transport::HttpResponse& response);
    void scheduleProbe();

    state::ServiceId m_service;
    const TaskEnvironment& m_environment;
    Hooks m_hooks;
    RequestReport m_report;
    AdmissionQueue m_queue;
    BackendServerSelector m_selector;
    OutlierDetector m_outliers;
    bool m_pumping = false;
    std::optional<state::MonotonicTime> m_probeScheduled;
};

} // namespace lentilsaddle::coordination
