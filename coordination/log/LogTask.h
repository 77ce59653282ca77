/// @file
/// Task that owns the connection to the log service.
#pragma once

#include "coordination/TaskEnvironment.h"
#include "coordination/log/LogMessage.h"
#include "coordination/log/LogTaskOptions.h"
#include "coordination/log/RelayingLogClient.h"
#include "coordination/log/StreamAppender.h"
#include "coordination/log/StreamReader.h"
#include "protocol/LogClient.h"
#include "transport/Task.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace lentilsaddle::coordination {

/// Appends records and delivers streams for all tasks of the process.
class LogTask : public transport::Task<LogMessage> {
public:
    LogTask(TaskEnvironment environment, LogTaskOptions options);
    ~LogTask() override;

protected:
    void onStart() override;
    void onStop() override;
    void onMessage(LogMessage message) override;

private:
    void handle(LogMessage::Append message);
    void handle(LogMessage::Subscribe message);
    void handle(LogMessage::WatchReachability message);
    void handle(LogMessage::RelayAppend message);
    void handle(LogMessage::RelayRead message);
    void handle(const LogMessage::Invoke& message);

    StreamAppender& appender(const std::string& stream);
    void sendAppend(const std::string& stream, const std::vector<std::string>& records,
        protocol::LogClient::AppendCallback callback);
    void onAppendResponse(const std::string& stream, const protocol::LogClient::AppendResult& result);
    void sendRead(const std::string& stream, state::LogOffset offset, std::chrono::milliseconds wait,
        protocol::LogClient::ReadCallback callback);
    void onRead(std::size_t reader, bool succeeded);
    /// Counts the traffic; a repeated append counts again.
    void count(const std::string& direction, std::size_t records, std::size_t bytes);
    void onSkipped(const std::string& stream, state::LogOffset offset, const std::string& error);

    void onDirectReachabilityChange(bool reachable);
    void updateReachability();
    void notifyWatchers(bool directOnly, bool reachable);
    /// Makes the relay hooks answer on the own thread.
    LogTaskOptions clientOptions();
    void retryAll();

    TaskEnvironment m_environment;
    LogTaskOptions m_options;
    std::unique_ptr<RelayingLogClient> m_logClient;
    std::uint64_t m_lastSequence = 0;
    std::map<std::string, std::unique_ptr<StreamAppender>> m_appenders;
    std::vector<std::unique_ptr<StreamReader>> m_readers;
    std::vector<LogMessage::WatchReachability> m_watchers;
    bool m_appendFailing = false;
    std::set<std::size_t> m_failingReaders;
    std::optional<bool> m_reachable;
    std::optional<bool> m_directReachable;
};

} // namespace lentilsaddle::coordination
