#include "coordination/decisions/AttemptPolicy.h"

#include <algorithm>

namespace lentilsaddle::coordination {

namespace {

    constexpr std::chrono::milliseconds firstDelay { 250 };
    constexpr std::chrono::milliseconds longestDelay { 30'000 };
    constexpr int longestDelayAttempts = 8;

    AttemptDecision end(const char* outcome, std::string reason)
    {
        return { .action = AttemptDecision::Action::End, .delay = {}, .outcome = outcome, .reason = std::move(reason) };
    }

    /// Each attempt costs log records and worker calls, so attempts that do not run must not follow each other at once.
    std::chrono::milliseconds retryDelay(int attempts)
    {
        int doublings = std::clamp(attempts - 1, 0, longestDelayAttempts);
        return std::min(firstDelay * (1 << doublings), longestDelay);
    }

} // namespace

AttemptDecision decideNextAttempt(const state::JobTable::Job& job)
{
    if (job.lastOutcome == "succeeded")
        return end("done", job.reason);
    if (job.cancelRequested)
        return end("cancelled", "cancelled by the caller");
    if (job.failures >= maximumFailedAttempts)
        return end("failed", job.reason);
    if (!state::JobTable::startable(job))
        return end(job.lastOutcome == "failed" ? "failed" : "unknown", job.reason);
    bool retry = !job.lastOutcome.empty() && job.lastOutcome != "preempted";
    return { .action = AttemptDecision::Action::Queue,
        .delay = retry ? retryDelay(job.attempts) : std::chrono::milliseconds(0),
        .outcome = {},
        .reason = {} };
}

} // namespace lentilsaddle::coordination
