#include "tests/soak/SoakRun.h"

#include "tests/soak/SoakChecks.h"
#include "tests/soak/SoakClient.h"
#include "tests/soak/SoakCluster.h"
#include "tests/soak/SoakFaults.h"

#include <memory>
#include <numeric>
#include <thread>
#include <utility>

namespace lentilsaddle::soak {

using std::chrono::milliseconds;
using std::chrono::steady_clock;
using testing_support::HttpReply;
using testing_support::HttpSession;

namespace {

    // The slowest path without a fault: a lease expires, leadership fails over, and the backlog of the soak run is
    // worked off.
    constexpr milliseconds settleTimeout { 40'000 };
    constexpr milliseconds pollInterval { 200 };
    constexpr milliseconds queryTimeout { 2'000 };
    // Time for cancellations and run-end reports that are in flight when the last job is reported as ended.
    constexpr milliseconds drainDelay { 1'500 };
    // Time in which a confirmed configuration must be in force everywhere.
    constexpr milliseconds configurationLimit { 3'000 };
    // Above all versions that SoakFaults writes.
    constexpr int largeConfigurationVersion = 1'000'000;
    // The version takes about a second over the slow link.
    constexpr int largeConfigurationQueues = 6'000;
    constexpr FaultProxyMode slowLink { .kind = FaultProxyMode::Kind::Throttle, .bytesPerSecond = 1'250'000 };

    HttpReply queryJob(HttpSession& session, std::uint16_t port, const SoakJob& job)
    {
        return session.call({ .port = port,
            .path = "/" + job.queue + "/" + job.id,
            .headers = { { "Host", "soak.example" }, { "Credential", "key" } },
            .timeout = queryTimeout });
    }

    bool hasEnded(const HttpReply& reply)
    {
        if (reply.status != 200)
            return false;
        std::string state = reply.json().value("state", "");
        return state == "completed" || state == "failed" || state == "cancelled";
    }

    void waitUntilEnded(const std::vector<SoakJob>& jobs, const SoakCluster& cluster, SoakResult& result)
    {
        HttpSession session;
        auto deadline = steady_clock::now() + settleTimeout;
        for (const SoakJob& job : jobs) {
            for (int daemon = 0; job.accepted && daemon < cluster.options().daemons; ++daemon) {
                HttpReply reply = queryJob(session, cluster.frontPort(daemon), job);
                while (!hasEnded(reply) && steady_clock::now() < deadline) {
                    std::this_thread::sleep_for(pollInterval);
                    reply = queryJob(session, cluster.frontPort(daemon), job);
                }
                if (!hasEnded(reply))
                    result.violations.push_back("job " + job.id + " has not ended at daemon " + std::to_string(daemon)
                        + ": status " + std::to_string(reply.status) + " " + reply.body + reply.error);
            }
        }
    }

    // Writes a large configuration while the daemons reach the store over slow links.
    void checkLargeConfiguration(SoakCluster& cluster, SoakResult& result)
    {
        HttpSession session;
        for (int daemon = 0; daemon < cluster.options().daemons; ++daemon)
            cluster.setStoreProxy(daemon, slowLink);
        cluster.writeConfiguration(largeConfigurationVersion, largeConfigurationQueues);
        auto written = steady_clock::now();
        auto isServed = [&](int daemon) {
            HttpReply reply = session.call({ .port = cluster.frontPort(daemon),
                .path = "/v" + std::to_string(largeConfigurationVersion) + "/",
                .headers = { { "Host", "soak.example" }, { "Credential", "key" } },
                .timeout = queryTimeout });
            return reply.status == 200 && steady_clock::now() - written < configurationLimit;
        };
        // In turns, so that one daemon's response does not delay the check of another.
        std::vector<int> missing(static_cast<std::size_t>(cluster.options().daemons));
        std::iota(missing.begin(), missing.end(), 0);
        while (!missing.empty() && steady_clock::now() - written < configurationLimit) {
            std::erase_if(missing, isServed);
            std::this_thread::sleep_for(milliseconds(20));
        }
        for (int daemon : missing)
            result.violations.push_back("daemon " + std::to_string(daemon) + " does not serve a large configuration "
                + std::to_string(configurationLimit.count()) + " ms after it was written");
        for (int daemon = 0; daemon < cluster.options().daemons; ++daemon)
            cluster.setStoreProxy(daemon, {});
    }

} // namespace

SoakResult runSoak(const SoakOptions& options)
{
    SoakResult result;
    SoakCluster cluster({
        .folder = options.folder,
        .daemonProgram = options.daemonProgram,
        .daemons = options.daemons,
        .workers = options.workers,
        .seed = options.seed,
    });
    if (!cluster.waitUntilReady()) {
        result.violations.emplace_back("the daemons did not become ready");
        return result;
    }
    std::vector<std::uint16_t> ports;
    ports.reserve(static_cast<std::size_t>(options.daemons));
    for (int daemon = 0; daemon < options.daemons; ++daemon)
        ports.push_back(cluster.frontPort(daemon));
    std::vector<std::unique_ptr<SoakClient>> clients;
    clients.reserve(static_cast<std::size_t>(options.clients));
    for (int client = 0; client < options.clients; ++client)
        clients.push_back(std::make_unique<SoakClient>(SoakClient::Options {
            .ports = ports,
            .seed = options.seed * 1'000 + static_cast<std::uint64_t>(client),
        }));
    SoakFaults faults(cluster, options.seed);
    faults.run(options.duration);
    cluster.clearFaults();
    if (!cluster.waitUntilReady())
        result.violations.emplace_back("the daemons did not become ready after the faults had ended");
    std::vector<SoakJob> jobs;
    for (auto& client : clients) {
        std::vector<SoakJob> submitted = client->stopSubmitting();
        jobs.insert(jobs.end(), submitted.begin(), submitted.end());
    }
    waitUntilEnded(jobs, cluster, result);
    std::this_thread::sleep_for(drainDelay);
    checkLargeConfiguration(cluster, result);
    nlohmann::json workerJournal = cluster.workerJournal();
    std::vector<std::string> violations = checkGuarantees(jobs, workerJournal, cluster.recordHistory("leader"));
    result.violations.insert(result.violations.end(), violations.begin(), violations.end());
    violations = checkEvacuations(
        {
            .evacuations = cluster.evacuations(),
            .disturbances = cluster.disturbances(),
            .dataCentreOf
            = [](const std::string& worker) { return SoakCluster::dataCentreOf(std::stoi(worker.substr(2))); },
            .limit = SoakCluster::evacuationLimit,
        },
        workerJournal);
    result.violations.insert(result.violations.end(), violations.begin(), violations.end());
    result.faults = faults.history();
    result.jobs = jobs.size();
    for (const SoakJob& job : jobs)
        result.accepted += job.accepted ? 1 : 0;
    return result;
}

} // namespace lentilsaddle::soak
