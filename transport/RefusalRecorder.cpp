#include "transport/RefusalRecorder.h"

#include "transport/Logger.h"
#include "transport/Metrics.h"

#include <utility>

namespace lentilsaddle::transport {

namespace {

    constexpr std::chrono::seconds logInterval { 10 };

} // namespace

RefusalRecorder::RefusalRecorder(Metrics& metrics, std::string component)
    : m_metrics(metrics)
    , m_component(std::move(component))
{
}

void RefusalRecorder::record(const std::string& reason, Time now)
{
    m_metrics.increment("lentilsaddle_http_refused_total", { { "reason", reason } });
    Reason& entry = m_reasons[reason];
    ++entry.sinceLastLine;
    if (now < entry.nextLine)
        return;
    writeLog(LogLevel::Warning, m_component, "requests refused by a limit",
        { { "reason", reason }, { "count", std::to_string(entry.sinceLastLine) } });
    ++m_linesWritten;
    entry = { .sinceLastLine = 0, .nextLine = now + logInterval };
}

} // namespace lentilsaddle::transport
