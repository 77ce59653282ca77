#include "BatchTaskFixture.h"

#include <chrono>
#include <memory>
#include <string>
#include <thread>

namespace lentilsaddle::coordination::batch {

namespace {

    using std::chrono::milliseconds;

    /// Two workers in two data centres; the job runs on either.
    class BatchEvacuationTest : public BatchTaskTest {
    protected:
        BatchEvacuationTest()
        {
            setWorker("w1", "east");
            setWorker("w2", "west");
        }

        void setWorker(const std::string& worker, const std::string& dataCentre, int accelerators = 8)
        {
            m_store.put(Stream::Directory, worker,
                std::string(dataCentrePrefix) + dataCentre + ' ' + std::string(acceleratorsPrefix)
                    + std::to_string(accelerators));
        }

        void evacuate(const std::string& dataCentre)
        {
            m_store.put(Stream::Configuration, std::string(evacuationKeyPrefix) + dataCentre, "{}");
        }

        void endEvacuation(const std::string& dataCentre)
        {
            m_store.put(Stream::Configuration, std::string(evacuationKeyPrefix) + dataCentre, std::nullopt);
        }

        int starts() { return m_workers.starts(taskName); }

        bool waitUntilRunningOn(const std::string& worker)
        {
            return waitUntil([&] { return workerOf(taskName) == worker; });
        }
    };

} // namespace

// Guards against work in an evacuated data centre, and against a data centre that stays unused after the end.
TEST_F(BatchEvacuationTest, NothingStartsThereUntilTheEnd)
{
    evacuate("east");
    setWorker("w2", "west", 0);
    auto task = startInstance("e-1");
    submit(*task, makeJob());
    letTheLeaderAct();
    EXPECT_EQ(starts(), 0);
    endEvacuation("east");
    EXPECT_TRUE(waitUntilRunningOn("w1"));
}

// Guards against a run that an evacuation ends: the request forbids only starts.
TEST_F(BatchEvacuationTest, RunningTaskGoesOn)
{
    setWorker("w2", "west", 0);
    auto task = startInstance("e-1");
    submit(*task, makeJob());
    ASSERT_TRUE(waitUntilRunningOn("w1"));
    evacuate("east");
    std::this_thread::sleep_for(shortOptions().workerLease + milliseconds(200));
    EXPECT_EQ(workerOf(taskName), "w1");
    EXPECT_EQ(starts(), 1);
}

// Guards against the start of a claim that was being stored when the request arrived.
TEST_F(BatchEvacuationTest, ClaimOnItsWayIsGivenBack)
{
    setWorker("w1", "east", 0);
    setWorker("w2", "west", 0);
    auto task = startInstance("e-1");
    ASSERT_EQ(submit(*task, makeJob()), ChangeOutcome::Done);
    ASSERT_TRUE(waitUntil([this] { return m_workers.observations() > 0; }));
    m_store.setAppendFault(FakeStore::AppendFault::Refuse);
    setWorker("w1", "east");
    ASSERT_TRUE(waitUntil([this] { return m_store.refused(makeKey(taskKeyPrefix, jobId.value())); }));
    evacuate("east");
    letTheLeaderAct();
    m_store.setAppendFault(FakeStore::AppendFault::None);
    letTheLeaderAct();
    EXPECT_EQ(starts(), 0);
    setWorker("w2", "west");
    EXPECT_TRUE(waitUntilRunningOn("w2"));
    EXPECT_NE(m_metrics.render().find("reason=\"data_centre_evacuated\""), std::string::npos);
}

// Guards against a gang of which only the members outside the evacuated data centre start.
TEST_F(BatchEvacuationTest, GangHalfThereIsGivenBackAsAWhole)
{
    setWorker("w1", "east", 0);
    setWorker("w2", "west", 0);
    auto task = startInstance("e-1");
    state::batch::BatchJob gang = makeJob(2);
    gang.steps.front().gang = true;
    ASSERT_EQ(submit(*task, gang), ChangeOutcome::Done);
    ASSERT_TRUE(waitUntil([this] { return m_workers.observations() > 0; }));
    m_store.setAppendFault(FakeStore::AppendFault::Refuse);
    setWorker("w1", "east", 1);
    setWorker("w2", "west", 1);
    ASSERT_TRUE(waitUntil([this] { return m_store.refused(makeKey(taskKeyPrefix, jobId.value())); }));
    evacuate("east");
    letTheLeaderAct();
    m_store.setAppendFault(FakeStore::AppendFault::None);
    letTheLeaderAct();
    EXPECT_TRUE(m_workers.running().empty());
    EXPECT_EQ(starts(), 0);
    setWorker("w2", "west", 2);
    EXPECT_TRUE(waitUntil([this] { return m_workers.running().size() == 2; }));
}

// Guards against the retry, after the request, of a start that was not executed before it.
TEST_F(BatchEvacuationTest, UnconfirmedStartIsNotRetriedThere)
{
    m_options.startTimeout = milliseconds(400);
    m_options.startRetryLimit = milliseconds(3'000);
    setWorker("w2", "west", 0);
    m_workers.dropStarts(true);
    auto task = startInstance("e-1");
    submit(*task, makeJob());
    ASSERT_TRUE(waitUntil([this] { return m_workers.droppedStarts() > 0; }));
    evacuate("east");
    // Less than the start timeout: the start that is retried would be the first one after the request.
    std::this_thread::sleep_for(milliseconds(150));
    int dropped = m_workers.droppedStarts();
    std::this_thread::sleep_for(milliseconds(600));
    EXPECT_EQ(m_workers.droppedStarts(), dropped);
    m_workers.dropStarts(false);
    setWorker("w2", "west");
    EXPECT_TRUE(waitUntilRunningOn("w2"));
}

// Guards against an urgent job that stops a run in the evacuated data centre, where it could not start afterwards.
TEST_F(BatchEvacuationTest, UrgentJobStopsNoRunThere)
{
    setWorker("w1", "east", 0);
    setWorker("w2", "west", 1);
    auto task = startInstance("e-1");
    auto jobOf = [](const std::string& id, int priority) {
        state::batch::BatchJob job = makeJob();
        job.id = state::JobId(id);
        job.queue.priority = priority;
        job.queue.targetRuntime = std::chrono::seconds(60);
        job.submissionTime = std::chrono::time_point_cast<state::WallTime::duration>(std::chrono::system_clock::now());
        return job;
    };
    submit(*task, jobOf("00000000000000b1", 1));
    ASSERT_TRUE(waitUntil([this] { return workerOf("00000000000000b1.0.0.0") == "w2"; }));
    // The shorter run, which would be lost at a lower cost.
    setWorker("w1", "east", 1);
    submit(*task, jobOf("00000000000000b2", 1));
    ASSERT_TRUE(waitUntil([this] { return workerOf("00000000000000b2.0.0.0") == "w1"; }));
    evacuate("east");
    letTheLeaderAct();
    submit(*task, jobOf("00000000000000b3", 0));
    EXPECT_TRUE(waitUntil([this] { return workerOf("00000000000000b3.0.0.0") == "w2"; }));
    EXPECT_EQ(workerOf("00000000000000b2.0.0.0"), "w1");
}

// Guards against urgent work on a worker that is slow after its start, and against one that counts as slow for ever
// because its entry stays.
TEST_F(BatchEvacuationTest, UrgentJobAvoidsAColdWorkerUntilItIsWarm)
{
    // Without regard to the cold, the smaller worker fits better.
    m_store.put(Stream::Directory, "w1", "accelerators=3 cold_ms=800");
    auto task = startInstance("e-1");
    auto jobOf = [](const std::string& id, int priority) {
        state::batch::BatchJob job = makeJob();
        job.id = state::JobId(id);
        job.queue.priority = priority;
        return job;
    };
    submit(*task, jobOf("00000000000000b1", 1));
    ASSERT_TRUE(waitUntil([this] { return workerOf("00000000000000b1.0.0.0") == "w1"; }));
    submit(*task, jobOf("00000000000000b2", 0));
    ASSERT_TRUE(waitUntil([this] { return workerOf("00000000000000b2.0.0.0") == "w2"; }));
    std::this_thread::sleep_for(milliseconds(900));
    submit(*task, jobOf("00000000000000b3", 0));
    EXPECT_TRUE(waitUntil([this] { return workerOf("00000000000000b3.0.0.0") == "w1"; }));
}

// Guards against a successor that starts work there because the leader was killed between the request and its effect.
TEST_F(BatchEvacuationTest, SuccessorOfAKilledLeaderKnowsTheRequest)
{
    auto leader = startInstance("e-1");
    runFirstJob(*leader);
    setWorker("w2", "west", 0);
    evacuate("east");
    leader.reset();
    auto successor = startInstance("e-2");
    submit(*successor, makeJob());
    std::this_thread::sleep_for(shortOptions().failoverDelay);
    letTheLeaderAct();
    EXPECT_EQ(starts(), 0);
    endEvacuation("east");
    EXPECT_TRUE(waitUntilRunningOn("w1"));
}

// Guards against a successor that keeps a request that was taken back while nobody led.
TEST_F(BatchEvacuationTest, RemovalDuringATakeoverIsKnown)
{
    setWorker("w2", "west", 0);
    evacuate("east");
    auto leader = startInstance("e-1");
    auto follower = startInstance("e-2");
    submit(*leader, makeJob());
    letTheLeaderAct();
    ASSERT_EQ(starts(), 0);
    leader.reset();
    endEvacuation("east");
    m_store.expire(Stream::Configuration);
    EXPECT_TRUE(waitUntilRunningOn("w1"));
}

// Guards against starts there while only the operator's stream cannot be read, so that the request stays unknown.
TEST_F(BatchEvacuationTest, NothingStartsFromAnOutdatedOperatorStream)
{
    m_options.evacuationLimit = milliseconds(700);
    auto task = startInstance("e-1");
    runFirstJob(*task);
    m_store.setUnresponsive(Stream::Configuration, true);
    std::this_thread::sleep_for(m_options.evacuationLimit);
    evacuate("east");
    setWorker("w2", "west", 0);
    submit(*task, makeJob());
    letTheLeaderAct();
    EXPECT_EQ(starts(), 0);
    m_store.setUnresponsive(Stream::Configuration, false);
    letTheLeaderAct();
    EXPECT_EQ(starts(), 0);
    setWorker("w2", "west");
    EXPECT_TRUE(waitUntilRunningOn("w2"));
}

// Guards against an effect of the unreadable stream where the deployment sets no limit.
TEST_F(BatchEvacuationTest, WithoutALimitAnOutdatedOperatorStreamStopsNothing)
{
    auto task = startInstance("e-1");
    runFirstJob(*task);
    m_store.setUnresponsive(Stream::Configuration, true);
    std::this_thread::sleep_for(milliseconds(700));
    submit(*task, makeJob());
    EXPECT_TRUE(waitUntilRunning());
}

// Guards against starts there while the store is down, and against a request that is unknown when it is back.
TEST_F(BatchEvacuationTest, RequestIsKnownAfterAnOutageOfTheStore)
{
    auto task = startInstance("e-1");
    runFirstJob(*task);
    setWorker("w2", "west", 0);
    letTheLeaderAct();
    m_store.setUnresponsive(true);
    m_store.setAppendFault(FakeStore::AppendFault::Drop);
    evacuate("east");
    std::this_thread::sleep_for(shortOptions().leaderLease);
    m_store.setUnresponsive(false);
    m_store.setAppendFault(FakeStore::AppendFault::None);
    waitUntil([&] { return submit(*task, makeJob()) == ChangeOutcome::Done; });
    std::this_thread::sleep_for(shortOptions().failoverDelay);
    letTheLeaderAct();
    EXPECT_EQ(starts(), 0);
    endEvacuation("east");
    EXPECT_TRUE(waitUntilRunningOn("w1"));
}

// Guards against a second request that replaces the first, against the last data centre as an exception, and against an
// unknown name that stops work elsewhere.
TEST_F(BatchEvacuationTest, EachRequestHoldsByItself)
{
    evacuate("nowhere");
    evacuate("east");
    auto task = startInstance("e-1");
    evacuate("west");
    letTheLeaderAct();
    submit(*task, makeJob());
    letTheLeaderAct();
    EXPECT_EQ(starts(), 0);
    endEvacuation("west");
    EXPECT_TRUE(waitUntilRunningOn("w2"));
}

// Guards against a configuration version that is lost because a request follows it in the stream, or the reverse.
TEST_F(BatchEvacuationTest, RequestsAndConfigurationsShareTheStream)
{
    auto task = startInstance("e-1");
    runFirstJob(*task);
    for (int version = 2; version <= 4; ++version) {
        evacuate("east");
        m_store.put(Stream::Configuration, "config", std::to_string(version));
        evacuate("west");
    }
    EXPECT_TRUE(waitUntil([this] { return m_configurationVersion == 4; }));
    submit(*task, makeJob());
    letTheLeaderAct();
    EXPECT_EQ(starts(), 0);
    endEvacuation("west");
    EXPECT_TRUE(waitUntilRunningOn("w2"));
}

// Guards against the end of an evacuation that stays unknown because its records have expired.
TEST_F(BatchEvacuationTest, EndIsKnownAfterTheRecordsHaveExpired)
{
    setWorker("w2", "west", 0);
    evacuate("east");
    auto task = startInstance("e-1");
    submit(*task, makeJob());
    letTheLeaderAct();
    ASSERT_EQ(starts(), 0);
    m_store.setUnresponsive(Stream::Configuration, true);
    std::this_thread::sleep_for(milliseconds(100));
    endEvacuation("east");
    m_store.put(Stream::Configuration, "config", "2");
    m_store.expire(Stream::Configuration);
    m_store.setUnresponsive(Stream::Configuration, false);
    EXPECT_TRUE(waitUntilRunningOn("w1"));
}

} // namespace lentilsaddle::coordination::batch
