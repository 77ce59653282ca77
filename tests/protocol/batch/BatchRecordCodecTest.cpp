#include "protocol/batch/BatchRecordCodec.h"

#include "protocol/ProtocolError.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace lentilsaddle::protocol::batch {

using state::batch::BatchJob;
using state::batch::BatchTaskState;
using state::batch::LeaderRecord;

// Guards against losing a field of a job between the instance that accepts it and the one that schedules it.
TEST(BatchRecordCodec, EncodedJobDecodesUnchanged)
{
    BatchJob job {
        .id = state::JobId("00000000000000aa"),
        .account = state::AccountId("a"),
        .queue = { .name = "q",
            .service = state::ServiceId("s"),
            .priority = 2,
            .maximumAttempts = 3,
            .stretch = 1.5,
            .targetRuntime = std::chrono::milliseconds(250) },
        .payload = "text",
        .steps = { { .taskCount = 4,
                       .resources = { .milliCores = 500, .memoryMegabytes = 256, .accelerators = 8 },
                       .runTimeEstimate = std::chrono::milliseconds(900),
                       .writesCheckpoints = true,
                       .gang = true,
                       .sameRack = true,
                       .requiredLabel = "a",
                       .preferredRack = "r1-3",
                       .maximumPerWorker = 2 },
            { .taskCount = 1, .predecessors = { 0 }, .speculative = true } },
        .occurrences = 3,
        .firstDueTime = state::WallTime(std::chrono::microseconds(77)),
        .interval = std::chrono::milliseconds(5),
        .submissionTime = state::WallTime(std::chrono::microseconds(99)),
    };
    BatchJob read = decodeJob(job.id, encodeJob(job));
    EXPECT_EQ(read.account, job.account);
    EXPECT_EQ(read.queue, job.queue);
    EXPECT_EQ(read.payload, job.payload);
    EXPECT_EQ(read.steps, job.steps);
    EXPECT_EQ(read.occurrences, job.occurrences);
    EXPECT_EQ(read.firstDueTime, job.firstDueTime);
    EXPECT_EQ(read.interval, job.interval);
    EXPECT_EQ(read.submissionTime, job.submissionTime);
}

TEST(BatchRecordCodec, EncodedTaskStateAndLeaderDecodeUnchanged)
{
    BatchTaskState taskState {
        .phase = BatchTaskState::Phase::Claimed,
        .run = 7,
        .worker = state::WorkerId("w"),
        .workerIncarnation = 1'785'000'000'000,
        .checkpoint = "00000bb8",
        .failures = 2,
        .failedRuns = { 2, 6 },
    };
    EXPECT_EQ(decodeTaskState(encodeTaskState(taskState)), taskState);
    LeaderRecord leader { .term = 4, .instance = state::InstanceId("e-1"), .incarnation = ~0ULL, .vacant = true };
    EXPECT_EQ(decodeLeader(encodeLeader(leader)), leader);
    EXPECT_EQ(decodeInstance(encodeInstance(250)), 250);
}

// Guards against crashes of workers that are forgotten when a new leader reads the journal.
TEST(BatchRecordCodec, CrashesOfWorkersDecodeUnchanged)
{
    BatchTaskState crashed {
        .phase = BatchTaskState::Phase::Queued,
        .run = 2,
        .workerAddress = "10.0.0.1:8000",
        .workerCrashes = 2,
        .attributedCrashes = 1,
    };
    EXPECT_EQ(decodeTaskState(encodeTaskState(crashed)), crashed);
    BatchTaskState doubtful = crashed;
    doubtful.doubtfulCrashes = 1;
    EXPECT_EQ(decodeTaskState(encodeTaskState(doubtful)), doubtful);
    BatchTaskState givenUp = crashed;
    givenUp.givenUp = true;
    EXPECT_EQ(decodeTaskState(encodeTaskState(givenUp)), givenUp);
}

// Guards against jobs that are lost because their records were written before crashes of workers were stored.
TEST(BatchRecordCodec, TaskRecordWithoutCrashesIsRead)
{
    BatchTaskState taskState = decodeTaskState(R"([1,1,7,"w",12,"00000bb8",2,6])");
    EXPECT_EQ(taskState.run, 7);
    EXPECT_EQ(taskState.failures, 2);
    EXPECT_EQ(taskState.failedRuns, std::vector<std::int64_t> { 6 });
    EXPECT_EQ(taskState.workerCrashes, 0);
    EXPECT_FALSE(taskState.givenUp);
    EXPECT_EQ(encodeTaskState(taskState), R"([1,1,7,"w",12,"00000bb8",2,6])");
    EXPECT_THROW(decodeTaskState(R"([1,1,7,"w",12,"00000bb8",2,6,1])"), ProtocolError);
}

// Guards against a record of another program or layout that ends the process or is decoded as a valid state.
RC_GTEST_PROP(BatchRecordCodec, ArbitraryBytesAreRejectedOrDecoded, (const std::string& text))
{
    try {
        decodeTaskState(text);
    } catch (const ProtocolError&) {
    }
    try {
        decodeJob(state::JobId("x"), text);
    } catch (const ProtocolError&) {
    }
    try {
        decodeLeader(text);
    } catch (const ProtocolError&) {
    }
    try {
        decodeWorkerSpeeds(text);
    } catch (const ProtocolError&) {
    }
}

// Guards against a new leader that cannot read the speeds, and against a truncated summary that is taken for a whole
// one.
TEST(BatchRecordCodec, SpeedsOfWorkersAreReadAsWritten)
{
    state::batch::WorkerSpeedSummary speeds { .entries
        = {
            { .worker = state::WorkerId("w1"), .incarnation = 7, .logarithm = -510, .deviation = 60 },
            { .worker = state::WorkerId("w2"), .incarnation = 0, .logarithm = 470, .deviation = 120 },
        } };
    EXPECT_EQ(decodeWorkerSpeeds(encodeWorkerSpeeds(speeds)), speeds);
    EXPECT_THROW(decodeWorkerSpeeds(R"([1,["w1",7,-510]])"), ProtocolError);
}

} // namespace lentilsaddle::protocol::batch
