/// @file
/// Hooks of SchedulerTask.
#pragma once

#include "coordination/LogMessage.h"
#include "coordination/PeerMessage.h"
#include "coordination/decisions/PlacementPolicy.h"

#include <functional>

namespace lentilsaddle::coordination {

struct SchedulerTaskHooks {
    std::function<void(LogMessage)> postLog;
    /// Called on the scheduler task's thread when the log names another scheduler or epoch.
    std::function<void(PeerMessage::SchedulerRole)> onRole;
    PlacementPolicy placementPolicy;
};

} // namespace lentilsaddle::coordination
