/// @file
/// Client for the platform's list of instances.
#pragma once

#include "state/InstanceInfo.h"

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace lentilsaddle::transport {
class EventLoop;
}

namespace lentilsaddle::protocol {

/// Reads the platform's list of live and leaving instances. All methods must be called on the loop's thread.
class InstanceListClient {
public:
    /// @param instances the list, or std::nullopt if it cannot be read.
    using Callback = std::function<void(std::optional<std::vector<state::InstanceInfo>> instances)>;

    /// @param platformUrl base URL of the platform, without a trailing slash.
    InstanceListClient(transport::EventLoop& loop, std::string platformUrl);

    /// Cancels all calls in flight; their callbacks do not run.
    ~InstanceListClient();

    /// @param timeout limit of the time until the response begins, and of each pause within it.
    void read(std::chrono::milliseconds timeout, Callback callback);

private:
    struct Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace lentilsaddle::protocol
