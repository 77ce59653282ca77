// Guards against a worker that gets no work any more after the job that probes it was cancelled while its claim was
// being stored.
#include "review/support-2/CaseRun.h"

#include <nlohmann/json.hpp>

#include <thread>

namespace lentilsaddle::review {

using nlohmann::json;
using std::chrono::milliseconds;
using Verdict = CaseRun::Verdict;

namespace {

    constexpr int workers = 13;
    // Only the last worker is in this rack.
    constexpr const char* probedRack = "r-4";
    constexpr const char* otherRack = "r-0";
    constexpr int worker = workers - 1;
    constexpr int failures = 3;
    // Time after which the leader tries a worker again on which three jobs have failed.
    constexpr milliseconds quarantine { 8'000 };
    // The usual time of an answer of the store.
    constexpr int answerMs = 4;
    // Below the longest time (5.5 s) and at the largest share of cancellations that the site names.
    constexpr milliseconds cancellationDuration { 5'400 };
    constexpr int jobsForEachCancellation = 4;
    // Cancellations follow the acceptance within this time.
    constexpr int maximumCancelDelayMs = 8;
    constexpr int maximumCancellations = 200;
    constexpr int firstOtherJob = 900;
    constexpr int lastJob = 999;
    constexpr milliseconds waitLimit { 10'000 };
    constexpr milliseconds pause { 4'000 };
    // Time that the last job is given, after the disruptions.
    constexpr milliseconds runLimit { 20'000 };

    std::string jobPath(int number)
    {
        return "/q1/000000000000d" + std::to_string(1'000 + number).substr(1);
    }

    std::string submission(int workMs, const std::string& rack)
    {
        std::string payload = json { { "work_ms", workMs }, { "gpu", 1 } }.dump();
        json step { { "count", 1 }, { "cpu", 1'000 }, { "mem_mb", 512 }, { "gpu", 1 }, { "estimate_ms", workMs },
            { "required_label", rack } };
        return json { { "spec", payload }, { "steps", json::array({ step }) } }.dump();
    }

    bool ended(CaseRun& run, int number)
    {
        std::vector<CaseRun::Span> spans = run.spans(jobPath(number).substr(4));
        return !spans.empty() && spans.front().end;
    }

    void startOnWorker(CaseRun& run, int leader)
    {
        if (run.trouble()) {
            run.record("worker 12 fails all that it starts");
            run.cluster().controlWorkers({ { "failing", { worker } } });
        }
        for (int number = 0; number < failures; ++number)
            run.call(leader, "POST", jobPath(number), submission(1'000, probedRack));
        // Jobs that are not cancelled, three for each that is.
        for (int other = 0; other < failures * (jobsForEachCancellation - 1); ++other)
            run.call(leader, "POST", jobPath(firstOtherJob + other), submission(50, otherRack));
        CaseRun::waitUntil(waitLimit, [&] { return ended(run, 0) && ended(run, 1) && ended(run, 2); });
        run.cluster().controlWorkers({ { "failing", json::array() } });
        run.record("worker 12 is sound from now on");
        for (int number = 0; number < failures; ++number)
            run.call(leader, "DELETE", jobPath(number));
    }

    void cancelQuarterOfJobs(CaseRun& run, int leader)
    {
        std::int64_t end = run.now() + cancellationDuration.count();
        int number = failures;
        for (int count = 0; count < maximumCancellations && run.now() < end; ++count) {
            for (int other = 1; other < jobsForEachCancellation; ++other)
                run.call(leader, "POST", jobPath(number++), submission(50, otherRack));
            if (run.call(leader, "POST", jobPath(number), submission(20'000, probedRack)) == 200) {
                std::this_thread::sleep_for(milliseconds(count % (maximumCancelDelayMs + 1)));
                run.call(leader, "DELETE", jobPath(number));
            }
            ++number;
        }
    }

    Verdict cancelProbe(CaseRun& run)
    {
        int leader = run.leader();
        run.cluster().controlStore({ { "begin", "usual" }, { "delay_ms", answerMs } });
        startOnWorker(run, leader);
        std::this_thread::sleep_for(quarantine);
        cancelQuarterOfJobs(run, leader);
        std::this_thread::sleep_for(pause);
        run.call(leader, "POST", jobPath(lastJob), submission(500, probedRack));
        bool completed
            = CaseRun::waitUntil(runLimit, [&] { return run.jobState(leader, jobPath(lastJob)) == "completed"; });
        run.recordSpans("000000000000d");
        run.record("state of the last job: " + run.jobState(leader, jobPath(lastJob)));
        return completed ? Verdict::Held : Verdict::Broken;
    }

} // namespace

} // namespace lentilsaddle::review

int main(int argc, char** argv)
{
    return lentilsaddle::review::runCase(argc, argv, { .workers = 13 }, lentilsaddle::review::cancelProbe);
}
