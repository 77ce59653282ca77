#include "coordination/decisions/GangCoordinator.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

namespace lentilsaddle::coordination {

namespace {

    using namespace std::chrono_literals;
    using state::MonotonicTime;
    using state::WorkerId;
    using Call = GangCoordinator::CallResult;
    using Kind = GangCommand::Kind;
    using Phase = GangCoordinator::Phase;
    using TaskState = state::WorkerTask::State;

    /// Workers that follow the lease rules of the platform, and a network that loses, delays and refuses.
    class World {
    public:
        explicit World(int workers)
            : m_gang({ .repeatable = true }, names(workers))
        {
            for (const WorkerId& name : names(workers))
                m_workers[name] = {};
            take(m_gang.begin());
        }

        /// Takes one random step.
        void step()
        {
            advance(*rc::gen::weightedElement<int>({ { 20, 0 }, { 20, 400 }, { 5, 9'000 }, { 1, 40'000 } }));
            switch (*rc::gen::weightedElement<int>(
                { { 30, 0 }, { 5, 1 }, { 3, 2 }, { 6, 3 }, { 6, 4 }, { 1, 5 }, { 1, 6 }, { 3, 7 } })) {
            case 0:
                return deliver(*rc::gen::weightedElement<int>({ { 20, 0 }, { 1, 1 }, { 1, 2 }, { 1, 3 } }));
            case 1:
                return take(m_gang.tick(m_now));
            case 2:
                return deliverLate();
            case 3:
                return renew(*rc::gen::inRange(0, 6) != 0);
            case 4:
                return report();
            case 5:
                return take(m_gang.preempt(m_now));
            case 6:
                return take(m_gang.cancel(m_now));
            default:
                return finishTask();
            }
        }

