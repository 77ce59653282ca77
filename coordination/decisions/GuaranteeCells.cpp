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

    /// Bounds of the search for another choice of cells: a search step assigns all cells anew and visits each worker
    /// for each cell. At 3,900 workers a decision within 0.2 s leaves no time for the search.
    constexpr std::size_t maximumSearchVisits = 2'000'000;
    constexpr std::size_t maximumSearchSteps = 1'000;

    int total(const std::vector<GangTask>& tasks)
    {
        return std::accumulate(
            tasks.begin(), tasks.end(), 0, [](int sum, const GangTask& task) { return sum + task.accelerators; });
    }

} // namespace

GuaranteeCells::GuaranteeCells(const ClusterView& view)
    : m_view(&view)
    , m_assignment(
          { .cells = {}, .protectedJobs = std::vector<bool>(view.jobs().size(), false), .room = view.capacity() })
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
        const auto& occupant = *m_view->jobs()[i].occupant;
        if (occupant.options.withinGuarantee.value_or(false))
            started.push_back(static_cast<int>(i));
        else if (!occupant.options.withinGuarantee && !occupant.stopping)
            unknown.push_back(static_cast<int>(i));
    }
    protectStarted(started);
    protectUnknown(unknown);
}

void GuaranteeCells::protectStarted(const std::vector<int>& jobs)
{
    const Assignment unused = m_assignment;
    takeFirst(jobs);
    assignRests();
    bool allCovered = std::all_of(jobs.begin(), jobs.end(), [this](int job) { return isProtected(job); });
    if (allCovered && feasible())
        return;
    // Another choice of cells may cover every job and leave a place for every rest. Jobs of accounts that lack a place
    // choose first.
    std::vector<int> order = jobs;
    const auto lacking = unassigned();
    std::stable_partition(order.begin(), order.end(), [this, &lacking](int job) {
        return std::any_of(lacking.begin(), lacking.end(), [this, job](const auto& entry) {
            return entry.second > 0 && *entry.first == m_view->jobs()[static_cast<std::size_t>(job)].occupant->account;
        });
    });
    const Assignment first = std::exchange(m_assignment, unused);
    if (search(order, Rule::KeepPlaces) || (!allCovered && search(jobs, Rule::CoverOnly)))
        return;
    m_assignment = first;
}

bool GuaranteeCells::search(std::span<const int> jobs, Rule rule)
{
    std::size_t visits = (m_assignment.cells.size() + 1) * (m_view->workers().size() + 1);
    m_searchBudget = static_cast<int>(std::min<std::size_t>(maximumSearchSteps, maximumSearchVisits / visits));
    return searchCells(jobs, rule);
}

