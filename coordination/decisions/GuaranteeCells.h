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
/// Each guaranteed shape is one cell. A cell with running jobs of its account is bound to their workers and rack; the
/// rest of it is assigned whole workers, and one part of a worker, that no protected job uses. Borrowers do not count,
/// since they are preempted when the cell is asked for. A job is protected if it runs in its account's cells.
class GuaranteeCells {
public:
    struct Cell {
        const state::AccountId* account = nullptr;
        state::Adjacency adjacency = state::Adjacency::DataCentre;
        int accelerators = 0;
        /// Accelerators that protected jobs use.
        int used = 0;
        /// Where these jobs run.
        std::vector<GangTask> parts;
        /// Where the rest of the cell is assigned.
        std::vector<GangTask> rest;
        /// False if no accelerators can be found for the rest.
        bool assigned = false;

        int remaining() const { return accelerators - used; }
    };

    /// Sorts the jobs into protected ones and borrowers. Jobs that were started within the guarantee come first, and
    /// are protected as long as the guarantee covers them. Jobs of which that is unknown are protected if no cell loses
    /// its place thereby. A job that was started as a borrower stays one: otherwise it could take the cell that is
    /// being reclaimed for a waiting job of its account.
    explicit GuaranteeCells(const ClusterView& view);

    const std::vector<Cell>& cells() const { return m_assignment.cells; }

    /// @param job index into ClusterView::jobs().
    bool isProtected(int job) const { return m_assignment.protectedJobs[static_cast<std::size_t>(job)]; }

    /// @return accelerators of each worker that no protected job uses: free ones and those of borrowers.
    const AcceleratorCounts& room() const { return m_assignment.room; }

    /// @return whether every cell has its place.
    bool feasible() const;

    /// @return whether the account's cells have enough accelerators left for the shape, wherever they lie.
    bool covers(const state::AccountId& account, const state::GangShape& shape) const;

    /// Runs a gang in its account's cells, if they cover it at that place and no cell of any account loses its place.
    /// @return false, with nothing changed, otherwise.
    bool absorb(const state::AccountId& account, const std::vector<GangTask>& tasks);

private:
    enum class Rule {
        /// Every cell keeps its place.
        KeepPlaces,
        /// Cells may lose their places, for example after the loss of a worker.
        CoverOnly,
    };
    struct Assignment {
        std::vector<Cell> cells;
        /// By index into ClusterView::jobs().
        std::vector<bool> protectedJobs;
        AcceleratorCounts room;
    };
    using CellOrder = std::vector<std::size_t>;

    void addCells();
    void classifyJobs();
    void protectStarted(const std::vector<int>& jobs);
    /// Searches a choice of cells that covers all the jobs.
    bool search(std::span<const int> jobs, Rule rule);
    bool searchCells(std::span<const int> jobs, Rule rule);
    void protectUnknown(std::span<const int> jobs);
    /// Runs jobs in the first cells that accept them, without regard to the places of other cells.
    void takeFirst(std::span<const int> jobs);
    /// Tries the account's cells for a gang until one choice is accepted; otherwise nothing is changed.
    bool tryCells(
        const state::AccountId& account, const std::vector<GangTask>& tasks, const std::function<bool()>& accept);
    bool takeAnywhere(const state::AccountId& account, const std::vector<GangTask>& tasks);
    bool takeWhole(std::size_t cell, const std::vector<GangTask>& tasks);
    bool takeByTask(const CellOrder& order, const std::vector<GangTask>& tasks);
    CellOrder cellOrder(const state::AccountId& account, int preferred) const;
    bool accepts(const Cell& cell, const std::vector<GangTask>& tasks, int accelerators) const;
    void use(Cell& cell, const std::vector<GangTask>& tasks);
    void assignRests();
    std::ptrdiff_t unassignedCells() const;
    std::map<const state::AccountId*, int> unassigned() const;
    /// @return whether no account has more cells without a place than before.
    bool keepsPlaces(const std::map<const state::AccountId*, int>& before) const;

    const ClusterView* m_view;
    Assignment m_assignment;
    int m_searchBudget = 0;
};

/// @return whether every account's guaranteed shapes can be had by preempting only borrowers.
bool guaranteesFeasible(const state::PlacementState& placement);

} // namespace lentilsaddle::coordination
