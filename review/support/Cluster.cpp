#include "review/support/Cluster.h"

#include "tests/process/FreePorts.h"
#include "tests/process/TemporaryFolder.h"

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <iterator>
#include <sstream>
#include <stdexcept>
#include <utility>

namespace lentilsaddle::review {

using nlohmann::json;
using std::chrono::milliseconds;
using testing_support::HttpReply;

namespace {

    // Bounds and machines of the site pavoreserva.
    constexpr milliseconds longestLease { 10'000 };
    constexpr milliseconds heartbeatInterval { 1'500 };
    constexpr milliseconds callTimeout { 3'000 };
    constexpr milliseconds startTimeout { 20'000 };
    constexpr milliseconds longestCase { 100'000 };
    constexpr milliseconds warmUpWork { 300 };
    constexpr int acceleratorsPerRunner = 8;
    constexpr int runnersPerRack = 8;
    constexpr const char* journalTopic = "keyed.lentilsaddle";
    constexpr const char* host = "review.example";
    constexpr const char* apiKey = "key-of-tenant-a";

    std::string endpoint(std::uint16_t port)
    {
        return "127.0.0.1:" + std::to_string(port);
    }

    std::vector<std::uint16_t> freePorts(int count)
    {
        std::vector<std::uint16_t> ports;
        ports.reserve(static_cast<std::size_t>(count));
        std::uint16_t first = testing_support::findFreePorts(count);
        for (int index = 0; index < count; ++index)
            ports.push_back(static_cast<std::uint16_t>(first + index));
        return ports;
    }

    void fillIn(std::string& text, const std::string& name, const std::string& value)
    {
        std::string placeholder = "{{" + name + "}}";
        for (std::size_t at = text.find(placeholder); at != std::string::npos; at = text.find(placeholder))
            text.replace(at, placeholder.size(), value);
    }

    std::string readFile(const std::string& path)
    {
        std::ifstream file(path);
        if (!file)
            throw std::runtime_error("cannot read " + path);
        return { std::istreambuf_iterator<char>(file), {} };
    }

    // Must run before any thread starts, so that only the watchdog receives the signals.
    sigset_t blockEndSignals()
    {
        sigset_t signals;
        sigemptyset(&signals);
        sigaddset(&signals, SIGTERM);
        sigaddset(&signals, SIGINT);
        pthread_sigmask(SIG_BLOCK, &signals, nullptr);
        return signals;
    }

    /// Ends the daemons and this process when a case takes too long or is terminated.
    class Watchdog {
    public:
        Watchdog(Cluster& cluster, const sigset_t& signals)
            : m_thread([this, &cluster, signals] { watch(cluster, signals); })
        {
        }

        ~Watchdog()
        {
            m_done = true;
            m_thread.join();
        }

        Watchdog(const Watchdog&) = delete;
        Watchdog& operator=(const Watchdog&) = delete;

    private:
        void watch(Cluster& cluster, const sigset_t& signals) const
        {
            auto deadline = Cluster::Clock::now() + longestCase;
            timespec interval { .tv_sec = 0, .tv_nsec = 50'000'000 };
            bool terminated = false;
            while (!m_done && !terminated && Cluster::Clock::now() < deadline)
                terminated = sigtimedwait(&signals, nullptr, &interval) > 0;
            if (m_done)
                return;
            std::cerr << (terminated ? "the case was terminated\n" : "the case took too long\n");
            cluster.endDaemons();
            std::_Exit(2);
        }

        std::atomic<bool> m_done = false;
        std::thread m_thread;
    };

} // namespace

Cluster::Cluster(Options options)
    : m_options(std::move(options))
    , m_temporaryFolder(testing_support::makeTemporaryFolder(
          (std::filesystem::temp_directory_path() / "lentilsaddle-review-").string()))
    , m_frontPorts(freePorts(m_options.daemons))
    , m_readyPorts(freePorts(m_options.daemons))
    , m_metricsPorts(freePorts(m_options.daemons))
    , m_storePorts(freePorts(m_options.daemons))
{
}

void Cluster::start()
{
    m_store = std::make_unique<Store>(m_storePorts, [this](const std::string& text) { note(text); });
    std::vector<std::uint16_t> runnerPorts = freePorts(m_options.runners);
    for (int index = 0; index < m_options.runners; ++index) {
        std::string id = std::string(index < 10 ? "r-0" : "r-") + std::to_string(index);
        m_runners.push_back(std::make_unique<Runner>(id, runnerPorts[static_cast<std::size_t>(index)], longestLease,
            [this](const std::string& text) { note(text); }));
    }
    writeConfiguration();
    m_announcer = std::thread([this] { announceRunners(); });
    std::string settingsTemplate = readFile("deploy/settings.yaml");
    for (int daemon = 0; daemon < m_options.daemons; ++daemon)
        startDaemon(daemon, settingsTemplate);
    bool ready = waitUntil(startTimeout, [this] {
        return std::all_of(m_readyPorts.begin(), m_readyPorts.end(), [](std::uint16_t port) {
            return testing_support::callHttp({ .port = port, .path = "/-/ready", .timeout = callTimeout }).status
                == 200;
        }) && leader() >= 0;
    });
    if (!ready)
        throw std::runtime_error("the daemons did not become ready");
}

Cluster::~Cluster()
{
    m_ending = true;
    if (m_announcer.joinable())
        m_announcer.join();
    m_daemons.clear();
    writeRecord();
    m_runners.clear();
    m_store.reset();
    std::error_code ignored;
    std::filesystem::remove_all(m_temporaryFolder, ignored);
}

void Cluster::startDaemon(int daemon, const std::string& settingsTemplate)
{
    auto index = static_cast<std::size_t>(daemon);
    std::string settings = settingsTemplate;
    fillIn(settings, "node", "edge-" + std::to_string(daemon));
    fillIn(settings, "zone", "zone-" + std::to_string(daemon));
    fillIn(settings, "platform.addr", endpoint(m_storePorts[index]));
    fillIn(settings, "listen.front", endpoint(m_frontPorts[index]));
    fillIn(settings, "listen.ready", endpoint(m_readyPorts[index]));
    fillIn(settings, "ip", "127.0.0.1");
    fillIn(settings, "internal_port_range.0", std::to_string(m_metricsPorts[index]));
    fillIn(settings, "bounds.max_hold_ms", std::to_string(longestLease.count()));
    fillIn(settings, "bounds.stop_grace_ms", "900");
    fillIn(settings, "bounds.gang_timeout_ms", "3000");
    fillIn(settings, "limits.cpu_share", "0.25");
    std::string path = m_temporaryFolder + "/settings-" + std::to_string(daemon) + ".yaml";
    std::ofstream(path) << settings;
    m_daemons.push_back(std::make_unique<testing_support::ChildProcess>(
        std::vector<std::string> { "target/daemon/lentilsaddled", "--settings", path },
        m_temporaryFolder + "/daemon-" + std::to_string(daemon) + ".log"));
}

void Cluster::announceRunners()
{
    std::vector<bool> listed(m_runners.size(), false);
    std::vector<Clock::time_point> lastSeen(m_runners.size(), Clock::now());
    for (int sequence = 1; !m_ending; ++sequence) {
        for (std::size_t index = 0; index < m_runners.size(); ++index) {
            const Runner& runner = *m_runners[index];
            if (!runner.up()) {
                if (listed[index] && Clock::now() - lastSeen[index] > 3 * heartbeatInterval) {
                    m_store->put("keyed.servers", runner.id(), "");
                    listed[index] = false;
                }
                continue;
            }
            json entry { { "service", "app" }, { "addr", endpoint(runner.port()) }, { "zone", "zone-0" },
                { "version", "1" }, { "slots", 8 }, { "state", "ready" }, { "cold_left_ms", 0 }, { "seq", sequence },
                { "born", runner.born() },
                { "labels", json::array({ "a", "rack-" + std::to_string(index / runnersPerRack) }) },
                { "capacity", { { "cpu", 32'000 }, { "mem_mb", 65'536 }, { "gpu", acceleratorsPerRunner } } } };
            m_store->put("keyed.servers", runner.id(), entry.dump());
            listed[index] = true;
            lastSeen[index] = Clock::now();
        }
        waitUntil(heartbeatInterval, [this] { return m_ending.load(); });
    }
}

void Cluster::writeConfiguration()
{
    auto route = [](const std::string& name, int priority) {
        json document { { "name", name }, { "host", host }, { "path_prefix", '/' + name + '/' }, { "service", "app" },
            { "max_attempts", 3 }, { "stretch", 3.0 }, { "target_runtime_ms", 2'000 } };
        if (priority > 0)
            document["priority"] = priority;
        return document;
    };
    json tenant { { "name", "tenant-a" }, { "api_keys", json::array({ apiKey }) } };
    json document { { "version", 3 }, { "routes", json::array({ route(urgentQueue, 0), route(defaultQueue, 1) }) },
        { "services", json::array({ { { "name", "app" } } }) }, { "tenants", json::array({ tenant }) },
        { "limits", json::object() } };
    m_store->put("keyed.op", "config", document.dump());
}

int Cluster::leader() const
{
    json record = json::parse(m_store->newestValue(journalTopic, "leader"), nullptr, false);
    if (!record.is_array() || record.size() < 3 || !record[2].is_string())
        return -1;
    for (int daemon = 0; daemon < m_options.daemons; ++daemon) {
        if (record[2] == "edge-" + std::to_string(daemon))
            return daemon;
    }
    return -1;
}

HttpReply Cluster::call(
    int daemon, const std::string& method, const std::string& job, const std::string& body, const std::string& queue)
{
    std::string path = '/' + queue + '/' + job;
    Clock::time_point sent = Clock::now();
    HttpReply reply = testing_support::callHttp({
        .method = method,
        .port = m_frontPorts.at(static_cast<std::size_t>(daemon)),
        .path = path,
        .headers = { { "Host", host }, { "Credential", apiKey }, { "Content-Type", "application/json" },
            { "Deadline-Ms", std::to_string(callTimeout.count()) } },
        .body = body,
        .timeout = callTimeout,
    });
    note("client: sent at " + timeText(sent) + " to edge-" + std::to_string(daemon) + ": " + method + " " + path
        + " -> " + std::to_string(reply.status) + " " + reply.body + reply.error);
    return reply;
}

HttpReply Cluster::submit(
    int daemon, const std::string& job, const std::vector<JobStep>& steps, const std::string& queue)
{
    json spec { { "work_ms", steps.front().work.count() } };
    if (steps.front().gang)
        spec["gang"] = steps.front().count;
    json list = json::array();
    for (const JobStep& step : steps) {
        json entry { { "count", step.count }, { "cpu", 1'000 }, { "mem_mb", 1'024 }, { "gpu", step.accelerators },
            { "estimate_ms", step.work.count() } };
        if (step.gang)
            entry["gang"] = true;
        if (!step.after.empty())
            entry["after"] = step.after;
        list.push_back(std::move(entry));
    }
    return call(daemon, "POST", job, json { { "spec", spec.dump() }, { "steps", std::move(list) } }.dump(), queue);
}

std::string Cluster::state(int daemon, const std::string& job)
{
    HttpReply reply = call(daemon, "GET", job);
    return reply.status == 200 ? reply.json().value("state", "") : std::to_string(reply.status);
}

void Cluster::warmUp()
{
    const std::string job = "00000000000000aa";
    JobStep step { .count = m_options.runners, .accelerators = acceleratorsPerRunner, .work = warmUpWork };
    if (submit(0, job, { step }).status != 200)
        throw std::runtime_error("the first job was not accepted");
    if (!waitUntil(startTimeout, [&] { return state(0, job) == "completed"; }))
        throw std::runtime_error("the first job was not completed");
}

std::vector<std::pair<int, Runner::Run>> Cluster::runsOf(const std::string& job) const
{
    std::vector<std::pair<int, Runner::Run>> runs;
    for (int index = 0; index < m_options.runners; ++index) {
        for (Runner::Run& run : m_runners[static_cast<std::size_t>(index)]->runs()) {
            if (run.task.starts_with(job))
                runs.emplace_back(index, std::move(run));
        }
    }
    std::sort(runs.begin(), runs.end(), [](const auto& a, const auto& b) { return a.second.begin < b.second.begin; });
    return runs;
}

bool Cluster::waitUntil(milliseconds limit, const std::function<bool()>& condition)
{
    Clock::time_point deadline = Clock::now() + limit;
    while (!condition()) {
        if (Clock::now() >= deadline)
            return false;
        std::this_thread::sleep_for(milliseconds(10));
    }
    return true;
}

std::string Cluster::timeText(Clock::time_point time) const
{
    return std::to_string(std::chrono::duration_cast<milliseconds>(time - m_begin).count()) + " ms";
}

void Cluster::endDaemons()
{
    for (const auto& daemon : m_daemons)
        daemon->kill();
}

void Cluster::note(const std::string& text)
{
    std::lock_guard lock(m_recordMutex);
    m_record.push_back(timeText(Clock::now()) + " " + text);
}

void Cluster::writeRecord()
{
    std::ofstream file(m_options.recordPath);
    for (const std::string& line : m_record)
        file << line << '\n';
    file << "runs on the runners:\n";
    for (const auto& [runner, run] : runsOf("")) {
        file << "r-" << runner << ": " << run.task << " run " << run.number << " from " << timeText(run.begin) << " to "
             << (run.end ? timeText(*run.end) + ", " + run.outcome : "the end of the case")
             << (run.endListed ? ", listed at " + timeText(*run.endListed) : "") << '\n';
    }
}

int runCase(
    int argc, char** argv, int runners, const std::function<bool(Cluster& cluster, bool trouble)>& body) noexcept
{
    try {
        if (argc != 2) {
            std::cerr << "usage: " << argv[0] << " RECORD\n";
            return 2;
        }
        const char* setting = std::getenv("TROUBLE");
        bool trouble = !setting || std::string(setting) != "0";
        sigset_t signals = blockEndSignals();
        Cluster cluster({ .recordPath = argv[1], .runners = runners });
        Watchdog watchdog(cluster, signals);
        cluster.start();
        bool held = body(cluster, trouble);
        cluster.note(held ? "the rule held" : "the rule was broken");
        std::cout << (held ? "the rule held\n" : "the rule was broken\n");
        return held ? 0 : 1;
    } catch (const std::exception& error) {
        std::cerr << "the case could not run: " << error.what() << '\n';
        return 2;
    }
}

} // namespace lentilsaddle::review
