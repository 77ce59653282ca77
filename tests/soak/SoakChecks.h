/// @file
/// Guarantees of the batch scheduler that the soak test checks.
#pragma once

#include "tests/soak/SoakClient.h"

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace lentilsaddle::soak {

/// Compares the responses that clients received with the runs that the workers executed.
/// @param jobs the submitted jobs with the responses to their requests.
/// @param workerJournal journal of the worker stand-in: the time spans of all runs, and the state of the workers.
/// @param leaderHistory all stored leader records, encoded.
/// @return a description of each violated guarantee.
std::vector<std::string> checkGuarantees(const std::vector<SoakJob>& jobs, const nlohmann::json& workerJournal,
    const std::vector<std::string>& leaderHistory);

} // namespace lentilsaddle::soak
