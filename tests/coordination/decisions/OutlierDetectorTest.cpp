#include "coordination/decisions/OutlierDetector.h"

#include <gtest/gtest.h>

namespace lentilsaddle::coordination {

namespace {

    const state::InstanceId runner("r");
    const state::MonotonicTime start {};
    const OutlierDetectorOptions options;

    OutlierDetector ejected()
    {
        OutlierDetector detector(options);
        for (int i = 1; i < options.failuresToEject; ++i)
            EXPECT_FALSE(detector.recordFailure(runner, start));
        EXPECT_TRUE(detector.recordFailure(runner, start));
        return detector;
    }

} // namespace

// Guards against a runner that fails everything fast and so attracts all requests.
TEST(OutlierDetector, EjectsAndLetsOneProbeThrough)
{
    OutlierDetector detector = ejected();
    state::MonotonicTime probe = start + options.initialEjection;
    EXPECT_FALSE(detector.available(runner, probe - std::chrono::milliseconds(1)));
    EXPECT_EQ(detector.nextProbe(start), probe);
    EXPECT_TRUE(detector.available(runner, probe));
    detector.recordHandOver(runner);
    EXPECT_FALSE(detector.available(runner, probe));
    detector.recordSuccess(runner);
    EXPECT_TRUE(detector.available(runner, probe));
}

// Guards against probing a dead runner at a constant rate.
TEST(OutlierDetector, FailedProbeDoublesTheEjection)
{
    OutlierDetector detector = ejected();
    state::MonotonicTime probe = start + options.initialEjection;
    detector.recordHandOver(runner);
    EXPECT_TRUE(detector.recordFailure(runner, probe));
    EXPECT_FALSE(detector.available(runner, probe + options.initialEjection));
    EXPECT_TRUE(detector.available(runner, probe + 2 * options.initialEjection));
}

// Guards against ejecting a runner for failures that are not in a row.
TEST(OutlierDetector, SuccessStartsTheCountAgain)
{
    OutlierDetector detector(options);
    for (int i = 0; i < 3 * options.failuresToEject; ++i) {
        EXPECT_FALSE(detector.recordFailure(runner, start));
        if (i % 2 == 0)
            detector.recordSuccess(runner);
    }
}

// Guards against new work for a leaving runner because an earlier request was still answered.
TEST(OutlierDetector, LateSuccessDoesNotEndThePauseOfALeavingRunner)
{
    OutlierDetector detector(options);
    detector.recordLeaving(runner, start);
    detector.recordSuccess(runner);
    EXPECT_FALSE(detector.available(runner, start + std::chrono::seconds(3)));
}

} // namespace lentilsaddle::coordination
