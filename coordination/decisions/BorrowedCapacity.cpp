#include "coordination/decisions/BorrowedCapacity.h"

#include <algorithm>
#include <map>
#include <numeric>

namespace lentilsaddle::coordination {

BorrowedCapacity::BorrowedCapacity(const ClusterView& view, const GuaranteeCells& cells)
    : m_view(view)
    , m_cells(cells)
    , m_leaving(view.workers().size(), 0)
    , m_isLeaving(view.jobs().size(), false)
{
    for (std::size_t i = 0; i < view.jobs().size(); ++i) {
        if (view.jobs()[i].occupant->stopping && !cells.isProtected(static_cast<int>(i)))
            leave(static_cast<int>(i));
    }
}

std::vector<int> BorrowedCapacity::victims(const std::vector<GangTask>& tasks, const AcceleratorCounts& free) const
{
    std::map<int, int> needed;
    for (const GangTask& task : tasks)
        needed[task.worker] += task.accelerators;
    std::vector<int> chosen;
    for (const auto& [worker, accelerators] : needed) {
        auto index = static_cast<std::size_t>(worker);
        int missing = accelerators - free[index] - m_leaving[index];
        for (int victim : chosen)
            missing -= acceleratorsOn(victim, worker);
        while (missing > 0) {
            int victim = nextVictim(worker, chosen);
            if (victim < 0)
                break;
            chosen.push_back(victim);
            missing -= acceleratorsOn(victim, worker);
        }
    }
    return chosen;
}

int BorrowedCapacity::accelerators(const std::vector<int>& jobs) const
{
    return std::accumulate(jobs.begin(), jobs.end(), 0, [this](int sum, int job) { return sum + accelerators(job); });
}

std::vector<int> BorrowedCapacity::claim(const std::vector<GangTask>& tasks, AcceleratorCounts& free)
{
    std::vector<int> chosen = victims(tasks, free);
    for (int victim : chosen)
        leave(victim);
    for (const GangTask& task : tasks) {
        auto worker = static_cast<std::size_t>(task.worker);
        int fromFree = std::min(free[worker], task.accelerators);
        free[worker] -= fromFree;
        m_leaving[worker] = std::max(0, m_leaving[worker] - (task.accelerators - fromFree));
    }
    return chosen;
}

void BorrowedCapacity::leave(int job)
{
    m_isLeaving[static_cast<std::size_t>(job)] = true;
    for (const GangTask& task : m_view.jobs()[static_cast<std::size_t>(job)].tasks) {
        auto worker = static_cast<std::size_t>(task.worker);
        if (m_view.workers()[worker].capacity > 0)
            m_leaving[worker] += task.accelerators;
    }
}

int BorrowedCapacity::nextVictim(int worker, const std::vector<int>& chosen) const
{
    // The smallest borrower costs least, since a gang stops on all of its workers. Of equal ones, the job that started
    // last loses least work.
    int best = -1;
    for (int job : m_view.workers()[static_cast<std::size_t>(worker)].jobs) {
        if (m_isLeaving[static_cast<std::size_t>(job)] || m_cells.isProtected(job)
            || std::find(chosen.begin(), chosen.end(), job) != chosen.end())
            continue;
        if (best < 0 || accelerators(job) <= accelerators(best))
            best = job;
    }
    return best;
}

int BorrowedCapacity::accelerators(int job) const
{
    const std::vector<GangTask>& tasks = m_view.jobs()[static_cast<std::size_t>(job)].tasks;
    return std::accumulate(
        tasks.begin(), tasks.end(), 0, [](int sum, const GangTask& task) { return sum + task.accelerators; });
}

int BorrowedCapacity::acceleratorsOn(int job, int worker) const
{
    const std::vector<GangTask>& tasks = m_view.jobs()[static_cast<std::size_t>(job)].tasks;
    return std::accumulate(tasks.begin(), tasks.end(), 0,
        [worker](int sum, const GangTask& task) { return sum + (task.worker == worker ? task.accelerators : 0); });
}

} // namespace lentilsaddle::coordination
