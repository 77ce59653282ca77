#include "review/support-2/CaseRun.h"

#include "tests/process/BlockingHttp.h"

#include <unistd.h>

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <iostream>
#include <stdexcept>
#include <thread>

namespace lentilsaddle::review {

using nlohmann::json;
using std::chrono::milliseconds;
using testing_support::callHttp;
using testing_support::HttpReply;

namespace {

    // Built by the build line of the deploy file; the cases run in the root of the project.
    constexpr const char* daemonProgram = "target/daemon/lentilsaddled";
    constexpr milliseconds clientTimeout { 3'000 };
    constexpr milliseconds servingLimit { 20'000 };

} // namespace

CaseRun::CaseRun(const Options& options, const std::string& recordPath)
    : m_record(recordPath, std::ios::trunc)
{
    const char* setting = std::getenv("TROUBLE");
    m_trouble = !setting || std::string(setting) != "0";
    std::string pattern = (std::filesystem::temp_directory_path() / "review-case-XXXXXX").string();
    if (!mkdtemp(pattern.data()))
        throw std::runtime_error("cannot create a temporary folder");
    m_folder = pattern;
    m_cluster = std::make_unique<soak::SoakCluster>(soak::SoakCluster::Options {
        .folder = m_folder,
        .daemonProgram = daemonPath(),
        .daemons = options.daemons,
        .workers = options.workers,
        .accelerators = options.accelerators,
    });
    record(m_trouble ? "case with the disruption" : "case without the disruption (TROUBLE=0)");
}

CaseRun::~CaseRun()
{
    m_cluster.reset();
    if (std::getenv("KEEP"))
        return;
    std::error_code ignored;
    std::filesystem::remove_all(m_folder, ignored);
}

std::string CaseRun::daemonPath()
{
    return std::filesystem::absolute(daemonProgram).string();
}

std::int64_t CaseRun::now() const
{
    return std::chrono::duration_cast<milliseconds>(std::chrono::steady_clock::now() - m_start).count();
}

void CaseRun::record(const std::string& text)
{
    m_record << now() << " ms  " << text << std::endl;
}

void CaseRun::waitUntilServing()
{
    if (!m_cluster->waitUntilReady() || !waitUntil(servingLimit, [this] { return leader() >= 0; }))
        throw std::runtime_error("the daemons did not become ready");
    record("all daemons are ready; daemon " + std::to_string(leader()) + " leads");
}

int CaseRun::leader() const
{
    std::vector<std::string> history = m_cluster->recordHistory("leader");
    if (history.empty())
        return -1;
    json leader = json::parse(history.back());
    if (leader.at(4).get<bool>())
        return -1;
    return std::stoi(leader.at(2).get<std::string>().substr(2));
}

int CaseRun::call(int daemon, const std::string& method, const std::string& path, const std::string& body)
{
    record("client -> daemon " + std::to_string(daemon) + ": " + method + " " + path + " " + body);
    HttpReply reply = callHttp({ .method = method,
        .port = m_cluster->frontPort(daemon),
        .path = path,
        .headers = { { "Host", "soak.example" }, { "Credential", "key" }, { "Content-Type", "application/json" } },
        .body = body,
        .timeout = clientTimeout });
    record("daemon " + std::to_string(daemon) + " -> client: " + std::to_string(reply.status) + " " + reply.body
        + reply.error);
    return reply.status;
}

std::string CaseRun::jobState(int daemon, const std::string& path)
{
    HttpReply reply = callHttp({ .port = m_cluster->frontPort(daemon),
        .path = path,
        .headers = { { "Host", "soak.example" }, { "Credential", "key" } },
        .timeout = clientTimeout });
    if (reply.status != 200)
        return std::to_string(reply.status);
    return reply.json().at("state").get<std::string>();
}

std::vector<CaseRun::Span> CaseRun::spans(const std::string& job) const
{
    auto start = std::chrono::duration_cast<milliseconds>(m_start.time_since_epoch()).count();
    std::vector<Span> spans;
    json journal = m_cluster->workerJournal();
    for (const json& entry : journal.at("spans")) {
        auto task = entry.at("task").get<std::string>();
        if (!task.starts_with(job))
            continue;
        const json& end = entry.at("end_ms");
        spans.push_back({
            .task = task,
            .run = entry.at("run").get<std::int64_t>(),
            .worker = entry.at("worker").get<std::string>(),
            .begin = entry.at("begin_ms").get<std::int64_t>() - start,
            .end = end.is_null() ? std::nullopt : std::optional(end.get<std::int64_t>() - start),
            .outcome = entry.at("how").get<std::string>(),
        });
    }
    std::sort(spans.begin(), spans.end(), [](const Span& a, const Span& b) { return a.begin < b.begin; });
    return spans;
}

void CaseRun::recordSpans(const std::string& job)
{
    for (const Span& span : spans(job))
        record("run: " + span.task + " run " + std::to_string(span.run) + " on " + span.worker + " from "
            + std::to_string(span.begin) + " ms to " + (span.end ? std::to_string(*span.end) + " ms" : "now")
            + ", end: " + (span.outcome.empty() ? "none" : span.outcome));
}

bool CaseRun::waitUntil(milliseconds limit, const std::function<bool()>& condition)
{
    auto deadline = std::chrono::steady_clock::now() + limit;
    while (std::chrono::steady_clock::now() < deadline) {
        if (condition())
            return true;
        std::this_thread::sleep_for(milliseconds(20));
    }
    return false;
}

int runCase(
    int argc, char** argv, const CaseRun::Options& options, const std::function<CaseRun::Verdict(CaseRun&)>& function)
{
    if (argc < 2) {
        std::cerr << "usage: " << argv[0] << " RECORD\n";
        return 2;
    }
    try {
        CaseRun run(options, argv[1]);
        run.waitUntilServing();
        CaseRun::Verdict verdict = function(run);
        run.record(verdict == CaseRun::Verdict::Broken ? "verdict: the rule was broken" : "verdict: the rule held");
        return static_cast<int>(verdict);
    } catch (const std::exception& error) {
        std::cerr << "the case could not run: " << error.what() << '\n';
        return 2;
    }
}

} // namespace lentilsaddle::review
