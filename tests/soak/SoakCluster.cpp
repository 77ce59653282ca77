#include "tests/soak/SoakCluster.h"

#include "tests/process/BlockingHttp.h"
#include "tests/process/FreePorts.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <stdexcept>
#include <thread>
#include <utility>

namespace lentilsaddle::soak {

using nlohmann::json;
using std::chrono::milliseconds;
using testing_support::callHttp;
using testing_support::ChildProcess;
using testing_support::HttpReply;

namespace {

    constexpr milliseconds startTimeout { 15'000 };
    // Above the shutdown limit of the daemons' settings.
    constexpr milliseconds stopTimeout { 10'000 };
    constexpr milliseconds controlTimeout { 5'000 };

    std::uint16_t portAt(std::uint16_t first, int index)
    {
        return static_cast<std::uint16_t>(first + index);
    }

    HttpReply post(std::uint16_t port, const std::string& path, const std::string& body)
    {
        HttpReply reply
            = callHttp({ .method = "POST", .port = port, .path = path, .body = body, .timeout = controlTimeout });
        if (reply.status != 200)
            throw std::runtime_error("stand-in rejected POST " + path + ": " + reply.error + reply.body);
        return reply;
    }

} // namespace

SoakCluster::SoakCluster(Options options)
    : m_options(std::move(options))
    , m_accelerators(static_cast<std::size_t>(m_options.workers), m_options.accelerators)
    , m_listed(static_cast<std::size_t>(m_options.workers), false)
    , m_storePort(testing_support::findFreePorts(m_options.daemons))
    , m_firstWorkerPort(testing_support::findFreePorts(m_options.workers))
    , m_firstFrontPort(testing_support::findFreePorts(m_options.daemons))
    , m_firstReadyPort(testing_support::findFreePorts(m_options.daemons))
    , m_firstMetricsPort(testing_support::findFreePorts(m_options.daemons))
    , m_firstStoreProxyPort(testing_support::findFreePorts(m_options.daemons))
    , m_firstWorkerProxyPort(testing_support::findFreePorts(m_options.workers))
    , m_daemons(static_cast<std::size_t>(m_options.daemons))
{
    std::filesystem::create_directories(m_options.folder);
    std::string seed = "--seed=" + std::to_string(m_options.seed);
    launch(m_store, "tests/standin/standin_store",
        { "--port=" + std::to_string(m_storePort), "--ports=" + std::to_string(m_options.daemons), seed }, "store.log");
    launch(m_workerProcess, "tests/standin/standin_batch_runner",
        { "--port=" + std::to_string(m_firstWorkerPort), "--workers=" + std::to_string(m_options.workers),
            "--accelerators=" + std::to_string(m_options.accelerators), seed },
        "workers.log");
    if (!pollUntilOk(m_storePort, "/history?topic=x&key=y") || !pollUntilOk(m_firstWorkerPort, "/journal"))
        throw std::runtime_error("the store or worker stand-in did not become ready");
    for (int worker = 0; worker < m_options.workers; ++worker) {
        m_workerProxies.push_back(
            std::make_unique<FaultProxy>(portAt(m_firstWorkerProxyPort, worker), portAt(m_firstWorkerPort, worker)));
        m_workerProxies.back()->start();
        announceWorker(worker);
    }
    writeConfiguration(1);
    for (int daemon = 0; daemon < m_options.daemons; ++daemon) {
        m_storeProxies.push_back(
            std::make_unique<FaultProxy>(portAt(m_firstStoreProxyPort, daemon), portAt(m_storePort, daemon)));
        m_storeProxies.back()->start();
        startDaemon(daemon);
    }
}

SoakCluster::~SoakCluster() = default;

void SoakCluster::launch(std::unique_ptr<ChildProcess>& process, const std::string& program,
    std::vector<std::string> arguments, const std::string& logFile)
{
    arguments.insert(arguments.begin(), (std::filesystem::path(BUILD_DIRECTORY) / program).string());
    process = std::make_unique<ChildProcess>(arguments, m_options.folder + "/" + logFile);
}

std::string SoakCluster::settingsYaml(int daemon) const
{
    auto endpoint = [](std::uint16_t port) { return "127.0.0.1:" + std::to_string(port); };
    std::string text = "instance: e-" + std::to_string(daemon) + "\ndata_centre: dc-0\nplatform:\n  url: http://"
        + endpoint(portAt(m_firstStoreProxyPort, daemon)) + "\nbatch:\n  front: " + endpoint(frontPort(daemon))
        + "\n  ready: " + endpoint(readyPort(daemon)) + "\n  metrics: " + endpoint(metricsPort(daemon))
        + "\n  memory_mb: " + std::to_string(m_options.memoryMegabytes);
    return text
        + "\n  worker_lease_limit_ms: 6000\n  stop_grace_ms: 100\n  gang_timeout_ms: 3000\n  evacuation_limit_ms: "
        + std::to_string(evacuationLimit.count())
        + "\nshutdown:\n  notice_ms: "
          "300\n"
          "  limit_s: 3\n";
}

void SoakCluster::startDaemon(int daemon)
{
    std::string name = "e-" + std::to_string(daemon);
    std::string path = m_options.folder + "/" + name + ".yaml";
    std::ofstream(path) << settingsYaml(daemon);
    std::string program = m_options.daemonProgram.empty() ? "daemon/lentilsaddled" : m_options.daemonProgram;
    launch(m_daemons.at(static_cast<std::size_t>(daemon)), program, { "--settings", path }, name + ".log");
}

bool SoakCluster::pollUntilOk(std::uint16_t port, const std::string& path) const
{
    auto deadline = std::chrono::steady_clock::now() + startTimeout;
    while (std::chrono::steady_clock::now() < deadline) {
        if (callHttp({ .port = port, .path = path, .timeout = controlTimeout }).status == 200)
            return true;
        std::this_thread::sleep_for(milliseconds(20));
    }
    return false;
}

bool SoakCluster::waitUntilReady() const
{
    for (int daemon = 0; daemon < m_options.daemons; ++daemon) {
        if (!pollUntilOk(portAt(m_firstReadyPort, daemon), "/-/ready"))
            return false;
    }
    return true;
}

void SoakCluster::controlStore(const json& faults) const
{
    post(m_storePort, "/control", faults.dump());
}

void SoakCluster::controlWorkers(const json& faults) const
{
    post(m_firstWorkerPort, "/control", faults.dump());
}

void SoakCluster::setWorkerRequestFaults(int worker, double refusedShare, double cutShare) const
{
    controlWorkers({ { "unhealthy", json::array({ worker, refusedShare, cutShare }) } });
}

void SoakCluster::setStoreProxy(int daemon, FaultProxyMode mode)
{
    m_storeProxies.at(static_cast<std::size_t>(daemon))->post(mode);
}

void SoakCluster::setWorkerProxy(int worker, FaultProxyMode mode)
{
    std::string name = "w-" + std::to_string(worker);
    for (SoakDisturbance& disturbance : m_disturbances) {
        if (disturbance.worker == name)
            disturbance.end = std::min(disturbance.end, std::chrono::steady_clock::now());
    }
    if (mode.kind != FaultProxyMode::Kind::Pass)
        m_disturbances.push_back({ .worker = name, .begin = std::chrono::steady_clock::now() });
    m_workerProxies.at(static_cast<std::size_t>(worker))->post(mode);
}

void SoakCluster::setAccelerators(int worker, int accelerators)
{
    auto index = static_cast<std::size_t>(worker);
    controlWorkers({ { "accelerators", json::array({ worker, accelerators }) } });
    m_accelerators.at(index) = accelerators;
    if (m_listed.at(index))
        announceWorker(worker);
}

void SoakCluster::restartWorker(int worker) const
{
    post(m_firstWorkerPort, "/control", json { { "restart", worker } }.dump());
}

void SoakCluster::putRecord(const std::string& topic, const std::string& key, const std::string& value) const
{
    post(m_storePort, "/put?topic=" + topic + "&key=" + key, value);
}

void SoakCluster::announceWorker(int worker)
{
    auto index = static_cast<std::size_t>(worker);
    json incarnation = workerJournal().at("runners").at(index).at("born");
    json entry { { "service", "s" }, { "addr", "127.0.0.1:" + std::to_string(portAt(m_firstWorkerProxyPort, worker)) },
        { "zone", dataCentreOf(worker) }, { "state", "ready" }, { "seq", 1 }, { "born", incarnation },
        { "labels", json::array({ "a", "r-" + std::to_string(worker / workersPerRack) }) },
        { "capacity", { { "cpu", 32'000 }, { "mem_mb", 65'536 }, { "gpu", m_accelerators.at(index) } } } };
    putRecord("keyed.servers", "w-" + std::to_string(worker), entry.dump());
    m_listed.at(index) = true;
}

void SoakCluster::removeWorker(int worker)
{
    m_listed.at(static_cast<std::size_t>(worker)) = false;
    putRecord("keyed.servers", "w-" + std::to_string(worker), "");
}

void SoakCluster::requestEvacuation(const std::string& dataCentre)
{
    bool evacuated = std::any_of(m_evacuations.begin(), m_evacuations.end(), [&](const SoakEvacuation& evacuation) {
        return evacuation.dataCentre == dataCentre && evacuation.ended == std::chrono::steady_clock::time_point::max();
    });
    if (evacuated)
        return;
    putRecord("keyed.op", "evacuate/" + dataCentre, "{}");
    m_evacuations.push_back({ .dataCentre = dataCentre, .acknowledged = std::chrono::steady_clock::now() });
}

void SoakCluster::endEvacuation(const std::string& dataCentre)
{
    for (SoakEvacuation& evacuation : m_evacuations) {
        if (evacuation.dataCentre == dataCentre)
            evacuation.ended = std::min(evacuation.ended, std::chrono::steady_clock::now());
    }
    putRecord("keyed.op", "evacuate/" + dataCentre, "");
}

void SoakCluster::writeConfiguration(int version, int unusedQueues) const
{
    auto queue = [](const std::string& name, int priority) {
        return json { { "name", name }, { "host", "soak.example" }, { "path_prefix", "/" + name + "/" },
            { "service", "s" }, { "priority", priority }, { "max_attempts", 3 }, { "stretch", 3.0 },
            { "target_runtime_ms", 2'000 }, { "public", true } };
    };
    json document { { "version", version },
        { "routes", json::array({ queue("q0", 0), queue("q1", 1), queue("v" + std::to_string(version), 2) }) },
        { "services", json::array({ { { "name", "s" } } }) },
        { "tenants", json::array({ { { "name", "t" }, { "api_keys", json::array({ "key" }) } } }) } };
    for (int index = 0; index < unusedQueues; ++index)
        document["routes"].push_back(queue("unused" + std::to_string(index), 2));
    putRecord("keyed.op", "config", document.dump());
}

void SoakCluster::clearFaults()
{
    controlStore(json::object());
    controlWorkers({ { "late", 0.0 } });
    for (auto& proxy : m_storeProxies)
        proxy->post({});
    for (int worker = 0; worker < m_options.workers; ++worker)
        setWorkerProxy(worker, {});
    for (int dataCentre = 0; dataCentre < dataCentres(); ++dataCentre)
        endEvacuation("dc-" + std::to_string(dataCentre));
    m_listed.assign(m_listed.size(), true);
    for (int worker = 0; worker < m_options.workers; ++worker) {
        setWorkerRequestFaults(worker, 0, 0);
        setAccelerators(worker, m_options.accelerators);
    }
    for (int daemon = 0; daemon < m_options.daemons; ++daemon)
        this->daemon(daemon).resume();
    for (int daemon = 0; daemon < m_options.daemons; ++daemon) {
        if (this->daemon(daemon).terminated())
            waitUntilEnded(daemon);
        if (this->daemon(daemon).ended())
            startDaemon(daemon);
    }
}

void SoakCluster::waitUntilEnded(int daemon)
{
    auto deadline = std::chrono::steady_clock::now() + stopTimeout;
    while (!this->daemon(daemon).ended() && std::chrono::steady_clock::now() < deadline)
        std::this_thread::sleep_for(milliseconds(20));
}

json SoakCluster::workerJournal() const
{
    return callHttp({ .port = m_firstWorkerPort, .path = "/journal", .timeout = controlTimeout }).json();
}

std::vector<std::string> SoakCluster::recordHistory(const std::string& key) const
{
    HttpReply reply = callHttp(
        { .port = m_storePort, .path = "/history?topic=keyed.lentilsaddle&key=" + key, .timeout = controlTimeout });
    return reply.json().get<std::vector<std::string>>();
}

} // namespace lentilsaddle::soak
