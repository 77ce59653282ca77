#include "coordination/decisions/batch/WorkerSpeedModel.h"

#include <gtest/gtest.h>

#include <cmath>
#include <random>

namespace lentilsaddle::coordination::batch {

namespace {

    using std::chrono::milliseconds;
    using std::chrono::seconds;

    const state::MonotonicTime start { seconds(1'000) };

    // Plays steps of sibling tasks on drawn workers and feeds the model with their run times.
    class Fleet {
    public:
        explicit Fleet(std::vector<double> runTimes, std::uint32_t seed = 1)
            : m_runTimes(std::move(runTimes))
            , m_random(seed)
        {
        }

        static state::WorkerId worker(std::size_t index) { return state::WorkerId("w" + std::to_string(index)); }

        void setRunTime(std::size_t worker, double runTime) { m_runTimes[worker] = runTime; }

        // Plays this many steps of four tasks, ten a second.
        void play(WorkerSpeedModel& model, int steps, double estimateSpread = 0.5)
        {
            std::normal_distribution<double> wrong(0, estimateSpread);
            for (int step = 0; step < steps; ++step) {
                double factor = std::exp(wrong(m_random));
                ++m_job;
                for (int task = 0; task < siblings; ++task)
                    run(model, m_random() % m_runTimes.size(), factor);
                now += milliseconds(100);
            }
            model.judgeSpread(now);
        }

        struct Step {
            int workers = 0;
            int tasksOfEach = 0;
        };

        // Plays a step with several tasks on each of some drawn workers, without runs that take long.
        void playStepOnWorkers(WorkerSpeedModel& model, const Step& step)
        {
            double factor = std::exp(std::normal_distribution<double>(0, 0.5)(m_random));
            ++m_job;
            for (int drawn = 0; drawn < step.workers; ++drawn) {
                std::size_t index = m_random() % m_runTimes.size();
                for (int task = 0; task < step.tasksOfEach; ++task)
                    run(model, index, factor, 0);
            }
            now += milliseconds(100);
        }

        // One run in `tailOneIn` takes seven times as long; none if 0.
        void run(WorkerSpeedModel& model, std::size_t index, double factor, unsigned tailOneIn = 33)
        {
            std::normal_distribution<double> siblingSpread(0, 0.15);
            bool tail = tailOneIn != 0 && m_random() % tailOneIn == 0;
            double runTime = 2'000 * factor * m_runTimes[index] * std::exp(siblingSpread(m_random)) * (tail ? 7 : 1);
            model.recordRate(
                {
                    .worker = worker(index),
                    .incarnation = 1,
                    .siblings = { state::JobId(std::to_string(m_job)), 0, 0, 1 },
                    .siblingCount = siblings,
                    .queue = "q",
                    .elapsed = milliseconds(static_cast<int>(runTime)),
                    .percent = 100,
                    .estimate = milliseconds(2'000),
                },
                now);
        }

        double learned(const WorkerSpeedModel& model, std::size_t index) const
        {
            return model.relativeRunTime(worker(index), 1, now);
        }

        // Share of the workers whose learned run time is beyond 1.2 just as their real one.
        double judgedRightly(const WorkerSpeedModel& model) const
        {
            double right = 0;
            for (std::size_t index = 0; index < m_runTimes.size(); ++index)
                right += (learned(model, index) > 1.2) == (m_runTimes[index] > 1.2) ? 1 : 0;
            return right / static_cast<double>(m_runTimes.size());
        }

        state::MonotonicTime now = start;

    private:
        static constexpr int siblings = 4;

        std::vector<double> m_runTimes;
        std::mt19937 m_random;
        int m_job = 0;
    };

    std::vector<double> fleetOf(std::size_t workers, const std::vector<double>& kinds)
    {
        std::vector<double> runTimes;
        for (std::size_t index = 0; index < workers; ++index)
            runTimes.push_back(kinds[index % kinds.size()]);
        return runTimes;
    }

    WorkerSpeedSample progressOf(milliseconds elapsed, int percent)
    {
        return { .worker = Fleet::worker(0),
            .incarnation = 1,
            .queue = "q",
            .elapsed = elapsed,
            .percent = percent,
            .estimate = milliseconds(2'000) };
    }

} // namespace

// Guards against placing urgent work on slow workers although siblings have run there, despite estimates that are wrong
// by a factor and runs that take long for reasons of their own.
TEST(WorkerSpeedModel, TellsThreeSpeedsAfterSomeRunsOfEachWorker)
{
    Fleet fleet(fleetOf(90, { 0.6, 1.0, 1.6 }));
    WorkerSpeedModel model;
    fleet.play(model, 180);
    EXPECT_TRUE(model.speedsDiffer());
    EXPECT_GT(fleet.judgedRightly(model), 0.93);
}

// Guards against overlooking a few slow workers among many of usual speed.
TEST(WorkerSpeedModel, FindsARareSlowTenth)
{
    Fleet fleet(fleetOf(100, { 1, 1, 1, 1, 1, 1, 1, 1, 1, 2 }));
    WorkerSpeedModel model;
    fleet.play(model, 250);
    EXPECT_GT(fleet.judgedRightly(model), 0.95);
}

// Guards against a changed placement where all workers are equally fast, whatever the estimates are worth.
TEST(WorkerSpeedModel, EqualWorkersAreNotToldApart)
{
    for (std::uint32_t seed = 1; seed <= 10; ++seed) {
        Fleet fleet(fleetOf(48, { 1.0 }), seed);
        WorkerSpeedModel model;
        for (int round = 0; round < 5; ++round) {
            fleet.play(model, 60, 0.9);
            EXPECT_FALSE(model.speedsDiffer());
            EXPECT_GT(fleet.judgedRightly(model), 0.95);
        }
    }
}

// Guards against verdicts before anything is known, and against avoiding a worker because of one wrong estimate.
TEST(WorkerSpeedModel, FewSamplesDoNotMarkAWorkerAsSlow)
{
    Fleet fleet(fleetOf(2, { 1.0 }));
    WorkerSpeedModel model;
    EXPECT_EQ(fleet.learned(model, 0), 1);
    fleet.run(model, 0, 3);
    fleet.run(model, 1, 1);
    EXPECT_EQ(fleet.learned(model, 0), 1);
}

// Guards against speeds learned from jobs of a single task, whose wrong estimates look like slow workers.
TEST(WorkerSpeedModel, JobsOfOneTaskTeachNothingAboutTheWorker)
{
    Fleet fleet(fleetOf(30, { 1.0 }));
    WorkerSpeedModel model;
    for (int job = 0; job < 100; ++job) {
        WorkerSpeedSample sample = progressOf(milliseconds(600), 10);
        sample.siblings = { state::JobId("wrong" + std::to_string(job)), 0, 0, 1 };
        sample.queue = "queue" + std::to_string(job);
        // Longer than the model waits for siblings.
        for (int part = 0; part < 10; ++part)
            model.recordRate(sample, fleet.now += milliseconds(600));
    }
    EXPECT_EQ(model.estimate(Fleet::worker(0), 1, fleet.now).logarithm, 0);
    EXPECT_EQ(fleet.learned(model, 0), 1);
}

// Guards against equal workers that are told apart because several siblings on one worker count as independent evidence
// of its speed. The siblings on a worker are reported together.
TEST(WorkerSpeedModel, SiblingsOnOneWorkerAreOneObservation)
{
    constexpr std::size_t workers = 48;
    for (std::uint32_t seed = 1; seed <= 5; ++seed) {
        Fleet fleet(fleetOf(workers, { 1.0 }), seed);
        WorkerSpeedModel model;
        for (int step = 0; step < 300; ++step) {
            fleet.playStepOnWorkers(model, { .workers = 4, .tasksOfEach = 8 });
            model.judgeSpread(fleet.now);
            ASSERT_FALSE(model.speedsDiffer()) << "seed " << seed << ", step " << step;
        }
        for (std::size_t index = 0; index < workers; ++index)
            EXPECT_LE(fleet.learned(model, index), 1.2) << "seed " << seed << ", worker " << index;
    }
}

// Guards against a worker that is avoided for ever, or never, when its speed changes, and against two workers that have
// changed places and keep their reputations.
TEST(WorkerSpeedModel, FollowsWorkersWhoseSpeedsSwap)
{
    Fleet fleet(fleetOf(40, { 0.7, 1.5 }));
    WorkerSpeedModel model;
    fleet.play(model, 200);
    ASSERT_GT(fleet.learned(model, 1), 1.2);
    ASSERT_LT(fleet.learned(model, 0), 1);
    fleet.setRunTime(0, 1.5);
    fleet.setRunTime(1, 0.7);
    fleet.play(model, 200);
    EXPECT_GT(fleet.learned(model, 0), 1.2);
    EXPECT_LT(fleet.learned(model, 1), 1);
}

// Guards against a worker that was far slower for some seconds and is avoided for long after that.
TEST(WorkerSpeedModel, WorkerThatWasSlowForAWhileIsSoonUsualAgain)
{
    Fleet fleet(fleetOf(40, { 1.0 }));
    WorkerSpeedModel model;
    fleet.play(model, 100);
    fleet.setRunTime(0, 5.7);
    fleet.play(model, 100);
    ASSERT_GT(fleet.learned(model, 0), 2);
    fleet.setRunTime(0, 1.0);
    // Ten runs of each worker.
    fleet.play(model, 100);
    EXPECT_LT(fleet.learned(model, 0), 1.3);
}

// Guards against a member of a gang that waits for the others and looks slow because its progress stands still.
TEST(WorkerSpeedModel, AMemberThatHasDoneItsShareIsNotSlower)
{
    Fleet fleet(fleetOf(8, { 1.0 }));
    WorkerSpeedModel model;
    for (int step = 0; step < 20; ++step) {
        for (std::size_t member = 0; member < 4; ++member) {
            WorkerSpeedSample sample = progressOf(milliseconds(2'000), member == 0 ? 20 : 60);
            sample.worker = Fleet::worker(member);
            sample.siblings = { state::JobId("j" + std::to_string(step)), 0, 0, 1 };
            sample.siblingCount = 4;
            sample.atLeast = member == 0;
            model.recordRate(sample, start);
        }
    }
    EXPECT_LE(fleet.learned(model, 0), 1);
}

// Guards against a worker that counts as slow for long because its first tasks ran while it was cold.
TEST(WorkerSpeedModel, ColdWorkersTeachNothing)
{
    Fleet fleet(fleetOf(4, { 1.0 }));
    WorkerSpeedModel model;
    for (int step = 0; step < 20; ++step) {
        for (std::size_t task = 0; task < 4; ++task) {
            WorkerSpeedSample sample = progressOf(milliseconds(task == 0 ? 6'000 : 2'000), 100);
            sample.worker = Fleet::worker(task);
            sample.siblings = { state::JobId("j" + std::to_string(step)), 0, 0, 1 };
            sample.siblingCount = 4;
            sample.cold = task == 0;
            model.recordRate(sample, fleet.now += milliseconds(100));
        }
    }
    EXPECT_EQ(fleet.learned(model, 0), 1);
}

// Guards against speeds from bounds alone: they show only that a member was not slower than others, not what is usual.
TEST(WorkerSpeedModel, BoundsWithoutASiblingsRateTeachNothing)
{
    Fleet fleet(fleetOf(8, { 1.0 }));
    WorkerSpeedModel model;
    for (int step = 0; step < 20; ++step) {
        for (std::size_t member = 0; member < 4; ++member) {
            WorkerSpeedSample sample = progressOf(milliseconds(200), 100);
            sample.worker = Fleet::worker(member);
            sample.siblings = { state::JobId("j" + std::to_string(step)), 0, 0, 1 };
            sample.siblingCount = 4;
            sample.atLeast = true;
            model.recordRate(sample, start);
        }
    }
    EXPECT_EQ(fleet.learned(model, 0), 1);
}

// Guards against a model that grows with each worker that has ever been there.
TEST(WorkerSpeedModel, ForgetsWorkersThatHaveRunNothingForLong)
{
    Fleet fleet(fleetOf(60, { 0.6, 1.0, 1.6 }));
    WorkerSpeedModel model;
    fleet.play(model, 300);
    ASSERT_FALSE(model.summary(1'000, fleet.now).entries.empty());
    fleet.now += seconds(600);
    model.judgeSpread(fleet.now);
    fleet.play(model, 0);
    EXPECT_TRUE(model.summary(1'000, fleet.now).entries.empty());
    EXPECT_EQ(fleet.learned(model, 2), 1);
}

// Guards against a new leader that begins with nothing, and against a summary that is applied to other hardware.
TEST(WorkerSpeedModel, SummaryRestoresTheSpeedsOfTheSameIncarnations)
{
    Fleet fleet(fleetOf(60, { 0.6, 1.0, 1.6 }));
    WorkerSpeedModel model;
    fleet.play(model, 300);
    WorkerSpeedModel successor;
    successor.restore(model.summary(1'000, fleet.now), fleet.now);
    EXPECT_TRUE(successor.speedsDiffer());
    EXPECT_NEAR(fleet.learned(successor, 2), fleet.learned(model, 2), 0.01);
    EXPECT_EQ(successor.relativeRunTime(Fleet::worker(2), 2, fleet.now), 1);
    EXPECT_EQ(model.summary(10, fleet.now).entries.size(), 10U);
}

// Guards against placing more work on a worker with a stalled task, and against avoiding that worker permanently.
TEST(WorkerSpeedModel, MarksAWorkerWithAStalledTaskAsSlowForALimitedTime)
{
    WorkerSpeedModel model;
    model.recordProgress(progressOf(milliseconds(3'000), 5), start);
    EXPECT_GT(model.stragglerSlowness(Fleet::worker(0), start), 3);
    EXPECT_EQ(model.stragglerSlowness(Fleet::worker(0), start + milliseconds(5'000)), 1);
}

// Guards against a model that grows with each worker that ever had a straggler, if speeds are not learned.
TEST(WorkerSpeedModel, ForgetsStragglersWithoutJudgingTheSpread)
{
    WorkerSpeedModel model;
    for (std::size_t index = 0; index < 100; ++index) {
        WorkerSpeedSample sample = progressOf(milliseconds(3'000), 5);
        sample.worker = Fleet::worker(index);
        model.recordProgress(sample, start + index * milliseconds(1'000));
    }
    EXPECT_LE(model.suspectedWorkers(), 5U);
}

} // namespace lentilsaddle::coordination::batch
