#include "coordination/decisions/batch/FencingTokens.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace lentilsaddle::coordination::batch {

// Guards against a request of an earlier leader, or one for an earlier incarnation of a worker, that a worker executes
// after a later one.
RC_GTEST_PROP(FencingTokens, TokensRiseWithinATermAndWithTheTerm, ())
{
    auto term = *rc::gen::inRange<std::uint64_t>(1, 1'000'000'000);
    FencingTokens tokens(term);
    std::uint64_t last = (term - 1) << FencingTokens::serialBits;
    for (int count = *rc::gen::inRange(1, 100); count > 0; --count) {
        std::uint64_t next = tokens.next();
        RC_ASSERT(next > last);
        last = next;
    }
    RC_ASSERT(FencingTokens(term + 1).next() > last);
}

// Guards against tokens that reach into the next term, whose leader would be refused.
TEST(FencingTokens, TokensStayBelowThoseOfTheNextTerm)
{
    FencingTokens tokens(7);
    std::uint64_t last = 0;
    for (int count = 0; count < (1 << FencingTokens::serialBits) + 10; ++count) {
        std::uint64_t next = tokens.next();
        EXPECT_GE(next, last);
        last = next;
    }
    EXPECT_LT(last, FencingTokens(8).next());
}

// Guards against tokens that a reader rounds which decodes numbers as doubles.
TEST(FencingTokens, TokensAreExactAsDoubles)
{
    constexpr std::uint64_t highestTerm = (std::uint64_t { 1 } << (53 - FencingTokens::serialBits)) - 1;
    std::uint64_t token = FencingTokens(highestTerm).next();
    EXPECT_EQ(static_cast<std::uint64_t>(static_cast<double>(token)), token);
}

} // namespace lentilsaddle::coordination::batch
