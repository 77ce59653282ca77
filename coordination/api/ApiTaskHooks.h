/// @file
/// Hooks through which ApiTask posts messages to the other tasks.
#pragma once

#include <functional>
#include <string>

namespace lentilsaddle::coordination {

struct ConfigurationMessage;
struct PeerMessage;
struct RequestMessage;
struct SchedulerMessage;
struct TimelineMessage;

struct ApiTaskHooks {
    std::function<void(RequestMessage)> postRequest;
    std::function<void(SchedulerMessage)> postScheduler;
    std::function<void(ConfigurationMessage)> postConfiguration;
    std::function<void(PeerMessage)> postPeer;
    std::function<void(TimelineMessage)> postTimeline;
    /// Starts draining this instance without exiting the process.
    std::function<void()> startDrain;
};

} // namespace lentilsaddle::coordination
