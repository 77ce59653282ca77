#include "protocol/ApiCodec.h"

#include "protocol/ApiJob.h"
#include "protocol/ApiStatus.h"
#include "protocol/JsonReader.h"
#include "protocol/ProtocolError.h"
#include "state/StateError.h"
#include "state/TimelineEvent.h"

#include <limits>

namespace lentilsaddle::protocol {

using nlohmann::json;

namespace {

    constexpr long maximumInteger = std::numeric_limits<int>::max();
    constexpr std::size_t maximumIdentifierBytes = 128;

    std::string readIdentifier(JsonReader& reader, const std::string& name)
    {
        std::string value = reader.stringOr(name, "");
        if (value.size() > maximumIdentifierBytes)
            throw ProtocolError(name, "must have at most " + std::to_string(maximumIdentifierBytes) + " bytes");
        // Identifiers are path segments of API URLs; one with a slash could not be addressed.
        if (value.find_first_of("/?# \t\r\n") != std::string::npos)
            throw ProtocolError(name, "must not contain white space, '/', '?' or '#'");
        return value;
    }

    json encodePlacements(const std::vector<state::TaskPlacement>& placements)
    {
        json result = json::array();
        for (const state::TaskPlacement& placement : placements)
            result.push_back({ { "worker", placement.worker.value() }, { "accelerators", placement.accelerators } });
        return result;
    }

} // namespace

state::JobSpecification decodeJobSubmission(const std::string& body)
{
    json document = JsonReader::parse(body);
    JsonReader reader(document, "");
    state::JobSpecification job;
    job.id = state::JobId(readIdentifier(reader, "job_id"));
    job.account = state::AccountId(reader.string("account"));
    job.shape.tasks = static_cast<int>(reader.integer("tasks", 1, state::maximumGangTasks));
    job.shape.acceleratorsPerTask
        = static_cast<int>(reader.integerOr("accelerators_per_task", 1, state::maximumAcceleratorsPerTask, 1));
    auto adjacency = state::adjacencyFromString(reader.stringOr("adjacency", "data_centre"));
    if (!adjacency)
        throw ProtocolError("adjacency", "must be worker, rack or data_centre");
    job.shape.adjacency = *adjacency;
    job.declaredRunTime = std::chrono::seconds(reader.integer("declared_runtime_s", 1, maximumInteger));
    job.repeatable = reader.booleanOr("repeatable", true);
    job.urgent = reader.booleanOr("urgent", false);
    job.payload = reader.stringOr("payload", "");
    reader.requireNoOtherFields();
    try {
        state::validate(job);
    } catch (const state::StateError& error) {
        std::string message = error.what();
        std::throw_with_nested(ProtocolError(error.field(), message.substr(error.field().size() + 2)));
    }
    return job;
}

state::Record::ConfigurationPatch decodePatchSubmission(const std::string& body)
{
    json document = JsonReader::parse(body);
    JsonReader reader(document, "");
    state::Record::ConfigurationPatch patch {
        .id = state::PatchId(readIdentifier(reader, "patch_id")),
        .base
        = static_cast<state::ConfigurationVersion>(reader.integer("base_version", 0, std::numeric_limits<long>::max())),
        .mergePatch = reader.object("merge_patch").dump(),
    };
    reader.requireNoOtherFields();
    return patch;
}

std::string encodeError(const std::string& code, const std::string& field, const std::string& reason)
{
    json document = { { "error", code }, { "reason", reason } };
    if (!field.empty())
        document["field"] = field;
    return document.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::string encodeJob(const ApiJob& job)
{
    const state::JobSpecification& specification = job.specification;
    return json {
        { "job_id", specification.id.value() },
        { "account", specification.account.value() },
        { "tasks", specification.shape.tasks },
        { "accelerators_per_task", specification.shape.acceleratorsPerTask },
        { "adjacency", std::string(state::toString(specification.shape.adjacency)) },
        { "declared_runtime_s", specification.declaredRunTime.count() },
        { "repeatable", specification.repeatable },
        { "urgent", specification.urgent },
        { "state", job.state },
        { "reason", job.reason },
        { "attempts", job.attempts },
        { "placements", encodePlacements(job.placements) },
    }
        .dump();
}

std::string encodeJobResponse(const state::JobId& id, const std::string& status, const std::string& reason)
{
    return json { { "job_id", id.value() }, { "status", status }, { "reason", reason } }.dump();
}

std::string encodePatchOutcome(const state::Record::PatchOutcome& outcome, const std::string& status)
{
    return json {
        { "patch_id", outcome.id.value() },
        { "status", status },
        { "version", outcome.version },
        { "reason", outcome.reason },
    }
        .dump();
}

std::string encodeStatus(const ApiStatus& status)
{
    json peers = json::array();
    for (const ApiStatus::Peer& peer : status.peers) {
        peers.push_back({
            { "instance", peer.instance.value() },
            { "data_centre", peer.dataCentre.value() },
            { "reachable", peer.reachable },
            { "configuration_version", peer.configurationVersion },
        });
    }
    return json {
        { "instance", status.instance.value() },
        { "data_centre", status.dataCentre.value() },
        { "ready", status.ready },
        { "reason", status.reason },
        { "draining", status.draining },
        { "configuration_version", status.configurationVersion },
        { "scheduler", status.scheduler.value() },
        { "scheduler_epoch", status.schedulerEpoch },
        { "queued_jobs", status.queuedJobs },
        { "running_jobs", status.runningJobs },
        { "accelerators", status.accelerators },
        { "free_accelerators", status.freeAccelerators },
        { "peers", peers },
    }
        .dump();
}

std::string encodeTimeline(
    const std::vector<state::TimelineEvent>& events, const std::vector<state::InstanceId>& missing)
{
    json list = json::array();
    for (const state::TimelineEvent& event : events) {
        list.push_back({
            { "time_us", event.time.time_since_epoch().count() },
            { "instance", event.instance.value() },
            { "sequence", event.sequence },
            { "subject", event.subject },
            { "kind", event.kind },
            { "detail", event.detail },
        });
    }
    json missingNames = json::array();
    for (const state::InstanceId& instance : missing)
        missingNames.push_back(instance.value());
    // Subjects and details come from clients and may contain bytes that are not valid UTF-8.
    return json { { "events", list }, { "missing_instances", missingNames } }.dump(
        -1, ' ', false, json::error_handler_t::replace);
}

} // namespace lentilsaddle::protocol
