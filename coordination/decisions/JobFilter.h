/// @file
/// Workers that a waiting job may use.
#pragma once

#include "coordination/decisions/ClusterView.h"
#include "coordination/decisions/QueuedJob.h"

#include <map>
#include <tuple>

namespace lentilsaddle::coordination {

/// Determines whether jobs fit on the available workers at all, and excludes workers on which they failed before.
class JobFilter {
public:
    explicit JobFilter(const ClusterView& view);

    /// @return whether the job would fit if all available workers were idle. A job that would not waits for more
    /// workers and does not block later jobs.
    bool fitsWhenIdle(const QueuedJob& job);

    /// @return the capacity without workers on which an earlier attempt of the job failed, or the whole capacity if the
    /// job would not fit on the other workers.
    AcceleratorCounts permitted(const QueuedJob& job, const AcceleratorCounts& capacity) const;

private:
    using ShapeKey = std::tuple<int, int, state::Adjacency>;

    AcceleratorCounts withoutAvoided(const QueuedJob& job, AcceleratorCounts capacity) const;

    const ClusterView& m_view;
    AcceleratorCounts m_capacity;
    std::map<ShapeKey, bool> m_fitsWhenIdle;
};

} // namespace lentilsaddle::coordination
