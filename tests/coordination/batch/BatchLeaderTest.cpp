#include "BatchTaskFixture.h"

#include <set>
#include <string>
#include <thread>

namespace lentilsaddle::coordination::batch {

using state::batch::BatchJobEntry;
using std::chrono::milliseconds;

// Guards against requests of a leader whose entry instance was suspended for longer than its lease.
TEST_F(BatchTaskTest, SuspendedLeaderSendsNoRequestBeforeTheStoreConfirmsItsTerm)
{
    auto task = startInstance("e-1");
    submit(*task, makeJob());
    ASSERT_TRUE(waitUntilRunning());
    m_store.setAppendFault(FakeStore::AppendFault::Refuse);
    m_clockOffset = milliseconds(10'000);
    std::this_thread::sleep_for(milliseconds(150));
    m_workers.resetObservations();
    std::this_thread::sleep_for(milliseconds(200));
    EXPECT_EQ(m_workers.observations(), 0);
    m_store.setAppendFault(FakeStore::AppendFault::None);
    EXPECT_TRUE(waitUntil([this] { return m_workers.observations() > 0; }));
}

// Guards against two leaders when several instances start at the same time.
TEST_F(BatchTaskTest, OneOfSeveralInstancesThatStartTogetherLeads)
{
    std::vector<std::unique_ptr<BatchTask>> tasks;
    for (const char* name : { "e-1", "e-2", "e-3", "e-4" })
        tasks.push_back(startInstance(name));
    submit(*tasks.front(), makeJob());
    ASSERT_TRUE(waitUntilRunning());
    std::this_thread::sleep_for(milliseconds(600));
    std::set<std::string> leaders;
    for (const KeyedRecord& record : m_store.records(Stream::Journal)) {
        if (record.key == leaderKey)
            leaders.insert(*record.value);
    }
    EXPECT_EQ(leaders.size(), 1U);
    EXPECT_EQ(m_workers.starts(taskName), 1);
}

// Guards against a leader with too few processors for its work while another instance has announced more.
TEST_F(BatchTaskTest, InstanceWithMostProcessorsLeads)
{
    // No instance may lead without a configuration, so all announce themselves before the first claim.
    m_store.put(Stream::Configuration, "config", std::nullopt);
    std::vector<std::unique_ptr<BatchTask>> tasks;
    tasks.push_back(startInstance("e-1", 120));
    tasks.push_back(startInstance("e-2", 500));
    tasks.push_back(startInstance("e-3", 120));
    ASSERT_TRUE(waitUntil([this] { return announcements() == 3; }));
    EXPECT_TRUE(leaderRecords().empty());
    m_store.put(Stream::Configuration, "config", "1");
    submit(*tasks.front(), makeJob());
    ASSERT_TRUE(waitUntilRunning());
    EXPECT_FALSE(leaderRecords().empty());
    for (const std::string& record : leaderRecords())
        EXPECT_NE(record.find("e-2"), std::string::npos) << record;
}

// Guards against an instance with few processors that leads permanently because it claimed before another instance,
// started at the same time, had announced more.
TEST_F(BatchTaskTest, InstanceWithMostProcessorsLeadsInTheEndIfInstancesStartTogether)
{
    std::vector<std::unique_ptr<BatchTask>> tasks;
    tasks.push_back(startInstance("e-1", 120));
    tasks.push_back(startInstance("e-2", 500));
    tasks.push_back(startInstance("e-3", 120));
    submit(*tasks.front(), makeJob());
    EXPECT_TRUE(waitUntil([this] {
        std::vector<std::string> records = leaderRecords();
        return !records.empty() && records.back().find("e-2") != std::string::npos;
    }));
    ASSERT_TRUE(waitUntilRunning());
    std::size_t known = leaderRecords().size();
    std::this_thread::sleep_for(shortOptions().failoverDelay);
    std::vector<std::string> records = leaderRecords();
    EXPECT_GT(records.size(), known);
    for (std::size_t index = known; index < records.size(); ++index)
        EXPECT_NE(records[index].find("e-2"), std::string::npos) << records[index];
    EXPECT_EQ(m_workers.starts(taskName), 1);
}

// Guards against an instance with few processors that leads permanently because those with more were not running when
// it claimed.
TEST_F(BatchTaskTest, LeaderStepsDownForAnInstanceWithMoreProcessors)
{
    auto small = startInstance("e-1", 120);
    submit(*small, makeJob());
    ASSERT_TRUE(waitUntilRunning());
    auto large = startInstance("e-2", 500);
    EXPECT_TRUE(waitUntil([this] {
        bool largeLeads = false;
        for (const KeyedRecord& record : m_store.records(Stream::Journal))
            largeLeads = largeLeads || (record.key == leaderKey && record.value->find("e-2") != std::string::npos);
        return largeLeads;
    }));
    EXPECT_EQ(m_workers.starts(taskName), 1);
}

// Guards against an instance with few processors that leads permanently because one with more announced itself before
// the lease of the claimant was confirmed.
TEST_F(BatchTaskTest, LeaderStepsDownForAnInstanceAnnouncedBeforeItsLeaseWasConfirmed)
{
    m_store.setAppendFault(FakeStore::AppendFault::LoseResponse);
    auto small = startInstance("e-1", 120);
    ASSERT_TRUE(waitUntil([this] { return !leaderRecords().empty(); }));
    auto large = startInstance("e-2", 500);
    // At its start, and as a request for the leadership of the term that it has read.
    ASSERT_TRUE(waitUntil([this] { return announcements() >= 3; }));
    std::this_thread::sleep_for(2 * shortOptions().appendTimeout);
    m_store.setAppendFault(FakeStore::AppendFault::None);
    EXPECT_TRUE(waitUntil([this] { return leaderRecords().back().find("e-2") != std::string::npos; }));
}

// Guards against a cluster without a leader: an instance with more processors asks for the leadership and is gone
// before it can claim it.
TEST_F(BatchTaskTest, LeaderThatSteppedDownForALostInstanceLeadsAgain)
{
    auto small = startInstance("e-1", 120);
    ASSERT_TRUE(waitUntil([this] { return !leaderRecords().empty(); }));
    std::this_thread::sleep_for(milliseconds(200));
    m_store.put(Stream::Journal, makeKey(instanceKeyPrefix, "e-2"), protocol::batch::encodeInstance(500));
    ASSERT_TRUE(waitUntil(
        [this] { return protocol::batch::decodeLeader(leaderRecords().back()).vacant; }, milliseconds(1'000)));
    ASSERT_EQ(submit(*small, makeJob()), ChangeOutcome::Done);
    EXPECT_TRUE(waitUntilRunning());
}

// Guards against handovers in quick succession to an instance that asks for the leadership again and again and never
// claims it.
TEST_F(BatchTaskTest, RepeatedRequestsOfAnInstanceThatNeverClaimsDoNotStopTheLeader)
{
    auto small = startInstance("e-1", 120);
    ASSERT_TRUE(waitUntil([this] { return !leaderRecords().empty(); }));
    auto end = std::chrono::steady_clock::now() + milliseconds(2'500);
    while (std::chrono::steady_clock::now() < end) {
        m_store.put(Stream::Journal, makeKey(instanceKeyPrefix, "e-2"), protocol::batch::encodeInstance(500));
        std::this_thread::sleep_for(milliseconds(50));
    }
    std::vector<std::string> records = leaderRecords();
    EXPECT_EQ(std::ranges::count_if(
                  records, [](const std::string& record) { return protocol::batch::decodeLeader(record).vacant; }),
        1);
    EXPECT_FALSE(protocol::batch::decodeLeader(records.back()).vacant);
}

// Guards against an instance that is drained while its claim is under way and then leads until its process ends.
TEST_F(BatchTaskTest, InstanceDrainedBeforeItsLeaseIsConfirmedStepsDown)
{
    m_store.setAppendFault(FakeStore::AppendFault::LoseResponse);
    auto task = startInstance("e-1");
    ASSERT_TRUE(waitUntil([this] { return !leaderRecords().empty(); }));
    task->post({ .body = BatchMessage::Drain {} });
    std::this_thread::sleep_for(milliseconds(50));
    m_store.setAppendFault(FakeStore::AppendFault::None);
    EXPECT_TRUE(waitUntil([this] { return protocol::batch::decodeLeader(leaderRecords().back()).vacant; }));
}

// Guards against a new leader that learns the speeds of the workers from nothing although an earlier one has stored
// them.
TEST_F(BatchTaskTest, NewLeaderKnowsTheStoredSpeeds)
{
    state::batch::WorkerSpeedSummary speeds { .entries
        = {
            { .worker = state::WorkerId("w1"), .incarnation = 0, .logarithm = 588, .deviation = 50 },
        } };
    m_store.put(Stream::Journal, std::string(speedsKey), protocol::batch::encodeWorkerSpeeds(speeds));
    auto task = startInstance("e-1");
    submit(*task, makeJob());
    ASSERT_TRUE(waitUntilRunning());
    EXPECT_NE(m_metrics.render().find("lentilsaddle_batch_slow_workers 1\n"), std::string::npos);
}

// Guards against a new leader that restarts a task although it still runs, or never observes it.
TEST_F(BatchTaskTest, NewLeaderAdoptsRunningTasks)
{
    auto first = startInstance("e-1");
    submit(*first, makeJob());
    ASSERT_TRUE(waitUntilRunning());
    auto second = startInstance("e-2");
    first.reset();
    std::this_thread::sleep_for(milliseconds(700));
    EXPECT_EQ(m_workers.starts(taskName), 1);
    m_workers.finish("w1", taskName, EndedTask::Reason::Done);
    EXPECT_TRUE(waitUntil([&] { return query(*second, jobId).phase == BatchJobEntry::Phase::Completed; }));
    EXPECT_EQ(m_workers.starts(taskName), 1);
}

// Guards against a second run of a task whose start was executed by the next incarnation of its worker, which the
// earlier leader did not know when it stored the claim.
TEST_F(BatchTaskTest, NewLeaderAdoptsARunOfTheNextIncarnation)
{
    storeClaim();
    m_workers.restart("w1");
    m_workers.run("w1", taskName, 1);
    m_store.put(Stream::Directory, "w1", "ready incarnation=2");
    m_store.put(Stream::Directory, "w2", "ready");
    auto task = startInstance("e-1");
    ASSERT_TRUE(waitUntil([&] { return query(*task, jobId).phase == BatchJobEntry::Phase::Running; }));
    std::this_thread::sleep_for(milliseconds(400));
    EXPECT_EQ(m_workers.starts(taskName), 1);
    EXPECT_FALSE(m_workers.ranTwice());
    m_workers.finish("w1", taskName, EndedTask::Reason::Done);
    EXPECT_TRUE(waitUntil([&] { return query(*task, jobId).phase == BatchJobEntry::Phase::Completed; }));
}

// Guards against a task that waits forever for a run that ended with an earlier incarnation of its worker.
TEST_F(BatchTaskTest, NewLeaderStartsATaskOfARestartedWorkerAgain)
{
    storeClaim();
    m_workers.restart("w1");
    m_store.put(Stream::Directory, "w1", "ready incarnation=2");
    auto task = startInstance("e-1");
    EXPECT_TRUE(waitUntil([this] { return m_workers.starts(taskName) == 1; }));
    EXPECT_FALSE(m_workers.ranTwice());
}

// Guards against a new leader that starts a gang of which one member has ended while the run of another one still
// lasts.
TEST_F(BatchTaskTest, NewLeaderStartsAGangAgainOnlyAfterAllOfItsRunsHaveEnded)
{
    setAccelerators("w1", 1);
    setAccelerators("w2", 1);
    m_store.put(Stream::Directory, "w3", "ready");
    state::batch::BatchJob job = makeJob(2);
    job.steps[0].gang = true;
    m_store.put(Stream::Journal, makeKey(jobKeyPrefix, jobId.value()), protocol::batch::encodeJob(job));
    for (int index = 0; index < 2; ++index) {
        state::batch::BatchTaskState claimed {
            .phase = state::batch::BatchTaskState::Phase::Claimed,
            .run = 1,
            .worker = state::WorkerId("w" + std::to_string(index + 1)),
            .workerIncarnation = 1,
        };
        m_store.put(Stream::Journal, makeKey(taskKeyPrefix, "00000000000000aa.0.0." + std::to_string(index)),
            protocol::batch::encodeTaskState(claimed));
    }
    m_workers.run("w2", "00000000000000aa.0.0.1", 1);
    m_workers.dropStops(true);
    auto task = startInstance("e-1");
    ASSERT_TRUE(waitUntil([this] { return m_ready.load(); }));
    std::this_thread::sleep_for(milliseconds(500));
    EXPECT_EQ(m_workers.running(), std::vector<std::string> { "w2 00000000000000aa.0.0.1 1" });
    m_workers.dropStops(false);
    EXPECT_TRUE(waitUntil([this] { return m_workers.running().size() == 2; }));
    EXPECT_EQ(m_workers.starts("00000000000000aa.0.0.0"), 1);
    EXPECT_EQ(m_workers.starts("00000000000000aa.0.0.1"), 2);
    EXPECT_FALSE(m_workers.ranTwice());
}

// Guards against a new leader that delays its next read as a follower does, and so starts jobs that other instances
// accept late.
TEST_F(BatchTaskTest, NewLeaderReadsTheJournalAtTheIntervalOfLeaders)
{
    auto task = startInstance("e-1");
    // The claim and the record that confirms it.
    ASSERT_TRUE(waitUntil([this] { return m_store.records(Stream::Journal).size() >= 2; }));
    m_store.put(Stream::Journal, makeKey(jobKeyPrefix, jobId.value()), protocol::batch::encodeJob(makeJob()));
    EXPECT_TRUE(waitUntil([this] { return m_workers.running().size() == 1; }, shortOptions().followerReadInterval / 2));
}

// Guards against seconds without a leader after a planned stop of the leader.
TEST_F(BatchTaskTest, DrainingLeaderIsReplacedBeforeTheFailoverDelay)
{
    auto first = startInstance("e-1");
    submit(*first, makeJob());
    ASSERT_TRUE(waitUntilRunning());
    auto second = startInstance("e-2");
    ASSERT_TRUE(waitUntil([&] { return query(*second, jobId).phase.has_value(); }));
    auto before = std::chrono::steady_clock::now();
    first->post({ .body = BatchMessage::Drain {} });
    m_workers.finish("w1", taskName, EndedTask::Reason::Done);
    EXPECT_TRUE(waitUntil([&] { return query(*second, jobId).phase == BatchJobEntry::Phase::Completed; }));
    EXPECT_LT(std::chrono::steady_clock::now() - before, shortOptions().failoverDelay);
}

// Guards against a new leader that starts nothing until a worker changes its entry or the first long poll ends.
TEST_F(BatchTaskTest, NewLeaderReadsTheDirectoryAtOnce)
{
    m_options.directoryWait = milliseconds(3'000);
    auto task = startInstance("e-1");
    ASSERT_EQ(submit(*task, makeJob()), ChangeOutcome::Done);
    EXPECT_TRUE(waitUntil([this] { return m_workers.running().size() == 1; }, milliseconds(1'500)));
}

} // namespace lentilsaddle::coordination::batch
