#include "coordination/decisions/batch/WorkerClock.h"

#include <gtest/gtest.h>

namespace lentilsaddle::coordination::batch {

namespace {

    using std::chrono::milliseconds;

    state::MonotonicTime at(int milli)
    {
        return state::MonotonicTime(milliseconds(milli));
    }

} // namespace

// Guards against restarting a task while a worker with a slow clock still runs it under its old lease.
TEST(WorkerClock, SlowClockDelaysTheEndOfALease)
{
    WorkerClock clock(0.02);
    clock.addReading(milliseconds(1'000), at(50'000));
    // A clock that runs 2% slow needs 5,000 / 0.98 ms for 4,900 ms more.
    EXPECT_GE(clock.latestTimeOf(milliseconds(1'000 + 4'900)), at(55'000));
    EXPECT_LE(clock.latestTimeOf(milliseconds(1'000 + 4'900)), at(55'001));
}

// Guards against a response that arrives out of order and sets the clock back.
TEST(WorkerClock, OlderReadingIsIgnored)
{
    WorkerClock clock(0.02);
    clock.addReading(milliseconds(2'000), at(100));
    clock.addReading(milliseconds(1'000), at(200));
    EXPECT_EQ(clock.estimate(at(100)), milliseconds(2'000));
}

} // namespace lentilsaddle::coordination::batch
