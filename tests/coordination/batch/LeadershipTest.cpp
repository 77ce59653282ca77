#include "coordination/batch/Leadership.h"

#include "FakeStore.h"
#include "coordination/batch/JournalKeys.h"
#include "coordination/batch/KeyedReader.h"
#include "protocol/batch/BatchRecordCodec.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <utility>

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
                      .onRecords = [this](const std::vector<KeyedRecord>& records) { applyRecords(records); },
                      .afterRead = [this] { m_leadership.onJournalRead(); },
                      .onReachability = [](const KeyedReader::Reachability&) {},
                  })
            , m_leadership(m_loop, m_journal, m_options, state::InstanceId("e-1"), 1, m_reader,
                  {
                      .clock = [] { return steady_clock::now(); },
                      .random = [] { return 0; },
                      .onElected = [this](std::uint64_t) { onElected(); },
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

        void runUntil(const std::function<bool()>& condition)
        {
            auto end = steady_clock::now() + 8 * readInterval;
            while (!condition() && steady_clock::now() < end)
                runFor(milliseconds(5));
        }

        void runUntilLeading(std::uint64_t term)
        {
            runUntil([this, term] { return m_leadership.term() == term; });
            ASSERT_EQ(m_leadership.term(), term);
        }

        void applyRecords(const std::vector<KeyedRecord>& records)
        {
            for (const KeyedRecord& record : records) {
                if (record.key == leaderKey)
                    m_leadership.onLeaderRecord(protocol::batch::decodeLeader(*record.value));
            }
        }

        void onElected()
        {
            m_elected = true;
            if (std::exchange(m_stepDownWhenElected, false))
                m_leadership.stepDown();
        }

        /// Starts the instance, which leads as the only one.
        void lead()
        {
            m_eligible = true;
            m_reader.start();
            runUntilLeading(1);
        }

        /// @return the newest leader record of the store.
        state::batch::LeaderRecord newestLeaderRecord()
        {
            state::batch::LeaderRecord newest;
            for (const KeyedRecord& record : m_store.records(Stream::Journal)) {
                if (record.key == leaderKey)
                    newest = protocol::batch::decodeLeader(*record.value);
            }
            return newest;
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
        bool m_stepDownWhenElected = false;
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

// Guards against a cluster without a leader after the only instance has stepped down for one that is gone.
TEST_F(LeadershipTest, InstanceThatSteppedDownClaimsAgainIfNoOtherDoes)
{
    lead();
    m_leadership.stepDown();
    runUntilLeading(2);
}

// Guards against a term without an end if the instance steps down as soon as its claim is confirmed.
TEST_F(LeadershipTest, InstanceThatStepsDownWhenElectedClaimsAgain)
{
    m_stepDownWhenElected = true;
    m_eligible = true;
    m_reader.start();
    runUntilLeading(2);
}

// Guards against a term without an end if the store refuses the vacant record for a while.
TEST_F(LeadershipTest, InstanceWhoseVacantRecordWasRefusedClaimsAgain)
{
    lead();
    m_store.setAppendFault(FakeStore::AppendFault::Refuse);
    m_leadership.stepDown();
    runFor(readInterval);
    EXPECT_FALSE(newestLeaderRecord().vacant);
    m_store.setAppendFault(FakeStore::AppendFault::None);
    runUntilLeading(2);
}

// Guards against a term without an end if the vacant record is stored and its response is lost.
TEST_F(LeadershipTest, InstanceWhoseVacantRecordHasNoResponseClaimsAgain)
{
    lead();
    m_store.setAppendFault(FakeStore::AppendFault::LoseResponse);
    m_leadership.stepDown();
    runFor(readInterval);
    EXPECT_TRUE(newestLeaderRecord().vacant);
    m_store.setAppendFault(FakeStore::AppendFault::None);
    runUntilLeading(2);
}

// Guards against a vacant record that a store carries out late and that ends a newer term.
TEST_F(LeadershipTest, LateVacantRecordDoesNotEndANewerTerm)
{
    lead();
    std::optional<AppendRequest> late;
    auto append = m_journal.append;
    m_journal.append = [&](const AppendRequest& request, const std::function<void(AppendResult)>& reply) {
        if (!late)
            late = request;
        append(request, reply);
    };
    m_leadership.stepDown();
    runUntilLeading(2);
    append(*late, [](const AppendResult&) {});
    runFor(2 * readInterval);
    EXPECT_EQ(m_leadership.term(), 2U);
    EXPECT_FALSE(newestLeaderRecord().vacant);
}

// Guards against a term that begins again because its records are read after the instance has stepped down: the store
// would answer a repeated sequence number with the result of the earlier append.
TEST_F(LeadershipTest, RecordsOfALeftTermDoNotBeginItAgain)
{
    lead();
    m_leadership.stepDown();
    runFor(milliseconds(20));
    m_eligible = false;
    m_elected = false;
    m_leadership.onLeaderRecord({ .term = 1, .instance = state::InstanceId("e-1"), .incarnation = 1 });
    runFor(milliseconds(50));
    EXPECT_FALSE(m_elected);
    EXPECT_EQ(m_leadership.term(), 0U);
}

// Guards against claims that displace an instance which has taken over.
TEST_F(LeadershipTest, InstanceThatSteppedDownFollowsTheNextLeader)
{
    lead();
    m_leadership.stepDown();
    runFor(milliseconds(20));
    m_store.put(Stream::Journal, std::string(leaderKey),
        protocol::batch::encodeLeader({ .term = 2, .instance = state::InstanceId("e-2"), .incarnation = 2 }));
    runFor(3 * readInterval);
    EXPECT_EQ(m_leadership.term(), 0U);
    EXPECT_EQ(m_leadership.leader()->instance, state::InstanceId("e-2"));
}

} // namespace lentilsaddle::coordination::batch
