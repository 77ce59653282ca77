#include "coordination/batch/Leadership.h"

#include "FakeStore.h"
#include "coordination/batch/KeyedReader.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace lentilsaddle::coordination::batch {

namespace {

    using std::chrono::milliseconds;
    using std::chrono::steady_clock;

    constexpr milliseconds readInterval { 400 };

    class LeadershipTest : public testing::Test {
    protected:
        LeadershipTest()
            : m_journal(m_store.hooksFor(m_loop))
            , m_reader(m_loop, m_journal, KeyedReader::optionsFor(Stream::Journal, m_options),
                  {
                      .clock = [] { return steady_clock::now(); },
                      .readInterval = [] { return readInterval; },
                      .onListing = [this](const std::vector<KeyedRecord>&) { m_leadership.start(std::nullopt); },
                      .onRecords = [](const std::vector<KeyedRecord>&) {},
                      .afterRead = [this] { m_leadership.onJournalRead(); },
                      .onReachability = [](const KeyedReader::Reachability&) {},
                  })
            , m_leadership(m_loop, m_journal, m_options, state::InstanceId("e-1"), 1, m_reader,
                  {
                      .clock = [] { return steady_clock::now(); },
                      .random = [] { return 0; },
                      .onElected = [this](std::uint64_t) { m_elected = true; },
                      .onLeadershipLost = [](const std::string&) {},
                      .eligible = [this] { return m_eligible; },
                      .outrankedDelay = [] { return milliseconds(0); },
                  })
        {
        }

        void runFor(milliseconds duration)
        {
            m_loop.startTimer(duration, [this] { m_loop.requestStop(); });
            m_loop.run();
        }

        /// Makes the next claim fail: a record follows those that were read, and the next read is delayed.
        void makeClaimFail()
        {
            m_reader.start();
            runFor(milliseconds(20));
            m_store.put(Stream::Journal, "c/first", "1");
            runFor(milliseconds(30));
            m_store.put(Stream::Journal, "c/second", "1");
            ASSERT_EQ(m_reader.position(), 1U);
            m_eligible = true;
            m_leadership.onJournalRead();
        }

        FakeStore m_store;
        transport::EventLoop m_loop { [] {} };
        JournalHooks m_journal;
        BatchOptions m_options;
        bool m_eligible = false;
        bool m_elected = false;
        KeyedReader m_reader;
        Leadership m_leadership;
    };

} // namespace

// Guards against a claim that failed because a submission was stored, and that is retried only after the next delayed
// read of the journal.
TEST_F(LeadershipTest, FailedClaimIsRetriedBeforeTheNextDelayedRead)
{
    makeClaimFail();
    runFor(readInterval / 2);
    EXPECT_TRUE(m_elected);
}

// Guards against claims in quick succession while the store refuses them and its reads show no further record.
TEST_F(LeadershipTest, RefusedClaimIsNotRetriedInQuickSuccession)
{
    int claims = 0;
    m_journal.append = [this, &claims](const AppendRequest&, const std::function<void(AppendResult)>& reply) {
        ++claims;
        m_loop.startTimer(
            std::chrono::microseconds(0), [reply] { reply({ .status = AppendResult::Status::ConditionFailed }); });
    };
    makeClaimFail();
    runFor(readInterval / 2);
    // The first claim, those after the reads of "c/second" and of the end of the journal.
    EXPECT_GE(claims, 2);
    EXPECT_LE(claims, 3);
}

} // namespace lentilsaddle::coordination::batch
