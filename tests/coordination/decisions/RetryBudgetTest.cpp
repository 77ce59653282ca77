#include "coordination/decisions/RetryBudget.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <vector>

namespace lentilsaddle::coordination {

// Guards against retries that multiply the load when everything fails: over any time, they stay below 3 a second or a
// tenth of the requests, counted in windows that slide by a tenth of a second.
RC_GTEST_PROP(RetryBudget, RetriesStayWithinTheBudget, ())
{
    RetryBudget budget { RetryBudgetOptions() };
    auto perStep = *rc::gen::container<std::vector<int>>(50, rc::gen::inRange(0, 40));
    std::vector<int> retries;
    for (std::size_t step = 0; step < perStep.size(); ++step) {
        state::MonotonicTime now { std::chrono::milliseconds(100 * step) };
        int taken = 0;
        for (int i = 0; i < perStep[step]; ++i) {
            budget.countRequest(now);
            while (budget.tryConsume(now))
                ++taken;
        }
        retries.push_back(taken);
        auto last = [&](const std::vector<int>& values) {
            std::size_t from = step < 9 ? 0 : step - 9;
            int sum = 0;
            for (std::size_t i = from; i <= step; ++i)
                sum += values[i];
            return sum;
        };
        // A retry that was allowed earlier in the window stays counted when the requests become fewer.
        RC_ASSERT(taken == 0 || last(retries) <= std::max(3, last(perStep) / 10));
    }
}

TEST(RetryBudget, AllowsThreeASecondWithoutRequests)
{
    RetryBudget budget { RetryBudgetOptions() };
    for (int second = 0; second < 3; ++second) {
        state::MonotonicTime now { std::chrono::seconds(second) };
        for (int i = 0; i < 3; ++i)
            EXPECT_TRUE(budget.tryConsume(now));
        EXPECT_FALSE(budget.tryConsume(now));
    }
}

} // namespace lentilsaddle::coordination
