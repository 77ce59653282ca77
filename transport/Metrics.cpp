#include "transport/Metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace lentilsaddle::transport {

namespace {

    // Upper bounds in seconds, from a call within a data centre to a job that waits for free capacity.
    const prometheus::Histogram::BucketBoundaries latencyBuckets { 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2,
        5, 10, 30 };

} // namespace

struct Metrics::Implementation {
    prometheus::Registry registry;
};

Metrics::Metrics()
    : m_implementation(std::make_unique<Implementation>())
{
}

Metrics::~Metrics() = default;

void Metrics::increment(const std::string& name, const MetricLabels& labels, double value)
{
    auto& family = prometheus::BuildCounter().Name(name).Register(m_implementation->registry);
    family.Add(labels).Increment(value);
}

void Metrics::setGauge(const std::string& name, double value, const MetricLabels& labels)
{
    auto& family = prometheus::BuildGauge().Name(name).Register(m_implementation->registry);
    family.Add(labels).Set(value);
}

void Metrics::observe(const std::string& name, std::chrono::nanoseconds duration, const MetricLabels& labels)
{
    latencyObserver(name, labels)(duration);
}

std::function<void(std::chrono::nanoseconds)> Metrics::latencyObserver(
    const std::string& name, const MetricLabels& labels)
{
    auto& family = prometheus::BuildHistogram().Name(name).Register(m_implementation->registry);
    prometheus::Histogram& histogram = family.Add(labels, latencyBuckets);
    return [&histogram](std::chrono::nanoseconds duration) {
        histogram.Observe(std::chrono::duration<double>(duration).count());
    };
}

std::string Metrics::render() const
{
    return prometheus::TextSerializer().Serialize(m_implementation->registry.Collect());
}

} // namespace lentilsaddle::transport
