#include "coordination/decisions/batch/RestartHistory.h"

#include <gtest/gtest.h>

namespace lentilsaddle::coordination::batch {

namespace {

    using std::chrono::milliseconds;

    constexpr state::MonotonicTime at(int seconds)
    {
        return state::MonotonicTime(std::chrono::seconds(1'000 + seconds));
    }

} // namespace

// Guards against blaming a task for the crash of its worker when a whole data centre restarts.
TEST(RestartHistory, RestartsWithinTheWindowCoincide)
{
    RestartHistory history(milliseconds(2'000));
    EXPECT_FALSE(history.coincides(at(10)));
    history.add(at(10));
    EXPECT_TRUE(history.coincides(at(8)));
    EXPECT_TRUE(history.coincides(at(12)));
    EXPECT_EQ(history.settled(at(8)), at(10));
}

// Guards against tasks that crash workers without end because some other worker restarts now and then.
TEST(RestartHistory, RestartsBeyondTheWindowDoNotCoincide)
{
    RestartHistory history(milliseconds(2'000));
    history.add(at(10));
    EXPECT_FALSE(history.coincides(at(7)));
    EXPECT_FALSE(history.coincides(at(13)));
}

// Guards against a history that grows for as long as a leader leads.
TEST(RestartHistory, OldRestartsAreForgotten)
{
    RestartHistory history(milliseconds(2'000));
    history.add(at(10));
    history.add(at(1'000));
    EXPECT_FALSE(history.coincides(at(10)));
    EXPECT_TRUE(history.coincides(at(1'000)));
}

} // namespace lentilsaddle::coordination::batch
