#include "coordination/configuration/ConfigurationTask.h"

#include "tests/coordination/Mailbox.h"
#include "tests/coordination/TestEnvironment.h"

#include <gtest/gtest.h>

namespace lentilsaddle::coordination {

using state::Record;
using state::StreamBatch;
using PatchResponse = ConfigurationMessage::PatchResponse;

namespace {

    class ConfigurationTaskTest : public testing::Test {
    protected:
        ConfigurationTaskTest()
            : m_task(makeTestEnvironment("e1", m_metrics),
                {
                    .stream = "configuration",
                    .appendTimeout = std::chrono::milliseconds(50),
                    .responseTimeout = std::chrono::milliseconds(100),
                    .snapshots = { .records = 3, .minimumAgeAfterOutage = std::chrono::milliseconds(0) },
                    .snapshotJitter = std::chrono::milliseconds(0),
                },
                [this](LogMessage message) {
                    if (auto* append = std::get_if<LogMessage::Append>(&message.body))
                        m_appends.put(std::move(*append));
                })
        {
            m_task.start();
        }
        ~ConfigurationTaskTest() override { m_task.stop(); }

        static Record patch(const std::string& id, state::ConfigurationVersion base)
        {
            return { .origin = {},
                .body = Record::ConfigurationPatch {
                    .id = state::PatchId(id),
                    .base = base,
                    .mergePatch = R"({"accounts":{")" + id + R"(":{}}})",
                } };
        }

        void replay(state::LogOffset first, const std::vector<Record>& records, bool gap = false)
        {
            StreamBatch batch {
                .entries = {}, .firstOffset = first, .nextOffset = first, .gap = gap, .caughtUp = true
            };
            for (const Record& record : records)
                batch.entries.push_back({ .offset = batch.nextOffset++, .record = record });
            m_task.post({ ConfigurationMessage::LogBatch { .batch = std::move(batch) } });
        }

        void submit(const Record& record)
        {
            m_task.post({ ConfigurationMessage::SubmitPatch {
                .patch = std::get<Record::ConfigurationPatch>(record.body),
                .reply = [this](PatchResponse response) { m_responses.put(std::move(response)); },
            } });
        }

        void postPeerSnapshot(state::ConfigurationVersion version, state::LogOffset nextOffset = 0)
        {
            m_task.post({ ConfigurationMessage::PeerSnapshot {
                .snapshot = { .version = version, .document = "{}", .outcomes = {}, .nextOffset = nextOffset } } });
        }

        ConfigurationMessage::View view()
        {
            Mailbox<ConfigurationMessage::View> views;
            m_task.post({ ConfigurationMessage::Query { .reply = [&](auto view) { views.put(std::move(view)); } } });
            return views.take();
        }

        void setLogReachable(bool reachable)
        {
            m_task.post({ ConfigurationMessage::LogReachability { .reachable = reachable } });
        }

