/// @file
/// Reads the configuration of a peer that has a newer version.
#pragma once

#include "coordination/decisions/Membership.h"
#include "state/Record.h"
#include "transport/EventLoop.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>

namespace lentilsaddle::coordination {

/// Decides when to read a peer's configuration. Used on the thread of the event loop only.
class ConfigurationCatchUp {
public:
    struct Hooks {
        std::function<std::uint64_t()> random;
        /// Reads the configuration of a peer; calls back later on the loop's thread.
        std::function<void(const state::InstanceInfo& peer, std::chrono::milliseconds timeout,
            std::function<void(std::optional<state::Record::ConfigurationSnapshot>)> callback)>
            read;
        std::function<void(state::Record::ConfigurationSnapshot)> onSnapshot;
        /// The grace period has expired; compare() is due.
        std::function<void()> onGraceExpired;
    };

    struct Options {
        /// Time to wait for the log to deliver a version that a peer already has.
        std::chrono::milliseconds grace { 0 };
        /// Timeout of the first read of a configuration. Each failed read doubles it, since a configuration that is too
        /// large for one timeout is too large for the next equal one as well.
        std::chrono::milliseconds readTimeout { 0 };
        std::chrono::milliseconds maximumReadTimeout { 16'000 };
    };

    ConfigurationCatchUp(transport::EventLoop& loop, const Options& options, Hooks hooks);
    ~ConfigurationCatchUp();
    ConfigurationCatchUp(const ConfigurationCatchUp&) = delete;
    ConfigurationCatchUp& operator=(const ConfigurationCatchUp&) = delete;

    /// Compares the versions after an exchange and reads a peer's configuration if it is newer.
    /// @param own version in force on this instance, or nothing if it has no configuration to serve yet.
    void compare(const Membership& membership, std::optional<state::ConfigurationVersion> own, bool logReachable);

private:
    void read(const Membership& membership);

    transport::EventLoop& m_loop;
    Options m_options;
    Hooks m_hooks;
    std::chrono::milliseconds m_readTimeout;
    bool m_reading = false;
    transport::EventLoop::TimerId m_graceTimer = 0;
    /// Version that was in force when the grace period began.
    state::ConfigurationVersion m_versionAtGraceStart = 0;
    bool m_graceExpired = false;
};

} // namespace lentilsaddle::coordination
