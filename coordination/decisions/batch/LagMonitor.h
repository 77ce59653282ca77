/// @file
/// Reports that a task is behind with its work.
#pragma once

#include "state/Time.h"

#include <chrono>
#include <optional>

namespace lentilsaddle::coordination::batch {

/// Decides when the delay of due work is reported.
class LagMonitor {
public:
    struct Options {
        /// Shorter delays are not reported.
        std::chrono::milliseconds threshold { 250 };
        /// Minimum time between two reports.
        std::chrono::milliseconds reportInterval { 1'000 };
    };

    explicit LagMonitor(const Options& options);

    /// Adds the delay of work that is done now.
    /// @param due when the work was due.
    /// @return the longest delay since the last report, if a report is due.
    std::optional<std::chrono::milliseconds> record(state::MonotonicTime due, state::MonotonicTime now);

private:
    Options m_options;
    std::chrono::milliseconds m_longest { 0 };
    std::optional<state::MonotonicTime> m_lastReport;
};

} // namespace lentilsaddle::coordination::batch
