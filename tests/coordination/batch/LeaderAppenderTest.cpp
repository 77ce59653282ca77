#include "coordination/batch/LeaderAppender.h"

#include "FakeStore.h"

#include <gtest/gtest.h>

namespace lentilsaddle::coordination::batch {

namespace {

    using std::chrono::milliseconds;

    class LeaderAppenderTest : public testing::Test {
    protected:
        LeaderAppenderTest()
            : m_journal(m_store.hooksFor(m_loop))
            , m_appender(m_loop, m_journal, m_options,
                  {
                      .clock = [] { return std::chrono::steady_clock::now(); },
                      .onLeadershipLost = [this](const std::string&) { m_leadershipLost = true; },
                  })
        {
            m_options.appendTimeout = milliseconds(20);
            m_options.storeRetryDelay = milliseconds(5);
            m_appender.beginTerm(1, 100);
        }

        void append(const std::string& key)
        {
            m_appender.append(
                { { .key = key, .value = "v" } }, [this, key](std::uint64_t) { m_stored.push_back(key); });
        }

        void runFor(milliseconds duration)
        {
            m_loop.startTimer(duration, [this] { m_loop.requestStop(); });
            m_loop.run();
        }

        FakeStore m_store;
        transport::EventLoop m_loop { [] {} };
        JournalHooks m_journal;
        BatchOptions m_options;
        bool m_leadershipLost = false;
        std::vector<std::string> m_stored;
        LeaderAppender m_appender;
    };

} // namespace

// Guards against a record that is stored twice, or treated as lost, when the store's response is lost.
TEST_F(LeaderAppenderTest, LostResponseIsRetriedWithTheSameSequenceNumber)
{
    m_store.setAppendFault(FakeStore::AppendFault::LoseResponse);
    append("a");
    m_loop.startTimer(milliseconds(60), [this] { m_store.setAppendFault(FakeStore::AppendFault::None); });
    runFor(milliseconds(200));
    EXPECT_EQ(m_stored, std::vector<std::string> { "a" });
    EXPECT_EQ(m_store.records(Stream::Journal).size(), 1U);
    EXPECT_FALSE(m_leadershipLost);
}

// Guards against an append that the store refuses for its size, and that is retried until the leadership is lost.
TEST_F(LeaderAppenderTest, LargeQueueIsStoredInSeveralAppends)
{
    m_options.appendBytes = 100;
    m_store.setAppendDelay(milliseconds(5));
    for (const char* key : { "a", "b", "c", "d", "e", "f" })
        m_appender.append(
            { { .key = key, .value = std::string(30, 'v') }, { .key = key, .value = std::string(30, 'w') } },
            [this, key](std::uint64_t offset) { m_stored.push_back(key + std::to_string(offset)); });
    runFor(milliseconds(200));
    EXPECT_EQ(m_stored, (std::vector<std::string> { "a0", "b2", "c4", "d6", "e8", "f10" }));
    EXPECT_EQ(m_store.appends(), 6);
}

// Guards against a callback without records that comes before those of earlier records, or never.
TEST_F(LeaderAppenderTest, AppendWithoutRecordsCallsBackAfterEarlierOnes)
{
    append("a");
    m_appender.append({}, [this](std::uint64_t) { m_stored.push_back("after a"); });
    m_loop.startTimer(
        milliseconds(30), [this] { m_appender.append({}, [this](std::uint64_t) { m_stored.push_back("idle"); }); });
    runFor(milliseconds(60));
    EXPECT_EQ(m_stored, (std::vector<std::string> { "a", "after a", "idle" }));
    EXPECT_EQ(m_store.records(Stream::Journal).size(), 1U);
}

// Guards against a record that costs an append of its own, is lost, or shifts the offsets of the records of the append.
TEST_F(LeaderAppenderTest, DeferredRecordIsStoredWithTheNextAppend)
{
    m_appender.appendWithNext({ .key = "later", .value = "v" });
    runFor(milliseconds(30));
    EXPECT_EQ(m_store.appends(), 0);
    m_appender.append({ { .key = "a", .value = "v" } },
        [this](std::uint64_t offset) { m_stored.push_back("a" + std::to_string(offset)); });
    runFor(milliseconds(30));
    EXPECT_EQ(m_stored, std::vector<std::string> { "a0" });
    EXPECT_EQ(m_store.appends(), 1);
    EXPECT_EQ(m_store.records(Stream::Journal).back().key, "later");
}

// Guards against records that are stored out of order.
TEST_F(LeaderAppenderTest, KeepsTheOrderOfRecords)
{
    append("a");
    append("b");
    m_loop.startTimer(milliseconds(1), [this] { append("c"); });
    runFor(milliseconds(50));
    EXPECT_EQ(m_stored, (std::vector<std::string> { "a", "b", "c" }));
}

// Guards against a leader that keeps writing after another instance has begun a later term.
TEST_F(LeaderAppenderTest, LaterTermEndsTheLeadership)
{
    append("a");
    runFor(milliseconds(20));
    m_journal.append({ .writer = Writer { .term = 2, .sequence = 1 } }, [](const AppendResult&) {});
    append("b");
    m_loop.startTimer(milliseconds(30), [this] { m_loop.requestStop(); });
    m_loop.run();
    EXPECT_TRUE(m_leadershipLost);
    EXPECT_EQ(m_stored, std::vector<std::string> { "a" });
}

} // namespace lentilsaddle::coordination::batch
