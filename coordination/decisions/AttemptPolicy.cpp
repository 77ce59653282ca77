#include "coordination/decisions/AttemptPolicy.h"

#include <algorithm>

namespace lentilsaddle::coordination {

namespace {

    constexpr std::chrono::milliseconds firstDelay { 250 };
    constexpr std::chrono::milliseconds maximumDelay { 30'000 };
    constexpr int maximumDoublings = 8;

    AttemptDecision endJob(const char* outcome, std::string reason)
    {
        return { .action = AttemptDecision::Action::End, .delay = {}, .outcome = outcome, .reason = std::move(reason) };
    }

    /// Each attempt costs log records and worker calls, so attempts that do not run must not follow each other without
    /// delay.
    std::chrono::milliseconds retryDelay(int attempts)
    {
        int doublings = std::clamp(attempts - 1, 0, maximumDoublings);
        return std::min(firstDelay * (1 << doublings), maximumDelay);
    }

} // namespace

AttemptDecision decideNextAttempt(const state::JobTable::Job& job)
{
    if (job.lastOutcome == "succeeded")
        return endJob("done", job.reason);
    if (job.cancelRequested)
        return endJob("cancelled", "cancelled by the caller");
    if (job.failures >= maximumFailedAttempts)
        return endJob("failed", job.reason);
    if (!state::JobTable::startable(job))
        return endJob(job.lastOutcome == "failed" ? "failed" : "unknown", job.reason);
    bool retry = !job.lastOutcome.empty() && job.lastOutcome != "preempted";
    return { .action = AttemptDecision::Action::Queue,
        .delay = retry ? retryDelay(job.attempts) : std::chrono::milliseconds(0),
        .outcome = {},
        .reason = {} };
}

} // namespace lentilsaddle::coordination
