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

class RequestReport {
public:
    /// @param environment outlives the report.
    explicit RequestReport(const TaskEnvironment& environment);

    void received(const RequestMessage::ServiceRequest& request) const;
    void queued(const RequestMessage::ServiceRequest& request) const;
    void claimed(const RequestMessage::ServiceRequest& request) const;
    void handedOver(const RequestMessage::ServiceRequest& request, const state::InstanceId& runner, int attempt) const;
    void retried(const RequestMessage::ServiceRequest& request, std::string_view reason) const;
    /// Reports the answer that the caller is given.
    void answered(const RequestMessage::ServiceRequest& request, const RequestMessage::ServiceResponse& answer) const;

    void ejected(const state::ServiceId& service, const state::InstanceId& runner) const;
    void lateAnswerDropped(const state::ServiceId& service) const;
    void crossedAnswerDropped(const state::ServiceId& service) const;
    void queueLength(const state::ServiceId& service, std::size_t length) const;

private:
    void event(const RequestMessage::ServiceRequest& request, std::string kind, std::string detail) const;
    void count(const std::string& name, const std::map<std::string, std::string>& labels) const;

    const TaskEnvironment& m_environment;
};

} // namespace lentilsaddle::coordination
