/// @file
/// Assignment of guaranteed shapes to accelerators.
#pragma once

#include "coordination/decisions/ClusterView.h"
#include "state/Adjacency.h"
#include "state/GangShape.h"

#include <cstddef>
#include <functional>
#include <map>
#include <span>
#include <vector>

namespace lentilsaddle::coordination {

/// Buddy cells of all accounts, computed from the running jobs.
///
/// Each guaranteed shape is one cell. A cell in which jobs of its account run is bound to their workers and rack; its
/// unused part is assigned whole workers, and part of one more, that no protected job uses. Accelerators of borrowers
/// count as unused, since borrowers are preempted when the account needs its cell. A job is protected if it runs in its
/// account's cells.
class GuaranteeCells {
public:
    struct Cell {
        const state::AccountId* account = nullptr;
        state::Adjacency adjacency = state::Adjacency::DataCentre;
        int accelerators = 0;
        /// Accelerators that protected jobs use.
        int used = 0;
        /// Accelerators that these jobs use, by worker.
        std::vector<GangTask> usedParts;
        /// Accelerators that are assigned to the unused part of the cell, by worker.
        std::vector<GangTask> unusedParts;
        /// False if no accelerators can be found for the unused part.
        bool assigned = false;

        int remaining() const { return accelerators - used; }
    };

    /// Classifies the jobs as protected ones and borrowers. Jobs that were started within the guarantee come first, and
    /// are protected as long as the guarantee covers them. Jobs of which that is unknown are protected if no cell loses
    /// its assignment. A job that was started as a borrower stays one: otherwise it could occupy the cell that is being
    /// reclaimed for a waiting job of its account.
    explicit GuaranteeCells(const ClusterView& view);

    const std::vector<Cell>& cells() const { return m_assignment.cells; }

    /// @param job index into ClusterView::jobs().
    bool isProtected(int job) const { return m_assignment.protectedJobs[static_cast<std::size_t>(job)]; }

    /// @return accelerators of each worker that no protected job uses: free ones and those of borrowers.
    const AcceleratorCounts& unprotected() const { return m_assignment.unprotected; }

    /// @return whether every cell is assigned.
    bool feasible() const;

    /// @return whether the account's cells have enough unused accelerators for the shape, on whichever workers.
    bool covers(const state::AccountId& account, const state::GangShape& shape) const;

    /// Allocates a gang in its account's cells, if they cover it on these workers and no cell of any account loses its
    /// assignment.
    /// @return false, with nothing changed, otherwise.
    bool tryAllocate(const state::AccountId& account, const std::vector<GangTask>& tasks);

private:
    enum class SearchRule {
        /// Every cell stays assigned.
        KeepAssignments,
        /// Cells may lose their assignment, for example after the loss of a worker.
        CoverOnly,
    };
    struct Assignment {
        std::vector<Cell> cells;
        /// By index into ClusterView::jobs().
        std::vector<bool> protectedJobs;
        AcceleratorCounts unprotected;
    };
    using CellOrder = std::vector<std::size_t>;

    void addCells();
    void classifyJobs();
    void protectStarted(const std::vector<int>& jobs);
    /// Searches for a choice of cells that covers all the jobs.
    bool search(std::span<const int> jobs, SearchRule rule);
    bool searchCells(std::span<const int> jobs, SearchRule rule);
    void protectUnknown(std::span<const int> jobs);
    /// Allocates jobs in the first cells that accept them, whether or not other cells stay assigned.
    void allocateFirstFit(std::span<const int> jobs);
    /// Tries the account's cells for a gang until one choice is accepted; otherwise nothing is changed.
    bool tryCells(
        const state::AccountId& account, const std::vector<GangTask>& tasks, const std::function<bool()>& accept);
    bool allocateAnywhere(const state::AccountId& account, const std::vector<GangTask>& tasks);
    bool allocateInCell(std::size_t cell, const std::vector<GangTask>& tasks);
    bool allocateByTask(const CellOrder& order, const std::vector<GangTask>& tasks);
    CellOrder cellOrder(const state::AccountId& account, int preferred) const;
    bool accepts(const Cell& cell, const std::vector<GangTask>& tasks, int accelerators) const;
    void allocate(Cell& cell, const std::vector<GangTask>& tasks);
    void assignUnusedParts();
    std::ptrdiff_t unassignedCells() const;
    std::map<const state::AccountId*, int> unassignedByAccount() const;
    /// @return whether no account has more unassigned cells than before.
    bool keepsAssignments(const std::map<const state::AccountId*, int>& before) const;

    const ClusterView* m_view;
    Assignment m_assignment;
    int m_searchBudget = 0;
};

/// @return whether every account's guaranteed shapes can be provided by preempting only borrowers.
bool guaranteesFeasible(const state::PlacementState& placement);

} // namespace lentilsaddle::coordination
