/// @file
/// JSON bodies of the HTTP API for clients and operators.
#pragma once

#include "state/Record.h"

#include <string>
#include <vector>

namespace lentilsaddle::state {
struct TimelineEvent;
struct JobSpecification;
} // namespace lentilsaddle::state

namespace lentilsaddle::protocol {

struct ApiJob;
struct ApiStatus;

/// Decodes and validates a job submission. The identifier is empty if the body has none.
/// @throws ProtocolError naming the offending field.
state::JobSpecification decodeJobSubmission(const std::string& body);

/// Decodes a configuration patch. The identifier is empty if the body has none.
/// @throws ProtocolError naming the offending field.
state::Record::ConfigurationPatch decodePatchSubmission(const std::string& body);

/// @param code machine-readable reason, such as `invalid`.
/// @param field offending field; may be empty.
std::string encodeError(const std::string& code, const std::string& field, const std::string& reason);

std::string encodeJob(const ApiJob& job);

/// @param status `accepted`, `cancelled` or `unknown`.
std::string encodeJobResponse(const state::JobId& id, const std::string& status, const std::string& reason);

/// @param status `accepted`, `rejected` or `unknown`.
std::string encodePatchOutcome(const state::Record::PatchOutcome& outcome, const std::string& status);

std::string encodeStatus(const ApiStatus& status);

/// @param missing instances that did not respond.
std::string encodeTimeline(
    const std::vector<state::TimelineEvent>& events, const std::vector<state::InstanceId>& missing);

} // namespace lentilsaddle::protocol