        /// Lets a healthy network bring an attempt that is to end to its end.
        void settle()
        {
            take(m_gang.cancel(m_now));
            for (int i = 0; i < 200 && m_gang.phase() != Phase::Ended; ++i) {
                while (!m_calls.empty())
                    deliver(0);
                advance(1'000);
                take(m_gang.tick(m_now));
            }
            RC_ASSERT(m_gang.phase() == Phase::Ended);
        }

        void check()
        {
            if (m_gang.phase() != Phase::Released && m_gang.phase() != Phase::Ended)
                return;
            for (auto& [name, worker] : m_workers)
                RC_ASSERT(!worker.runs);
            if (m_gang.outcome().outcome == "released")
                RC_ASSERT(none([](const Worker& worker) { return worker.everStarted; }));
            if (m_gang.outcome().outcome == "succeeded")
                RC_ASSERT(none([](const Worker& worker) { return !worker.finished; }));
        }

    private:
        struct Worker {
            bool leased = false;
            bool runs = false;
            bool everStarted = false;
            bool finished = false;
            bool failed = false;
            bool lapsed = false;
            MonotonicTime leaseEnd;
        };
        struct Sent {
            GangCommand command;
            MonotonicTime at;
        };

        static std::vector<WorkerId> names(int count)
        {
            std::vector<WorkerId> result;
            result.reserve(static_cast<std::size_t>(count));
            for (int i = 0; i < count; ++i)
                result.emplace_back("w" + std::to_string(i));
            return result;
        }

        template <typename Predicate> bool none(Predicate predicate) const
        {
            return std::none_of(m_workers.begin(), m_workers.end(),
                [&predicate](const auto& entry) { return predicate(entry.second); });
        }

        void advance(int milliseconds)
        {
            m_now += std::chrono::milliseconds(milliseconds);
            for (auto& [name, worker] : m_workers) {
                if (worker.leased && m_now >= worker.leaseEnd) {
                    worker.lapsed = worker.lapsed || worker.runs;
                    worker.leased = worker.runs = false;
                }
            }
            check();
        }

        void take(const GangCoordinator::Commands& commands)
        {
            for (const GangCommand& command : commands) {
                if (command.kind == Kind::RecordEnd) {
                    check();
                    take(m_gang.endRecorded());
                    continue;
                }
                if (command.kind == Kind::Start && !sendStart(command))
                    continue;
                m_calls.push_back({ command, m_now });
            }
        }

        /// The process may be paused between the decision and the call.
        bool sendStart(const GangCommand& command)
        {
            if (*rc::gen::inRange(0, 12) == 0)
                advance(40'000);
            if (!m_gang.mayStart(m_now)) {
                take(m_gang.startSkipped(m_now));
                return false;
            }
            RC_ASSERT(none([this](const Worker& worker) { return !worker.leased || m_now >= worker.leaseEnd; }));
            m_gang.startSent(command.worker);
            return true;
        }

        /// @param fate 0 answered, 1 answer lost, 2 delayed beyond the timeout, 3 refused.
        void deliver(int fate)
        {
            if (m_calls.empty())
                return;
            Sent sent = m_calls.front();
            m_calls.erase(m_calls.begin());
            Call result = Call::Unknown;
            if (fate == 2)
                m_late.push_back(sent);
            else
                result = fate == 3 ? Call::Refused : act(sent.command);
            answer(sent, fate == 1 ? Call::Unknown : result);
        }

        void deliverLate()
        {
            if (m_late.empty())
                return;
            act(m_late.front().command);
            m_late.erase(m_late.begin());
        }

        Call act(const GangCommand& command)
        {
            Worker& worker = m_workers.at(command.worker);
            switch (command.kind) {
            case Kind::Lease:
                worker.leased = true;
                worker.leaseEnd = m_now + 30s;
                return Call::Ok;
            case Kind::Start:
                if (!worker.leased)
                    return Call::Refused;
                worker.runs = worker.everStarted = true;
                return Call::Ok;
            case Kind::Release:
                worker.leased = worker.runs = false;
                return Call::Ok;
            default:
                return Call::Ok;
            }
        }

        void answer(const Sent& sent, Call result)
        {
            const WorkerId& worker = sent.command.worker;
            switch (sent.command.kind) {
            case Kind::Lease:
                return take(m_gang.handleLeaseResult(worker, result, sent.at, m_now));
            case Kind::Start:
                take(m_gang.handleStartResult(worker, result, m_now));
                if (m_gang.phase() == Phase::Running)
                    RC_ASSERT(none([](const Worker& other) { return !other.everStarted; }));
                return;
            case Kind::Checkpoint:
                return take(m_gang.handleCheckpointResult(worker, result, m_now));
            default:
                return take(m_gang.handleReleaseResult(worker, result, m_now));
            }
        }

        void renew(bool reachable)
        {
            for (auto& [name, worker] : m_workers) {
                if (!m_gang.needsRenewal(name))
                    continue;
                if (!reachable) {
                    take(m_gang.renewalFailed(name, m_now));
                } else if (worker.leased) {
                    worker.leaseEnd = m_now + 30s;
                    take(m_gang.renewed(name, m_now));
                } else {
                    take(m_gang.leaseLost(name, m_now));
                }
            }
        }

        void report()
        {
            for (auto& [name, worker] : m_workers) {
                if (worker.finished)
                    take(m_gang.taskReported(name, TaskState::Succeeded, "", m_now));
                else if (worker.failed)
                    take(m_gang.taskReported(name, TaskState::Failed, "", m_now));
                else if (worker.lapsed)
                    take(m_gang.taskReported(name, TaskState::Lapsed, "", m_now));
            }
        }

        void finishTask()
        {
            for (auto& [name, worker] : m_workers) {
                if (!worker.runs)
                    continue;
                worker.runs = false;
                (*rc::gen::inRange(0, 5) == 0 ? worker.failed : worker.finished) = true;
                return;
            }
        }

        MonotonicTime m_now { 1h };
        std::map<WorkerId, Worker> m_workers;
        GangCoordinator m_gang;
        std::vector<Sent> m_calls;
        std::vector<Sent> m_late;
    };

    class GangCoordinatorTest : public testing::Test {
    protected:
        static GangCoordinator gang(bool repeatable = true)
        {
            return GangCoordinator({ .repeatable = repeatable }, { first, second });
        }

        static GangCoordinator running(bool repeatable = true)
        {
            GangCoordinator result = gang(repeatable);
            result.begin();
            for (const WorkerId& worker : { first, second })
                result.handleLeaseResult(worker, Call::Ok, now, now);
            for (const WorkerId& worker : { first, second }) {
                result.startSent(worker);
                result.handleStartResult(worker, Call::Ok, now);
            }
            return result;
        }

        static const inline WorkerId first { "w0" };
        static const inline WorkerId second { "w1" };
        static constexpr MonotonicTime now { 1h };
        static constexpr MonotonicTime silentUntil { 3h };
    };

} // namespace

// Guards against a gang that runs in part after it was settled, a start after the holder's leases lapsed, and an
// attempt reported as never started that was. Refusals, lapses, lost and late messages and pauses occur at every step.
RC_GTEST_PROP(GangCoordinator, NeverRunsInPartOnceSettled, ())
{
    World world(*rc::gen::inRange(1, 5));
    int steps = *rc::gen::inRange(1, 80);
    for (int i = 0; i < steps; ++i)
        world.step();
    world.settle();
    world.check();
}

// Guards against a pause between the reservation and the start during which the leases ended.
TEST_F(GangCoordinatorTest, HolderThatWasPausedStartsNothing)
{
    GangCoordinator coordinator = gang();
    coordinator.begin();
    coordinator.handleLeaseResult(first, Call::Ok, now, now);
    EXPECT_TRUE(coordinator.handleLeaseResult(second, Call::Ok, now, now + 1s).front().kind == Kind::Start);
    EXPECT_TRUE(coordinator.mayStart(now + 27s));
    EXPECT_FALSE(coordinator.mayStart(now + 28s));
    EXPECT_EQ(coordinator.startSkipped(now + 28s).size(), 2U);
    EXPECT_EQ(coordinator.phase(), Phase::Releasing);
}

// Guards against a lease that arrives after its release and blocks the accelerators for a lease term.
TEST_F(GangCoordinatorTest, ReleaseWaitsForTheAnswerOfTheLease)
{
    GangCoordinator coordinator = gang();
    coordinator.begin();
    auto commands = coordinator.handleLeaseResult(first, Call::Refused, now, now);
    EXPECT_EQ(commands, (GangCoordinator::Commands { { .kind = Kind::Release, .worker = first } }));
    commands = coordinator.handleLeaseResult(second, Call::Ok, now, now);
    EXPECT_EQ(commands, (GangCoordinator::Commands { { .kind = Kind::Release, .worker = second } }));
}

// Guards against a second attempt while an unreachable worker may still run the first.
TEST_F(GangCoordinatorTest, UnconfirmedReleaseWaitsForTheEndOfTheLease)
{
    GangCoordinator coordinator = running();
    coordinator.cancel(now);
    coordinator.handleReleaseResult(first, Call::Ok, now);
    coordinator.handleReleaseResult(second, Call::Unknown, now);
    coordinator.tick(now + 31s);
    EXPECT_EQ(coordinator.phase(), Phase::Releasing);
    coordinator.handleReleaseResult(second, Call::Unknown, now + 31s);
    coordinator.tick(now + 32s);
    EXPECT_EQ(coordinator.phase(), Phase::Released);
}

// Guards against a running gang that is stopped although its leases hold, because the holder was paused.
TEST_F(GangCoordinatorTest, RunningGangSurvivesAPauseOfItsHolder)
{
    GangCoordinator coordinator = running();
    EXPECT_TRUE(coordinator.tick(now + 60s).empty());
    coordinator.renewed(first, now + 60s);
    coordinator.renewed(second, now + 60s);
    EXPECT_TRUE(coordinator.renewalFailed(first, now + 70s).empty());
    EXPECT_EQ(coordinator.phase(), Phase::Running);
    EXPECT_FALSE(coordinator.renewalFailed(first, now + 88s).empty());
    EXPECT_EQ(coordinator.outcome().outcome, "unknown");
}

// Guards against a borrower that delays the owner by not writing its checkpoint.
TEST_F(GangCoordinatorTest, PreemptionStopsAtTheCheckpointLimit)
{
    GangCoordinator coordinator = running();
    EXPECT_EQ(coordinator.preempt(now).size(), 2U);
    coordinator.handleCheckpointResult(first, Call::Ok, now + 1s);
    EXPECT_EQ(coordinator.nextTick(), now + 2500ms);
    EXPECT_TRUE(coordinator.tick(now + 2499ms).empty());
    EXPECT_EQ(coordinator.tick(now + 2500ms).size(), 2U);
    EXPECT_EQ(coordinator.outcome().outcome, "preempted");
}

// Guards against a non-repeatable job that starts again from nothing after a preemption without a checkpoint.
TEST_F(GangCoordinatorTest, NonRepeatableGangWithoutCheckpointEndsUnknown)
{
    GangCoordinator coordinator = running(false);
    coordinator.preempt(now);
    coordinator.handleCheckpointResult(first, Call::Ok, now);
    coordinator.handleCheckpointResult(second, Call::Refused, now);
    EXPECT_EQ(coordinator.outcome().outcome, "unknown");
}

// Guards against a running gang that a takeover doubles or forgets.
TEST_F(GangCoordinatorTest, TakeoverAdoptsACompleteGang)
{
    GangCoordinator coordinator = gang();
    EXPECT_TRUE(
        coordinator.recover({ { first, TaskState::Running }, { second, TaskState::Succeeded } }, silentUntil, now)
            .empty());
    EXPECT_EQ(coordinator.phase(), Phase::Running);
    EXPECT_TRUE(coordinator.needsRenewal(first));
    EXPECT_EQ(coordinator.taskReported(first, TaskState::Succeeded, "", now).front().kind, Kind::RecordEnd);
}

// Guards against adopting a gang of which a part is gone.
TEST_F(GangCoordinatorTest, TakeoverStopsAnIncompleteGang)
{
    for (std::optional<TaskState> other :
        { std::optional<TaskState>(), std::optional(TaskState::Leased), std::optional(TaskState::Lapsed) }) {
        GangCoordinator coordinator = gang();
        EXPECT_EQ(
            coordinator.recover({ { first, TaskState::Running }, { second, other } }, silentUntil, now).size(), 2U);
        EXPECT_EQ(coordinator.outcome().outcome, "unknown");
    }
}

// Guards against a restart while a cut-off predecessor may still renew a task on a worker that does not answer.
TEST_F(GangCoordinatorTest, SilentWorkerIsFreeOnlyAfterTheIsolationLimit)
{
    GangCoordinator coordinator = gang();
    coordinator.recover({ { first, std::nullopt } }, silentUntil, now);
    coordinator.handleReleaseResult(first, Call::Ok, now);
    coordinator.handleReleaseResult(second, Call::Unknown, now);
    coordinator.tick(silentUntil - 1s);
    EXPECT_EQ(coordinator.phase(), Phase::Releasing);
    coordinator.handleReleaseResult(second, Call::Unknown, silentUntil - 1s);
    coordinator.tick(silentUntil);
    EXPECT_EQ(coordinator.phase(), Phase::Released);
}

} // namespace lentilsaddle::coordination
