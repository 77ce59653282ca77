/// @file
/// Metrics on the prometheus-cpp core registry.
#pragma once

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace lentilsaddle::transport {

using MetricLabels = std::map<std::string, std::string>;

/// Metrics registry of the process. Thread-safe; tasks may share it because no decision depends on its contents.
class Metrics {
public:
    Metrics();
    ~Metrics();

    /// Adds to a counter, creating it on first use.
    /// @param name metric name, ending in `_total`.
    void increment(const std::string& name, const MetricLabels& labels = {}, double value = 1);

    /// Sets a gauge, creating it on first use.
    void setGauge(const std::string& name, double value, const MetricLabels& labels = {});

    /// Adds a duration to a latency histogram, creating it on first use.
    /// @param name metric name, ending in `_seconds`.
    void observe(const std::string& name, std::chrono::nanoseconds duration, const MetricLabels& labels = {});

    /// Returns a latency histogram for durations that are recorded often, since observe() looks it up each time.
    /// @param name metric name, ending in `_seconds`.
    /// @return function that adds a duration; valid as long as this object.
    std::function<void(std::chrono::nanoseconds)> latencyObserver(
        const std::string& name, const MetricLabels& labels = {});

    /// @return all metrics in the Prometheus text format.
    std::string render() const;

private:
    struct Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace lentilsaddle::transport
