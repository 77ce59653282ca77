#include "coordination/decisions/OutlierDetector.h"

#include <gtest/gtest.h>

namespace lentilsaddle::coordination {

namespace {

    const state::InstanceId server("r");
    const state::MonotonicTime start {};
    const OutlierDetectorOptions options;

    OutlierDetector ejected()
    {
        OutlierDetector detector(options);
        for (int i = 1; i < options.failuresToEject; ++i)
            EXPECT_FALSE(detector.recordFailure(server, start));
        EXPECT_TRUE(detector.recordFailure(server, start));
        return detector;
    }

} // namespace

// Guards against a runner that fails everything fast and so attracts all requests.
TEST(OutlierDetector, EjectsAndLetsOneProbeThrough)
{
    OutlierDetector detector = ejected();
    state::MonotonicTime probe = start + options.initialEjection;
    EXPECT_FALSE(detector.available(server, probe - std::chrono::milliseconds(1)));
    EXPECT_EQ(detector.nextProbe(start), probe);
    EXPECT_TRUE(detector.available(server, probe));
    detector.recordDispatch(server);
    EXPECT_FALSE(detector.available(server, probe));
    detector.recordSuccess(server);
    EXPECT_TRUE(detector.available(server, probe));
}

// Guards against probing a dead runner at a constant rate.
TEST(OutlierDetector, FailedProbeDoublesTheEjection)
{
    OutlierDetector detector = ejected();
    state::MonotonicTime probe = start + options.initialEjection;
    detector.recordDispatch(server);
    EXPECT_TRUE(detector.recordFailure(server, probe));
    EXPECT_FALSE(detector.available(server, probe + options.initialEjection));
    EXPECT_TRUE(detector.available(server, probe + 2 * options.initialEjection));
}

// Guards against ejecting a runner for failures that are not in a row.
TEST(OutlierDetector, SuccessStartsTheCountAgain)
{
    OutlierDetector detector(options);
    for (int i = 0; i < 3 * options.failuresToEject; ++i) {
        EXPECT_FALSE(detector.recordFailure(server, start));
        if (i % 2 == 0)
            detector.recordSuccess(server);
    }
}

// Guards against new work for a leaving runner because an earlier request was still answered.
TEST(OutlierDetector, LateSuccessDoesNotEndThePauseOfALeavingRunner)
{
    OutlierDetector detector(options);
    detector.recordLeaving(server, start);
    detector.recordSuccess(server);
    EXPECT_FALSE(detector.available(server, start + std::chrono::seconds(3)));
}

} // namespace lentilsaddle::coordination
