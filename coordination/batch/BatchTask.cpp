#include "coordination/batch/BatchTask.h"

#include "coordination/batch/BatchScheduler.h"
#include "coordination/batch/CancellationPruner.h"
#include "coordination/batch/JournalKeys.h"
#include "coordination/batch/KeyedReader.h"
#include "coordination/batch/Leadership.h"
#include "coordination/batch/MeasuredPlatform.h"
#include "coordination/batch/SharedAppender.h"
#include "coordination/decisions/batch/EvacuationLimit.h"
#include "protocol/batch/BatchRecordCodec.h"
#include "transport/Logger.h"
#include "transport/Metrics.h"

#include <utility>

namespace lentilsaddle::coordination::batch {

using transport::LogLevel;
using transport::writeLog;

namespace {

    constexpr std::chrono::milliseconds readinessInterval { 200 };

    const char* streamName(Stream stream)
    {
        switch (stream) {
        case Stream::Journal:
            return "journal";
        case Stream::Directory:
            return "directory";
        case Stream::Configuration:
            return "configuration";
        }
        return "unknown";
    }

} // namespace

BatchTask::BatchTask(TaskEnvironment environment, const BatchOptions& options, Hooks hooks)
    : m_environment(std::move(environment))
    , m_options(options)
    , m_hooks(std::move(hooks))
    , m_admission(m_options.jobMemoryBytes)
    , m_ranking(m_environment.instance, m_options.processors)
{
}

BatchTask::~BatchTask()
{
    stop();
}

void BatchTask::onStart()
{
    m_platform = measuredPlatform(m_hooks.connect(loop()), *m_environment.metrics, m_environment.monotonicClock);
    m_sharedAppender = std::make_unique<SharedAppender>(m_platform.journal, m_options,
        SharedAppender::Hooks {
            .clock = m_environment.monotonicClock,
            .journalReachable = [this] { return m_journalReader->reachable(); },
        });
    createReaders();
    createLeadership();
    m_configurationReader->start();
    m_journalReader->start();
    watchReadiness();
}

void BatchTask::onStop()
{
    m_cancellationPruner.reset();
    m_scheduler.reset();
    m_leadership.reset();
    m_journalReader.reset();
    m_directoryReader.reset();
    m_configurationReader.reset();
    m_sharedAppender.reset();
    m_platform = {};
}

std::unique_ptr<KeyedReader> BatchTask::makeReader(Stream stream,
    std::function<std::chrono::milliseconds()> readInterval,
    std::function<void(const std::vector<KeyedRecord>&)> onListing,
    std::function<void(const std::vector<KeyedRecord>&)> onRecords, std::function<void()> afterRead)
{
    return std::make_unique<KeyedReader>(loop(), m_platform.journal, KeyedReader::optionsFor(stream, m_options),
        KeyedReader::Hooks {
            .clock = m_environment.monotonicClock,
            .random = m_environment.random,
            .readInterval = std::move(readInterval),
            .onListing = std::move(onListing),
            .onRecords = std::move(onRecords),
            .afterRead = std::move(afterRead),
            .onReachability =
                [stream](const KeyedReader::Reachability& state) {
                    writeLog(state.reachable ? LogLevel::Info : LogLevel::Warning, "store",
                        state.reachable ? "stream reachable" : "stream lost",
                        { { "stream", streamName(stream) }, { "failed_calls", std::to_string(state.failedCalls) },
                            { "outage_ms", std::to_string(state.outage.count()) }, { "error", state.error } });
                },
        });
}

void BatchTask::createReaders()
{
    m_journalReader = makeReader(
        Stream::Journal,
        [this] { return m_leadership->leading() ? m_options.leaderReadInterval : m_options.followerReadInterval; },
        [this](const std::vector<KeyedRecord>& records) { applyJournal(records, true); },
        [this](const std::vector<KeyedRecord>& records) { applyJournal(records, false); },
        [this] {
            m_sharedAppender->onStoreResponse();
            updateReadiness();
            m_leadership->onJournalRead();
            requestLeadership();
        });
    m_configurationReader = makeReader(
        Stream::Configuration, [] { return std::chrono::milliseconds(0); },
        [this](const std::vector<KeyedRecord>& records) { applyOperatorRecords(records, true); },
        [this](const std::vector<KeyedRecord>& records) { applyOperatorRecords(records, false); },
        [this] {
            if (m_scheduler)
                m_scheduler->onStreamRead();
        });
}

void BatchTask::startDirectory(std::uint64_t term)
{
    m_directoryReader = makeReader(
        Stream::Directory, [this] { return m_options.directoryReadInterval; },
        [this, term](const std::vector<KeyedRecord>& records) {
            applyDirectory(records, true);
            startScheduler(term);
            // Nothing starts before a read follows the listing, so the read must not wait for the next record.
            m_directoryReader->refresh(m_options.lookupTimeout, [](bool) {});
        },
        [this](const std::vector<KeyedRecord>& records) { applyDirectory(records, false); },
        [this] {
            if (m_scheduler)
                m_scheduler->onStreamRead();
        });
    m_directoryReader->start();
}

void BatchTask::createLeadership()
{
    m_leadership = std::make_unique<Leadership>(loop(), m_platform.journal, m_options, m_environment.instance,
        m_environment.incarnation, *m_journalReader,
        Leadership::Hooks {
            .clock = m_environment.monotonicClock,
            .random = m_environment.random,
            .onElected = [this](std::uint64_t term) { onElected(term); },
            .onLeadershipLost = [this](const std::string&) { onLeadershipLost(); },
            .eligible = [this] { return !m_draining && m_configuration && journalCurrent(); },
            .outrankedDelay
            = [this] { return m_ranking.outranked() ? m_options.outrankedDelay : std::chrono::milliseconds(0); },
        });
}

void BatchTask::onElected(std::uint64_t term)
{
    m_environment.metrics->setGauge("lentilsaddle_batch_leading", 1);
    m_environment.metrics->increment("lentilsaddle_batch_terms_total");
    m_scheduler.reset();
    m_cancellationPruner.reset();
    m_handover.onElected(m_environment.monotonicClock());
    if (m_draining)
        m_leadership->stepDown();
    else
        handOverIfRequested();
    if (!m_leadership->leading())
        return;
    // The next read may still be delayed by the interval of followers.
    m_journalReader->refresh(m_options.readTimeout, [](bool) {});
    startDirectory(term);
}

void BatchTask::handOverIfRequested()
{
    state::MonotonicTime now = m_environment.monotonicClock();
    if (!m_leadership->leading() || m_outrankedTerm != m_leadership->term() || !m_handover.allowed(now))
        return;
    m_handover.onHandover(now);
    m_leadership->stepDown();
}

void BatchTask::onLeadershipLost()
{
    m_environment.metrics->setGauge("lentilsaddle_batch_leading", 0);
    // This may be called from within the scheduler or the reader, so they are destroyed in a later loop iteration.
    loop().startTimer(std::chrono::microseconds(0), [this] {
        if (!m_leadership || m_leadership->leading())
            return;
        m_cancellationPruner.reset();
        m_scheduler.reset();
        m_directoryReader.reset();
    });
}

void BatchTask::startScheduler(std::uint64_t term)
{
    if (m_scheduler || m_leadership->term() != term)
        return;
    m_scheduler = std::make_unique<BatchScheduler>(loop(), m_options, m_platform.worker, term, m_table,
        *m_environment.metrics,
        BatchScheduler::Hooks {
            .clock = m_environment.monotonicClock,
            .wallClock = m_environment.wallClock,
            .authorised = [this, term] { return m_leadership->term() == term && m_leadership->authorised(); },
            .mayRenew = [this, term] { return m_leadership->term() == term && m_leadership->mayRenew(); },
            .directoryCurrent = [this] { return directoryCurrent(); },
            .evacuationsCurrent = [this] { return evacuationsCurrent(); },
            .evacuated = [this](const state::DataCentreId& dataCentre) { return m_evacuations.contains(dataCentre); },
            .storeTasks
            = [this](const TaskStates& states, const std::function<void()>& onStored) { storeTasks(states, onStored); },
            .storeStart = [this](const state::JobId& job) { storeStart(job); },
            .storeSpeeds = [this](const state::batch::WorkerSpeedSummary& speeds) { storeSpeeds(speeds); },
            .onFenced =
                [this, term] {
                    if (m_leadership->term() == term)
                        m_leadership->stepDown();
                },
            .guarantee =
                [this](const state::AccountId& account) {
                    return m_configuration ? m_configuration->guaranteedAccelerators(account) : 0;
                },
        });
    m_scheduler->start(m_workers, m_speeds);
    m_cancellationPruner = std::make_unique<CancellationPruner>(m_table, m_options,
        CancellationPruner::Hooks {
            .clock = m_environment.monotonicClock,
            .append
            = [this](
                  std::vector<KeyedRecord> records) { m_leadership->append(std::move(records), [](std::uint64_t) {}); },
        });
}

void BatchTask::storeTasks(const TaskStates& states, const std::function<void()>& onStored)
{
    std::vector<KeyedRecord> records;
    for (const auto& [task, taskState] : states)
        records.push_back({
            .key = makeKey(taskKeyPrefix, task.toString()),
            .value = protocol::batch::encodeTaskState(taskState),
        });
    m_leadership->append(std::move(records), [this, states, onStored](std::uint64_t firstOffset) {
        for (std::size_t index = 0; index < states.size(); ++index)
            m_table.applyTask(states[index].first, states[index].second, firstOffset + index);
        onStored();
    });
}

void BatchTask::storeStart(const state::JobId& job)
{
    m_table.applyStart(job);
    m_leadership->appendWithNext({ .key = makeKey(startKeyPrefix, job.value()), .value = "1" });
}

void BatchTask::storeSpeeds(const state::batch::WorkerSpeedSummary& speeds)
{
    std::string value = protocol::batch::encodeWorkerSpeeds(speeds);
    m_environment.metrics->increment(
        "lentilsaddle_batch_speed_summary_bytes_total", {}, static_cast<double>(value.size()));
    m_leadership->append({ { .key = std::string(speedsKey), .value = std::move(value) } }, [](std::uint64_t) {});
}

bool BatchTask::journalCurrent() const
{
    std::optional<state::MonotonicTime> current = m_journalReader->currentAsOf();
    return m_journalListed && current && m_environment.monotonicClock() - *current < m_options.staleAfter;
}

bool BatchTask::directoryCurrent() const
{
    std::optional<state::MonotonicTime> current;
    if (m_directoryReader)
        current = m_directoryReader->currentAsOf();
    return current && m_environment.monotonicClock() - *current < m_options.directoryStaleAfter;
}

bool BatchTask::evacuationsCurrent() const
{
    if (m_options.evacuationLimit.count() == 0)
        return true;
    std::chrono::milliseconds allowedAge = allowedEvacuationAge({
        .limit = m_options.evacuationLimit,
        .startTimeout = m_options.startTimeout,
        .regularAge = 2 * m_options.directoryWait + m_options.readTimeout,
    });
    std::optional<state::MonotonicTime> complete = m_configurationReader->completeAsOf();
    return complete && m_environment.monotonicClock() - *complete < allowedAge;
}

void BatchTask::updateReadiness()
{
    bool ready = !m_draining && m_configuration && journalCurrent();
    if (m_ready == ready)
        return;
    m_ready = ready;
    writeLog(LogLevel::Info, "api", ready ? "ready" : "not ready",
        { { "configuration", m_configuration ? std::to_string(m_configuration->version) : "none" },
            { "journal_current", journalCurrent() ? "true" : "false" },
            { "draining", m_draining ? "true" : "false" } });
    m_environment.metrics->setGauge("lentilsaddle_batch_ready", ready ? 1 : 0);
    m_hooks.onReadiness(ready);
}

void BatchTask::watchReadiness()
{
    loop().startTimer(readinessInterval, [this] { watchReadiness(); });
    updateReadiness();
    recordStreamAges();
    m_environment.metrics->setGauge("lentilsaddle_batch_job_memory_bytes", static_cast<double>(m_table.activeBytes()));
    if (m_cancellationPruner && m_leadership->leading())
        m_cancellationPruner->run();
}

void BatchTask::recordStreamAges()
{
    m_environment.metrics->setGauge("lentilsaddle_batch_leader_silence_seconds",
        std::chrono::duration<double>(m_leadership->leaderSilence()).count());
    for (const auto& [stream, reader] : { std::pair(Stream::Journal, m_journalReader.get()),
             std::pair(Stream::Configuration, m_configurationReader.get()),
             std::pair(Stream::Directory, m_directoryReader.get()) }) {
        if (!reader)
            continue;
        if (std::optional<state::MonotonicTime> current = reader->currentAsOf())
            m_environment.metrics->setGauge("lentilsaddle_batch_stream_age_seconds",
                std::chrono::duration<double>(m_environment.monotonicClock() - *current).count(),
                { { "stream", streamName(stream) } });
    }
}

} // namespace lentilsaddle::coordination::batch