        transport::Metrics m_metrics;
        Mailbox<LogMessage::Append> m_appends;
        Mailbox<PatchResponse> m_responses;
        ConfigurationTask m_task;
    };

} // namespace

// Guards against the append call, instead of the log order, deciding which of two concurrent patches is accepted.
TEST_F(ConfigurationTaskTest, ReplayDecidesPatchesAndNotTheAppend)
{
    replay(0, {});
    submit(patch("mine", 0));
    m_appends.take().onResult({ .status = LogMessage::AppendStatus::Appended, .origin = {} });
    replay(0, { patch("theirs", 0), patch("mine", 0) });
    PatchResponse response = m_responses.take();
    EXPECT_EQ(response.status, PatchResponse::Status::Decided);
    EXPECT_FALSE(response.outcome.accepted);
    EXPECT_EQ(response.outcome.version, 1U);
}

// Guards against reporting that a patch will not come into force while its append may still take effect.
TEST_F(ConfigurationTaskTest, PatchThatMayBeInTheLogIsUnknown)
{
    replay(0, {});
    submit(patch("p", 0));
    m_appends.take().onResult({ .status = LogMessage::AppendStatus::Unresolved, .origin = {} });
    EXPECT_EQ(m_responses.take().status, PatchResponse::Status::Unknown);
    setLogReachable(false);
    submit(patch("p", 0));
    EXPECT_EQ(m_responses.take().status, PatchResponse::Status::Unknown);
    replay(0, { patch("p", 0) });
    submit(patch("p", 0));
    EXPECT_TRUE(m_responses.take().outcome.accepted);
}

// Guards against the same because only the append of a repeated submission was refused.
TEST_F(ConfigurationTaskTest, RefusalOfARepeatedPatchIsReportedAsUnknown)
{
    replay(0, {});
    submit(patch("p", 0));
    m_appends.take().onResult({ .status = LogMessage::AppendStatus::Unresolved, .origin = {} });
    ASSERT_EQ(m_responses.take().status, PatchResponse::Status::Unknown);
    submit(patch("p", 0));
    m_appends.take().onResult({ .status = LogMessage::AppendStatus::NotAppended, .origin = {} });
    EXPECT_EQ(m_responses.take().status, PatchResponse::Status::Unknown);
    setLogReachable(false);
    submit(patch("p", 0));
    EXPECT_EQ(m_responses.take().status, PatchResponse::Status::Unknown);
}

// Guards against the same while the append of the first submission has no result yet.
TEST_F(ConfigurationTaskTest, RefusalOfARepeatedPatchBesideAnAppendInFlightIsReportedAsUnknown)
{
    replay(0, {});
    submit(patch("p", 0));
    LogMessage::Append first = m_appends.take();
    ASSERT_EQ(m_responses.take().status, PatchResponse::Status::Unknown);
    submit(patch("p", 0));
    m_appends.take().onResult({ .status = LogMessage::AppendStatus::NotAppended, .origin = {} });
    EXPECT_EQ(m_responses.take().status, PatchResponse::Status::Unknown);
    setLogReachable(false);
    submit(patch("p", 0));
    EXPECT_EQ(m_responses.take().status, PatchResponse::Status::Unknown);
    first.onResult({ .status = LogMessage::AppendStatus::NotAppended, .origin = {} });
    submit(patch("p", 0));
    EXPECT_EQ(m_responses.take().status, PatchResponse::Status::NotAppended);
}

// Guards against reporting that a patch will not come into force because its repetition was refused after the log had
// shown the first submission.
TEST_F(ConfigurationTaskTest, RefusalOfARepeatedPatchDoesNotHideItsOutcome)
{
    replay(0, {});
    submit(patch("p", 0));
    m_appends.take().onResult({ .status = LogMessage::AppendStatus::Unresolved, .origin = {} });
    ASSERT_EQ(m_responses.take().status, PatchResponse::Status::Unknown);
    submit(patch("p", 0));
    LogMessage::Append second = m_appends.take();
    replay(0, { patch("p", 0) });
    EXPECT_TRUE(m_responses.take().outcome.accepted);
    second.onResult({ .status = LogMessage::AppendStatus::NotAppended, .origin = {} });
    submit(patch("p", 0));
    PatchResponse response = m_responses.take();
    EXPECT_EQ(response.status, PatchResponse::Status::Decided);
    EXPECT_TRUE(response.outcome.accepted);
}

// Guards against a patch hanging, or being queued for later, while the log is unavailable.
TEST_F(ConfigurationTaskTest, PatchIsRefusedDuringAnOutage)
{
    replay(0, {});
    setLogReachable(false);
    submit(patch("p", 0));
    EXPECT_EQ(m_responses.take().status, PatchResponse::Status::NotAppended);
    EXPECT_TRUE(m_appends.empty());
}

// Guards against serving without a configuration, and against serving an older version than a peer has sent.
TEST_F(ConfigurationTaskTest, StartDuringAnOutageUsesThePeersVersion)
{
    setLogReachable(false);
    EXPECT_FALSE(view().ready);
    EXPECT_EQ(view().reason.substr(0, 15), "log_unavailable");
    postPeerSnapshot(2);
    postPeerSnapshot(1);
    EXPECT_TRUE(view().ready);
    EXPECT_EQ(view().configuration->version, 2U);
    replay(0, { patch("a", 0) });
    EXPECT_EQ(view().configuration->version, 2U);
    replay(1, { patch("b", 1), patch("c", 2) });
    EXPECT_EQ(view().configuration->version, 3U);
    EXPECT_EQ(view().configuration->accounts.size(), 3U);
}

// Guards against serving after records of the stream expired unread, on the grounds of a peer's earlier snapshot that
// does not cover them.
TEST_F(ConfigurationTaskTest, GapMakesTheInstanceNotReady)
{
    postPeerSnapshot(1, 1);
    replay(0, { patch("a", 0) });
    EXPECT_TRUE(view().ready);
    replay(9, { patch("z", 7) }, true);
    EXPECT_FALSE(view().ready);
    EXPECT_EQ(view().reason.substr(0, 10), "stream_gap");
    replay(10,
        { { .origin = {},
            .body = Record::ConfigurationSnapshot {
                .version = 8, .document = "no document", .outcomes = {}, .nextOffset = 10 } } });
    EXPECT_FALSE(view().ready);
    replay(11,
        { { .origin = {},
            .body
            = Record::ConfigurationSnapshot { .version = 8, .document = "{}", .outcomes = {}, .nextOffset = 10 } } });
    EXPECT_TRUE(view().ready);
    EXPECT_EQ(view().configuration->version, 8U);
}

// Guards against a gap that lasts until the next snapshot in the stream although a peer has the state beyond it.
TEST_F(ConfigurationTaskTest, PeersSnapshotClosesAGap)
{
    replay(0, { patch("a", 0) });
    replay(9, { patch("z", 7) }, true);
    postPeerSnapshot(7, 8);
    EXPECT_FALSE(view().ready);
    postPeerSnapshot(8, 10);
    EXPECT_TRUE(view().ready);
    replay(10, { patch("b", 8) });
    EXPECT_EQ(view().configuration->version, 9U);
}

// Guards against a stream that expires without a snapshot, and against a snapshot that skips or repeats records.
TEST_F(ConfigurationTaskTest, SnapshotFollowsTheRecordLimitAndAnOutage)
{
    replay(0, { patch("a", 0), patch("b", 0), patch("c", 1) });
    auto first = std::get<Record::ConfigurationSnapshot>(m_appends.take().body);
    EXPECT_EQ(first.version, 2U);
    EXPECT_EQ(first.nextOffset, 3U);
    EXPECT_EQ(first.outcomes.size(), 3U);
    setLogReachable(false);
    setLogReachable(true);
    EXPECT_EQ(std::get<Record::ConfigurationSnapshot>(m_appends.take().body).nextOffset, 3U);
}

// Guards against a snapshot of a state with a gap, from which other readers would replay.
TEST_F(ConfigurationTaskTest, NoSnapshotIsAppendedWithAGap)
{
    replay(9, { patch("a", 0), patch("b", 0), patch("c", 1) }, true);
    setLogReachable(false);
    setLogReachable(true);
    // A snapshot would be appended by the second iteration of the event loop at the latest.
    view();
    EXPECT_FALSE(view().ready);
    EXPECT_TRUE(m_appends.empty());
}

} // namespace lentilsaddle::coordination
