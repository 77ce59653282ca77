/// @file
/// Dispatch of the requests of one service to its backend servers.
#pragma once

#include "coordination/TaskEnvironment.h"
#include "coordination/decisions/AdmissionQueue.h"
#include "coordination/decisions/BackendServerSelector.h"
#include "coordination/decisions/OutlierDetector.h"
#include "coordination/decisions/RequestPolicy.h"
#include "coordination/requests/RequestTaskOptions.h"
#include "coordination/requests/RequestTelemetry.h"
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

/// Queues requests, selects a backend server for each, sends the calls and classifies their results.
///
/// Not thread-safe; used only on the thread of the owning task.
class ServiceDispatcher {
public:
    /// Call of one attempt, ready to be sent.
    struct PreparedCall {
        transport::HttpCall call;
        state::RequestId request;
        int attempt = 0;
    };

    struct Hooks {
        std::function<void(const transport::HttpCall&, transport::HttpClient::Callback)> send;
        std::function<void(std::chrono::microseconds, std::function<void()>)> startTimer;
        /// @return backend server of the previous attempt, or an empty identifier.
        std::function<state::InstanceId(std::uint64_t ticket)> previousBackendServer;
        /// Last check before dispatch. Returns nothing if the request must no longer be dispatched.
        std::function<std::optional<PreparedCall>(std::uint64_t ticket, const state::InstanceId& backendServer)>
            prepare;
        /// Called after the call was passed to the HTTP client.
        std::function<void(std::uint64_t ticket)> onDispatched;
        std::function<void(std::uint64_t ticket, int attempt, RequestPolicy::Result, transport::HttpResponse)> onResult;
        /// Called when the request was evicted from the full queue in favour of another client account.
        std::function<void(std::uint64_t ticket, std::chrono::milliseconds estimatedWait)> onEvicted;
    };

    /// @param environment must outlive the dispatcher.
    ServiceDispatcher(
        state::ServiceId service, const TaskEnvironment& environment, const RequestTaskOptions& options, Hooks hooks);
    ServiceDispatcher(const ServiceDispatcher&) = delete;
    ServiceDispatcher& operator=(const ServiceDispatcher&) = delete;

    void configure(const state::Configuration& configuration);

    /// Updates the backend servers of the service and the number of live entry instances from the instance list.
    void setInstances(const std::vector<state::InstanceInfo>& instances);

    bool hasLiveBackendServer() const { return m_selector.anyLive(); }

    /// @return the verdict that enqueue() would give now.
    AdmissionQueue::Verdict checkAdmission(const AdmissionQueue::Item& item) const;

    /// Adds a request to the queue; dispatchQueued() must be called afterwards.
    AdmissionQueue::Admission enqueue(const AdmissionQueue::Item& item);

    /// Dispatches queued requests as long as a backend server has free capacity.
    void dispatchQueued();

    /// Removes and returns the queued requests whose deadline has passed.
    std::vector<AdmissionQueue::Item> removeExpired();

private:
    struct InFlight {
        std::uint64_t ticket = 0;
        state::RequestId request;
        int attempt = 0;
        state::InstanceId backendServer;
        state::MonotonicTime sentAt;
    };

    /// @return whether a request was removed from the queue.
    bool dispatchNext();
    void dispatch(
        const AdmissionQueue::Item& item, const state::InstanceId& backendServer, const PreparedCall& prepared);
    void onHttpResult(const InFlight& inFlight, transport::HttpResult result);
    RequestPolicy::Result classify(const InFlight& inFlight, const transport::HttpResult& result) const;
    void updateOutlierDetector(
        const InFlight& inFlight, RequestPolicy::Result result, const transport::HttpResponse& response);
    /// Starts a timer that dispatches queued requests when the next ejection of a backend server ends.
    void scheduleProbe();

    state::ServiceId m_service;
    const TaskEnvironment& m_environment;
    Hooks m_hooks;
    RequestTelemetry m_telemetry;
    AdmissionQueue m_queue;
    BackendServerSelector m_selector;
    OutlierDetector m_outliers;
    bool m_dispatching = false;
    std::optional<state::MonotonicTime> m_probeScheduled;
};

} // namespace lentilsaddle::coordination
