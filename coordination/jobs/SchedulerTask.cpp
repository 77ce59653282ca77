#include "coordination/jobs/SchedulerTask.h"

#include "coordination/decisions/FirstFitPlacement.h"
#include "state/StateError.h"
#include "transport/Logger.h"
#include "transport/Metrics.h"

#include <algorithm>
#include <utility>

namespace lentilsaddle::coordination {

using state::JobTable;
using state::MonotonicTime;
using state::Record;
using Response = SchedulerMessage::JobResponse;

namespace {

    const std::string submitPrefix = "submit/";
    const std::string cancelPrefix = "cancel/";
    const std::string roleKey = "role";
    const std::string snapshotKey = "snapshot";

    std::string generateJobId(const std::function<std::uint64_t()>& random)
    {
        constexpr std::string_view digits = "0123456789abcdef";
        std::string name = "job-";
        for (std::uint64_t bits = random(); name.size() < 20; bits >>= 4)
            name += digits[bits & 15];
        return name;
    }

} // namespace

SchedulerTask::SchedulerTask(TaskEnvironment environment, SchedulerTaskOptions options, SchedulerTaskHooks hooks)
    : m_environment(std::move(environment))
    , m_options(std::move(options))
    , m_hooks(std::move(hooks))
    , m_stream("jobs." + m_environment.dataCentre.value())
    , m_replay(replayHooks())
    , m_election(m_options.electionRankDelay, m_options.unlistedDelay)
{
    if (!m_hooks.placementPolicy)
        m_hooks.placementPolicy = firstFitPlacement;
}

SchedulerTask::~SchedulerTask()
{
    stop();
}

state::StreamReplay::Hooks SchedulerTask::replayHooks()
{
    return {
        .snapshotOffset = [this](const Record& record) -> std::optional<state::LogOffset> {
            const auto* snapshot = std::get_if<Record::JobSnapshot>(&record.body);
            if (!snapshot)
                return std::nullopt;
            m_recordsSinceSnapshot = 0;
            return snapshot->nextOffset;
        },
        .loadSnapshot = [this](const Record& record) { m_table.load(std::get<Record::JobSnapshot>(record.body)); },
        .apply = [this](state::LogOffset, const Record& record) { recordRead(record); },
    };
}

void SchedulerTask::onStart()
{
    m_http = std::make_unique<transport::HttpClient>(loop(), transport::HttpClientOptions {});
    m_scheduler = std::make_unique<GangScheduler>(*m_http, m_table, m_environment, m_options,
        GangScheduler::Hooks {
            .placementPolicy = m_hooks.placementPolicy,
            .policyFactory = m_hooks.policyFactory,
            .append = [this](const std::string& key, const Record::Body& body) { append(key, body); },
            .onLeadershipLost = [this] { m_leadershipLost = true; },
            .onTickNeeded = [this] { scheduleUpdate(); },
        });
    m_fallbackRenewer = std::make_unique<FallbackLeaseRenewer>(m_scheduler->workerClient(), m_table,
        m_scheduler->placement(), m_environment,
        FallbackLeaseRenewer::Options { .leaseTtl = m_options.leaseTtl,
            .renewInterval = m_options.renewInterval,
            .isolationLimit = m_options.isolationLimit });
    m_hooks.postLog(
        { .body = LogMessage::Subscribe { .stream = m_stream, .onBatch = [this](state::StreamBatch batch) {
                                             post({ .body = SchedulerMessage::LogBatch { std::move(batch) } });
                                         } } });
    update();
}

void SchedulerTask::onStop()
{
    loop().cancelTimer(m_timer);
    m_fallbackRenewer.reset();
    m_http.reset();
    m_scheduler.reset();
}

void SchedulerTask::onMessage(SchedulerMessage message)
{
    std::visit([this](auto& body) { handle(std::move(body)); }, message.body);
    update();
}

void SchedulerTask::append(const std::string& key, const Record::Body& body)
{
    m_hooks.postLog({ .body = LogMessage::Append {
                          .stream = m_stream,
                          .body = body,
                          .deadline = now() + m_options.appendTimeout,
                          .onResult =
                              [this, key](const LogMessage::AppendResult& result) {
                                  post({ .body = SchedulerMessage::Appended { key, result.status } });
                              },
                      } });
}

std::optional<Response> SchedulerTask::checkSubmission(const state::JobSpecification& specification) const
{
    auto refuse = [&specification](std::string field, std::string reason) {
        return Response { .status = Response::Status::Refused,
            .id = specification.id,
            .field = std::move(field),
            .reason = std::move(reason) };
    };
    try {
        state::validate(specification);
    } catch (const state::StateError& error) {
        return refuse(error.field(), error.what());
    }
    if (m_draining)
        return refuse("", "draining");
    if (!m_configuration)
        return refuse("", "configuration_unavailable");
    if (!m_configuration->accounts.contains(specification.account))
        return refuse("account", "unknown account '" + specification.account.value() + "'");
    if (!m_logReachable || !m_replay.complete())
        return refuse("", "log_unavailable");
    const state::PlacementState& placement = m_scheduler->placement();
    int largest = largestGang(placement, specification.shape);
    if (m_scheduler->fleet().listKnown() && specification.shape.accelerators() > largest)
        return refuse(
            "tasks", "the data centre holds at most " + std::to_string(largest) + " accelerators in this shape");
    return std::nullopt;
}

void SchedulerTask::handle(SchedulerMessage::Submit message)
{
    state::JobSpecification& specification = message.specification;
    if (specification.id.empty())
        specification.id = state::JobId(generateJobId(m_environment.random));
    if (const JobTable::Job* known = m_table.find(specification.id)) {
        bool same = known->specification == specification;
        message.reply({ .status = same ? Response::Status::Accepted : Response::Status::Conflict,
            .id = specification.id,
            .field = same ? "" : "job_id",
            .reason = same ? "" : "the identifier was submitted with another body" });
        return;
    }
    if (auto refused = checkSubmission(specification)) {
        // The refusal of this attempt does not show that an earlier one had no effect.
        if (m_submissions.submissionUnresolved(specification.id))
            refused->status = Response::Status::Unknown;
        m_environment.metrics->increment("lentilsaddle_jobs_refused_total");
        message.reply(std::move(*refused));
        return;
    }
    m_environment.recordEvent(specification.id.value(), "job.submitted", "");
    if (m_submissions.submit(specification, std::move(message.reply), now() + m_options.responseTimeout))
        append(submitPrefix + specification.id.value(), Record::JobSubmitted { specification });
}

void SchedulerTask::handle(const SchedulerMessage::Query& message)
{
    const JobTable::Job* job = m_table.find(message.id);
    if (!job) {
        message.reply(std::nullopt);
        return;
    }
    std::string state(toString(job->state));
    if (!isFinal(job->state))
        state = m_scheduler->attemptState(message.id).value_or(state);
    message.reply(SchedulerMessage::JobView {
        .specification = job->specification,
        .state = std::move(state),
        .reason = job->reason,
        .attempts = job->attempts,
        .placements = job->claim ? job->claim->placements : std::vector<state::TaskPlacement> {},
    });
}

Response SchedulerTask::cancellationOfAbsentJob(const state::JobId& id) const
{
    Response response { .status = Response::Status::NotFound, .id = id, .field = {}, .reason = {} };
    if (m_submissions.submissionUnresolved(id)) {
        response.status = Response::Status::Unknown;
        response.reason = "the submission of the job may be in the log";
    } else if (!m_logReachable || !m_replay.caughtUp()) {
        response.status = Response::Status::Refused;
        response.reason = "log_unavailable";
    }
    return response;
}

void SchedulerTask::handle(SchedulerMessage::Cancel message)
{
    const JobTable::Job* job = m_table.find(message.id);
    if (!job) {
        message.reply(cancellationOfAbsentJob(message.id));
        return;
    }
    Response response { .status = Response::Status::Refused, .id = message.id, .field = {}, .reason = {} };
    if (job->cancelRequested || job->state == state::JobState::Cancelled) {
        response.status = Response::Status::Accepted;
    } else if (isFinal(job->state) || job->lastOutcome == "succeeded") {
        response.reason = "job_ended";
    } else if (!m_logReachable) {
        if (m_submissions.cancellationUnresolved(message.id))
            response.status = Response::Status::Unknown;
        response.reason = "log_unavailable";
    } else {
        if (m_submissions.cancel(message.id, std::move(message.reply), now() + m_options.responseTimeout))
            append(cancelPrefix + message.id.value(), Record::JobCancelled { message.id });
        return;
    }
    message.reply(std::move(response));
}

void SchedulerTask::handle(const SchedulerMessage::Status& message)
{
    SchedulerMessage::StatusView view { .scheduler = m_table.scheduler(),
        .epoch = m_table.epoch(),
        .isScheduler = m_scheduler->active(),
        .accelerators = m_scheduler->placement().accelerators() };
    int used = 0;
    for (const JobTable::Job* job : m_table.openJobs()) {
        ++(job->claim ? view.running : view.queued);
        used += job->claim ? job->specification.shape.accelerators() : 0;
    }
    view.freeAccelerators
        = view.isScheduler ? m_scheduler->placement().freeAccelerators() : std::max(0, view.accelerators - used);
    message.reply(std::move(view));
}

void SchedulerTask::handle(const SchedulerMessage::Configure& message)
{
    m_configuration = message.ready ? message.configuration : nullptr;
    if (m_configuration)
        m_scheduler->configure(*m_configuration);
}

void SchedulerTask::handle(SchedulerMessage::Members message)
{
    m_members = std::move(message);
    m_membersKnown = true;
}

void SchedulerTask::handle(const SchedulerMessage::LogReachability& message)
{
    if (message.reachable && !m_logReachable)
        m_snapshotDue = true;
    if (!message.reachable && m_logReachable)
        m_logLostAt = now();
    m_logReachable = message.reachable;
    m_scheduler->setLogReachable(message.reachable);
}

void SchedulerTask::handle(SchedulerMessage::Drain message)
{
    if (!std::exchange(m_draining, true))
        m_drainDeadline = now() + m_options.drainTimeout;
    m_onDrained.push_back(std::move(message.onDrained));
    m_scheduler->stopStarting();
}

void SchedulerTask::handle(const SchedulerMessage::Appended& message)
{
    if (message.key.starts_with(submitPrefix))
        m_submissions.submissionAppended(state::JobId(message.key.substr(submitPrefix.size())), message.status);
    else if (message.key.starts_with(cancelPrefix))
        m_submissions.cancellationAppended(state::JobId(message.key.substr(cancelPrefix.size())), message.status);
    else if (message.key == roleKey)
        schedulerClaimAppended();
    else if (message.key == snapshotKey)
        snapshotAppended(message.status);
    else
        m_scheduler->appended(message.key, message.status);
}

} // namespace lentilsaddle::coordination
