/// @file
/// Metric and bounded log of requests that a limit of memory refused.
#pragma once

#include <chrono>
#include <cstddef>
#include <map>
#include <string>

namespace lentilsaddle::transport {

class Metrics;

/// Counts refusals in the metric `lentilsaddle_http_refused_total` and logs them together, so that clients cannot fill
/// the log. Not thread-safe.
class RefusalRecorder {
public:
    using Time = std::chrono::steady_clock::time_point;

    /// @param component name of the task in the log.
    RefusalRecorder(Metrics& metrics, std::string component);

    void record(const std::string& reason, Time now);

    std::size_t linesWritten() const { return m_linesWritten; }

private:
    struct Reason {
        std::size_t sinceLastLine = 0;
        Time nextLine;
    };

    Metrics& m_metrics;
    std::string m_component;
    std::map<std::string, Reason> m_reasons;
    std::size_t m_linesWritten = 0;
};

} // namespace lentilsaddle::transport
