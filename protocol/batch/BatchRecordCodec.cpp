#include "protocol/batch/BatchRecordCodec.h"

#include "protocol/JsonReader.h"
#include "protocol/ProtocolError.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdint>
#include <initializer_list>
#include <vector>

namespace lentilsaddle::protocol::batch {

using nlohmann::json;
using state::batch::BatchJob;
using state::batch::BatchQueue;
using state::batch::BatchStep;
using state::batch::BatchTaskState;
using state::batch::LeaderRecord;
using state::batch::WorkerSpeedSummary;
using std::chrono::milliseconds;

namespace {

    // First element of each record; a changed layout needs another number.
    constexpr int layoutVersion = 1;

    // Elements of a task's record. The last five are omitted while no worker has crashed under the task, and the last
    // one while no crash is doubtful.
    constexpr std::size_t taskStateSize = 8;
    constexpr std::size_t taskStateSizeWithCrashes = 12;
    constexpr std::size_t taskStateSizeWithDoubtfulCrashes = 13;

    // Parses a record and converts errors of the JSON library to ProtocolError.
    // @param sizes sizes of the record with and without optional elements.
    template <typename Function>
    auto decode(const std::string& text, std::initializer_list<std::size_t> sizes, Function function)
    {
        try {
            json record = JsonReader::parse(text);
            bool sizeKnown = std::find(sizes.begin(), sizes.end(), record.size()) != sizes.end();
            if (!record.is_array() || !sizeKnown || record[0] != layoutVersion)
                throw ProtocolError("record", "has an unknown layout");
            return function(record);
        } catch (const json::exception& error) {
            throw ProtocolError("record", error.what());
        }
    }

    json encodeQueue(const BatchQueue& queue)
    {
        return json::array({ queue.name, queue.service.value(), queue.priority, queue.maximumAttempts, queue.stretch,
            queue.targetRuntime.count() });
    }

    BatchQueue decodeQueue(const json& record)
    {
        return {
            .name = record.at(0).get<std::string>(),
            .service = state::ServiceId(record.at(1).get<std::string>()),
            .priority = record.at(2).get<int>(),
            .maximumAttempts = record.at(3).get<int>(),
            .stretch = record.at(4).get<double>(),
            .targetRuntime = milliseconds(record.at(5).get<std::int64_t>()),
        };
    }

    json encodeStep(const BatchStep& step)
    {
        int flags = (step.writesCheckpoints ? 1 : 0) | (step.gang ? 2 : 0) | (step.sameRack ? 4 : 0)
            | (step.speculative ? 8 : 0);
        return json::array({ step.taskCount, step.resources.milliCores, step.resources.memoryMegabytes,
            step.resources.accelerators, step.runTimeEstimate.count(), step.predecessors, flags, step.requiredLabel,
            step.preferredRack, step.maximumPerWorker });
    }

    BatchStep decodeStep(const json& record)
    {
        int flags = record.at(6).get<int>();
        return {
            .taskCount = record.at(0).get<int>(),
            .resources = { .milliCores = record.at(1).get<std::int64_t>(),
                .memoryMegabytes = record.at(2).get<std::int64_t>(),
                .accelerators = record.at(3).get<std::int64_t>() },
            .runTimeEstimate = milliseconds(record.at(4).get<std::int64_t>()),
            .predecessors = record.at(5).get<std::vector<int>>(),
            .writesCheckpoints = (flags & 1) != 0,
            .gang = (flags & 2) != 0,
            .sameRack = (flags & 4) != 0,
            .requiredLabel = record.at(7).get<std::string>(),
            .preferredRack = record.at(8).get<std::string>(),
            .maximumPerWorker = record.at(9).get<int>(),
            .speculative = (flags & 8) != 0,
        };
    }

    state::WallTime wallTime(const json& value)
    {
        return state::WallTime(std::chrono::microseconds(value.get<std::int64_t>()));
    }

} // namespace

std::string encodeJob(const BatchJob& job)
{
    json steps = json::array();
    for (const BatchStep& step : job.steps)
        steps.push_back(encodeStep(step));
    return json::array({ layoutVersion, job.account.value(), encodeQueue(job.queue), job.payload, std::move(steps),
                           job.occurrences, job.firstDueTime.time_since_epoch().count(), job.interval.count(),
                           job.submissionTime.time_since_epoch().count() })
        .dump();
}

BatchJob decodeJob(const state::JobId& id, const std::string& text)
{
    return decode(text, { 9 }, [&](const json& record) {
        BatchJob job {
            .id = id,
            .account = state::AccountId(record.at(1).get<std::string>()),
            .queue = decodeQueue(record.at(2)),
            .payload = record.at(3).get<std::string>(),
            .occurrences = record.at(5).get<int>(),
            .firstDueTime = wallTime(record.at(6)),
            .interval = milliseconds(record.at(7).get<std::int64_t>()),
            .submissionTime = wallTime(record.at(8)),
        };
        for (const json& step : record.at(4))
            job.steps.push_back(decodeStep(step));
        return job;
    });
}

namespace {

