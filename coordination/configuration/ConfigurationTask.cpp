#include "coordination/configuration/ConfigurationTask.h"

#include "protocol/ConfigurationCodec.h"
#include "protocol/ProtocolError.h"
#include "transport/Logger.h"
#include "transport/Metrics.h"

#include <algorithm>
#include <utility>

namespace lentilsaddle::coordination {

using state::Record;
using transport::LogLevel;

namespace {

    constexpr auto component = "configuration";

    std::optional<state::Configuration> decodeSnapshot(const Record::ConfigurationSnapshot& snapshot)
    {
        try {
            state::Configuration configuration = protocol::decodeConfiguration(snapshot.document);
            configuration.version = snapshot.version;
            return configuration;
        } catch (const protocol::ProtocolError& error) {
            transport::writeLog(LogLevel::Error, component, "ignored a configuration snapshot that cannot be decoded",
                { { .key = "error", .value = error.what() } });
            return std::nullopt;
        }
    }

    /// Skips a snapshot that cannot be decoded, so that replay continues with the next one.
    std::optional<state::LogOffset> snapshotOffset(const Record& record)
    {
        const auto* snapshot = std::get_if<Record::ConfigurationSnapshot>(&record.body);
        if (!snapshot || !decodeSnapshot(*snapshot))
            return std::nullopt;
        return snapshot->nextOffset;
    }

