#include "coordination/decisions/BorrowedRoom.h"

#include <algorithm>

namespace lentilsaddle::coordination {

BorrowedRoom::BorrowedRoom(const ClusterView& view, const GuaranteeCells& cells)
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

std::vector<int> BorrowedRoom::claim(const std::vector<GangTask>& tasks, WorkerRoom& free)
{
    std::vector<int> victims;
    for (const GangTask& task : tasks) {
        auto worker = static_cast<std::size_t>(task.worker);
        while (free[worker] + m_leaving[worker] < task.accelerators) {
            int victim = nextVictim(task.worker);
            if (victim < 0)
                break;
            leave(victim);
            victims.push_back(victim);
        }
        int fromFree = std::min(free[worker], task.accelerators);
        free[worker] -= fromFree;
        m_leaving[worker] = std::max(0, m_leaving[worker] - (task.accelerators - fromFree));
    }
    return victims;
}

void BorrowedRoom::leave(int job)
{
    m_isLeaving[static_cast<std::size_t>(job)] = true;
    for (const GangTask& task : m_view.jobs()[static_cast<std::size_t>(job)].tasks) {
        auto worker = static_cast<std::size_t>(task.worker);
        if (m_view.workers()[worker].capacity > 0)
            m_leaving[worker] += task.accelerators;
    }
}

int BorrowedRoom::nextVictim(int worker) const
{
    // The job that started last loses least work.
    const std::vector<int>& jobs = m_view.workers()[static_cast<std::size_t>(worker)].jobs;
    auto found = std::find_if(jobs.rbegin(), jobs.rend(),
        [this](int job) { return !m_isLeaving[static_cast<std::size_t>(job)] && !m_cells.isProtected(job); });
    return found == jobs.rend() ? -1 : *found;
}

} // namespace lentilsaddle::coordination
