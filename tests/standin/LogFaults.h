/// @file
/// Faults of the stand-in log service.
#pragma once

#include <nlohmann/json.hpp>

#include <chrono>
#include <map>
#include <string>
#include <utility>

namespace lentilsaddle::standin {

/// Faults by stream and listener. A fault without a stream holds for all streams, one without a listener for all
/// callers; giving each data centre its own listener lets a test cut off one data centre.
class LogFaults {
public:
    enum class Outage {
        None,
        /// Answers 503.
        Refuse,
        /// Closes the connection.
        Drop,
    };

    struct Effect {
        Outage outage = Outage::None;
        /// Outage of the instance and worker lists.
        Outage lists = Outage::None;
        std::chrono::milliseconds delay { 0 };
        int loseAppendAnswers = 0;
        bool blockReads = false;
        bool blockAppends = false;
    };

    /// Changes the faults that a control body names; other faults stay.
    /// @throws std::invalid_argument if a value is unknown.
    void change(const nlohmann::json& control);

    /// @return the faults that hold for a call.
    Effect effect(const std::string& stream, int listener) const;

    /// Counts down a lost append answer.
    /// @return whether the answer is to be lost.
    bool loseAnswer(const std::string& stream, int listener);

private:
    static constexpr int allListeners = -1;
    using Scope = std::pair<std::string, int>;

    static bool covers(const Scope& scope, const std::string& stream, int listener);

    std::map<Scope, Effect> m_effects;
};

} // namespace lentilsaddle::standin
