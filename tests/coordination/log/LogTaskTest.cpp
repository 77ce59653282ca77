#include "coordination/log/LogTask.h"

#include "protocol/RecordCodec.h"
#include "tests/coordination/FakeLogService.h"
#include "tests/coordination/TestEnvironment.h"

#include <gtest/gtest.h>

#include <atomic>

namespace lentilsaddle::coordination {

using state::Record;
using Status = LogMessage::AppendStatus;

namespace {

    class LogTaskTest : public testing::Test {
    protected:
        LogTaskTest()
            : m_task(makeTestEnvironment("e1", m_metrics),
                LogTaskOptions {
                    .platformUrl = m_service.url(),
                    .appendTimeout = std::chrono::milliseconds(200),
                    .probeInterval = std::chrono::milliseconds(20),
                    .backoff = { .minimum = std::chrono::milliseconds(5), .maximum = std::chrono::milliseconds(20) },
                    .relayRead
                    = [this](const auto&, auto offset, auto, const auto& reply) { reply(relayRead(offset)); },
                    .relayAppend
                    = [this](const auto&, const auto&, const auto& reply) { reply({ .status = m_relayAppend }); },
                })
        {
            m_task.start();
        }
        ~LogTaskTest() override { m_task.stop(); }

        void append(std::uint64_t epoch, std::chrono::milliseconds limit)
        {
            m_task.post({ LogMessage::Append {
                .stream = "jobs.d1",
                .body = Record::SchedulerClaim { .epoch = epoch },
                .deadline = std::chrono::steady_clock::now() + limit,
                .onResult = [this](const LogMessage::AppendResult& result) { m_results.put(result); },
            } });
        }

        void subscribe()
        {
            m_task.post({ LogMessage::Subscribe {
                .stream = "jobs.d1",
                .onBatch = [this](state::StreamBatch batch) { m_batches.put(std::move(batch)); },
            } });
        }

        static std::string claim(std::uint64_t epoch)
        {
            return protocol::encodeRecord({ .origin = {}, .body = Record::SchedulerClaim { .epoch = epoch } });
        }

        protocol::LogClient::ReadResult relayRead(state::LogOffset offset) const
        {
            if (!m_relayReads)
                return {};
            protocol::LogClient::ReadResult result { .status = protocol::LogClient::ReadResult::Status::Records };
            if (offset == 0)
                result.records.push_back({ .offset = 0, .bytes = claim(1) });
            result.nextOffset = 1;
            return result;
        }

