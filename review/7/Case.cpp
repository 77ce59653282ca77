// Guards against an accepted job that is reported as failed because its workers crashed, although no run of it failed.
#include "review/support-2/CaseRun.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <thread>

namespace lentilsaddle::review {

using nlohmann::json;
using std::chrono::milliseconds;
using Verdict = CaseRun::Verdict;

namespace {

    constexpr const char* job = "00000000000000a7";
    constexpr const char* path = "/q1/00000000000000a7";
    constexpr int crashes = 2;
    // Time from the start of a run to the crash of its worker.
    constexpr milliseconds crashDelay { 300 };
    constexpr milliseconds downTime { 2'000 };
    constexpr milliseconds startLimit { 15'000 };
    constexpr milliseconds endLimit { 30'000 };

    std::string submission()
    {
        std::string payload = json { { "work_ms", 4'000 }, { "gpu", 1 } }.dump();
        json step { { "count", 1 }, { "cpu", 1'000 }, { "mem_mb", 512 }, { "gpu", 1 }, { "estimate_ms", 4'000 } };
        return json { { "spec", payload }, { "steps", json::array({ step }) } }.dump();
    }

    int workerNumber(const CaseRun::Span& span)
    {
        return std::stoi(span.worker.substr(2));
    }

    void crashWorker(CaseRun& run, int worker)
    {
        run.record("worker " + std::to_string(worker) + " crashes");
        run.cluster().setWorkerProxy(worker, { soak::FaultProxyMode::Kind::Refuse });
        run.cluster().restartWorker(worker);
        std::this_thread::sleep_for(downTime);
        run.cluster().setWorkerProxy(worker, {});
        run.cluster().announceWorker(worker);
        run.record("worker " + std::to_string(worker) + " runs again");
    }

    bool ended(const std::string& state)
    {
        return state == "completed" || state == "failed" || state == "cancelled";
    }

    Verdict crashUnderJob(CaseRun& run)
    {
        int leader = run.leader();
        if (run.call(leader, "POST", path, submission()) != 200)
            throw std::runtime_error("the job was not accepted");
        for (int crash = 0; run.trouble() && crash < crashes; ++crash) {
            auto started = [&] { return static_cast<int>(run.spans(job).size()) > crash; };
            if (!CaseRun::waitUntil(startLimit, started))
                break;
            std::this_thread::sleep_for(crashDelay);
            crashWorker(run, workerNumber(run.spans(job).back()));
        }
        std::string state;
        CaseRun::waitUntil(endLimit, [&] { return ended(state = run.jobState(leader, path)); });
        run.recordSpans(job);
        run.record("state of the job: " + state);
        std::vector<CaseRun::Span> spans = run.spans(job);
        auto failures = std::count_if(
            spans.begin(), spans.end(), [](const CaseRun::Span& span) { return span.outcome == "failed"; });
        run.record(std::to_string(failures) + " runs ended failed; max_attempts is 3");
        return state == "failed" && failures < 3 ? Verdict::Broken : Verdict::Held;
    }

} // namespace

} // namespace lentilsaddle::review

int main(int argc, char** argv)
{
    return lentilsaddle::review::runCase(argc, argv, {}, lentilsaddle::review::crashUnderJob);
}
