/// @file
/// Selection of accelerators within a worker.
#pragma once

#include "coordination/decisions/ClusterView.h"
#include "state/TaskPlacement.h"

#include <map>
#include <vector>

namespace lentilsaddle::coordination {

/// Selects accelerator indexes for a gang's tasks, and tracks those that one decision has allocated.
class AcceleratorPicker {
public:
    explicit AcceleratorPicker(const ClusterView& view);

    /// @return one placement for each task. The workers must have enough free accelerators.
    std::vector<state::TaskPlacement> pick(const std::vector<GangTask>& tasks);

private:
    std::vector<int> pickOnWorker(const GangTask& task);

    const ClusterView& m_view;
    /// Whether each accelerator of a worker is free, by worker index; filled at the first use of a worker.
    std::map<int, std::vector<bool>> m_free;
};

} // namespace lentilsaddle::coordination
