/// @file
/// Adapter of the platform's instance list.
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

/// Reads the list of live and leaving instances. All calls belong to the loop's thread.
class InstanceListClient {
public:
    /// @param instances the list, or nothing if it cannot be read.
    using Callback = std::function<void(std::optional<std::vector<state::InstanceInfo>> instances)>;

    /// @param platformUrl base URL of the platform, without a trailing slash.
    InstanceListClient(transport::EventLoop& loop, std::string platformUrl);

    /// Drops all calls in flight without calling back.
    ~InstanceListClient();

    void read(std::chrono::milliseconds timeout, Callback callback);

private:
    struct Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace lentilsaddle::protocol
