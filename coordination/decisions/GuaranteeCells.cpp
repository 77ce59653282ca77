#include "coordination/decisions/GuaranteeCells.h"

#include "coordination/decisions/CellAssigner.h"
#include "coordination/decisions/GangFit.h"

#include <algorithm>
#include <iterator>
#include <numeric>
#include <tuple>
#include <utility>

namespace lentilsaddle::coordination {

namespace {

    /// Limits of the search for another choice of cells: each step reassigns all cells and visits every worker for
    /// every cell. With 3,900 workers, a decision within 0.2 s leaves no time for the search.
    constexpr std::size_t maximumSearchVisits = 2'000'000;
    constexpr std::size_t maximumSearchSteps = 1'000;

    int totalAccelerators(const std::vector<GangTask>& tasks)
    {
        return std::accumulate(
            tasks.begin(), tasks.end(), 0, [](int sum, const GangTask& task) { return sum + task.accelerators; });
    }

} // namespace

GuaranteeCells::GuaranteeCells(const ClusterView& view)
    : m_view(&view)
    , m_assignment({ .cells = {},
          .protectedJobs = std::vector<bool>(view.jobs().size(), false),
          .unprotected = view.capacity() })
{
    addCells();
    classifyJobs();
}

void GuaranteeCells::addCells()
{
    for (const auto& [account, guarantees] : m_view->placement().guarantees()) {
        for (const state::Guarantee& guarantee : guarantees) {
            Cell cell;
            cell.account = &account;
            cell.adjacency = guarantee.adjacency;
            cell.accelerators = guarantee.accelerators;
            m_assignment.cells.insert(m_assignment.cells.end(), static_cast<std::size_t>(guarantee.count), cell);
        }
    }
}

void GuaranteeCells::classifyJobs()
{
    std::vector<int> started;
    std::vector<int> unknown;
    for (std::size_t i = 0; i < m_view->jobs().size(); ++i) {
        const auto& allocation = *m_view->jobs()[i].allocation;
        if (allocation.options.withinGuarantee.value_or(false))
            started.push_back(static_cast<int>(i));
        else if (!allocation.options.withinGuarantee && !allocation.stopping)
            unknown.push_back(static_cast<int>(i));
    }
    protectStarted(started);
    protectUnknown(unknown);
}

void GuaranteeCells::protectStarted(const std::vector<int>& jobs)
{
    const Assignment unused = m_assignment;
    allocateFirstFit(jobs);
    assignUnusedParts();
    bool allCovered = std::all_of(jobs.begin(), jobs.end(), [this](int job) { return isProtected(job); });
    if (allCovered && feasible())
        return;
    // Another choice of cells may cover every job and keep every cell assigned. Jobs of accounts with unassigned cells
    // choose first.
    std::vector<int> order = jobs;
    const auto lacking = unassignedByAccount();
    std::stable_partition(order.begin(), order.end(), [this, &lacking](int job) {
        return std::any_of(lacking.begin(), lacking.end(), [this, job](const auto& entry) {
            return entry.second > 0
                && *entry.first == m_view->jobs()[static_cast<std::size_t>(job)].allocation->account;
        });
    });
    const Assignment first = std::exchange(m_assignment, unused);
    if (search(order, SearchRule::KeepAssignments) || (!allCovered && search(jobs, SearchRule::CoverOnly)))
        return;
    m_assignment = first;
}

bool GuaranteeCells::search(std::span<const int> jobs, SearchRule rule)
{
    std::size_t visits = (m_assignment.cells.size() + 1) * (m_view->workers().size() + 1);
    m_searchBudget = static_cast<int>(std::min<std::size_t>(maximumSearchSteps, maximumSearchVisits / visits));
    return searchCells(jobs, rule);
}

bool GuaranteeCells::searchCells(std::span<const int> jobs, SearchRule rule)
{
    if (jobs.empty())
        return true;
    const auto& job = m_view->jobs()[static_cast<std::size_t>(jobs.front())];
    bool found = tryCells(job.allocation->account, job.tasks, [this, jobs, rule] {
        return m_searchBudget-- > 0 && (rule == SearchRule::CoverOnly || feasible())
            && searchCells(jobs.subspan(1), rule);
    });
    if (found)
        m_assignment.protectedJobs[static_cast<std::size_t>(jobs.front())] = true;
    return found;
}

void GuaranteeCells::protectUnknown(std::span<const int> jobs)
{
    if (jobs.empty())
        return;
    const Assignment unchanged = m_assignment;
    const auto before = unassignedByAccount();
    if (jobs.size() == 1) {
        const auto& view = m_view->jobs()[static_cast<std::size_t>(jobs.front())];
        m_assignment.protectedJobs[static_cast<std::size_t>(jobs.front())]
            = tryAllocate(view.allocation->account, view.tasks);
        return;
    }
    allocateFirstFit(jobs);
    assignUnusedParts();
    if (keepsAssignments(before))
        return;
    m_assignment = unchanged;
    protectUnknown(jobs.first(jobs.size() / 2));
    protectUnknown(jobs.subspan(jobs.size() / 2));
}

void GuaranteeCells::allocateFirstFit(std::span<const int> jobs)
{
    for (int job : jobs) {
        const auto& view = m_view->jobs()[static_cast<std::size_t>(job)];
        m_assignment.protectedJobs[static_cast<std::size_t>(job)]
            = allocateAnywhere(view.allocation->account, view.tasks);
    }
}

bool GuaranteeCells::feasible() const
{
    return unassignedCells() == 0;
}

std::ptrdiff_t GuaranteeCells::unassignedCells() const
{
    return std::count_if(
        m_assignment.cells.begin(), m_assignment.cells.end(), [](const Cell& cell) { return !cell.assigned; });
}

bool GuaranteeCells::covers(const state::AccountId& account, const state::GangShape& shape) const
{
    int remaining = 0;
    for (const Cell& cell : m_assignment.cells)
        remaining += *cell.account == account ? cell.remaining() : 0;
    return remaining >= shape.accelerators();
}

bool GuaranteeCells::tryAllocate(const state::AccountId& account, const std::vector<GangTask>& tasks)
{
    return tryCells(account, tasks, [this, before = unassignedByAccount()] { return keepsAssignments(before); });
}

bool GuaranteeCells::tryCells(
    const state::AccountId& account, const std::vector<GangTask>& tasks, const std::function<bool()>& accept)
{
    int needed = totalAccelerators(tasks);
    if (needed == 0 || !covers(account, { .tasks = 1, .acceleratorsPerTask = needed }))
        return false;
    const Assignment unchanged = m_assignment;
    auto attempt = [&](bool covered) {
        if (covered) {
            assignUnusedParts();
            if (accept())
                return true;
        }
        m_assignment = unchanged;
        return false;
    };

    CellOrder order = cellOrder(account, needed);
    const Cell* last = nullptr;
    for (std::size_t index : order) {
        const Cell& cell = unchanged.cells[index];
        // An unused cell of the same size and adjacency as the one before it gives the same result.
        if (last && cell.usedParts.empty() && last->usedParts.empty() && cell.accelerators == last->accelerators
            && cell.adjacency == last->adjacency)
            continue;
        last = &cell;
        if (attempt(allocateInCell(index, tasks)))
            return true;
    }
    return tasks.size() > 1 && attempt(allocateByTask(order, tasks));
}

bool GuaranteeCells::allocateAnywhere(const state::AccountId& account, const std::vector<GangTask>& tasks)
{
    int needed = totalAccelerators(tasks);
    if (needed == 0 || !covers(account, { .tasks = 1, .acceleratorsPerTask = needed }))
        return false;
    CellOrder order = cellOrder(account, needed);
    if (std::any_of(order.begin(), order.end(), [&](std::size_t index) { return allocateInCell(index, tasks); }))
        return true;
    const Assignment unchanged = m_assignment;
    if (allocateByTask(order, tasks))
        return true;
    m_assignment = unchanged;
    return false;
}

bool GuaranteeCells::allocateInCell(std::size_t cell, const std::vector<GangTask>& tasks)
{
    if (!accepts(m_assignment.cells[cell], tasks, totalAccelerators(tasks)))
        return false;
    allocate(m_assignment.cells[cell], tasks);
    return true;
}

bool GuaranteeCells::allocateByTask(const CellOrder& order, const std::vector<GangTask>& tasks)
{
    for (const GangTask& task : tasks) {
        auto found = std::find_if(order.begin(), order.end(),
            [&](std::size_t index) { return accepts(m_assignment.cells[index], { task }, task.accelerators); });
        if (found == order.end())
            return false;
        allocate(m_assignment.cells[*found], { task });
    }
    return true;
}

GuaranteeCells::CellOrder GuaranteeCells::cellOrder(const state::AccountId& account, int preferred) const
{
    CellOrder order;
    for (std::size_t i = 0; i < m_assignment.cells.size(); ++i) {
        if (*m_assignment.cells[i].account == account && m_assignment.cells[i].remaining() > 0)
            order.push_back(i);
    }
    // The smallest cell that suffices comes first, so that larger shapes stay whole.
    std::stable_sort(order.begin(), order.end(), [this, preferred](std::size_t left, std::size_t right) {
        auto rank = [preferred](const Cell& cell) {
            return std::tuple(cell.remaining() < preferred, cell.accelerators, cell.usedParts.empty(), cell.adjacency);
        };
        return rank(m_assignment.cells[left]) < rank(m_assignment.cells[right]);
    });
    return order;
}

bool GuaranteeCells::accepts(const Cell& cell, const std::vector<GangTask>& tasks, int accelerators) const
{
    if (cell.remaining() < accelerators)
        return false;
    if (cell.adjacency == state::Adjacency::DataCentre)
        return true;
    const GangTask& first = cell.usedParts.empty() ? tasks.front() : cell.usedParts.front();
    auto rack = [this](const GangTask& task) { return m_view->workers()[static_cast<std::size_t>(task.worker)].rack; };
    return std::all_of(tasks.begin(), tasks.end(), [&](const GangTask& task) {
        return cell.adjacency == state::Adjacency::Worker ? task.worker == first.worker : rack(task) == rack(first);
    });
}

void GuaranteeCells::allocate(Cell& cell, const std::vector<GangTask>& tasks)
{
    cell.used += totalAccelerators(tasks);
    cell.usedParts.insert(cell.usedParts.end(), tasks.begin(), tasks.end());
    subtract(m_assignment.unprotected, tasks);
}

void GuaranteeCells::assignUnusedParts()
{
    CellAssigner assignment(*m_view, m_assignment.unprotected);
    std::vector<Cell*> order;
    for (Cell& cell : m_assignment.cells)
        order.push_back(&cell);
    // Cells that are bound to a worker or rack come first, then the ones that are hardest to assign.
    std::stable_sort(order.begin(), order.end(), [](const Cell* left, const Cell* right) {
        auto rank = [](const Cell& cell) {
            bool free = cell.usedParts.empty() || cell.adjacency == state::Adjacency::DataCentre;
            bool rack = cell.adjacency == state::Adjacency::Rack;
            bool worker = cell.adjacency == state::Adjacency::Worker;
            return std::tuple(free, !rack, worker, -cell.remaining());
        };
        return rank(*left) < rank(*right);
    });
    for (Cell* cell : order) {
        auto place = assignment.assign(*cell);
        cell->assigned = place.has_value();
        cell->unusedParts = std::move(place).value_or(std::vector<GangTask> {});
    }
}

std::map<const state::AccountId*, int> GuaranteeCells::unassignedByAccount() const
{
    std::map<const state::AccountId*, int> counts;
    for (const Cell& cell : m_assignment.cells)
        counts[cell.account] += cell.assigned ? 0 : 1;
    return counts;
}

bool GuaranteeCells::keepsAssignments(const std::map<const state::AccountId*, int>& before) const
{
    auto now = unassignedByAccount();
    return std::all_of(now.begin(), now.end(), [&before](const auto& entry) {
        auto known = before.find(entry.first);
        return entry.second <= (known == before.end() ? 0 : known->second);
    });
}

bool guaranteesFeasible(const state::PlacementState& placement)
{
    ClusterView view(placement);
    return GuaranteeCells(view).feasible();
}

} // namespace lentilsaddle::coordination
