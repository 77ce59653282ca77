/// @file
/// Choice of accelerators within a worker.
#pragma once

#include "coordination/decisions/ClusterView.h"
#include "state/TaskPlacement.h"

#include <map>
#include <vector>

namespace lentilsaddle::coordination {

/// Turns counts of accelerators into indexes, and remembers what one decision has handed out.
class AcceleratorPicker {
public:
    explicit AcceleratorPicker(const ClusterView& view);

    /// @return one placement for each task. The workers must have enough free accelerators.
    std::vector<state::TaskPlacement> pick(const std::vector<GangTask>& tasks);

private:
    std::vector<int> pickOnWorker(const GangTask& task);

    const ClusterView& m_view;
    /// Free accelerators of the workers that were asked for.
    std::map<int, std::vector<bool>> m_free;
};

} // namespace lentilsaddle::coordination
