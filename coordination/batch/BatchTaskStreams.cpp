#include "coordination/batch/BatchTask.h"

#include "coordination/batch/BatchScheduler.h"
#include "coordination/batch/JournalKeys.h"
#include "coordination/batch/Leadership.h"
#include "coordination/batch/SharedAppender.h"
#include "protocol/ProtocolError.h"
#include "protocol/batch/BatchRecordCodec.h"
#include "transport/CallbackGuard.h"
#include "transport/Logger.h"
#include "transport/Metrics.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace lentilsaddle::coordination::batch {

using state::batch::BatchTaskId;
using state::batch::EvacuationRecord;
using transport::LogLevel;
using transport::writeLog;

namespace {

    std::string_view withoutPrefix(const std::string& key, std::string_view prefix)
    {
        return std::string_view(key).substr(prefix.size());
    }

} // namespace

void BatchTask::applyJournal(const std::vector<KeyedRecord>& records, bool listing)
{
    m_listedLeader.reset();
    for (const KeyedRecord& record : records)
        transport::runGuarded("journal record", [&] { applyRecord(record, listing); });
    if (listing) {
        m_journalListed = true;
        m_leadership->start(m_listedLeader);
        announceInstance();
    }
    if (m_scheduler)
        m_scheduler->onTableChanged();
}

void BatchTask::applyRecord(const KeyedRecord& record, bool listing)
{
    if (!record.value) {
        applyRemoval(record.key);
        return;
    }
    try {
        if (record.key == leaderKey) {
            state::batch::LeaderRecord leader = protocol::batch::decodeLeader(*record.value);
            if (listing)
                m_listedLeader = leader;
            else
                m_leadership->onLeaderRecord(leader);
            m_leadershipRequestDue = m_leadershipRequestDue || leader.term != m_requestedTerm;
            m_requestedTerm = leader.term;
        } else if (record.key.starts_with(jobKeyPrefix)) {
            state::JobId id { std::string(withoutPrefix(record.key, jobKeyPrefix)) };
            m_table.applyJob(protocol::batch::decodeJob(id, *record.value));
            m_sharedAppender->onRecordRead(record.key);
        } else if (record.key.starts_with(cancellationKeyPrefix)) {
            m_table.applyCancellation(state::JobId(std::string(withoutPrefix(record.key, cancellationKeyPrefix))));
            m_sharedAppender->onRecordRead(record.key);
        } else if (record.key.starts_with(startKeyPrefix)) {
            m_table.applyStart(state::JobId(std::string(withoutPrefix(record.key, startKeyPrefix))));
        } else if (record.key.starts_with(instanceKeyPrefix)) {
            state::InstanceId id { std::string(withoutPrefix(record.key, instanceKeyPrefix)) };
            int processors = protocol::batch::decodeInstance(*record.value);
            m_ranking.recordAnnouncement(id, processors);
            // An instance that announces itself now is alive and claims the leadership as soon as the term is vacant.
            if (!listing && m_ranking.outrankedBy(processors)) {
                m_outrankedTerm = m_requestedTerm;
                handOverIfRequested();
            }
        } else if (record.key == speedsKey) {
            m_speeds = protocol::batch::decodeWorkerSpeeds(*record.value);
            if (!listing)
                m_leadership->onLeaderActivity();
        } else if (record.key.starts_with(taskKeyPrefix)) {
            auto id = BatchTaskId::parse(std::string(withoutPrefix(record.key, taskKeyPrefix)));
            if (!id)
                throw protocol::ProtocolError(record.key, "must name a task as JOB.OCCURRENCE.STEP.INDEX");
            m_table.applyTask(*id, protocol::batch::decodeTaskState(*record.value), record.offset);
            if (!listing)
                m_leadership->onLeaderActivity();
        }
    } catch (const protocol::ProtocolError& error) {
        m_environment.metrics->increment("lentilsaddle_batch_unreadable_records_total", { { "stream", "journal" } });
        writeLog(LogLevel::Error, "store", "journal record is unreadable",
            { { "key", record.key }, { "error", error.what() } });
    }
}

void BatchTask::applyRemoval(const std::string& key)
{
    if (!key.starts_with(cancellationKeyPrefix))
        return;
    state::JobId job { std::string(withoutPrefix(key, cancellationKeyPrefix)) };
    m_table.removeEarlyCancellation(job);
    restoreCancellation(job);
}

