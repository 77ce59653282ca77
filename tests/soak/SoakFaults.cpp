#include "tests/soak/SoakFaults.h"

#include "tests/soak/SoakCluster.h"

#include <nlohmann/json.hpp>

#include <thread>
#include <utility>

namespace lentilsaddle::soak {

using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

SoakFaults::SoakFaults(SoakCluster& cluster, std::uint64_t seed)
    : m_cluster(cluster)
    , m_random(seed)
    , m_capacityRandom(seed + 1)
    , m_outageRandom(seed + 2)
    , m_evacuationRandom(seed + 3)
    , m_startTime(steady_clock::now())
{
}

milliseconds SoakFaults::drawDuration(int minMs, int maxMs)
{
    return milliseconds(minMs + draw(maxMs - minMs));
}

void SoakFaults::recordFault(const std::string& description)
{
    auto at = std::chrono::duration_cast<milliseconds>(steady_clock::now() - m_startTime);
    m_history.push_back(std::to_string(at.count()) + " " + description);
}

void SoakFaults::schedule(milliseconds delay, std::function<void()> action)
{
    m_scheduledActions.emplace(steady_clock::now() + delay, std::move(action));
}

void SoakFaults::runDueActions()
{
    while (!m_scheduledActions.empty() && m_scheduledActions.begin()->first <= steady_clock::now()) {
        auto action = m_scheduledActions.extract(m_scheduledActions.begin());
        action.mapped()();
    }
}

void SoakFaults::run(milliseconds duration)
{
    Time end = steady_clock::now() + duration;
    injectCapacityChange();
    injectPartialStoreOutage();
    injectUnhealthyWorker();
    injectEvacuation();
    while (steady_clock::now() < end) {
        injectRandomFault();
        Time next = steady_clock::now() + drawDuration(150, 1'400);
        while (steady_clock::now() < next) {
            runDueActions();
            std::this_thread::sleep_for(milliseconds(10));
        }
    }
}

void SoakFaults::injectRandomFault()
{
    switch (draw(10)) {
    case 0:
    case 1:
        injectStoreFault();
        return;
    case 2:
    case 3:
        injectProxyFault();
        return;
    case 4:
    case 5:
    case 6:
        injectDaemonFault();
        return;
    case 7:
    case 8:
        injectWorkerFault();
        return;
    default:
        if (draw(3) == 0)
            killAllDaemons();
        else
            injectConfigurationChanges();
        return;
    }
}

void SoakFaults::injectStoreFault()
{
    static const std::vector<json> kinds { { { "refuse", true } }, { { "silent", true } }, { { "lose", 0.4 } },
        { { "late", 0.3 } }, { { "delay_ms", 150 } }, { { "forget", true } } };
    const json& faults = kinds.at(static_cast<std::size_t>(draw(static_cast<int>(kinds.size()))));
    recordFault("store " + faults.dump());
    beginStoreFault(faults, drawDuration(300, 3'000));
}

void SoakFaults::beginStoreFault(json faults, milliseconds duration)
{
    // Named, so that the end of one fault leaves the others in force.
    std::string name = "fault-" + std::to_string(++m_storeFaults);
    faults["begin"] = name;
    m_cluster.controlStore(faults);
    schedule(duration, [this, name] { m_cluster.controlStore({ { "end", name } }); });
}

void SoakFaults::injectProxyFault()
{
    using Kind = FaultProxyMode::Kind;
    static const std::vector<FaultProxyMode> modes { { Kind::Delay, milliseconds(120) }, { Kind::Stall },
        { Kind::StallResponses }, { Kind::Reset } };
    int mode = draw(static_cast<int>(modes.size()));
    bool isStoreProxy = draw(2) == 0;
    int proxyIndex = draw(isStoreProxy ? m_cluster.options().daemons : m_cluster.options().workers);
    auto setMode = [this, isStoreProxy, proxyIndex](FaultProxyMode newMode) {
        if (isStoreProxy)
            m_cluster.setStoreProxy(proxyIndex, newMode);
        else
            m_cluster.setWorkerProxy(proxyIndex, newMode);
    };
    recordFault(std::string(isStoreProxy ? "store proxy " : "worker proxy ") + std::to_string(proxyIndex) + " mode "
        + std::to_string(mode));
    setMode(modes.at(static_cast<std::size_t>(mode)));
    schedule(drawDuration(200, 8'000), [setMode] { setMode({}); });
}

void SoakFaults::restartDaemon(int daemon, milliseconds delay)
{
    schedule(delay, [this, daemon] {
        if (m_cluster.daemon(daemon).ended())
            m_cluster.startDaemon(daemon);
        else
            restartDaemon(daemon, milliseconds(200));
    });
}

void SoakFaults::injectDaemonFault()
{
    int daemon = draw(m_cluster.options().daemons);
    testing_support::ChildProcess& process = m_cluster.daemon(daemon);
    if (process.ended())
        return;
    int kind = draw(3);
    recordFault("daemon " + std::to_string(daemon) + (kind == 0 ? " killed" : kind == 1 ? " terminated" : " paused"));
    if (kind == 2) {
        process.pause();
        schedule(drawDuration(200, 4'000), [this, daemon] { m_cluster.daemon(daemon).resume(); });
        return;
    }
    if (kind == 0)
        process.kill();
    else
        process.terminate();
    restartDaemon(daemon, drawDuration(100, 2'000));
}

void SoakFaults::injectWorkerFault()
{
    int worker = draw(m_cluster.options().workers);
    switch (draw(3)) {
    case 0:
        restartWorkers(1 + draw(6));
        return;
    case 1:
        recordFault("worker commands delayed");
        m_cluster.controlWorkers({ { "late", 0.25 } });
        schedule(drawDuration(500, 3'000), [this] { m_cluster.controlWorkers({ { "late", 0.0 } }); });
        return;
    default:
        break;
    }
    recordFault("worker " + std::to_string(worker) + " removed from the directory");
    m_cluster.removeWorker(worker);
    schedule(drawDuration(500, 5'000), [this, worker] { m_cluster.announceWorker(worker); });
}

void SoakFaults::restartWorkers(int count)
{
    int worker = draw(m_cluster.options().workers);
    recordFault("worker " + std::to_string(worker) + " restarted");
    m_cluster.restartWorker(worker);
    // Until the directory names the new incarnation, only lists of runs do.
    schedule(drawDuration(0, 2'000), [this, worker] { m_cluster.announceWorker(worker); });
    if (count > 1)
        schedule(drawDuration(50, 500), [this, count] { restartWorkers(count - 1); });
}

void SoakFaults::killAllDaemons()
{
    recordFault("all daemons killed");
    for (int daemon = 0; daemon < m_cluster.options().daemons; ++daemon) {
        m_cluster.daemon(daemon).kill();
        restartDaemon(daemon, drawDuration(100, 1'500));
    }
}

void SoakFaults::injectCapacityChange()
{
    static const std::vector<int> amounts { 0, 1, 2, 4, 8 };
    auto draw = [this](std::size_t limit) { return static_cast<int>(m_capacityRandom() % limit); };
    int worker = draw(static_cast<std::size_t>(m_cluster.options().workers));
    int accelerators = amounts.at(static_cast<std::size_t>(draw(amounts.size())));
    recordFault("worker " + std::to_string(worker) + " has " + std::to_string(accelerators) + " accelerators");
    m_cluster.setAccelerators(worker, accelerators);
    schedule(milliseconds(200 + draw(1'000)), [this] { injectCapacityChange(); });
}

void SoakFaults::injectPartialStoreOutage()
{
    for (int remaining = 1 + drawForOutage(2); remaining > 0; --remaining) {
        int daemon = drawForOutage(m_cluster.options().daemons);
        failStoreFor(daemon, milliseconds(200 + drawForOutage(2'300)));
    }
    schedule(milliseconds(300 + drawForOutage(1'500)), [this] { injectPartialStoreOutage(); });
}

void SoakFaults::failStoreFor(int daemon, milliseconds duration)
{
    static const std::vector<FaultProxyMode::Kind> modes { FaultProxyMode::Kind::Refuse, FaultProxyMode::Kind::Reset,
        FaultProxyMode::Kind::CutResponses };
    static const std::vector<json> faults { { { "refuse", true } }, { { "cut_then_refuse", true } } };
    auto kind = static_cast<std::size_t>(drawForOutage(static_cast<int>(modes.size() + faults.size())));
    if (kind < modes.size()) {
        recordFault("store proxy " + std::to_string(daemon) + " outage mode " + std::to_string(kind));
        m_cluster.setStoreProxy(daemon, { .kind = modes[kind] });
        schedule(duration, [this, daemon] { m_cluster.setStoreProxy(daemon, {}); });
        return;
    }
    json fault = faults.at(kind - modes.size());
    fault["ports"] = json::array({ daemon });
    recordFault("store " + fault.dump());
    beginStoreFault(fault, duration);
}

void SoakFaults::injectUnhealthyWorker()
{
    static const std::vector<double> shares { 0, 0.3, 0.7 };
    int worker = drawForOutage(m_cluster.options().workers);
    milliseconds duration(300 + drawForOutage(2'700));
    if (drawForOutage(4) == 0) {
        recordFault("worker proxy " + std::to_string(worker) + " cuts responses and refuses connections");
        m_cluster.setWorkerProxy(worker, { .kind = FaultProxyMode::Kind::CutResponses });
        schedule(duration, [this, worker] { m_cluster.setWorkerProxy(worker, {}); });
    } else {
        double refused = shares.at(static_cast<std::size_t>(drawForOutage(3)));
        double cut = shares.at(static_cast<std::size_t>(drawForOutage(3)));
        recordFault("worker " + std::to_string(worker) + " refuses " + std::to_string(refused) + " and cuts "
            + std::to_string(cut) + " of its requests");
        m_cluster.setWorkerRequestFaults(worker, refused, cut);
        schedule(duration, [this, worker] { m_cluster.setWorkerRequestFaults(worker, 0, 0); });
    }
    schedule(milliseconds(200 + drawForOutage(1'000)), [this] { injectUnhealthyWorker(); });
}

void SoakFaults::injectEvacuation()
{
    auto draw
        = [this](int limit) { return static_cast<int>(m_evacuationRandom() % static_cast<std::uint64_t>(limit)); };
    milliseconds begin(draw(2'000));
    milliseconds duration = SoakCluster::evacuationLimit + milliseconds(500 + draw(4'000));
    std::string dataCentre = "dc-" + std::to_string(draw(m_cluster.dataCentres()));
    schedule(begin, [this, dataCentre, duration] {
        recordFault(dataCentre + " evacuated");
        m_cluster.requestEvacuation(dataCentre);
        schedule(duration, [this, dataCentre] {
            recordFault("evacuation of " + dataCentre + " ended");
            m_cluster.endEvacuation(dataCentre);
            injectEvacuation();
        });
    });
}

void SoakFaults::injectConfigurationChanges()
{
    int versions = 1 + draw(4);
    recordFault("configuration changes: " + std::to_string(versions));
    for (int change = 0; change < versions; ++change)
        m_cluster.writeConfiguration(++m_configurationVersion);
}

} // namespace lentilsaddle::soak
