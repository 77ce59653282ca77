#include "coordination/batch/BatchTask.h"

#include "coordination/batch/BatchScheduler.h"
#include "coordination/batch/JournalKeys.h"
#include "coordination/batch/KeyedReader.h"
#include "coordination/batch/Leadership.h"
#include "coordination/batch/SharedAppender.h"
#include "protocol/batch/BatchRecordCodec.h"
#include "state/batch/JobMemory.h"
#include "transport/Logger.h"
#include "transport/Metrics.h"

#include <utility>

namespace lentilsaddle::coordination::batch {

using transport::LogLevel;
using transport::writeLog;

namespace {

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

} // namespace lentilsaddle::coordination::batch
