/// @file
/// Bound of the time in which the evacuation of a data centre takes effect.
#pragma once

#include <chrono>

namespace lentilsaddle::coordination::batch {

/// Times that pass between the request for an evacuation and the last start that ignores it.
struct EvacuationLimit {
    /// Time after the request from which nothing may start in the data centre; 0 if there is no limit.
    std::chrono::milliseconds limit { 0 };
    /// Longest time from sending a start to its execution.
    std::chrono::milliseconds startTimeout { 0 };
    /// Age that the view of the operator's stream reaches between two reads without a failure.
    std::chrono::milliseconds regularAge { 0 };
};

/// @return age of the view of the operator's stream, from when its last read was sent, up to which tasks may start; the
/// maximum if there is no limit. A limit too short for the regular age gives that age, so that tasks start at all.
std::chrono::milliseconds allowedEvacuationAge(const EvacuationLimit& times);

} // namespace lentilsaddle::coordination::batch