void BatchTask::applyDirectory(const std::vector<KeyedRecord>& records, bool listing)
{
    if (listing)
        m_workers.clear();
    for (const KeyedRecord& record : records) {
        std::optional<state::batch::BatchWorker> worker;
        if (record.value)
            worker = m_platform.decodeWorker(record.key, *record.value);
        state::WorkerId id(record.key);
        auto known = m_workers.find(id);
        bool wasDraining = known != m_workers.end() && known->second.draining;
        if (known == m_workers.end() || !worker || worker->draining != wasDraining)
            writeLog(LogLevel::Info, "directory", "worker entry",
                { { "worker", record.key }, { "state", !worker ? "gone" : (worker->draining ? "draining" : "ready") },
                    { "offset", std::to_string(record.offset) } });
        if (worker)
            m_workers[id] = std::move(*worker);
        else
            m_workers.erase(id);
    }
    m_environment.metrics->setGauge("lentilsaddle_batch_workers", static_cast<double>(m_workers.size()));
    if (m_scheduler)
        m_scheduler->onWorkers(m_workers);
}

void BatchTask::applyOperatorRecords(const std::vector<KeyedRecord>& records, bool listing)
{
    std::vector<EvacuationRecord> evacuations;
    std::vector<const KeyedRecord*> others;
    for (const KeyedRecord& record : records) {
        if (std::optional<state::DataCentreId> dataCentre = m_platform.decodeEvacuation(record.key))
            evacuations.push_back(
                { .dataCentre = *dataCentre, .requested = record.value.has_value(), .offset = record.offset });
        else
            others.push_back(&record);
    }
    // First, because a large configuration takes long.
    applyEvacuations(evacuations, listing);
    applyConfiguration(others);
}

void BatchTask::applyEvacuations(const std::vector<EvacuationRecord>& records, bool listing)
{
    std::vector<EvacuationRecord> changes;
    if (listing)
        changes = m_evacuations.replace(records);
    else
        std::copy_if(records.begin(), records.end(), std::back_inserter(changes),
            [this](const EvacuationRecord& record) { return m_evacuations.apply(record); });
    for (const EvacuationRecord& change : changes) {
        writeLog(LogLevel::Info, "scheduler", change.requested ? "data centre evacuated" : "evacuation ended",
            { { "data_centre", change.dataCentre.value() }, { "offset", std::to_string(change.offset) } });
        m_environment.metrics->setGauge(
            "lentilsaddle_batch_evacuated", change.requested ? 1 : 0, { { "data_centre", change.dataCentre.value() } });
    }
    if (m_scheduler && !changes.empty())
        m_scheduler->onEvacuationsChanged();
}

void BatchTask::applyConfiguration(const std::vector<const KeyedRecord*>& records)
{
    for (auto next = records.rbegin(); next != records.rend(); ++next) {
        const KeyedRecord* record = *next;
        if (!record->value)
            continue;
        std::optional<state::batch::BatchConfiguration> configuration
            = m_platform.decodeConfiguration(record->key, *record->value);
        if (!configuration)
            continue;
        if (m_configuration && configuration->version <= m_configuration->version)
            continue;
        writeLog(LogLevel::Info, "configuration", "version in force",
            { { "version", std::to_string(configuration->version) }, { "offset", std::to_string(record->offset) } });
        m_environment.metrics->setGauge(
            "lentilsaddle_batch_configuration_version", static_cast<double>(configuration->version));
        m_configuration = std::make_shared<const state::batch::BatchConfiguration>(std::move(*configuration));
        m_hooks.onConfiguration(m_configuration);
        break;
    }
    updateReadiness();
}

void BatchTask::requestLeadership()
{
    const std::optional<state::batch::LeaderRecord>& leader = m_leadership->leader();
    state::MonotonicTime now = m_environment.monotonicClock();
    bool due = m_leadershipRequestDue || now - m_lastLeadershipRequest >= m_options.leadershipRequestInterval;
    m_leadershipRequestDue = m_leadershipRequestDue && m_ready != true;
    if (!due || m_ready != true || !leader || leader->vacant || !m_ranking.outranks(leader->instance))
        return;
    m_lastLeadershipRequest = now;
    writeLog(LogLevel::Info, "leadership", "requesting leadership",
        { { "term", std::to_string(leader->term) }, { "leader", leader->instance.value() } });
    storeAnnouncement();
}

void BatchTask::announceInstance()
{
    if (m_ranking.announcementDue())
        storeAnnouncement();
}

void BatchTask::storeAnnouncement()
{
    auto reply = [this](AppendResult::Status status) {
        if (status != AppendResult::Status::Stored)
            loop().startTimer(m_options.announceRetryDelay, [this] { announceInstance(); });
    };
    m_sharedAppender->append({
        .record = { .key = makeKey(instanceKeyPrefix, m_environment.instance.value()),
            .value = protocol::batch::encodeInstance(m_options.processors) },
        .reply = std::move(reply),
    });
}

} // namespace lentilsaddle::coordination::batch
