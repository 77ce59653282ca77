// Guards against failures of a gang that are counted more than once: the gang's job is then reported as failed before
// the gang has failed max_attempts times.
#include "review/support-2/CaseRun.h"

#include <nlohmann/json.hpp>

#include <set>
#include <thread>

namespace lentilsaddle::review {

using nlohmann::json;
using std::chrono::milliseconds;
using Verdict = CaseRun::Verdict;

namespace {

    constexpr const char* job = "00000000000000a8";
    constexpr const char* path = "/q1/00000000000000a8";
    // One of 31 workers stays idle, so that the gang needs one of two failing workers.
    constexpr int members = 30;
    constexpr int accelerators = 8;
    // max_attempts of the queue.
    constexpr std::size_t maximumAttempts = 3;
    constexpr milliseconds runLimit { 15'000 };
    constexpr milliseconds endLimit { 30'000 };

    std::string submission()
    {
        std::string payload = json { { "work_ms", 1'500 }, { "gpu", accelerators }, { "gang", members } }.dump();
        json step { { "count", members }, { "cpu", 13'000 }, { "mem_mb", 26'000 }, { "gpu", accelerators },
            { "estimate_ms", 1'500 }, { "gang", true } };
        return json { { "spec", payload }, { "steps", json::array({ step }) } }.dump();
    }

    std::set<std::int64_t> failedRuns(CaseRun& run)
    {
        std::set<std::int64_t> failed;
        for (const CaseRun::Span& span : run.spans(job)) {
            if (span.outcome == "failed")
                failed.insert(span.run);
        }
        return failed;
    }

    bool ended(const std::string& state)
    {
        return state == "completed" || state == "failed" || state == "cancelled";
    }

    Verdict failGangTwice(CaseRun& run)
    {
        int leader = run.leader();
        if (run.trouble()) {
            run.record("workers 7 and 8 fail all that they start");
            run.cluster().controlWorkers({ { "failing", { 7, 8 } } });
        }
        if (run.call(leader, "POST", path, submission()) != 200)
            throw std::runtime_error("the job was not accepted");
        if (run.trouble()) {
            CaseRun::waitUntil(runLimit, [&] { return failedRuns(run).size() >= 2; });
            run.cluster().controlWorkers({ { "failing", json::array() } });
            run.record("all workers are sound again");
        }
        std::string state;
        CaseRun::waitUntil(endLimit, [&] { return ended(state = run.jobState(leader, path)); });
        run.recordSpans(job);
        std::size_t failed = failedRuns(run).size();
        run.record("state of the job: " + state + "; the gang has failed in " + std::to_string(failed)
            + " runs; max_attempts is " + std::to_string(maximumAttempts));
        return state == "failed" && failed < maximumAttempts ? Verdict::Broken : Verdict::Held;
    }

} // namespace

} // namespace lentilsaddle::review

int main(int argc, char** argv)
{
    return lentilsaddle::review::runCase(
        argc, argv, { .workers = 31, .accelerators = 8 }, lentilsaddle::review::failGangTwice);
}