    std::string describe(const Record::PatchOutcome& outcome)
    {
        std::string text = outcome.accepted ? "accepted" : "rejected";
        text += " version=" + std::to_string(outcome.version);
        return outcome.reason.empty() ? text : text + " reason=" + outcome.reason;
    }

} // namespace

ConfigurationTask::ConfigurationTask(
    TaskEnvironment environment, ConfigurationTaskOptions options, std::function<void(LogMessage)> postLog)
    : m_environment(std::move(environment))
    , m_options(std::move(options))
    , m_postLog(std::move(postLog))
    , m_history(protocol::applyMergePatch)
    , m_replay({
          .snapshotOffset = snapshotOffset,
          .loadSnapshot = [this](const Record& record) { loadSnapshot(record); },
          .apply = [this](state::LogOffset, const Record& record) { applyRecord(record); },
      })
    , m_replayedConfiguration(std::make_shared<state::Configuration>())
    , m_snapshotPolicy(m_options.snapshots)
    , m_publishedView(view())
{
}

ConfigurationTask::~ConfigurationTask()
{
    stop();
}

void ConfigurationTask::onStart()
{
    m_postLog({ LogMessage::Subscribe {
        .stream = m_options.stream,
        .onBatch
        = [this](state::StreamBatch batch) { post({ ConfigurationMessage::LogBatch { .batch = std::move(batch) } }); },
    } });
    m_postLog({ LogMessage::WatchReachability { .onChange
        = [this](bool reachable) { post({ ConfigurationMessage::LogReachability { .reachable = reachable } }); } } });
}

void ConfigurationTask::onMessage(ConfigurationMessage message)
{
    std::visit([this](auto& body) { handle(std::move(body)); }, message.body);
}

void ConfigurationTask::handle(ConfigurationMessage::SubmitPatch message)
{
    const state::PatchId id = message.patch.id;
    m_environment.recordEvent(id.value(), "patch.submitted", "base=" + std::to_string(message.patch.base));
    if (auto decided = outcome(id)) {
        message.reply({ .status = PatchResponse::Status::Decided, .outcome = *decided });
        return;
    }
    auto pending = m_pendingPatches.find(id);
    if (pending != m_pendingPatches.end()) {
        pending->second.replies.push_back(std::move(message.reply));
        return;
    }
    if (m_logReachable == false) {
        message.reply(refusal(id, "log_unavailable"));
        return;
    }
    if (!m_caughtUpOnce || !m_replay.complete()) {
        message.reply(refusal(id, "the configuration stream is not replayed: " + notReadyReason()));
        return;
    }
    PendingPatch& entry = m_pendingPatches[id];
    entry.replies.push_back(std::move(message.reply));
    entry.timer = loop().startTimer(m_options.responseTimeout, [this, id] {
        respond(
            id, { .status = PatchResponse::Status::Unknown, .outcome = { .id = id, .reason = "no outcome in time" } });
    });
    appendPatch(message.patch);
}

void ConfigurationTask::appendPatch(const Record::ConfigurationPatch& patch)
{
    m_environment.faultPoint("patch.before_append");
    m_unresolved.insert(patch.id);
    m_postLog({ LogMessage::Append {
        .stream = m_options.stream,
        .body = patch,
        .deadline = m_environment.monotonicClock() + m_options.appendTimeout,
        .onResult =
            [this, id = patch.id](const LogMessage::AppendResult& result) {
                post({ ConfigurationMessage::PatchAppended { .id = id, .status = result.status } });
            },
    } });
}

void ConfigurationTask::handle(const ConfigurationMessage::PatchAppended& message)
{
    m_environment.faultPoint("patch.after_append");
    // Only replay determines the outcome of an append that succeeded or may have succeeded.
    if (message.status != LogMessage::AppendStatus::NotAppended)
        return;
    if (auto appended = m_unresolved.find(message.id); appended != m_unresolved.end())
        m_unresolved.erase(appended);
    respond(message.id, refusal(message.id, "log_unavailable"));
}

ConfigurationTask::PatchResponse ConfigurationTask::refusal(const state::PatchId& id, const std::string& reason) const
{
    // An earlier submission of the same patch may still be in the log.
    auto status = m_unresolved.contains(id) ? PatchResponse::Status::Unknown : PatchResponse::Status::NotAppended;
    return { .status = status,
        .outcome = { .id = id, .accepted = false, .version = view().configuration->version, .reason = reason } };
}

void ConfigurationTask::handle(const ConfigurationMessage::QueryPatch& message)
{
    message.reply(outcome(message.id));
}

void ConfigurationTask::handle(const ConfigurationMessage::Query& message)
{
    message.reply(view());
}

void ConfigurationTask::handle(ConfigurationMessage::Watch message)
{
    message.onChange(view());
    m_watchers.push_back(std::move(message.onChange));
}

void ConfigurationTask::handle(const ConfigurationMessage::LogBatch& message)
{
    for (const state::StreamBatch::Entry& entry : message.batch.entries) {
        if (!std::holds_alternative<Record::ConfigurationSnapshot>(entry.record.body))
            m_snapshotPolicy.countRecords(1);
        else if (m_caughtUpOnce)
            m_snapshotPolicy.recordSnapshot(m_environment.monotonicClock());
        else
            m_snapshotPolicy.recordReplayedSnapshot();
    }
    m_replay.accept(message.batch);
    m_caughtUpOnce = m_caughtUpOnce || m_replay.caughtUp();
    scheduleSnapshotIfDue();
    publish();
}

void ConfigurationTask::applyRecord(const Record& record)
{
    const auto* patch = std::get_if<Record::ConfigurationPatch>(&record.body);
    if (!patch)
        return;
    bool repeated = m_history.outcome(patch->id).has_value();
    m_environment.faultPoint("patch.before_decision");
    Record::PatchOutcome decided = m_history.apply(*patch);
    m_unresolved.erase(patch->id);
    // Events of old records that are replayed at start would evict the recent events from the time line.
    if (!repeated && m_caughtUpOnce) {
        m_environment.recordEvent(patch->id.value(), "patch.decided", describe(decided));
        if (decided.accepted)
            m_environment.recordEvent(
                patch->id.value(), "configuration.in_force", "version=" + std::to_string(decided.version));
    }
    respond(patch->id, { .status = PatchResponse::Status::Decided, .outcome = decided });
}

void ConfigurationTask::loadSnapshot(const Record& record)
{
    const auto& snapshot = std::get<Record::ConfigurationSnapshot>(record.body);
    auto configuration = decodeSnapshot(snapshot);
    if (!configuration)
        return;
    m_history.restore(std::move(*configuration), snapshot.outcomes);
    for (const Record::PatchOutcome& outcome : snapshot.outcomes) {
        m_unresolved.erase(outcome.id);
        respond(outcome.id, { .status = PatchResponse::Status::Decided, .outcome = outcome });
    }
}

void ConfigurationTask::handle(ConfigurationMessage::PeerSnapshot message)
{
    auto configuration = decodeSnapshot(message.snapshot);
    if (!configuration)
        return;
    m_replay.offerSnapshot({ .origin = {}, .body = message.snapshot });
    m_caughtUpOnce = m_caughtUpOnce || m_replay.caughtUp();
    if (m_peerConfiguration && m_peerConfiguration->configuration->version >= message.snapshot.version) {
        publish();
        return;
    }
    m_peerConfiguration = PeerConfiguration {
        .configuration = std::make_shared<state::Configuration>(std::move(*configuration)),
        .snapshot = std::move(message.snapshot),
    };
    publish();
}

void ConfigurationTask::handle(const ConfigurationMessage::LogReachability& message)
{
    if (m_logReachable == false && message.reachable)
        m_snapshotPolicy.recordOutageEnd();
    m_logReachable = message.reachable;
    scheduleSnapshotIfDue();
    publish();
}

void ConfigurationTask::handle(const ConfigurationMessage::SnapshotForPeer& message)
{
    ConfigurationMessage::View current = view();
    if (!current.ready)
        message.reply(std::nullopt);
    else if (m_peerConfiguration && current.configuration == m_peerConfiguration->configuration)
        message.reply(m_peerConfiguration->snapshot);
    else
        message.reply(makeSnapshot());
}

Record::ConfigurationSnapshot ConfigurationTask::makeSnapshot() const
{
    return {
        .version = m_replayedConfiguration->version,
        .document = protocol::encodeConfiguration(*m_replayedConfiguration),
        .outcomes = m_history.outcomes(),
        .nextOffset = m_replay.nextOffset(),
    };
}

void ConfigurationTask::scheduleSnapshotIfDue()
{
    // Other readers replay from the snapshot, so a state that does not cover the whole stream must not become one.
    bool possible = m_replay.caughtUp() && m_logReachable != false;
    if (!possible || m_snapshotTimer != 0
        || !m_snapshotPolicy.due(m_environment.monotonicClock(), m_replay.nextOffset()))
        return;
    auto delayLimit = static_cast<std::uint64_t>(m_options.snapshotJitter.count()) + 1;
    m_snapshotTimer = loop().startTimer(
        std::chrono::milliseconds(m_environment.random() % delayLimit), [this] { appendSnapshot(); });
}

void ConfigurationTask::appendSnapshot()
{
    m_snapshotTimer = 0;
    // Another instance may have appended a snapshot during the delay.
    if (!m_replay.caughtUp() || !m_snapshotPolicy.due(m_environment.monotonicClock(), m_replay.nextOffset()))
        return;
    m_postLog({ LogMessage::Append {
        .stream = m_options.stream,
        .body = makeSnapshot(),
        .deadline = m_environment.monotonicClock() + m_options.appendTimeout,
        .onResult = {},
    } });
    // The record count and the interval restart even if the append fails; the next one to elapse retries it.
    m_snapshotPolicy.recordSnapshot(m_environment.monotonicClock());
}

void ConfigurationTask::scheduleSnapshotAgeCheck()
{
    loop().startTimer(m_snapshotPolicy.interval() / 4, [this] {
        scheduleSnapshotIfDue();
        scheduleSnapshotAgeCheck();
    });
}

std::optional<Record::PatchOutcome> ConfigurationTask::outcome(const state::PatchId& id) const
{
    if (auto decided = m_history.outcome(id))
        return decided;
    if (!m_peerConfiguration)
        return std::nullopt;
    const auto& peerOutcomes = m_peerConfiguration->snapshot.outcomes;
    auto found = std::find_if(
        peerOutcomes.begin(), peerOutcomes.end(), [&id](const auto& outcome) { return outcome.id == id; });
    if (found == peerOutcomes.end())
        return std::nullopt;
    return *found;
}

void ConfigurationTask::respond(const state::PatchId& id, const PatchResponse& response)
{
    auto node = m_pendingPatches.extract(id);
    if (node.empty())
        return;
    loop().cancelTimer(node.mapped().timer);
    for (const auto& reply : node.mapped().replies)
        reply(response);
}

std::string ConfigurationTask::notReadyReason() const
{
    if (m_logReachable == false && m_replay.nextOffset() == 0)
        return "log_unavailable: the configuration can be read neither from the log nor from a peer";
    if (m_replay.nextOffset() > 0 && !m_replay.complete())
        return "stream_gap: records of the configuration stream have expired and no snapshot has been read";
    return "replaying: the configuration stream has not been read to its end";
}

ConfigurationMessage::View ConfigurationTask::view() const
{
    bool replayUsable = m_caughtUpOnce && m_replay.complete();
    // A snapshot that a peer sent before records expired unread does not cover those records.
    bool peerUsable = m_peerConfiguration && (m_replay.complete() || m_replay.nextOffset() == 0);
    ConfigurationMessage::View view {
        .ready = replayUsable || peerUsable, .reason = {}, .configuration = m_replayedConfiguration
    };
    // The version in force never decreases, even if replay lags behind the peer's configuration.
    if (m_peerConfiguration && m_peerConfiguration->configuration->version >= m_replayedConfiguration->version)
        view.configuration = m_peerConfiguration->configuration;
    if (!view.ready)
        view.reason = notReadyReason();
    return view;
}

void ConfigurationTask::publish()
{
    if (m_replayedConfiguration->version != m_history.current().version)
        m_replayedConfiguration = std::make_shared<state::Configuration>(m_history.current());
    ConfigurationMessage::View next = view();
    bool changed = next.ready != m_publishedView.ready || next.reason != m_publishedView.reason
        || next.configuration->version != m_publishedView.configuration->version;
    m_publishedView = next;
    if (!changed)
        return;
    m_environment.metrics->setGauge(
        "lentilsaddle_configuration_version", static_cast<double>(next.configuration->version));
    for (const auto& watcher : m_watchers)
        watcher(next);
}

} // namespace lentilsaddle::coordination
