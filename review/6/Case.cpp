// Guards against a cancellation that is answered with "no such job" although the job was accepted, and runs on.
#include "review/support-2/CaseRun.h"

#include <nlohmann/json.hpp>

#include <thread>

namespace lentilsaddle::review {

using nlohmann::json;
using std::chrono::milliseconds;
using Verdict = CaseRun::Verdict;

namespace {

    constexpr const char* job = "00000000000000a6";
    constexpr const char* path = "/q1/00000000000000a6";
    constexpr int occurrences = 10;
    constexpr milliseconds interval { 2'500 };
    // Longest cut of a single machine from the store that the site names.
    constexpr milliseconds cutDuration { 5'500 };
    // ack_ms and cancel_ms of the site.
    constexpr std::int64_t acknowledgeMs = 4'000;
    constexpr std::int64_t cancelMs = 3'000;

    std::string submission()
    {
        auto wall = std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch());
        std::string payload = json { { "work_ms", 300 }, { "gpu", 1 } }.dump();
        json step { { "count", 1 }, { "cpu", 1'000 }, { "mem_mb", 512 }, { "gpu", 1 }, { "estimate_ms", 300 } };
        return json {
            { "spec", payload }, { "steps", json::array({ step }) }, { "repeats", occurrences },
            { "first_ms", wall.count() + 1'000 }, { "interval_ms", interval.count() }
        }.dump();
    }

    Verdict cancelDuringCut(CaseRun& run)
    {
        int leader = run.leader();
        int cutDaemon = (leader + 1) % run.cluster().options().daemons;
        if (run.trouble()) {
            run.record("daemon " + std::to_string(cutDaemon) + " is cut off from the store");
            run.cluster().setStoreProxy(cutDaemon, { soak::FaultProxyMode::Kind::Stall });
        }
        std::int64_t cutBegin = run.now();
        std::this_thread::sleep_for(milliseconds(50));
        if (run.call(leader, "POST", path, submission()) != 200)
            throw std::runtime_error("the job was not accepted");
        std::this_thread::sleep_for(milliseconds(50));
        int status = run.call(cutDaemon, "DELETE", path);
        std::int64_t answered = run.now();
        bool acknowledged = status == 200 || status == 410;
        while (run.now() < cutBegin + cutDuration.count())
            std::this_thread::sleep_for(milliseconds(10));
        run.cluster().setStoreProxy(cutDaemon, {});
        run.record("the store can be reached from all daemons");
        std::this_thread::sleep_for(interval * (occurrences - 1));
        run.recordSpans(job);
        run.record("state of the job: " + run.jobState(leader, path));
        int late = 0;
        for (const CaseRun::Span& span : run.spans(job))
            late += span.begin > answered + acknowledgeMs + cancelMs ? 1 : 0;
        run.record(std::to_string(late) + " starts later than ack_ms + cancel_ms after the answer "
            + std::to_string(status) + " to the cancellation");
        return acknowledged && late > 0 ? Verdict::Broken : Verdict::Held;
    }

} // namespace

} // namespace lentilsaddle::review

int main(int argc, char** argv)
{
    return lentilsaddle::review::runCase(argc, argv, {}, lentilsaddle::review::cancelDuringCut);
}
