#include "coordination/log/LogTask.h"

#include "protocol/RecordCodec.h"
#include "transport/Logger.h"
#include "transport/Metrics.h"

#include <utility>

namespace lentilsaddle::coordination {

using protocol::LogClient;
using transport::LogLevel;

namespace {

    constexpr auto component = "log";

    std::string toString(LogMessage::AppendStatus status)
    {
        switch (status) {
        case LogMessage::AppendStatus::Appended:
            return "appended";
        case LogMessage::AppendStatus::NotAppended:
            return "not_appended";
        case LogMessage::AppendStatus::Unresolved:
            break;
        }
        return "unresolved";
    }

} // namespace

LogTask::LogTask(TaskEnvironment environment, LogTaskOptions options)
    : m_environment(std::move(environment))
    , m_options(std::move(options))
{
}

LogTask::~LogTask()
{
    stop();
}

void LogTask::onStart()
{
    m_logClient = std::make_unique<RelayingLogClient>(
        loop(), clientOptions(), [this](bool reachable) { onDirectReachabilityChange(reachable); });
}

void LogTask::onStop()
{
    m_readers.clear();
    m_appenders.clear();
    m_logClient.reset();
}

void LogTask::onMessage(LogMessage message)
{
    std::visit([this](auto& body) { handle(std::move(body)); }, message.body);
}

void LogTask::handle(LogMessage::Append message)
{
    state::Record record {
        .origin = {
            .instance = m_environment.instance,
            .incarnation = m_environment.incarnation,
            .sequence = ++m_lastSequence,
        },
        .body = std::move(message.body),
    };
    appender(message.stream)
        .add({
            .bytes = protocol::encodeRecord(record),
            .origin = record.origin,
            .deadline = message.deadline,
            .onResult = std::move(message.onResult),
        });
}

void LogTask::handle(LogMessage::Subscribe message)
{
    std::string stream = message.stream;
    std::size_t index = m_readers.size();
    m_readers.push_back(std::make_unique<StreamReader>(loop(), m_options,
        StreamReader::Hooks {
            .random = m_environment.random,
            .read = [this, stream](state::LogOffset offset, std::chrono::milliseconds wait,
                        LogClient::ReadCallback callback) { sendRead(stream, offset, wait, std::move(callback)); },
            .onBatch = std::move(message.onBatch),
            .onRead = [this, index](bool succeeded) { onRead(index, succeeded); },
            .onSkipped
            = [this, stream](state::LogOffset offset, const std::string& error) { onSkipped(stream, offset, error); },
        }));
    m_readers.back()->start();
}

void LogTask::handle(LogMessage::WatchReachability message)
{
    std::optional<bool> known = message.directOnly ? m_directReachable : m_reachable;
    if (known)
        message.onChange(*known);
    m_watchers.push_back(std::move(message));
}

void LogTask::handle(LogMessage::RelayAppend message)
{
    m_logClient->directClient().append(message.stream, message.records, m_options.appendTimeout,
        [reply = std::move(message.onResult)](const LogClient::AppendResult& result) {
            reply(result.status == LogClient::AppendResult::Status::Appended, result.firstOffset);
        });
}

void LogTask::handle(LogMessage::RelayRead message)
{
    m_logClient->directClient().read(message.stream, message.offset, m_options.maximumReadRecords, message.wait,
        m_options.readTimeout, std::move(message.onResult));
}

void LogTask::handle(const LogMessage::Invoke& message)
{
    message.callback();
}

StreamAppender& LogTask::appender(const std::string& stream)
{
    std::unique_ptr<StreamAppender>& entry = m_appenders[stream];
    if (!entry) {
        entry = std::make_unique<StreamAppender>(loop(), m_options,
            StreamAppender::Hooks {
                .clock = m_environment.monotonicClock,
                .random = m_environment.random,
                .send = [this, stream](const std::vector<std::string>& records,
                            LogClient::AppendCallback callback) { sendAppend(stream, records, std::move(callback)); },
                .onRecordResult =
                    [this](LogMessage::AppendStatus status) {
                        m_environment.metrics->increment(
                            "lentilsaddle_log_appends_total", { { "result", toString(status) } });
                    },
            });
    }
    return *entry;
}

void LogTask::sendAppend(
    const std::string& stream, const std::vector<std::string>& records, LogClient::AppendCallback callback)
{
    m_environment.faultPoint("log.before_append");
    std::size_t bytes = 0;
    for (const std::string& record : records)
        bytes += record.size();
    count("append", records.size(), bytes);
    m_logClient->append(
        stream, records, [this, stream, callback = std::move(callback)](const LogClient::AppendResult& result) {
            m_environment.faultPoint("log.after_append");
            onAppendResponse(stream, result);
            callback(result);
        });
}

void LogTask::onAppendResponse(const std::string& stream, const LogClient::AppendResult& result)
{
    bool failed = result.status != LogClient::AppendResult::Status::Appended;
    bool first = failed && !m_appendFailing;
    m_appendFailing = failed;
    if (failed)
        transport::writeLog(first ? LogLevel::Warning : LogLevel::Debug, component,
            "append failed; retrying until the records' deadlines",
            { { .key = "stream", .value = stream }, { .key = "error", .value = result.error } });
    updateReachability();
}

void LogTask::sendRead(const std::string& stream, state::LogOffset offset, std::chrono::milliseconds wait,
    LogClient::ReadCallback callback)
{
    m_logClient->read(stream, offset, wait, [this, callback = std::move(callback)](LogClient::ReadResult result) {
        std::size_t bytes = 0;
        for (const LogClient::EncodedRecord& record : result.records)
            bytes += record.bytes.size();
        count("read", result.records.size(), bytes);
        callback(std::move(result));
    });
}

void LogTask::onRead(std::size_t reader, bool succeeded)
{
    if (succeeded) {
        m_failingReaders.erase(reader);
        // A read through a peer shows that appends have a way again; nothing else would show it.
        m_appendFailing = m_appendFailing && !m_logClient->directUnreachable();
    } else {
        m_failingReaders.insert(reader);
    }
    updateReachability();
}

void LogTask::count(const std::string& direction, std::size_t records, std::size_t bytes)
{
    if (records == 0)
        return;
    m_environment.metrics->increment(
        "lentilsaddle_log_records_total", { { "direction", direction } }, static_cast<double>(records));
    m_environment.metrics->increment(
        "lentilsaddle_log_bytes_total", { { "direction", direction } }, static_cast<double>(bytes));
}

void LogTask::onSkipped(const std::string& stream, state::LogOffset offset, const std::string& error)
{
    transport::writeLog(LogLevel::Error, component, "skipped a record that cannot be decoded",
        { { .key = "stream", .value = stream }, { .key = "offset", .value = std::to_string(offset) },
            { .key = "error", .value = error } });
    m_environment.metrics->increment("lentilsaddle_log_records_skipped_total", { { "stream", stream } });
}

void LogTask::onDirectReachabilityChange(bool reachable)
{
    m_directReachable = reachable;
    notifyWatchers(true, reachable);
    if (!reachable)
        return;
    m_appendFailing = false;
    updateReachability();
}

LogTaskOptions LogTask::clientOptions()
{
    LogTaskOptions options = m_options;
    if (m_options.relayRead) {
        options.relayRead = [this](const auto& stream, auto offset, auto wait, auto reply) {
            m_options.relayRead(stream, offset, wait, [this, reply](LogClient::ReadResult result) {
                post({ LogMessage::Invoke { .callback = [reply, result = std::move(result)] { reply(result); } } });
            });
        };
    }
    if (m_options.relayAppend) {
        options.relayAppend = [this](const auto& stream, const auto& records, auto reply) {
            m_options.relayAppend(stream, records, [this, reply](LogClient::AppendResult result) {
                post({ LogMessage::Invoke { .callback = [reply, result = std::move(result)] { reply(result); } } });
            });
        };
    }
    return options;
}

void LogTask::notifyWatchers(bool directOnly, bool reachable)
{
    for (const LogMessage::WatchReachability& watcher : m_watchers) {
        if (watcher.directOnly == directOnly)
            watcher.onChange(reachable);
    }
}

void LogTask::updateReachability()
{
    bool reachable = !m_appendFailing && m_failingReaders.empty();
    if (m_reachable == reachable)
        return;
    m_reachable = reachable;
    transport::writeLog(reachable ? LogLevel::Info : LogLevel::Warning, component,
        reachable ? "log service is reachable" : "log service is unreachable");
    m_environment.metrics->setGauge("lentilsaddle_log_reachable", reachable ? 1 : 0);
    notifyWatchers(false, reachable);
    if (reachable)
        retryAll();
}

void LogTask::retryAll()
{
    for (const auto& [stream, appender] : m_appenders)
        appender->retryNow();
    for (const auto& reader : m_readers)
        reader->retryNow();
}

} // namespace lentilsaddle::coordination
