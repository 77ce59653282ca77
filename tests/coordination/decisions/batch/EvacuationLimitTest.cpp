#include "coordination/decisions/batch/EvacuationLimit.h"

#include <gtest/gtest.h>

namespace lentilsaddle::coordination::batch {

namespace {

    using std::chrono::milliseconds;

    EvacuationLimit withLimit(milliseconds limit)
    {
        return { .limit = limit, .startTimeout = milliseconds(300), .regularAge = milliseconds(2'400) };
    }

} // namespace

// Guards against a start after the limit, which takes its timeout, and against a limit that no lost response is covered
// by.
TEST(EvacuationLimit, OldestViewAndSlowestStartKeepTheLimit)
{
    EvacuationLimit times = withLimit(milliseconds(5'000));
    EXPECT_LT(allowedEvacuationAge(times) + times.startTimeout, times.limit);
    EXPECT_GT(allowedEvacuationAge(times), times.regularAge + milliseconds(1'000));
}

// Guards against a limit so short that nothing ever starts, and against an effect where there is no limit.
TEST(EvacuationLimit, ShortLimitAndNoLimitLetTasksStart)
{
    EXPECT_EQ(allowedEvacuationAge(withLimit(milliseconds(1'000))), milliseconds(2'400));
    EXPECT_EQ(allowedEvacuationAge(withLimit(milliseconds(0))), milliseconds::max());
}

} // namespace lentilsaddle::coordination::batch
