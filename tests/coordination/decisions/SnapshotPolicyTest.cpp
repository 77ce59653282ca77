#include "coordination/decisions/SnapshotPolicy.h"

#include <gtest/gtest.h>

namespace lentilsaddle::coordination {

// Guards against the last snapshot of a quiet stream expiring, also if every instance is replaced before the interval
// ends, and against a flapping connection filling the stream with snapshots.
TEST(SnapshotPolicy, AgeAndOutageMakeASnapshotDue)
{
    using std::chrono::hours;
    using std::chrono::minutes;
    state::MonotonicTime start {};
    SnapshotPolicy policy({ .records = 1'000, .retention = hours(48), .minimumAgeAfterOutage = minutes(1) });
    policy.assumeSnapshotAt(start - hours(11));
    policy.recordReplayedSnapshot();
    EXPECT_FALSE(policy.due(start, 1));
    EXPECT_TRUE(policy.due(start + hours(1), 1));
    EXPECT_FALSE(policy.due(start + hours(1), 0));
    policy.recordSnapshot(start);
    policy.recordOutageEnd();
    EXPECT_FALSE(policy.due(start + minutes(1) - std::chrono::seconds(1), 1));
    EXPECT_TRUE(policy.due(start + minutes(1), 1));
}

} // namespace lentilsaddle::coordination
