#include "coordination/decisions/batch/WorkerSpeed.h"

#include <gtest/gtest.h>

namespace lentilsaddle::coordination::batch {

namespace {

    using std::chrono::milliseconds;

    const state::WorkerId slow { "slow" };
    const state::WorkerId fast { "fast" };
    const state::MonotonicTime now { milliseconds(10'000) };

} // namespace

// Guards against placing urgent tasks on workers that are slow for a long time.
TEST(WorkerSpeed, DetectsASlowWorkerDespiteWrongEstimates)
{
    WorkerSpeed speed;
    // The estimates of this queue are half of the actual run time.
    for (int sample = 0; sample < 20; ++sample) {
        speed.recordCompletion(fast, "q", milliseconds(2'000), milliseconds(1'000));
        speed.recordCompletion(slow, "q", milliseconds(2'600), milliseconds(1'000));
    }
    EXPECT_GT(speed.slowness(slow, now), speed.slowness(fast, now) * 1.2);
}

// Guards against avoiding a worker because of one wrong estimate.
TEST(WorkerSpeed, FewSamplesDoNotMarkAWorkerAsSlow)
{
    WorkerSpeed speed;
    speed.recordCompletion(fast, "q", milliseconds(1'000), milliseconds(1'000));
    speed.recordCompletion(slow, "q", milliseconds(3'000), milliseconds(1'000));
    EXPECT_EQ(speed.slowness(slow, now), 1);
}

// Guards against placing more work on a worker with a stalled task, and against avoiding that worker permanently.
TEST(WorkerSpeed, MarksAWorkerWithAStalledTaskAsSlowForALimitedTime)
{
    WorkerSpeed speed;
    speed.recordProgress(slow, "q", milliseconds(3'000), 5, milliseconds(2'000), now);
    EXPECT_GT(speed.slowness(slow, now), 3);
    EXPECT_EQ(speed.slowness(slow, now + milliseconds(5'000)), 1);
}

} // namespace lentilsaddle::coordination::batch
