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

/// Outcome of a request that changes durable state.
enum class ChangeOutcome {
    /// The change is durable.
    Done,
    /// The change was not made and will not be made; also if it is not known whether the job exists.
    Refused,
    /// The change may be durable now or later.
    Unknown,
    NoSuchJob,
    /// The job was not accepted, because the account's jobs take as much memory as is left.
    AccountLimit,
    /// The job was not accepted, because the accepted jobs take all memory that they may.
    NoRoom,
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
    /// Result of a query; neither member is set if this instance's view of the journal is out of date.
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
    /// Steps down from the leadership and reports "not ready".
    struct Drain { };

    std::variant<Submit, Cancel, Query, CountPending, Drain> body;
};

} // namespace lentilsaddle::coordination::batch
