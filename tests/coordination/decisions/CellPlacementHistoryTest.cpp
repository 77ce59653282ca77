#include "coordination/decisions/CellPlacement.h"

#include "coordination/decisions/GuaranteeCells.h"
#include "tests/coordination/decisions/PlacementFixture.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace lentilsaddle::coordination {

namespace {

    using state::Adjacency;

    constexpr int workerCount = 12;
    constexpr int maximumBypass = 3;

    /// Random history of a data centre that is promised almost whole: 44 of 48 accelerators.
    class History {
    public:
        History() { configure(0); }

        void step()
        {
            bool feasibleBefore = guaranteesFeasible(m_fixture.placement);
            bool mayBreak = act();
            if (feasibleBefore && !mayBreak)
                RC_ASSERT(guaranteesFeasible(m_fixture.placement));
            decide();
        }

        /// Asks for every account's unused cells at once.
        void reclaimEverything() const
        {
            PlacementFixture fixture = m_fixture;
            if (!guaranteesFeasible(fixture.placement))
                return;
            fixture.queue.clear();
            for (const auto& [job, occupant] : m_fixture.placement.allocations()) {
                if (occupant.stopping)
                    fixture.placement.release(job);
            }
            std::vector<state::JobId> claims = submitUnusedCells(fixture);
            for (int round = 0; round < 3; ++round) {
                for (const state::JobId& victim : fixture.step(m_policy).preemptions)
                    RC_ASSERT(!m_fixture.startedInGuarantee.contains(victim) || m_guaranteesShrank);
            }
            for (const state::JobId& claim : claims)
                RC_ASSERT(fixture.running(claim));
        }

    private:
        static std::vector<state::JobId> submitUnusedCells(PlacementFixture& fixture)
        {
            ClusterView view(fixture.placement);
            GuaranteeCells cells(view);
            std::vector<state::JobId> claims;
            for (const auto& cell : cells.cells()) {
                if (cell.used > 0)
                    continue;
                int perTask = std::min(cell.accelerators, 4);
                claims.push_back(fixture.submit(cell.account->value(),
                    { .tasks = cell.accelerators / perTask,
                        .acceleratorsPerTask = perTask,
                        .adjacency = cell.adjacency },
                    true));
            }
            return claims;
        }

        /// @return whether the action may take accelerators or promise more of them.
        bool act()
        {
            switch (*rc::gen::inRange(0, 11)) {
            case 0:
                loseWorker();
                return true;
            case 1:
                m_fixture.placement.setAvailable(anyWorker(), true);
                return false;
            case 2:
                configure(*rc::gen::inRange(0, 3));
                m_guaranteesShrank = true;
                return true;
            case 10:
                takeOver();
                return false;
            case 3:
            case 4:
            case 5:
                endJob();
                return false;
            default:
                submitJob();
                return false;
            }
        }

        void decide()
        {
            ClusterView view(m_fixture.placement);
            GuaranteeCells cells(view);
            bool feasible = cells.feasible();
            PlacementPlan plan = m_policy(m_fixture.placement, m_fixture.queue, state::MonotonicTime());
            for (const state::JobId& victim : plan.preemptions) {
                for (std::size_t i = 0; i < view.jobs().size(); ++i)
                    RC_ASSERT(*view.jobs()[i].id != victim || !cells.isProtected(static_cast<int>(i)));
                RC_ASSERT(!m_fixture.startedInGuarantee.contains(victim) || m_guaranteesShrank);
            }
            checkBypass(plan);
            RC_ASSERT(m_fixture.applyStarts(plan) == "");
            for (const state::JobId& victim : plan.preemptions)
                m_fixture.placement.markStopping(victim);
            if (feasible)
                RC_ASSERT(guaranteesFeasible(m_fixture.placement));
        }

        void checkBypass(const PlacementPlan& plan) const
        {
            for (const auto& start : plan.starts) {
                for (const QueuedJob& job : m_fixture.queue) {
                    if (job.specification.id == start.job)
                        break;
                    bool waits = std::none_of(plan.starts.begin(), plan.starts.end(),
                        [&job](const auto& other) { return other.job == job.specification.id; });
                    RC_ASSERT(start.withinGuarantee || !waits || job.bypassed < maximumBypass || !fitsAtAll(job));
                }
            }
        }

