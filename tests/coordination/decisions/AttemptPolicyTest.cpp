#include "coordination/decisions/AttemptPolicy.h"

#include <gtest/gtest.h>

#include <string>

namespace lentilsaddle::coordination {

namespace {

    using Action = AttemptDecision::Action;

    state::JobTable::Job after(const std::string& outcome, int failures = 0, bool repeatable = true)
    {
        state::JobTable::Job job;
        job.specification.repeatable = repeatable;
        job.lastOutcome = outcome;
        job.attempts = 1;
        job.failures = failures;
        return job;
    }

} // namespace

// Guards against a job that always fails and occupies accelerators forever.
TEST(AttemptPolicy, JobEndsAfterThreeFailures)
{
    EXPECT_EQ(decideNextAttempt(after("failed", 2)).action, Action::Queue);
    EXPECT_EQ(decideNextAttempt(after("failed", 3)).outcome, "failed");
}

// Guards against a second run of a non-repeatable job.
TEST(AttemptPolicy, NonRepeatableJobEndsUnlessItCertainlyDidNotRun)
{
    EXPECT_EQ(decideNextAttempt(after("unknown", 0, false)).outcome, "unknown");
    EXPECT_EQ(decideNextAttempt(after("failed", 1, false)).outcome, "failed");
    EXPECT_EQ(decideNextAttempt(after("released", 0, false)).action, Action::Queue);
    EXPECT_EQ(decideNextAttempt(after("preempted", 0, false)).action, Action::Queue);
}

// Guards against a preempted job that is delayed as if it had failed, and against retries without a delay.
TEST(AttemptPolicy, OnlyPreemptedJobsRestartWithoutDelay)
{
    EXPECT_EQ(decideNextAttempt(after("preempted")).delay.count(), 0);
    EXPECT_GT(decideNextAttempt(after("released")).delay.count(), 0);
}

// Guards against a job reported as cancelled although it had finished.
TEST(AttemptPolicy, SuccessWinsOverALateCancellation)
{
    state::JobTable::Job job = after("succeeded");
    job.cancelRequested = true;
    EXPECT_EQ(decideNextAttempt(job).outcome, "done");
    job.lastOutcome = "unknown";
    EXPECT_EQ(decideNextAttempt(job).outcome, "cancelled");
}

} // namespace lentilsaddle::coordination
