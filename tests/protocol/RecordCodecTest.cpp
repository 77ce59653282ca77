#include "protocol/RecordCodec.h"

#include "protocol/ProtocolError.h"
#include "state/Record.h"

#include <gtest/gtest.h>

namespace lentilsaddle::protocol {

using state::Record;

TEST(RecordCodec, StartClaimSurvivesARoundTrip)
{
    Record record {
        .origin = { .instance = state::InstanceId("e1"), .incarnation = 0xffff'ffff'ffff'ffff, .sequence = 7 },
        .body = Record::StartClaim {
            .job = state::JobId("j"),
            .attempt = 2,
            .token = { .epoch = 3, .sequence = 4 },
            .placements = { { .worker = state::WorkerId("w"), .accelerators = { 0, 7 } } },
        },
    };
    Record decoded = decodeRecord(encodeRecord(record));
    EXPECT_EQ(decoded.origin, record.origin);
    const auto& claim = std::get<Record::StartClaim>(decoded.body);
    EXPECT_EQ(claim.token, (state::FencingToken { .epoch = 3, .sequence = 4 }));
    EXPECT_EQ(claim.placements, std::get<Record::StartClaim>(record.body).placements);
}

// Guards against an outcome losing the sequence of its claim when encoded, so that no replica would apply it.
TEST(RecordCodec, OutcomeKeepsItsClaimSequence)
{
    Record::RequestEnded ended { .outcome = state::RequestOutcome::Done, .status = 200, .claimSequence = 9 };
    Record::RequestSnapshotEntry savedEntry { .issuer = { state::InstanceId("e1"), 1, 9 }, .ended = ended };
    Record outcome = decodeRecord(encodeRecord({ .origin = {}, .body = ended }));
    EXPECT_EQ(std::get<Record::RequestEnded>(outcome.body).claimSequence, 9U);
    Record snapshot
        = decodeRecord(encodeRecord({ .origin = {}, .body = Record::RequestSnapshot { { savedEntry }, 1, 2, 3 } }));
    EXPECT_EQ(std::get<Record::RequestSnapshot>(snapshot.body).part, 2U);
    EXPECT_EQ(std::get<Record::RequestSnapshot>(snapshot.body).parts, 3U);
    EXPECT_EQ(std::get<Record::RequestSnapshot>(snapshot.body).entries.at(0).ended->claimSequence, 9U);
}

// Guards against corrupt records, or records of another format, being applied.
TEST(RecordCodec, InvalidBytesAreAnError)
{
    EXPECT_THROW(decodeRecord("no record"), ProtocolError);
    EXPECT_THROW(decodeRecord(""), ProtocolError);
}

// Guards against a replica that starts at a snapshot and lacks state that other replicas have.
TEST(RecordCodec, JobSnapshotSurvivesARoundTrip)
{
    state::Record::JobSnapshotEntry entry { .specification = { .id = state::JobId("j"),
                                                .account = state::AccountId("a"),
                                                .shape = { .tasks = 2 },
                                                .declaredRunTime = std::chrono::seconds(5) },
        .attempts = 2,
        .failures = 1,
        .claim = state::Record::StartClaim { .job = state::JobId("j"), .attempt = 2 },
        .state = "claimed",
        .reason = "r",
        .lastOutcome = "failed",
        .cancelRequested = true,
        .failedWorkers = { state::WorkerId("w") } };
    state::Record::JobSnapshot snapshot {
        .epoch = 3, .scheduler = state::InstanceId("e"), .schedulerIncarnation = 4, .jobs = { entry }, .nextOffset = 7
    };
    state::Record decoded = decodeRecord(encodeRecord({ .origin = {}, .body = snapshot }));
    EXPECT_EQ(std::get<state::Record::JobSnapshot>(decoded.body), snapshot);
    state::Record vacant { .origin = {}, .body = state::Record::SchedulerClaim { .epoch = 2, .vacant = true } };
    EXPECT_TRUE(std::get<state::Record::SchedulerClaim>(decodeRecord(encodeRecord(vacant)).body).vacant);
}

} // namespace lentilsaddle::protocol
