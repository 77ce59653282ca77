/// @file
/// Hooks of SchedulerTask.
#pragma once

#include "coordination/decisions/PlacementPolicy.h"
#include "coordination/log/LogMessage.h"
#include "coordination/peers/PeerMessage.h"
#include "state/DataCentreProfile.h"

#include <functional>

namespace lentilsaddle::coordination {

struct SchedulerTaskHooks {
    std::function<void(LogMessage)> postLog;
    /// Called on the scheduler task's thread when the log names another scheduler or epoch.
    std::function<void(PeerMessage::SchedulerRole)> onRoleChange;
    /// Policy until the first configuration, and always if policyFactory is empty.
    PlacementPolicy placementPolicy;
    /// Makes the policy for the settings of the data centre; called for each configuration. May be empty.
    std::function<PlacementPolicy(const state::DataCentreProfile&)> policyFactory;
};

} // namespace lentilsaddle::coordination
