/// @file
/// Observed rate of a task.
#pragma once

#include "state/Identifier.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <tuple>

namespace lentilsaddle::coordination::batch {

/// Tasks whose run times differ from their estimates by a common factor: job, occurrence, step, and the conditions that
/// they run under. Members of a gang run under the conditions of their run; other tasks near to their data or far from
/// it.
using SiblingKey = std::tuple<state::JobId, int, int, std::int64_t>;

/// Work that a task has done in a part of its run.
struct WorkerSpeedSample {
    state::WorkerId worker;
    /// Incarnation of the worker; 0 if unknown.
    std::int64_t incarnation = 0;
    SiblingKey siblings;
    /// Number of the siblings, this task included.
    int siblingCount = 1;
    std::string queue;
    std::chrono::milliseconds elapsed { 0 };
    /// Share of the task's work that was done in this time, in hundredths.
    int percent = 0;
    /// The task finished its share earlier, and waits for other members of its gang: its rate was at least this.
    bool atLeast = false;
    /// The worker was slow in this time because it had started a short time before.
    bool cold = false;
    /// Run time that the job declares for the task.
    std::chrono::milliseconds estimate { 0 };
};

} // namespace lentilsaddle::coordination::batch
