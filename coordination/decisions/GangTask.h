/// @file
/// Accelerators that one gang uses on one worker, by index into a ClusterView.
#pragma once

namespace lentilsaddle::coordination {

struct GangTask {
    int worker = 0;
    int accelerators = 0;

    bool operator==(const GangTask&) const = default;
};

} // namespace lentilsaddle::coordination
