#include "state/ConfigurationHistory.h"

#include "state/StateError.h"

#include <gtest/gtest.h>

namespace lentilsaddle::state {

namespace {

    ConfigurationHistory makeHistory()
    {
        return ConfigurationHistory([](const Configuration& base, const std::string& account) {
            Configuration next = base;
            next.accounts[AccountId(account)]
                = ClientAccount { .id = AccountId(account), .weight = 1, .guarantees = {} };
            return next;
        });
    }

    Record::ConfigurationPatch patch(const std::string& id, ConfigurationVersion base)
    {
        return { .id = PatchId(id), .base = base, .mergePatch = id };
    }

} // namespace

// Guards against two concurrent patches of operators on the same base that are both reported as accepted.
TEST(ConfigurationHistory, SecondPatchOnTheSameBaseIsRejected)
{
    ConfigurationHistory history = makeHistory();
    EXPECT_TRUE(history.apply(patch("a", 0)).accepted);
    Record::PatchOutcome second = history.apply(patch("b", 0));
    EXPECT_FALSE(second.accepted);
    EXPECT_EQ(second.version, 1U);
    EXPECT_FALSE(history.current().accounts.contains(AccountId("b")));
}

// Guards against a change of the first outcome by a record that is in the log twice, after the response to its append
// was lost.
TEST(ConfigurationHistory, RepeatedRecordKeepsTheFirstOutcome)
{
    ConfigurationHistory history = makeHistory();
    history.apply(patch("a", 0));
    Record::PatchOutcome repeated = history.apply(patch("a", 0));
    EXPECT_TRUE(repeated.accepted);
    EXPECT_EQ(repeated.version, 1U);
    EXPECT_EQ(history.current().version, 1U);
}

// Guards against replacing the configuration in force by an older snapshot from a peer.
TEST(ConfigurationHistory, RestoreNeverReverts)
{
    ConfigurationHistory history = makeHistory();
    history.apply(patch("a", 0));
    history.apply(patch("b", 1));
    Configuration older;
    older.version = 1;
    history.restore(older, {});
    EXPECT_EQ(history.current().version, 2U);
    EXPECT_TRUE(history.current().accounts.contains(AccountId("b")));
}

} // namespace lentilsaddle::state