bool GuaranteeCells::searchCells(std::span<const int> jobs, Rule rule)
{
    if (jobs.empty())
        return true;
    const auto& job = m_view->jobs()[static_cast<std::size_t>(jobs.front())];
    bool found = tryCells(job.occupant->account, job.tasks, [this, jobs, rule] {
        return m_searchBudget-- > 0 && (rule == Rule::CoverOnly || feasible()) && searchCells(jobs.subspan(1), rule);
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
    const auto before = unassigned();
    if (jobs.size() == 1) {
        const auto& view = m_view->jobs()[static_cast<std::size_t>(jobs.front())];
        m_assignment.protectedJobs[static_cast<std::size_t>(jobs.front())] = absorb(view.occupant->account, view.tasks);
        return;
    }
    takeFirst(jobs);
    assignRests();
    if (keepsPlaces(before))
        return;
    m_assignment = unchanged;
    protectUnknown(jobs.first(jobs.size() / 2));
    protectUnknown(jobs.subspan(jobs.size() / 2));
}

void GuaranteeCells::takeFirst(std::span<const int> jobs)
{
    for (int job : jobs) {
        const auto& view = m_view->jobs()[static_cast<std::size_t>(job)];
        m_assignment.protectedJobs[static_cast<std::size_t>(job)] = takeAnywhere(view.occupant->account, view.tasks);
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

bool GuaranteeCells::absorb(const state::AccountId& account, const std::vector<GangTask>& tasks)
{
    return tryCells(account, tasks, [this, before = unassigned()] { return keepsPlaces(before); });
}

bool GuaranteeCells::tryCells(
    const state::AccountId& account, const std::vector<GangTask>& tasks, const std::function<bool()>& accept)
{
    int needed = total(tasks);
    if (needed == 0 || !covers(account, { .tasks = 1, .acceleratorsPerTask = needed }))
        return false;
    const Assignment unchanged = m_assignment;
    auto attempt = [&](bool covered) {
        if (covered) {
            assignRests();
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
        // An unused cell like the one before it would only repeat its result.
        if (last && cell.parts.empty() && last->parts.empty() && cell.accelerators == last->accelerators
            && cell.adjacency == last->adjacency)
            continue;
        last = &cell;
        if (attempt(takeWhole(index, tasks)))
            return true;
    }
    return tasks.size() > 1 && attempt(takeByTask(order, tasks));
}

bool GuaranteeCells::takeAnywhere(const state::AccountId& account, const std::vector<GangTask>& tasks)
{
    int needed = total(tasks);
    if (needed == 0 || !covers(account, { .tasks = 1, .acceleratorsPerTask = needed }))
        return false;
    CellOrder order = cellOrder(account, needed);
    if (std::any_of(order.begin(), order.end(), [&](std::size_t index) { return takeWhole(index, tasks); }))
        return true;
    const Assignment unchanged = m_assignment;
    if (takeByTask(order, tasks))
        return true;
    m_assignment = unchanged;
    return false;
}

bool GuaranteeCells::takeWhole(std::size_t cell, const std::vector<GangTask>& tasks)
{
    if (!accepts(m_assignment.cells[cell], tasks, total(tasks)))
        return false;
    use(m_assignment.cells[cell], tasks);
    return true;
}

bool GuaranteeCells::takeByTask(const CellOrder& order, const std::vector<GangTask>& tasks)
{
    for (const GangTask& task : tasks) {
        auto found = std::find_if(order.begin(), order.end(),
            [&](std::size_t index) { return accepts(m_assignment.cells[index], { task }, task.accelerators); });
        if (found == order.end())
            return false;
        use(m_assignment.cells[*found], { task });
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
            return std::tuple(cell.remaining() < preferred, cell.accelerators, cell.parts.empty(), cell.adjacency);
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
    const GangTask& first = cell.parts.empty() ? tasks.front() : cell.parts.front();
    auto rack = [this](const GangTask& task) { return m_view->workers()[static_cast<std::size_t>(task.worker)].rack; };
    return std::all_of(tasks.begin(), tasks.end(), [&](const GangTask& task) {
        return cell.adjacency == state::Adjacency::Worker ? task.worker == first.worker : rack(task) == rack(first);
    });
}

void GuaranteeCells::use(Cell& cell, const std::vector<GangTask>& tasks)
{
    cell.used += total(tasks);
    cell.parts.insert(cell.parts.end(), tasks.begin(), tasks.end());
    subtract(m_assignment.room, tasks);
}

void GuaranteeCells::assignRests()
{
    CellAssigner assignment(*m_view, m_assignment.room);
    std::vector<Cell*> order;
    for (Cell& cell : m_assignment.cells)
        order.push_back(&cell);
    // Cells that are bound to a place come first, then the ones that are hardest to place.
    std::stable_sort(order.begin(), order.end(), [](const Cell* left, const Cell* right) {
        auto rank = [](const Cell& cell) {
            bool free = cell.parts.empty() || cell.adjacency == state::Adjacency::DataCentre;
            bool rack = cell.adjacency == state::Adjacency::Rack;
            bool worker = cell.adjacency == state::Adjacency::Worker;
            return std::tuple(free, !rack, worker, -cell.remaining());
        };
        return rank(*left) < rank(*right);
    });
    for (Cell* cell : order) {
        auto place = assignment.assign(*cell);
        cell->assigned = place.has_value();
        cell->rest = std::move(place).value_or(std::vector<GangTask> {});
    }
}

std::map<const state::AccountId*, int> GuaranteeCells::unassigned() const
{
    std::map<const state::AccountId*, int> counts;
    for (const Cell& cell : m_assignment.cells)
        counts[cell.account] += cell.assigned ? 0 : 1;
    return counts;
}

bool GuaranteeCells::keepsPlaces(const std::map<const state::AccountId*, int>& before) const
{
    auto now = unassigned();
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