        bool fitsAtAll(const QueuedJob& job) const
        {
            PlacementFixture idle = m_fixture;
            while (!idle.placement.allocations().empty())
                idle.placement.release(idle.placement.allocations().begin()->first);
            idle.queue = { job };
            return !m_policy(idle.placement, idle.queue, state::MonotonicTime()).starts.empty();
        }

        void configure(int choice)
        {
            static const std::vector<std::vector<state::Guarantee>> large {
                { { .accelerators = 12, .adjacency = Adjacency::Rack },
                    { .accelerators = 4, .adjacency = Adjacency::Worker } },
                { { .accelerators = 8, .adjacency = Adjacency::Rack } },
                { { .accelerators = 4, .adjacency = Adjacency::Worker, .count = 4 } },
            };
            m_fixture.guarantee("a", large[static_cast<std::size_t>(choice)]);
            m_fixture.guarantee("b", { { .accelerators = 8, .adjacency = Adjacency::Rack, .count = 2 } });
            m_fixture.guarantee("c", { { .accelerators = 12, .adjacency = Adjacency::DataCentre } });
        }

        static state::WorkerId anyWorker() { return PlacementFixture::workerId(*rc::gen::inRange(0, workerCount)); }

        void loseWorker()
        {
            state::WorkerId worker = anyWorker();
            m_fixture.placement.setAvailable(worker, false);
            for (const state::JobId& job : std::vector(m_fixture.placement.workers().at(worker).jobs))
                m_fixture.placement.release(job);
        }

        /// A new scheduler knows who runs where, but not how the jobs were started.
        void takeOver()
        {
            auto occupants = m_fixture.placement.allocations();
            for (const auto& [job, occupant] : occupants) {
                m_fixture.placement.release(job);
                m_fixture.placement.allocate(job, occupant.account, occupant.placements);
            }
            m_fixture.startedInGuarantee.clear();
        }

        void endJob()
        {
            const auto& occupants = m_fixture.placement.allocations();
            if (occupants.empty())
                return;
            auto index = *rc::gen::inRange(0, static_cast<int>(occupants.size()));
            m_fixture.placement.release(std::next(occupants.begin(), index)->first);
        }

        void submitJob()
        {
            static const std::vector<state::GangShape> shapes {
                { .tasks = 1, .acceleratorsPerTask = 1, .adjacency = Adjacency::Worker },
                { .tasks = 1, .acceleratorsPerTask = 2, .adjacency = Adjacency::DataCentre },
                { .tasks = 1, .acceleratorsPerTask = 4, .adjacency = Adjacency::Worker },
                { .tasks = 2, .acceleratorsPerTask = 4, .adjacency = Adjacency::Rack },
                { .tasks = 3, .acceleratorsPerTask = 4, .adjacency = Adjacency::DataCentre },
                { .tasks = 3, .acceleratorsPerTask = 3, .adjacency = Adjacency::Rack },
                { .tasks = 12, .acceleratorsPerTask = 1, .adjacency = Adjacency::Rack },
            };
            m_fixture.submit(*rc::gen::element<std::string>("a", "b", "c", "d"), *rc::gen::elementOf(shapes),
                *rc::gen::arbitrary<bool>());
        }

        PlacementFixture m_fixture { 4, 3, 4 };
        bool m_guaranteesShrank = false;
        PlacementPolicy m_policy = makeCellPlacement({ .maximumBypass = maximumBypass });
    };

} // namespace

// Guards against a history after which a guarantee cannot be reclaimed, a protected job is preempted, part of a gang
// starts, or a waiting job is passed without bound.
RC_GTEST_PROP(CellPlacementHistoryTest, InvariantsHoldAfterEveryStep, ())
{
    History history;
    int steps = *rc::gen::inRange(10, 80);
    for (int i = 0; i < steps; ++i)
        history.step();
    history.reclaimEverything();
}

} // namespace lentilsaddle::coordination