        /// Longer than any test takes.
        static constexpr std::chrono::minutes longLimit { 5 };
        transport::Metrics m_metrics;
        FakeLogService m_service;
        std::atomic<bool> m_relayReads = false;
        std::atomic<protocol::LogClient::AppendResult::Status> m_relayAppend
            = protocol::LogClient::AppendResult::Status::NotSent;
        Mailbox<LogMessage::AppendResult> m_results;
        Mailbox<state::StreamBatch> m_batches;
        LogTask m_task;
    };

} // namespace

// Guards against a second outcome, or a second identity of the record, when an append takes effect and its answer is
// lost.
TEST_F(LogTaskTest, LostAnswerGivesOneResultAndOneOrigin)
{
    m_service.setAppendFault(FakeLogService::AppendFault::LoseResponse);
    append(1, longLimit);
    m_service.receivedAppends.take();
    m_service.setAppendFault(FakeLogService::AppendFault::None);
    LogMessage::AppendResult result = m_results.take();
    EXPECT_EQ(result.status, Status::Appended);
    std::vector<std::string> records = m_service.records();
    ASSERT_GE(records.size(), 2U);
    for (const std::string& bytes : records)
        EXPECT_EQ(protocol::decodeRecord(bytes).origin, result.origin);
    EXPECT_TRUE(m_results.empty());
}

// Guards against a record being reported as absent although an append of it may still take effect.
TEST_F(LogTaskTest, RecordThatMayHaveBeenSentIsUnresolved)
{
    m_service.setAppendFault(FakeLogService::AppendFault::Drop);
    append(1, std::chrono::milliseconds(600));
    m_service.receivedAppends.take();
    // From here on every retry fails before a byte is sent.
    m_service.shutDown();
    EXPECT_EQ(m_results.take().status, Status::Unresolved);
}

// Guards against refused connections being reported as unresolved, which would hold up callers without need.
TEST_F(LogTaskTest, RecordThatWasNeverSentIsNotAppended)
{
    m_service.shutDown();
    append(1, std::chrono::milliseconds(100));
    EXPECT_EQ(m_results.take().status, Status::NotAppended);
    EXPECT_TRUE(m_service.records().empty());
}

// Guards against records that expired unread being taken for records that never existed.
TEST_F(LogTaskTest, ExpiredRecordsAreReportedAsAGap)
{
    for (std::uint64_t epoch = 1; epoch <= 4; ++epoch)
        m_service.add(claim(epoch));
    m_service.expire(3);
    subscribe();
    state::StreamBatch batch = m_batches.take();
    EXPECT_TRUE(batch.gap);
    EXPECT_EQ(batch.firstOffset, 3U);
    ASSERT_EQ(batch.entries.size(), 1U);
    EXPECT_EQ(batch.entries.front().offset, 3U);
}

// Guards against one damaged record holding up its stream.
TEST_F(LogTaskTest, RecordThatCannotBeDecodedIsSkippedAndCounted)
{
    m_service.add("no record");
    m_service.add(claim(2));
    subscribe();
    state::StreamBatch batch = m_batches.take();
    ASSERT_EQ(batch.entries.size(), 1U);
    EXPECT_EQ(batch.nextOffset, 2U);
    EXPECT_NE(
        m_metrics.render().find("lentilsaddle_log_records_skipped_total{stream=\"jobs.d1\"} 1"), std::string::npos);
}

// Guards against a reader that stays behind, or loses records, after an outage of the service.
TEST_F(LogTaskTest, OutageIsReportedAndTheReaderGoesOnWhereItWas)
{
    Mailbox<bool> reachable;
    m_task.post({ LogMessage::WatchReachability { .onChange = [&](bool value) { reachable.put(value); } } });
    m_service.add(claim(1));
    subscribe();
    EXPECT_TRUE(reachable.take());
    EXPECT_FALSE(m_batches.take().gap);
    m_service.shutDown();
    EXPECT_FALSE(reachable.take());
    m_service.add(claim(2));
    m_service.listen();
    EXPECT_TRUE(reachable.take());
    state::StreamBatch batch = m_batches.takeUntil([](const auto& value) { return !value.entries.empty(); });
    EXPECT_FALSE(batch.gap);
    EXPECT_EQ(batch.entries.front().offset, 1U);
    m_task.stop();
}

// Guards against an outage that seems to last until the next record, because the first read after it is held back.
TEST_F(LogTaskTest, EndOfAnOutageIsReportedWithoutANewRecord)
{
    Mailbox<bool> reachable;
    m_task.post({ LogMessage::WatchReachability { .onChange = [&](bool value) { reachable.put(value); } } });
    m_service.add(claim(1));
    subscribe();
    EXPECT_TRUE(reachable.take());
    m_batches.takeUntil([](const auto& batch) { return batch.caughtUp; });
    m_service.shutDown();
    EXPECT_FALSE(reachable.take());
    m_service.listen();
    EXPECT_TRUE(reachable.take());
    m_task.stop();
}

// Guards against an outage of appends alone being reported for ever, since no task appends while it is reported.
TEST_F(LogTaskTest, FailedAppendIsFollowedByAProbe)
{
    Mailbox<bool> reachable;
    m_task.post({ LogMessage::WatchReachability { .onChange = [&](bool value) { reachable.put(value); } } });
    m_service.setAppendFault(FakeLogService::AppendFault::Drop);
    append(1, std::chrono::milliseconds(50));
    EXPECT_EQ(m_results.take().status, Status::Unresolved);
    EXPECT_FALSE(reachable.take());
    EXPECT_TRUE(reachable.take());
    m_task.stop();
}

// Guards against an instance that only a peer connects to the log being cut off from it.
TEST_F(LogTaskTest, FailingConnectionIsReplacedByARelay)
{
    Mailbox<bool> direct;
    m_task.post(
        { LogMessage::WatchReachability { .directOnly = true, .onChange = [&](bool value) { direct.put(value); } } });
    m_service.shutDown();
    m_relayReads = true;
    m_relayAppend = protocol::LogClient::AppendResult::Status::Appended;
    append(1, longLimit);
    EXPECT_EQ(m_results.take().status, Status::Appended);
    EXPECT_FALSE(direct.take());
    subscribe();
    EXPECT_EQ(m_batches.take().entries.size(), 1U);
    m_service.listen();
    EXPECT_TRUE(direct.take());
    m_task.stop();
}

// Guards against a relayed append whose answer was lost being reported as absent.
TEST_F(LogTaskTest, RelayedAppendWithoutAnswerIsUnresolved)
{
    m_service.shutDown();
    m_relayAppend = protocol::LogClient::AppendResult::Status::Unresolved;
    append(1, std::chrono::milliseconds(200));
    EXPECT_EQ(m_results.take().status, Status::Unresolved);
}

} // namespace lentilsaddle::coordination
