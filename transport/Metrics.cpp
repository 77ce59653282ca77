#include "transport/Metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace lentilsaddle::transport {

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

std::string Metrics::render() const
{
    return prometheus::TextSerializer().Serialize(m_implementation->registry.Collect());
}

} // namespace lentilsaddle::transport
