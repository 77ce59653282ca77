/// @file
/// Helpers of the stand-ins for HTTP calls with JSON bodies.
#pragma once

#include "transport/HttpMessage.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <string>
#include <vector>

namespace lentilsaddle::standin {

/// @return a response with a JSON body.
transport::HttpResponse jsonResponse(int status, const nlohmann::json& body);

/// @return a response with `{"error":...}`.
transport::HttpResponse errorResponse(int status, const std::string& error);

/// @return a response that makes the server close the connection without sending anything.
transport::HttpResponse droppedConnection();

/// Parses the JSON object in a body; an empty body gives the empty object.
/// @throws std::invalid_argument if the body is not a JSON object.
nlohmann::json parseObject(const std::string& body);

/// @return a time field in milliseconds, or the fallback if it is absent.
std::chrono::milliseconds millisecondsOr(
    const nlohmann::json& object, const std::string& name, std::chrono::milliseconds fallback);

/// @return the parts of a path between its slashes.
std::vector<std::string> splitPath(const std::string& path);

/// @return the monotonic time in milliseconds, the unit of all journal times.
std::int64_t toJournalTime(std::chrono::steady_clock::time_point time);

} // namespace lentilsaddle::standin
