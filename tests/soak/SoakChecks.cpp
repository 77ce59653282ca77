#include "tests/soak/SoakChecks.h"

#include "protocol/batch/BatchRecordCodec.h"

#include <algorithm>
#include <cstdint>
#include <limits>
#include <map>
#include <set>

namespace lentilsaddle::soak {

using nlohmann::json;

namespace {

    /// Time span of one run of a task on a worker, from the journal of the worker stand-in.
    struct RunSpan {
        std::string worker;
        std::string payload;
        std::int64_t run = 0;
        /// Milliseconds on the clock of the stand-in; `end` is the maximum value while the run continues.
        std::int64_t begin = 0;
        std::int64_t end = 0;
        std::string outcome;
        bool acknowledged = false;
    };

    using SpansByTask = std::map<std::string, std::vector<RunSpan>>;

    SpansByTask groupSpansByTask(const json& workerJournal)
    {
        SpansByTask spans;
        for (const json& entry : workerJournal.at("spans")) {
            const json& end = entry.at("end_ms");
            spans[entry.at("task")].push_back({
                .worker = entry.at("worker"),
                .payload = entry.at("payload"),
                .run = entry.at("run"),
                .begin = entry.at("begin_ms"),
                .end = end.is_null() ? std::numeric_limits<std::int64_t>::max() : end.get<std::int64_t>(),
                .outcome = entry.at("how"),
                .acknowledged = entry.at("acknowledged"),
            });
        }
        return spans;
    }

    std::string jobIdOfTask(const std::string& task)
    {
        return task.substr(0, task.find('.'));
    }

    void checkRuns(const std::string& task, std::vector<RunSpan>& spans, std::vector<std::string>& violations)
    {
        std::sort(spans.begin(), spans.end(), [](const RunSpan& a, const RunSpan& b) { return a.begin < b.begin; });
        for (std::size_t index = 1; index < spans.size(); ++index) {
            for (std::size_t earlier = 0; earlier < index; ++earlier) {
                if (spans[index].begin < spans[earlier].end)
                    violations.push_back(task + " ran twice at the same time, on " + spans[earlier].worker + " (run "
                        + std::to_string(spans[earlier].run) + ") and " + spans[index].worker + " (run "
                        + std::to_string(spans[index].run) + ")");
                if (spans[earlier].outcome == "done" && spans[earlier].acknowledged)
                    violations.push_back(task + " started again after its completion was acknowledged");
            }
        }
    }

    void checkJob(const SoakJob& job, const SpansByTask& spans, std::vector<std::string>& violations)
    {
        int started = 0;
        int done = 0;
        int failed = 0;
        for (int index = 0; index < job.tasks; ++index) {
            auto found = spans.find(job.id + ".0.0." + std::to_string(index));
            if (found == spans.end())
                continue;
            ++started;
            done += std::any_of(found->second.begin(), found->second.end(),
                        [](const RunSpan& span) { return span.outcome == "done"; })
                ? 1
                : 0;
            failed += std::any_of(found->second.begin(), found->second.end(),
                          [](const RunSpan& span) { return span.outcome == "failed"; })
                ? 1
                : 0;
            for (const RunSpan& span : found->second) {
                if (span.payload != job.payload)
                    violations.push_back("job " + job.id + " was started with another payload");
                if (job.cancelAcknowledged && span.end == std::numeric_limits<std::int64_t>::max())
                    violations.push_back("job " + job.id + " still runs after its cancellation");
            }
        }
        if (job.rejected && started > 0)
            violations.push_back("job " + job.id + " was rejected as not run, but a task was started");
        bool mustRunToEnd = job.accepted && !job.cancelSent;
        if (mustRunToEnd && !job.alwaysFails && done != job.tasks)
            violations.push_back("job " + job.id + " was accepted and is not done: " + std::to_string(done) + " of "
                + std::to_string(job.tasks) + " tasks");
        if (mustRunToEnd && job.alwaysFails && failed == 0)
            violations.push_back("job " + job.id + " was accepted, but no task ended as failed");
    }

    void checkLeaders(const std::vector<std::string>& history, std::vector<std::string>& violations)
    {
        std::map<std::uint64_t, std::uint64_t> incarnations;
        for (const std::string& record : history) {
            state::batch::LeaderRecord leader = protocol::batch::decodeLeader(record);
            auto [known, added] = incarnations.try_emplace(leader.term, leader.incarnation);
            if (!added && known->second != leader.incarnation)
                violations.push_back("term " + std::to_string(leader.term) + " had two leaders");
        }
    }

} // namespace

std::vector<std::string> checkGuarantees(
    const std::vector<SoakJob>& jobs, const json& workerJournal, const std::vector<std::string>& leaderHistory)
{
    std::vector<std::string> violations;
    SpansByTask spans = groupSpansByTask(workerJournal);
    std::set<std::string> submitted;
    for (const SoakJob& job : jobs)
        submitted.insert(job.id);
    for (auto& [task, runs] : spans) {
        checkRuns(task, runs, violations);
        if (!submitted.contains(jobIdOfTask(task)))
            violations.push_back(task + " was started, but its job was never submitted");
    }
    for (const SoakJob& job : jobs)
        checkJob(job, spans, violations);
    for (const json& runner : workerJournal.at("runners")) {
        if (runner.at("overloads") != 0)
            violations.push_back(runner.at("id").get<std::string>() + " was allocated more than its capacity");
    }
    checkLeaders(leaderHistory, violations);
    return violations;
}

std::vector<std::string> checkEvacuations(const EvacuationCheck& check, const json& workerJournal)
{
    // Longer than a proxy holds a request back.
    constexpr std::chrono::milliseconds holdLimit { 9'000 };
    std::vector<std::string> violations;
    for (const json& span : workerJournal.at("spans")) {
        auto worker = span.at("worker").get<std::string>();
        std::chrono::steady_clock::time_point arrival { std::chrono::milliseconds(
            span.at("arrival_ms").get<std::int64_t>()) };
        bool heldBack = std::any_of(
            check.disturbances.begin(), check.disturbances.end(), [&](const SoakDisturbance& disturbance) {
                return disturbance.worker == worker && disturbance.begin < arrival
                    && (disturbance.end >= arrival || arrival - disturbance.end < holdLimit);
            });
        if (heldBack)
            continue;
        for (const SoakEvacuation& evacuation : check.evacuations) {
            bool evacuated = evacuation.dataCentre == check.dataCentreOf(worker)
                && arrival > evacuation.acknowledged + check.limit && arrival < evacuation.ended;
            if (evacuated)
                violations.push_back(span.at("task").get<std::string>() + " was started on " + worker + ' '
                    + std::to_string(
                        std::chrono::duration_cast<std::chrono::milliseconds>(arrival - evacuation.acknowledged)
                            .count())
                    + " ms after the evacuation of " + evacuation.dataCentre);
        }
    }
    return violations;
}

} // namespace lentilsaddle::soak
