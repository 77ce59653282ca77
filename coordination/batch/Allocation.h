/// @file
/// Run of a task that takes room on a worker.
#pragma once

#include "state/Time.h"
#include "state/batch/BatchTaskId.h"
#include "state/batch/Resources.h"

#include <cstdint>
#include <optional>
#include <string>

namespace lentilsaddle::coordination::batch {

/// Takes room from the claim until its end is certain.
struct Allocation {
    enum class Phase {
        /// The claim is being stored; nothing was sent.
        Claiming,
        /// The start was sent and not answered yet.
        Starting,
        /// The start may be carried out at any time, until a stop is acknowledged or an earlier term is fenced.
        Uncertain,
        Running,
        Stopping,
        /// The stop was acknowledged; the end is to be listed.
        StopAcknowledged,
    };

    state::batch::BatchTaskId task;
    std::int64_t run = 0;
    state::batch::Resources need;
    Phase phase = Phase::Claiming;
    /// An earlier leader claimed it; the first observation under this term decides what it is.
    bool inherited = false;
    /// No start of this occupant was left without an answer.
    bool startResolved = false;
    /// An attempt of the start had no answer, so that definite answers to later attempts do not tell whether it runs.
    bool attemptTimedOut = false;
    std::string checkpoint;
    /// When the start was sent.
    state::MonotonicTime since {};
    /// When the last phase began that an observation can confirm: start answered, stop acknowledged.
    state::MonotonicTime confirmableFrom {};
    bool stopInFlight = false;
    /// The run began under this leader and without a checkpoint, so its age tells how fast the worker is.
    bool observedFromStart = false;
    /// Share of the work that is done, 0 to 100.
    int percent = 0;
};

} // namespace lentilsaddle::coordination::batch
