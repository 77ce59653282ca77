/// @file
/// JSON bodies of the stand-ins' HTTP calls.
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

/// @return a response that closes the connection without an answer.
transport::HttpResponse droppedConnection();

/// Parses a body that must be a JSON object; an empty body is the empty object.
/// @throws std::invalid_argument if it is none.
nlohmann::json parseObject(const std::string& body);

/// @return a time field in milliseconds, or the fallback if it is absent.
std::chrono::milliseconds millisecondsOr(
    const nlohmann::json& object, const std::string& name, std::chrono::milliseconds fallback);

/// @return the parts of a path between its slashes.
std::vector<std::string> splitPath(const std::string& path);

/// @return milliseconds of the process's monotonic clock, as the journals show them.
std::int64_t toJournalTime(std::chrono::steady_clock::time_point time);

} // namespace lentilsaddle::standin
