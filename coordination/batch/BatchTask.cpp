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
#include "state/batch/JobMemory.h"
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

    // Steps as TASKSxACCELERATORS, followed by g for a gang, r if it requires one rack, @RACK and #LABEL.
    std::string describeShape(const state::batch::BatchJob& job)
    {
        std::string text;
        for (const state::batch::BatchStep& step : job.steps) {
            text += text.empty() ? "" : "+";
            text += std::to_string(step.taskCount) + 'x' + std::to_string(step.resources.accelerators);
            text += step.gang ? "g" : "";
            text += step.sameRack ? "r" : "";
            text += step.preferredRack.empty() ? "" : '@' + step.preferredRack;
            text += step.requiredLabel.empty() ? "" : '#' + step.requiredLabel;
        }
        return text;
    }

    ChangeOutcome toChangeOutcome(AppendResult::Status status)
    {
        switch (status) {
        case AppendResult::Status::Stored:
            return ChangeOutcome::Done;
        case AppendResult::Status::Unknown:
            return ChangeOutcome::Unknown;
        default:
            return ChangeOutcome::Refused;
        }
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

void BatchTask::onMessage(BatchMessage message)
{
    std::visit([this](auto&& body) { handle(std::forward<decltype(body)>(body)); }, std::move(message.body));
}

void BatchTask::handle(BatchMessage::Submit submit)
{
    bool accepted = decideAdmission(submit.job) == JobAdmission::Decision::Accept;
    if ((accepted && !m_sharedAppender->storeSuspected()) || m_table.find(submit.job.id)) {
        storeJob(std::move(submit));
        return;
    }
    // An earlier attempt without a response may have stored the job, which the journal shows.
    m_journalReader->refresh(
        m_options.queryRefreshTimeout, [this, submit = std::move(submit)](bool) { storeJob(submit); });
}

void BatchTask::storeJob(BatchMessage::Submit submit)
{
    const state::JobId id = submit.job.id;
    if (m_table.find(id)) {
        writeLog(LogLevel::Info, "api", "job submitted again", { { "job", id.value() } });
        submit.reply(ChangeOutcome::Done);
        return;
    }
    JobAdmission::Decision decision = decideAdmission(submit.job);
    // A refusal would be wrong while an earlier attempt may still store the job.
    if (decision != JobAdmission::Decision::Accept
        && !m_sharedAppender->unresolved(makeKey(jobKeyPrefix, id.value()))) {
        refuseJob(submit, decision);
        return;
    }
    KeyedRecord record {
        .key = makeKey(jobKeyPrefix, id.value()),
        .value = protocol::batch::encodeJob(submit.job),
    };
    std::size_t bytes = state::batch::jobMemoryBytes(submit.job);
    m_storingBytes += bytes;
    auto reply = [this, bytes, submit = std::move(submit)](AppendResult::Status status) {
        m_storingBytes -= bytes;
        m_environment.metrics->increment(
            "lentilsaddle_batch_submissions_total", { { "outcome", appendStatusName(status) } });
        writeLog(LogLevel::Info, "api", "job submitted",
            { { "job", submit.job.id.value() }, { "queue", submit.job.queue.name },
                { "account", submit.job.account.value() }, { "shape", describeShape(submit.job) },
                { "outcome", appendStatusName(status) } });
        if (status == AppendResult::Status::Stored) {
            m_table.applyJob(submit.job);
            if (m_scheduler)
                m_scheduler->onTableChanged();
        }
        submit.reply(toChangeOutcome(status));
    };
    m_sharedAppender->append({ .record = std::move(record), .reply = std::move(reply) });
}

JobAdmission::Decision BatchTask::decideAdmission(const state::batch::BatchJob& job) const
{
    return m_admission.decide({
        .job = state::batch::jobMemoryBytes(job),
        .account = m_table.activeBytes(job.account),
        .total = m_table.activeBytes() + m_storingBytes,
        .urgent = job.queue.priority == 0,
    });
}

void BatchTask::refuseJob(const BatchMessage::Submit& submit, JobAdmission::Decision decision)
{
    bool account = decision == JobAdmission::Decision::AccountLimit;
    const char* reason = account ? "account_limit" : "no_room";
    m_environment.metrics->increment("lentilsaddle_batch_submissions_total", { { "outcome", reason } });
    writeLog(LogLevel::Warning, "api", "job refused",
        { { "job", submit.job.id.value() }, { "account", submit.job.account.value() }, { "reason", reason },
            { "job_bytes", std::to_string(state::batch::jobMemoryBytes(submit.job)) },
            { "accepted_bytes", std::to_string(m_table.activeBytes()) } });
    submit.reply(account ? ChangeOutcome::AccountLimit : ChangeOutcome::NoRoom);
}

void BatchTask::afterLookup(const state::JobId& job, const std::function<void(bool upToDate)>& callback)
{
    const state::batch::BatchJobEntry* entry = m_table.find(job);
    if (entry && entry->finished()) {
        callback(true);
        return;
    }
    m_journalReader->refresh(entry ? m_options.queryRefreshTimeout : m_options.lookupTimeout, callback);
}

void BatchTask::handle(const BatchMessage::Cancel& cancel)
{
    afterLookup(cancel.job, [this, cancel](bool upToDate) {
        const state::batch::BatchJobEntry* entry = m_table.find(cancel.job);
        bool unresolved = m_sharedAppender->unresolved(makeKey(jobKeyPrefix, cancel.job.value()));
        bool absent = !entry && upToDate && !unresolved;
        if (entry && entry->cancelled())
            cancel.reply(ChangeOutcome::Done);
        else if (absent && m_table.cancelledBeforeKnown().contains(cancel.job))
            cancel.reply(ChangeOutcome::NoSuchJob);
        else if (!entry && m_table.cancelledBeforeKnown().size() >= m_options.maximumUnknownCancellations)
            cancel.reply(ChangeOutcome::Refused);
        else
            storeCancellation(cancel.job, absent, cancel.reply);
    });
}

void BatchTask::storeCancellation(const state::JobId& job, bool absent, const std::function<void(ChangeOutcome)>& reply)
{
    auto onResult = [this, job, absent, reply](AppendResult::Status status) {
        bool stored = status == AppendResult::Status::Stored;
        if (stored) {
            m_table.applyCancellation(job);
            if (m_scheduler)
                m_scheduler->onTableChanged();
        }
        bool known = m_table.find(job) != nullptr;
        writeLog(LogLevel::Info, "api", "job cancelled",
            { { "job", job.value() }, { "outcome", appendStatusName(status) }, { "known", known ? "true" : "false" } });
        reply(stored && absent && !known ? ChangeOutcome::NoSuchJob : toChangeOutcome(status));
    };
    m_sharedAppender->append({ .record = { .key = makeKey(cancellationKeyPrefix, job.value()), .value = "1" },
        .reply = std::move(onResult) });
}

void BatchTask::restoreCancellation(const state::JobId& job)
{
    const state::batch::BatchJobEntry* entry = m_table.find(job);
    if (entry && entry->cancelled() && m_leadership->leading())
        m_leadership->append(
            { { .key = makeKey(cancellationKeyPrefix, job.value()), .value = "1" } }, [](std::uint64_t) {});
}

void BatchTask::handle(const BatchMessage::Query& query)
{
    afterLookup(query.job, [this, query](bool upToDate) {
        const state::batch::BatchJobEntry* entry = m_table.find(query.job);
        if (entry)
            query.reply({ .phase = entry->phase() });
        else
            query.reply({ .noSuchJob = upToDate });
    });
}

void BatchTask::handle(const BatchMessage::CountPending& count)
{
    count.reply(m_table.pendingCount(count.queue));
}

void BatchTask::handle(const BatchMessage::Drain&)
{
    m_draining = true;
    updateReadiness();
    m_leadership->stepDown();
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
