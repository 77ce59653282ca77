/// @file
/// Takes over the configuration of a peer that has a newer one.
#pragma once

#include "coordination/decisions/Membership.h"
#include "state/Record.h"
#include "transport/EventLoop.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>

namespace lentilsaddle::coordination {

/// Decides when to read a peer's configuration. Belongs to the loop's thread.
class ConfigurationCatchUp {
public:
    struct Hooks {
        std::function<std::uint64_t()> random;
        /// Reads the configuration of a peer; calls back later on the loop's thread.
        std::function<void(const state::InstanceInfo& peer,
            std::function<void(std::optional<state::Record::ConfigurationSnapshot>)> callback)>
            read;
        std::function<void(state::Record::ConfigurationSnapshot)> onSnapshot;
        /// The grace is over: compare() is due.
        std::function<void()> onGraceExpired;
    };

    /// @param grace time that the log is given to deliver a version that a peer already has.
    ConfigurationCatchUp(transport::EventLoop& loop, std::chrono::milliseconds grace, Hooks hooks);
    ~ConfigurationCatchUp();
    ConfigurationCatchUp(const ConfigurationCatchUp&) = delete;
    ConfigurationCatchUp& operator=(const ConfigurationCatchUp&) = delete;

    /// Compares the versions after an exchange.
    /// @param own version in force here, or nothing if the instance has no configuration to serve yet.
    void compare(const Membership& membership, std::optional<state::ConfigurationVersion> own, bool logReachable);

private:
    void read(const Membership& membership);

    transport::EventLoop& m_loop;
    std::chrono::milliseconds m_grace;
    Hooks m_hooks;
    bool m_reading = false;
    transport::EventLoop::TimerId m_graceTimer = 0;
    /// Version that was in force when the grace began.
    state::ConfigurationVersion m_versionAtGraceStart = 0;
    bool m_graceExpired = false;
};

} // namespace lentilsaddle::coordination
