#include "state/StreamReplay.h"

#include <gtest/gtest.h>

namespace lentilsaddle::state {

namespace {

    class StreamReplayTest : public testing::Test {
    protected:
        static StreamBatch::Entry claim(LogOffset offset)
        {
            return { .offset = offset, .record = { .origin = {}, .body = Record::SchedulerClaim { .epoch = offset } } };
        }

        static StreamBatch::Entry snapshot(LogOffset offset, LogOffset covered)
        {
            Record::JobSnapshot body;
            body.nextOffset = covered;
            return { .offset = offset, .record = { .origin = {}, .body = body } };
        }

        static StreamBatch batch(LogOffset first, std::vector<StreamBatch::Entry> entries, bool gap = false)
        {
            LogOffset next = entries.empty() ? first : entries.back().offset + 1;
            return {
                .entries = std::move(entries), .firstOffset = first, .nextOffset = next, .gap = gap, .caughtUp = true
            };
        }

        std::vector<LogOffset> m_applied;
        int m_snapshots = 0;
        StreamReplay m_replay { {
            .snapshotOffset = [](const Record& record) -> std::optional<LogOffset> {
                if (const auto* body = std::get_if<Record::JobSnapshot>(&record.body))
                    return body->nextOffset;
                return std::nullopt;
            },
            .loadSnapshot = [this](const Record&) { ++m_snapshots; },
            .apply = [this](LogOffset offset, const Record&) { m_applied.push_back(offset); },
        } };
    };

} // namespace

TEST_F(StreamReplayTest, ReadsFromTheStart)
{
    m_replay.accept(batch(0, { claim(0), claim(1) }));
    EXPECT_TRUE(m_replay.caughtUp());
    EXPECT_EQ(m_applied, (std::vector<LogOffset> { 0, 1 }));
}

// Guards against using the state of a stream whose oldest records have expired.
TEST_F(StreamReplayTest, ExpiredStreamWithoutSnapshotIsIncomplete)
{
    m_replay.accept(batch(5, { claim(5), claim(6) }));
    EXPECT_FALSE(m_replay.complete());
    EXPECT_TRUE(m_applied.empty());
}

// Guards against losing records that were appended after the snapshot was taken and before it was appended.
TEST_F(StreamReplayTest, RecordsNotCoveredByTheSnapshotAreApplied)
{
    m_replay.accept(batch(5, { claim(5), claim(6), snapshot(7, 6), claim(8) }));
    EXPECT_TRUE(m_replay.complete());
    EXPECT_EQ(m_snapshots, 1);
    EXPECT_EQ(m_applied, (std::vector<LogOffset> { 6, 8 }));
}

// Guards against loading a snapshot that ends before the oldest record read, so that the records between are missing.
TEST_F(StreamReplayTest, SnapshotThatEndsBeforeTheOldestRecordIsNotUsed)
{
    m_replay.accept(batch(5, { claim(5), snapshot(6, 3) }));
    EXPECT_FALSE(m_replay.complete());
}

// Guards against using a stale state after records expired before they were read, during an outage.
TEST_F(StreamReplayTest, GapMakesTheStateIncompleteUntilASnapshot)
{
    m_replay.accept(batch(0, { claim(0) }));
    m_replay.accept(batch(9, { claim(9) }, true));
    EXPECT_FALSE(m_replay.complete());
    m_replay.accept(batch(10, { snapshot(10, 10) }));
    EXPECT_TRUE(m_replay.complete());
    EXPECT_EQ(m_applied, (std::vector<LogOffset> { 0 }));
}

// Guards against applying records twice when a read is retried after a lost response.
TEST_F(StreamReplayTest, OverlappingBatchesApplyOnce)
{
    m_replay.accept(batch(0, { claim(0), claim(1) }));
    m_replay.accept(batch(1, { claim(1), claim(2) }));
    EXPECT_EQ(m_applied, (std::vector<LogOffset> { 0, 1, 2 }));
}

} // namespace lentilsaddle::state
