#include "tests/process/ProcessHarness.h"

#include "tests/process/FreePorts.h"
#include "tests/process/TemporaryFolder.h"

#include <gtest/gtest.h>

#include <deque>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>
#include <system_error>
#include <thread>

namespace lentilsaddle::testing_support {

using nlohmann::json;

namespace {

    // 1,200 polls at 50 ms take a minute. Conditions hold within a few seconds unless other load slows the tests down.
    constexpr int maximumPolls = 1'200;
    constexpr std::chrono::milliseconds pollInterval { 50 };
    constexpr std::size_t printedLogLines = 15;

    std::string loopback(std::uint16_t port)
    {
        return "127.0.0.1:" + std::to_string(port);
    }

    void requireOk(const HttpReply& reply, const std::string& operation)
    {
        if (reply.status != 200)
            throw std::runtime_error(operation + ": expected status 200, got " + std::to_string(reply.status) + " "
                + reply.body + reply.error);
    }

    json postControl(std::uint16_t port, const json& faults)
    {
        HttpReply reply = callHttp({ .method = "POST", .port = port, .path = "/control", .body = faults.dump() });
        requireOk(reply, "POST /control");
        return reply.json();
    }

    json get(std::uint16_t port, const std::string& path)
    {
        HttpReply reply = callHttp({ .port = port, .path = path });
        requireOk(reply, path);
        return reply.json();
    }

} // namespace

ProcessHarness::ProcessHarness(Options options)
    : m_options(std::move(options))
    , m_folder(makeTemporaryFolder((std::filesystem::temp_directory_path() / "lentilsaddle-test-").string()))
{
    startPlatform();
    for (std::size_t i = 0; i < m_options.dataCentres.size(); ++i)
        startDataCentre(static_cast<int>(i));
    publishInstanceList();
}

ProcessHarness::~ProcessHarness()
{
    m_entries.clear();
    m_standins.clear();
    if (testing::Test::HasFailure())
        printLogs();
    std::error_code ignored;
    std::filesystem::remove_all(m_folder, ignored);
}

void ProcessHarness::startPlatform()
{
    int listeners = static_cast<int>(m_options.dataCentres.size());
    m_platformPort = findFreePorts(listeners);
    launch("platform", "tests/standin/standin_platform",
        { "--port", std::to_string(m_platformPort), "--listeners", std::to_string(listeners) });
    waitUntil("the platform responds", [this] { return respondsOk(m_platformPort, "/instances"); });
}

void ProcessHarness::startDataCentre(int index)
{
    DataCentre dataCentre { .name = m_options.dataCentres[static_cast<std::size_t>(index)],
        .workerPort = findFreePorts(1),
        .backendPort = findFreePorts(m_options.backendServersPerDataCentre) };
    launch("workers-" + dataCentre.name, "tests/standin/standin_worker",
        { "--port", std::to_string(dataCentre.workerPort), "--workers", std::to_string(m_options.workersPerDataCentre),
            "--prefix", dataCentre.name });
    launch("backend-" + dataCentre.name, "tests/standin/standin_backend",
        { "--port", std::to_string(dataCentre.backendPort), "--servers",
            std::to_string(m_options.backendServersPerDataCentre), "--slots",
            std::to_string(m_options.slotsPerServer) });
    waitUntil("the workers respond", [&] { return respondsOk(dataCentre.workerPort, "/workers"); });
    waitUntil("the backend servers respond", [&] { return respondsOk(dataCentre.backendPort, "/journal"); });
    HttpReply reply = callHttp({ .method = "PUT",
        .port = m_platformPort,
        .path = "/workers?data_centre=" + dataCentre.name,
        .body = get(dataCentre.workerPort, "/workers").dump() });
    requireOk(reply, "PUT /workers");
    m_dataCentres.push_back(std::move(dataCentre));
    for (int i = 0; i < m_options.entriesPerDataCentre; ++i)
        addEntry(index, i + 1);
}

void ProcessHarness::addEntry(int dataCentre, int number)
{
    std::uint16_t port = findFreePorts(2);
    m_entries.push_back({
        .name = "entry-" + m_dataCentres.back().name + "-" + std::to_string(number),
        .dataCentre = dataCentre,
        .httpPort = port,
        .peerPort = static_cast<std::uint16_t>(port + 1),
        .process = nullptr,
    });
}

void ProcessHarness::launch(const std::string& name, const std::string& program, std::vector<std::string> arguments)
{
    arguments.insert(arguments.begin(), std::string(BUILD_DIRECTORY) + "/" + program);
    m_standins.push_back(std::make_unique<ChildProcess>(arguments, m_folder + "/" + name + ".log"));
}

bool ProcessHarness::startEntries()
{
    for (int i = 0; i < entryCount(); ++i)
        startEntry(i);
    bool allReady = true;
    for (int i = 0; i < entryCount(); ++i)
        allReady &= waitUntil(entryName(i) + " is ready or ends", [this, i] { return entry(i).ended() || ready(i); })
            && !entry(i).ended();
    return allReady;
}

void ProcessHarness::startEntry(int index)
{
    Entry& entry = m_entries.at(static_cast<std::size_t>(index));
    // A process that still runs is killed first, so that its ports are free.
    entry.process.reset();
    std::string path = writeFile(entry.name + ".yaml", settings(entry));
    std::vector<std::string> arguments { std::string(BUILD_DIRECTORY) + "/daemon/lentilsaddled", "--settings", path };
    entry.process = std::make_unique<ChildProcess>(arguments, m_folder + "/" + entry.name + ".log");
}

std::string ProcessHarness::settings(const Entry& entry) const
{
    std::ostringstream text;
    text << "instance: " << entry.name << "\n"
         << "data_centre: " << m_dataCentres[static_cast<std::size_t>(entry.dataCentre)].name << "\n"
         << "http: {address: 127.0.0.1, port: " << entry.httpPort << ", memory_mb: " << m_options.memoryMegabytes
         << "}\n"
         << "peer: {address: 127.0.0.1, port: " << entry.peerPort << "}\n"
         << "platform: {url: \"http://" << loopback(static_cast<std::uint16_t>(m_platformPort + entry.dataCentre))
         << "\"}\n"
         << "leases: {ttl_ms: " << m_options.leaseDuration.count()
         << ", renew_interval_ms: " << m_options.leaseRenewal.count() << "}\n";
    return text.str();
}

bool ProcessHarness::applyConfiguration()
{
    json dataCentres = json::object();
    for (const DataCentre& dataCentre : m_dataCentres)
        dataCentres[dataCentre.name]
            = { { "accelerators", m_options.workersPerDataCentre * 8 }, { "accelerators_per_rack", 64 } };
    json patch {
        { "accounts", { { "shops", { { "weight", 10 } } }, { "overnight", { { "weight", 5 } } } } },
        { "services", { { "pavoreserva-app", { { "slots_per_server", m_options.slotsPerServer } } } } },
        { "data_centres", dataCentres },
    };
    json body { { "patch_id", "harness" }, { "base_version", 0 }, { "merge_patch", patch } };
    HttpReply reply = call(0, { .method = "POST", .path = "/v1/configuration/patches", .body = body.dump() });
    EXPECT_EQ(reply.status, 200) << reply.body << reply.error;
    for (int i = 0; i < entryCount(); ++i) {
        bool inForce = waitUntil("version 1 is in force at " + entryName(i), [this, i] {
            json configuration = call(i, { .path = "/v1/configuration" }).json();
            return configuration.is_object() && configuration.value("version", 0) == 1;
        });
        if (!inForce)
            return false;
    }
    return reply.status == 200;
}

HttpReply ProcessHarness::call(int entryIndex, BlockingRequest request) const
{
    request.port = m_entries.at(static_cast<std::size_t>(entryIndex)).httpPort;
    return callHttp(request);
}

json ProcessHarness::status(int entryIndex) const
{
    return call(entryIndex, { .path = "/v1/status" }).json();
}

bool ProcessHarness::ready(int entryIndex) const
{
    json view = status(entryIndex);
    return view.is_object() && view.value("ready", false);
}

void ProcessHarness::controlPlatform(const json& faults) const
{
    postControl(m_platformPort, faults);
}

void ProcessHarness::controlWorkers(int dataCentre, const json& faults) const
{
    postControl(m_dataCentres.at(static_cast<std::size_t>(dataCentre)).workerPort, faults);
}

void ProcessHarness::controlBackend(int dataCentre, const json& faults) const
{
    postControl(m_dataCentres.at(static_cast<std::size_t>(dataCentre)).backendPort, faults);
}

json ProcessHarness::streams() const
{
    return get(m_platformPort, "/control/streams").at("streams");
}

json ProcessHarness::workerJournal(int dataCentre) const
{
    return get(m_dataCentres.at(static_cast<std::size_t>(dataCentre)).workerPort, "/journal").at("runs");
}

json ProcessHarness::backendJournal(int dataCentre) const
{
    return get(m_dataCentres.at(static_cast<std::size_t>(dataCentre)).backendPort, "/journal");
}

void ProcessHarness::publishInstanceList(const std::map<std::string, std::string>& states) const
{
    HttpReply reply = callHttp({ .method = "PUT",
        .port = m_platformPort,
        .path = "/instances",
        .body = json({ { "instances", instanceList(states) } }).dump() });
    requireOk(reply, "PUT /instances");
}

json ProcessHarness::instanceList(const std::map<std::string, std::string>& states) const
{
    json list = json::array();
    auto add = [&](const std::string& name, const std::string& kind, std::uint16_t port, int dataCentre) {
        auto state = states.find(name);
        list.push_back({ { "name", name }, { "kind", kind }, { "address", loopback(port) },
            { "data_centre", m_dataCentres[static_cast<std::size_t>(dataCentre)].name },
            { "state", state == states.end() ? "live" : state->second },
            { "service", kind == "entry" ? "" : "pavoreserva-app" } });
    };
    for (const Entry& entry : m_entries)
        add(entry.name, "entry", entry.peerPort, entry.dataCentre);
    for (std::size_t i = 0; i < m_dataCentres.size(); ++i) {
        for (int server = 0; server < m_options.backendServersPerDataCentre; ++server)
            add("backend-" + m_dataCentres[i].name + "-" + std::to_string(server), "backend_server",
                static_cast<std::uint16_t>(m_dataCentres[i].backendPort + server), static_cast<int>(i));
    }
    return list;
}

int ProcessHarness::run(const std::string& program, const std::vector<std::string>& arguments, std::string& output)
{
    std::vector<std::string> command { std::string(BUILD_DIRECTORY) + "/" + program };
    command.insert(command.end(), arguments.begin(), arguments.end());
    std::string log = m_folder + "/run-" + std::to_string(++m_runCount) + ".out";
    ChildProcess process(command, log);
    waitUntil(program + " ends", [&process] { return process.ended(); });
    std::ifstream file(log);
    output.assign(std::istreambuf_iterator<char>(file), {});
    return process.exitCode();
}

std::string ProcessHarness::writeFile(const std::string& name, const std::string& content) const
{
    std::string path = m_folder + "/" + name;
    std::ofstream(path) << content;
    return path;
}

bool ProcessHarness::respondsOk(std::uint16_t port, const std::string& path) const
{
    return callHttp({ .port = port, .path = path }).status == 200;
}

bool ProcessHarness::waitUntil(const std::string& description, const std::function<bool()>& condition)
{
    for (int i = 0; i < maximumPolls; ++i) {
        if (condition())
            return true;
        std::this_thread::sleep_for(pollInterval);
    }
    ADD_FAILURE() << "condition did not hold in time: " << description;
    return false;
}

void ProcessHarness::printLogs() const
{
    for (const auto& file : std::filesystem::directory_iterator(m_folder)) {
        if (file.path().extension() != ".log")
            continue;
        std::ifstream stream(file.path());
        std::deque<std::string> lines;
        for (std::string line; std::getline(stream, line);) {
            lines.push_back(line);
            if (lines.size() > printedLogLines)
                lines.pop_front();
        }
        std::cerr << "--- " << file.path().filename().string() << "\n";
        for (const std::string& line : lines)
            std::cerr << line << "\n";
    }
}

} // namespace lentilsaddle::testing_support