    // A single run is stored as its number, as in records of earlier versions.
    json encodeFailedRuns(const std::vector<std::int64_t>& runs)
    {
        if (runs.size() > 1)
            return runs;
        return runs.empty() ? 0 : runs.front();
    }

    std::vector<std::int64_t> decodeFailedRuns(const json& element)
    {
        if (!element.is_array()) {
            auto run = element.get<std::int64_t>();
            return run == 0 ? std::vector<std::int64_t> {} : std::vector { run };
        }
        auto runs = element.get<std::vector<std::int64_t>>();
        std::sort(runs.begin(), runs.end());
        return runs;
    }

} // namespace

std::string encodeTaskState(const BatchTaskState& taskState)
{
    json record = json::array({ layoutVersion, static_cast<int>(taskState.phase), taskState.run,
        taskState.worker.value(), taskState.workerIncarnation, taskState.checkpoint, taskState.failures,
        encodeFailedRuns(taskState.failedRuns) });
    if (taskState.workerCrashes > 0 || taskState.givenUp) {
        record.push_back(taskState.workerCrashes);
        record.push_back(taskState.attributedCrashes);
        record.push_back(taskState.givenUp);
        record.push_back(taskState.workerAddress);
        if (taskState.doubtfulCrashes > 0)
            record.push_back(taskState.doubtfulCrashes);
    }
    return record.dump();
}

BatchTaskState decodeTaskState(const std::string& text)
{
    auto decodeRecord = [](const json& record) {
        int phase = record.at(1).get<int>();
        if (phase < 0 || phase > static_cast<int>(BatchTaskState::Phase::Done))
            throw ProtocolError("record", "has an unknown phase");
        BatchTaskState taskState {
            .phase = static_cast<BatchTaskState::Phase>(phase),
            .run = record.at(2).get<std::int64_t>(),
            .worker = state::WorkerId(record.at(3).get<std::string>()),
            .workerIncarnation = record.at(4).get<std::int64_t>(),
            .checkpoint = record.at(5).get<std::string>(),
            .failures = record.at(6).get<int>(),
            .failedRuns = decodeFailedRuns(record.at(7)),
        };
        if (record.size() >= taskStateSizeWithCrashes) {
            taskState.workerCrashes = record.at(8).get<int>();
            taskState.attributedCrashes = record.at(9).get<int>();
            taskState.givenUp = record.at(10).get<bool>();
            taskState.workerAddress = record.at(11).get<std::string>();
            if (record.size() == taskStateSizeWithDoubtfulCrashes)
                taskState.doubtfulCrashes = record.at(12).get<int>();
        }
        return taskState;
    };
    return decode(text, { taskStateSize, taskStateSizeWithCrashes, taskStateSizeWithDoubtfulCrashes }, decodeRecord);
}

std::string encodeLeader(const LeaderRecord& leader)
{
    return json::array({ layoutVersion, leader.term, leader.instance.value(), leader.incarnation, leader.vacant })
        .dump();
}

LeaderRecord decodeLeader(const std::string& text)
{
    return decode(text, { 5 }, [](const json& record) {
        return LeaderRecord {
            .term = record.at(1).get<std::uint64_t>(),
            .instance = state::InstanceId(record.at(2).get<std::string>()),
            .incarnation = record.at(3).get<std::uint64_t>(),
            .vacant = record.at(4).get<bool>(),
        };
    });
}

std::string encodeInstance(int processors)
{
    return json::array({ layoutVersion, processors }).dump();
}

int decodeInstance(const std::string& text)
{
    return decode(text, { 2 }, [](const json& record) { return record.at(1).get<int>(); });
}

std::string encodeWorkerSpeeds(const WorkerSpeedSummary& speeds)
{
    json entries = json::array();
    for (const WorkerSpeedSummary::Entry& entry : speeds.entries) {
        // In one flat array, without a bracket for each worker.
        entries.push_back(entry.worker.value());
        entries.push_back(entry.incarnation);
        entries.push_back(entry.logarithm);
        entries.push_back(entry.deviation);
    }
    return json::array({ layoutVersion, std::move(entries) }).dump();
}

WorkerSpeedSummary decodeWorkerSpeeds(const std::string& text)
{
    return decode(text, { 2 }, [](const json& record) {
        constexpr std::size_t fields = 4;
        const json& entries = record.at(1);
        if (!entries.is_array() || entries.size() % fields != 0)
            throw ProtocolError("record", "has an incomplete entry");
        WorkerSpeedSummary speeds;
        for (std::size_t first = 0; first < entries.size(); first += fields)
            speeds.entries.push_back({
                .worker = state::WorkerId(entries.at(first).get<std::string>()),
                .incarnation = entries.at(first + 1).get<std::int64_t>(),
                .logarithm = entries.at(first + 2).get<int>(),
                .deviation = entries.at(first + 3).get<int>(),
            });
        return speeds;
    });
}

} // namespace lentilsaddle::protocol::batch
