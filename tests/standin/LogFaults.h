/// @file
/// Injected faults of the stand-in log service.
#pragma once

#include <nlohmann/json.hpp>

#include <chrono>
#include <map>
#include <string>
#include <utility>

namespace lentilsaddle::standin {

/// Stores faults by stream and listener. A fault without a stream applies to all streams, one without a listener to
/// all callers. A test that gives each data centre its own listener can cut off one data centre.
class LogFaults {
public:
    enum class Outage {
        None,
        /// Responds with status 503.
        Refuse,
        /// Closes the connection.
        Drop,
    };

    struct Effect {
        Outage outage = Outage::None;
        /// Outage of the instance and worker lists.
        Outage listOutage = Outage::None;
        std::chrono::milliseconds delay { 0 };
        /// Number of appends that will take effect without a response.
        int lostAppendResponses = 0;
        bool blockReads = false;
        bool blockAppends = false;
    };

    /// Changes the faults that have a field in a control body; other faults stay.
    /// @throws std::invalid_argument if a value is unknown.
    void change(const nlohmann::json& control);

    /// @return the faults that apply to a call, combined over all matching scopes.
    Effect effect(const std::string& stream, int listener) const;

    /// Decrements the number of lost append responses, if any matches.
    /// @return whether the response must be withheld.
    bool consumeLostResponse(const std::string& stream, int listener);

private:
    static constexpr int allListeners = -1;
    /// Stream, empty for all, and listener.
    using Scope = std::pair<std::string, int>;

    static bool covers(const Scope& scope, const std::string& stream, int listener);

    std::map<Scope, Effect> m_effects;
};

} // namespace lentilsaddle::standin
