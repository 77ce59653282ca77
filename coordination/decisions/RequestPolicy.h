/// @file
/// Decision after one attempt to run a service request.
#pragma once

#include <functional>
#include <string_view>

namespace lentilsaddle::coordination {

struct RequestPolicy {
    /// What became of one hand-over to a backend server.
    enum class Result {
        /// No byte of the request was sent.
        NotSent,
        /// The backend server refused the request before it started.
        RefusedBeforeStart,
        ResponseReceived,
        /// Sent at least in part; the connection ended without a complete answer of this request.
        ResponseLost,
        /// Sent at least in part; no answer came before the deadline.
        TimedOut,
    };

    struct Context {
        bool repeatable = true;
        /// An earlier attempt of this request may have run.
        bool mayHaveRun = false;
        bool deadlinePassed = false;
        /// Takes one retry from the budget. Asked only if everything else allows a retry.
        std::function<bool()> tryConsumeRetry;
    };

    enum class Action {
        Retry,
        ReportDone,
        ReportNotRun,
        ReportUnknown,
    };

    struct Decision {
        Action action = Action::ReportUnknown;
        /// Machine-readable reason; empty for ReportDone.
        std::string_view reason;
    };

    /// @return whether the result proves that the attempt did not start.
    static bool provesNotStarted(Result result);

    /// Retries only what is repeatable or provably did not start; never says "not run" if any attempt may have run.
    static Decision decide(Result result, const Context& context);
};

} // namespace lentilsaddle::coordination
