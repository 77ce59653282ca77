// Guards against a task that runs again after its completion, because a start request without a response reaches the
// worker after a crash, when the worker has forgotten the run and the fencing token.
#include "review/support-2/CaseRun.h"

#include <nlohmann/json.hpp>

#include <thread>

namespace lentilsaddle::review {

using nlohmann::json;
using std::chrono::milliseconds;
using Verdict = CaseRun::Verdict;

namespace {

    constexpr const char* job = "00000000000000e0";
    constexpr const char* path = "/q1/00000000000000e0";
    // Only the last of ten workers is in this rack.
    constexpr const char* rack = "r-3";
    constexpr const char* otherRack = "r-0";
    constexpr int worker = 9;
    // Other jobs in the time of the late order, which is thus one of 20 (0.05).
    constexpr int otherJobs = 19;
    constexpr milliseconds lateDelay { 5'000 };
    constexpr milliseconds downTime { 2'000 };
    constexpr milliseconds doneLimit { 5'000 };
    // Time for the end to be acknowledged to the worker.
    constexpr milliseconds acknowledgeTime { 1'000 };
    constexpr milliseconds observationTime { 10'000 };

    std::string submission(const std::string& label)
    {
        std::string payload = json { { "work_ms", 700 }, { "gpu", 1 } }.dump();
        json step { { "count", 1 }, { "cpu", 1'000 }, { "mem_mb", 512 }, { "gpu", 1 }, { "estimate_ms", 700 },
            { "required_label", label } };
        return json { { "spec", payload }, { "steps", json::array({ step }) } }.dump();
    }

    std::string otherPath(int number)
    {
        return "/q1/00000000000000" + std::to_string(10 + number);
    }

    void crashWorker(CaseRun& run)
    {
        run.record("worker 9 crashes");
        run.cluster().setWorkerProxy(worker, { soak::FaultProxyMode::Kind::Refuse });
        run.cluster().restartWorker(worker);
        std::this_thread::sleep_for(downTime);
        run.cluster().setWorkerProxy(worker, {});
        run.cluster().announceWorker(worker);
        run.record("worker 9 runs again under its id, and has written its entry of the directory");
    }

    bool acknowledged(CaseRun& run)
    {
        json journal = run.cluster().workerJournal();
        for (const json& span : journal.at("spans")) {
            if (span.at("task").get<std::string>().starts_with(job) && span.at("how") == "done")
                return span.at("acknowledged").get<bool>();
        }
        return false;
    }

    Verdict startLate(CaseRun& run)
    {
        int leader = run.leader();
        if (run.trouble()) {
            run.record("the next start request to worker 9 gets no response and arrives after 5 s");
            run.cluster().controlWorkers({ { "late_start", worker }, { "late_ms", lateDelay.count() } });
        }
        if (run.call(leader, "POST", path, submission(rack)) != 200)
            throw std::runtime_error("the job was not accepted");
        for (int number = 0; number < otherJobs; ++number)
            run.call(leader, "POST", otherPath(number), submission(otherRack));
        if (!CaseRun::waitUntil(doneLimit, [&] { return run.jobState(leader, path) == "completed"; }))
            throw std::runtime_error("the job did not complete");
        run.record("the job is shown as completed");
        std::this_thread::sleep_for(acknowledgeTime);
        bool noted = acknowledged(run);
        run.record(noted ? "its end has been acknowledged to the worker" : "its end has not been acknowledged");
        if (run.trouble())
            crashWorker(run);
        std::this_thread::sleep_for(observationTime);
        run.recordSpans(job);
        run.record("state of the job: " + run.jobState(leader, path));
        return noted && run.spans(job).size() > 1 ? Verdict::Broken : Verdict::Held;
    }

} // namespace

} // namespace lentilsaddle::review

int main(int argc, char** argv)
{
    return lentilsaddle::review::runCase(argc, argv, { .workers = 10 }, lentilsaddle::review::startLate);
}
