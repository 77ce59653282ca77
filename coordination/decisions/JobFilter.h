/// @file
/// Workers that a waiting job may use.
#pragma once

#include "coordination/decisions/ClusterView.h"
#include "coordination/decisions/QueuedJob.h"

#include <map>
#include <tuple>

namespace lentilsaddle::coordination {

/// Answers whether jobs fit the data centre at all, and takes the workers out that they avoid.
class JobFilter {
public:
    explicit JobFilter(const ClusterView& view);

    /// @return whether the job would fit if all available workers were free. A job that would not waits for workers
    /// and holds up nobody.
    bool possible(const QueuedJob& job);

    /// @return the room without workers on which an earlier attempt of the job failed. The room is returned whole if
    /// the job would fit nowhere else.
    AcceleratorCounts permitted(const QueuedJob& job, const AcceleratorCounts& room) const;

private:
    using ShapeKey = std::tuple<int, int, state::Adjacency>;

    AcceleratorCounts withoutAvoided(const QueuedJob& job, AcceleratorCounts room) const;

    const ClusterView& m_view;
    AcceleratorCounts m_capacity;
    std::map<ShapeKey, bool> m_possible;
};

} // namespace lentilsaddle::coordination
