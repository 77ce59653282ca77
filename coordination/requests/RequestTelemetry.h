/// @file
/// Metrics and time line events of service requests.
#pragma once

#include "coordination/TaskEnvironment.h"
#include "coordination/requests/RequestMessage.h"

#include <cstddef>
#include <map>
#include <string>
#include <string_view>

namespace lentilsaddle::coordination {

/// Records time line events and updates metrics of service requests.
class RequestTelemetry {
public:
    /// @param environment must outlive the object.
    explicit RequestTelemetry(const TaskEnvironment& environment);

    void recordReceived(const RequestMessage::ServiceRequest& request) const;
    void recordQueued(const RequestMessage::ServiceRequest& request) const;
    void recordClaimed(const RequestMessage::ServiceRequest& request) const;
    void recordDispatched(
        const RequestMessage::ServiceRequest& request, const state::InstanceId& backendServer, int attempt) const;
    void recordRetry(const RequestMessage::ServiceRequest& request, std::string_view reason) const;
    /// Records the response that is sent to the caller.
    void recordResponse(
        const RequestMessage::ServiceRequest& request, const RequestMessage::ServiceResponse& response) const;

    void countEjection(const state::ServiceId& service, const state::InstanceId& backendServer) const;
    /// Counts a dropped response that came after the caller's response was sent or the request had ended.
    void countLateResponse(const state::ServiceId& service) const;
    /// Counts a dropped response that has the identifier or attempt of another request.
    void countMismatchedResponse(const state::ServiceId& service) const;
    void setQueueLength(const state::ServiceId& service, std::size_t length) const;

private:
    void recordEvent(const RequestMessage::ServiceRequest& request, std::string kind, std::string detail) const;
    void incrementCounter(const std::string& name, const std::map<std::string, std::string>& labels) const;

    const TaskEnvironment& m_environment;
};

} // namespace lentilsaddle::coordination
