#include "coordination/decisions/batch/LagMonitor.h"

#include <gtest/gtest.h>

namespace lentilsaddle::coordination::batch {

namespace {

    using std::chrono::milliseconds;

    constexpr state::MonotonicTime at(int milliseconds)
    {
        return state::MonotonicTime(std::chrono::milliseconds(100'000 + milliseconds));
    }

} // namespace

// Guards against a leader that is behind without a sign of it, and against a report for each delayed round.
TEST(LagMonitor, ReportsTheLongestDelayOnceASecond)
{
    LagMonitor monitor({ .threshold = milliseconds(250), .reportInterval = milliseconds(1'000) });
    EXPECT_EQ(monitor.record(at(0), at(100)), std::nullopt);
    EXPECT_EQ(monitor.record(at(100), at(500)), milliseconds(400));
    EXPECT_EQ(monitor.record(at(500), at(1'100)), std::nullopt);
    EXPECT_EQ(monitor.record(at(1'100), at(1'400)), std::nullopt);
    EXPECT_EQ(monitor.record(at(1'400), at(1'600)), milliseconds(600));
    EXPECT_EQ(monitor.record(at(2'600), at(2'700)), std::nullopt);
}

} // namespace lentilsaddle::coordination::batch
