/// @file
/// Messages to the batch task.
#pragma once

#include "state/Identifier.h"
#include "state/batch/BatchJob.h"
#include "state/batch/BatchJobEntry.h"

#include <cstddef>
#include <functional>
#include <optional>
#include <string>
#include <variant>

namespace lentilsaddle::coordination::batch {

/// Outcome of a call that changes something durable.
enum class ChangeOutcome {
    /// The change is durable.
    Done,
    /// Nothing was done and nothing will be.
    Refused,
    /// The change may be durable now or later.
    Unknown,
    /// There is no such job.
    NoSuchJob,
};

struct BatchMessage {
    struct Submit {
        state::batch::BatchJob job;
        std::function<void(ChangeOutcome)> reply;
    };
    struct Cancel {
        state::JobId job;
        std::function<void(ChangeOutcome)> reply;
    };
    /// Answer to a query; neither member is set if this instance cannot tell.
    struct QueryResult {
        std::optional<state::batch::BatchJobEntry::Phase> phase;
        bool noSuchJob = false;
    };
    struct Query {
        state::JobId job;
        std::function<void(QueryResult)> reply;
    };
    struct CountPending {
        std::string queue;
        std::function<void(std::size_t)> reply;
    };
    /// Gives the leadership up and reports "not ready".
    struct Drain { };

    std::variant<Submit, Cancel, Query, CountPending, Drain> body;
};

} // namespace lentilsaddle::coordination::batch
