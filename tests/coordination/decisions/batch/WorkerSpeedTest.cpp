#include "coordination/decisions/batch/WorkerSpeed.h"

#include <gtest/gtest.h>

namespace lentilsaddle::coordination::batch {

namespace {

    using std::chrono::milliseconds;

    const state::WorkerId slow { "slow" };
    const state::WorkerId fast { "fast" };
    const state::MonotonicTime now { milliseconds(10'000) };

} // namespace

// Guards against urgent tasks on workers that have been slow all day.
TEST(WorkerSpeed, LearnsASlowWorkerFromWrongEstimates)
{
    WorkerSpeed speed;
    // The estimates of this queue are half of the true time.
    for (int sample = 0; sample < 20; ++sample) {
        speed.recordCompletion(fast, "q", milliseconds(2'000), milliseconds(1'000));
        speed.recordCompletion(slow, "q", milliseconds(2'600), milliseconds(1'000));
    }
    EXPECT_GT(speed.slowness(slow, now), speed.slowness(fast, now) * 1.2);
}

// Guards against a worker that is avoided because of one wrong estimate.
TEST(WorkerSpeed, FewSamplesSayNothing)
{
    WorkerSpeed speed;
    speed.recordCompletion(fast, "q", milliseconds(1'000), milliseconds(1'000));
    speed.recordCompletion(slow, "q", milliseconds(3'000), milliseconds(1'000));
    EXPECT_EQ(speed.slowness(slow, now), 1);
}

// Guards against more work on a worker whose tasks stand still, and against avoiding it for good.
TEST(WorkerSpeed, AvoidsAWorkerForAWhileWhoseTaskStandsStill)
{
    WorkerSpeed speed;
    speed.recordProgress(slow, "q", milliseconds(3'000), 5, milliseconds(2'000), now);
    EXPECT_GT(speed.slowness(slow, now), 3);
    EXPECT_EQ(speed.slowness(slow, now + milliseconds(5'000)), 1);
}

} // namespace lentilsaddle::coordination::batch
