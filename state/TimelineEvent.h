/// @file
/// Event of the timeline.
#pragma once

#include "state/Identifier.h"
#include "state/Time.h"

#include <cstdint>
#include <string>

namespace lentilsaddle::state {

struct TimelineEvent {
    WallTime time;
    InstanceId instance;
    /// Orders the events of one instance.
    std::uint64_t sequence = 0;
    /// Identifier of the request, job or patch that the event is about.
    std::string subject;
    /// Short machine-readable name, such as `request.handed_over`.
    std::string kind;
    std::string detail;
};

} // namespace lentilsaddle::state
