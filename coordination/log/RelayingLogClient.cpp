#include "coordination/log/RelayingLogClient.h"

#include <algorithm>
#include <utility>

namespace lentilsaddle::coordination {

using protocol::LogClient;

RelayingLogClient::RelayingLogClient(transport::EventLoop& loop, const LogTaskOptions& options,
    std::function<void(bool reachable)> onDirectReachabilityChange)
    : m_loop(loop)
    , m_options(options)
    , m_onDirectReachabilityChange(std::move(onDirectReachabilityChange))
    , m_client(loop, options.platformUrl)
{
}

RelayingLogClient::~RelayingLogClient()
{
    *m_alive = false;
    m_loop.cancelTimer(m_probeTimer);
}

void RelayingLogClient::append(
    const std::string& stream, const std::vector<std::string>& records, LogClient::AppendCallback callback)
{
    if (useRelay(static_cast<bool>(m_options.relayAppend))) {
        m_options.relayAppend(stream, records,
            [this, alive = m_alive, callback = std::move(callback)](const LogClient::AppendResult& result) {
                if (!*alive)
                    return;
                m_relayFailed = result.status != LogClient::AppendResult::Status::Appended;
                callback(result);
            });
        return;
    }
    m_client.append(stream, records, m_options.appendTimeout,
        [this, stream, callback = std::move(callback)](const LogClient::AppendResult& result) {
            updateDirectReachability(stream, result.status == LogClient::AppendResult::Status::Appended);
            callback(result);
        });
}

void RelayingLogClient::read(const std::string& stream, state::LogOffset offset, std::chrono::milliseconds wait,
    LogClient::ReadCallback callback)
{
    if (useRelay(static_cast<bool>(m_options.relayRead))) {
        m_options.relayRead(stream, offset, std::min(wait, m_options.relayLongPollTimeout),
            [this, alive = m_alive, callback = std::move(callback)](LogClient::ReadResult result) {
                if (!*alive)
                    return;
                m_relayFailed = result.status == LogClient::ReadResult::Status::Failed;
                callback(std::move(result));
            });
        return;
    }
    m_client.read(stream, offset, m_options.maximumReadRecords, wait, m_options.readTimeout,
        [this, stream, callback = std::move(callback)](LogClient::ReadResult result) {
            updateDirectReachability(stream, result.status != LogClient::ReadResult::Status::Failed);
            callback(std::move(result));
        });
}

void RelayingLogClient::updateDirectReachability(const std::string& stream, bool succeeded)
{
    bool changed = m_directReachable != succeeded;
    m_directReachable = succeeded;
    m_relayFailed = false;
    if (changed)
        m_onDirectReachabilityChange(succeeded);
    if (!succeeded)
        scheduleProbe(stream);
}

void RelayingLogClient::scheduleProbe(const std::string& stream)
{
    if (m_probeTimer != 0)
        return;
    m_probeTimer = m_loop.startTimer(m_options.probeInterval, [this, stream] {
        m_client.read(stream, 0, 1, std::chrono::milliseconds(0), m_options.readTimeout,
            [this, stream](const LogClient::ReadResult& result) {
                m_probeTimer = 0;
                if (directUnreachable())
                    updateDirectReachability(stream, result.status != LogClient::ReadResult::Status::Failed);
            });
    });
}

} // namespace lentilsaddle::coordination
