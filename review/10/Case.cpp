// Guards against a configuration that comes into force late, because the instance tries the idle connections to the
// store that have gone silent one after the other.
#include "review/support-2/CaseRun.h"

#include "review/support-2/SilencingProxy.h"
#include "tests/process/BlockingHttp.h"
#include "tests/process/ChildProcess.h"
#include "tests/process/FreePorts.h"

#include <nlohmann/json.hpp>

#include <fstream>
#include <future>
#include <iterator>
#include <regex>
#include <thread>

namespace lentilsaddle::review {

using nlohmann::json;
using std::chrono::milliseconds;
using testing_support::callHttp;
using testing_support::HttpReply;
using Verdict = CaseRun::Verdict;

namespace {

    // The usual time of an answer of the store.
    constexpr int answerMs = 4;
    constexpr int submissions = 16;
    // Share of the connections that go silent.
    constexpr int silentPercentage = 100;
    // contact_ms and config_ms of the site.
    constexpr milliseconds contactTime { 3'000 };
    constexpr std::int64_t configMs = 2'000;
    constexpr milliseconds readyLimit { 15'000 };
    constexpr milliseconds observationTime { 12'000 };
    constexpr milliseconds callTimeout { 3'000 };

    /// A daemon beside those of the cluster, which reaches the store through a proxy of its own.
    struct ExtraDaemon {
        std::uint16_t frontPort = 0;
        std::uint16_t readyPort = 0;
        std::unique_ptr<SilencingProxy> storeProxy;
        std::unique_ptr<testing_support::ChildProcess> process;
    };

    ExtraDaemon startExtraDaemon(CaseRun& run)
    {
        std::ifstream file(run.folder() + "/e-0.yaml");
        std::string settings { std::istreambuf_iterator<char>(file), {} };
        std::smatch match;
        if (!std::regex_search(settings, match, std::regex("url: http://127.0.0.1:([0-9]+)")))
            throw std::runtime_error("the settings name no store");
        ExtraDaemon daemon { .frontPort = testing_support::findFreePorts(1),
            .readyPort = testing_support::findFreePorts(1),
            .storeProxy = std::make_unique<SilencingProxy>(static_cast<std::uint16_t>(std::stoi(match[1].str()))) };
        auto endpoint = [](std::uint16_t port) { return "127.0.0.1:" + std::to_string(port); };
        settings = std::regex_replace(settings, std::regex("instance: e-0"), "instance: e-9");
        settings
            = std::regex_replace(settings, std::regex("url: .*"), "url: http://" + endpoint(daemon.storeProxy->port()));
        settings = std::regex_replace(settings, std::regex("front: .*"), "front: " + endpoint(daemon.frontPort));
        settings = std::regex_replace(settings, std::regex("ready: .*"), "ready: " + endpoint(daemon.readyPort));
        std::string path = run.folder() + "/e-9.yaml";
        std::ofstream(path) << settings;
        daemon.process = std::make_unique<testing_support::ChildProcess>(
            std::vector<std::string> { CaseRun::daemonPath(), "--settings", path }, run.folder() + "/e-9.log");
        bool ready = CaseRun::waitUntil(readyLimit, [&] {
            return callHttp({ .port = daemon.readyPort, .path = "/-/ready", .timeout = callTimeout }).status == 200;
        });
        if (!ready)
            throw std::runtime_error("the further daemon did not become ready");
        return daemon;
    }

    HttpReply call(
        const ExtraDaemon& daemon, const std::string& method, const std::string& path, const std::string& body = "")
    {
        return callHttp({ .method = method,
            .port = daemon.frontPort,
            .path = path,
            .headers = { { "Host", "soak.example" }, { "Credential", "key" }, { "Content-Type", "application/json" } },
            .body = body,
            .timeout = callTimeout });
    }

    std::string submission()
    {
        std::string payload = json { { "work_ms", 100 }, { "gpu", 1 } }.dump();
        json step { { "count", 1 }, { "cpu", 1'000 }, { "mem_mb", 512 }, { "gpu", 1 }, { "estimate_ms", 100 } };
        return json { { "spec", payload }, { "steps", json::array({ step }) } }.dump();
    }

    void submitTogether(CaseRun& run, const ExtraDaemon& daemon)
    {
        std::vector<std::future<HttpReply>> replies;
        replies.reserve(submissions);
        for (int number = 0; number < submissions; ++number)
            replies.push_back(std::async(std::launch::async, [&daemon, number] {
                return call(daemon, "POST", "/q1/00000000000000" + std::to_string(10 + number), submission());
            }));
        int accepted = 0;
        for (auto& reply : replies)
            accepted += reply.get().status == 200 ? 1 : 0;
        run.record(std::to_string(accepted) + " of " + std::to_string(submissions)
            + " jobs submitted together at the daemon were accepted; it has "
            + std::to_string(daemon.storeProxy->openConnections()) + " connections to the store");
    }

    Verdict configureAfterSilence(CaseRun& run)
    {
        run.cluster().controlStore({ { "begin", "usual" }, { "delay_ms", answerMs } });
        ExtraDaemon daemon = startExtraDaemon(run);
        submitTogether(run, daemon);
        std::this_thread::sleep_for(milliseconds(500));
        if (run.trouble()) {
            run.record("the daemon's open connections to the store go silent, new ones work");
            daemon.storeProxy->silence(silentPercentage);
        }
        std::this_thread::sleep_for(contactTime + milliseconds(100));
        run.cluster().writeConfiguration(2);
        std::int64_t acknowledged = run.now();
        run.record("version 2, which adds the queue v2, is acknowledged");
        std::int64_t lastRefusal = -1;
        int previous = 0;
        while (run.now() < acknowledged + observationTime.count()) {
            std::int64_t sent = run.now();
            int status = call(daemon, "GET", "/v2/").status;
            if (status != previous)
                run.record("GET /v2/ sent " + std::to_string(sent - acknowledged)
                    + " ms after the ack: " + std::to_string(status));
            previous = status;
            if (status == 404)
                lastRefusal = sent - acknowledged;
            std::this_thread::sleep_for(milliseconds(20));
        }
        run.record("last answer 404 to a request sent " + std::to_string(lastRefusal) + " ms after the ack");
        return lastRefusal > configMs ? Verdict::Broken : Verdict::Held;
    }

} // namespace

} // namespace lentilsaddle::review

int main(int argc, char** argv)
{
    return lentilsaddle::review::runCase(argc, argv, {}, lentilsaddle::review::configureAfterSilence);
}
