/// @file
/// Guarantees of the batch scheduler that the soak test checks.
#pragma once

#include "tests/soak/SoakClient.h"
#include "tests/soak/SoakEvacuation.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <functional>
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

/// What the check of the evacuations needs to know beside the runs.
struct EvacuationCheck {
    std::vector<SoakEvacuation> evacuations;
    /// Starts that a disturbance may have held back are not checked.
    std::vector<SoakDisturbance> disturbances;
    /// @return data centre of a worker.
    std::function<std::string(const std::string& worker)> dataCentreOf;
    /// Time from the acknowledgement of a request after which no start may arrive.
    std::chrono::milliseconds limit { 0 };
};

/// @return a description of each start that arrived in an evacuated data centre after the limit and before the end.
std::vector<std::string> checkEvacuations(const EvacuationCheck& check, const nlohmann::json& workerJournal);

} // namespace lentilsaddle::soak
