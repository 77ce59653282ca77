#include "tests/soak/SoakClient.h"

#include <nlohmann/json.hpp>

#include <cstdio>
#include <future>
#include <utility>

namespace lentilsaddle::soak {

using nlohmann::json;
using std::chrono::milliseconds;

namespace {

    constexpr int maxAttempts = 4;
    constexpr milliseconds callTimeout { 2'000 };
    // Shorter than an append whose response is lost.
    constexpr milliseconds shortCallTimeout { 250 };
    constexpr milliseconds retryDelay { 100 };

} // namespace

SoakClient::SoakClient(Options options)
    : m_options(std::move(options))
    , m_random(m_options.seed)
    , m_repetitionRandom(m_options.seed + 1'000'000)
    , m_thread([this] { run(); })
{
}

SoakClient::~SoakClient()
{
    stopSubmitting();
}

std::vector<SoakJob> SoakClient::stopSubmitting()
{
    m_stopRequested = true;
    if (m_thread.joinable())
        m_thread.join();
    return m_jobs;
}

void SoakClient::run()
{
    while (!m_stopRequested) {
        SoakJob job = makeJob();
        submit(job);
        bool cancels = job.accepted && draw(8) == 0;
        if (cancels)
            cancel(job);
        m_jobs.push_back(std::move(job));
        std::this_thread::sleep_for(m_options.interval);
    }
}

SoakJob SoakClient::makeJob()
{
    char id[17];
    std::snprintf(id, sizeof id, "%016llx", static_cast<unsigned long long>(m_random()));
    bool gang = draw(3) == 0;
    int tasks = static_cast<int>(1 + draw(4));
    bool alwaysFails = draw(25) == 0;
    json payload { { "work_ms", 200 + draw(1'500) }, { "gpu", draw(3) == 0 ? 4 : 1 }, { "id", id } };
    if (gang)
        payload["gang"] = tasks;
    if (alwaysFails)
        payload["fail"] = true;
    return { .id = id,
        .queue = draw(3) == 0 ? "q0" : "q1",
        .payload = payload.dump(),
        .tasks = tasks,
        .alwaysFails = alwaysFails };
}

std::string SoakClient::submissionBody(const SoakJob& job) const
{
    json payload = json::parse(job.payload);
    json step { { "count", job.tasks }, { "cpu", 1'000 }, { "mem_mb", 512 }, { "gpu", payload.at("gpu") },
        { "estimate_ms", payload.at("work_ms") } };
    if (payload.contains("gang"))
        step["gang"] = true;
    return json { { "spec", job.payload }, { "steps", json::array({ step }) } }.dump();
}

testing_support::BlockingRequest SoakClient::makeRequest(
    const std::string& method, const SoakJob& job, std::uint16_t port, const std::string& body)
{
    return { .method = method,
        .port = port,
        .path = "/" + job.queue + "/" + job.id,
        .headers = { { "Host", "soak.example" }, { "Credential", "key" }, { "Content-Type", "application/json" } },
        .body = body,
        .timeout = callTimeout };
}

SoakClient::Outcome SoakClient::outcomeOf(int status)
{
    if (status == 200)
        return Outcome::Accepted;
    return status == 503 || status == 429 || status == 404 ? Outcome::Rejected : Outcome::Unknown;
}

SoakClient::Repetition SoakClient::drawRepetition()
{
    switch (m_repetitionRandom() % 4) {
    case 0:
        return Repetition::SameDaemon;
    case 1:
        return Repetition::Overlapping;
    default:
        return Repetition::AnyDaemon;
    }
}

void SoakClient::submit(SoakJob& job)
{
    Repetition repetition = drawRepetition();
    std::uint16_t port = 0;
    bool outcomeUnknown = false;
    for (int attempt = 0; attempt < maxAttempts; ++attempt) {
        std::uint16_t drawnPort = drawPort();
        if (attempt == 0 || repetition == Repetition::AnyDaemon)
            port = drawnPort;
        testing_support::BlockingRequest request = makeRequest("POST", job, port, submissionBody(job));
        if (repetition == Repetition::SameDaemon)
            request.timeout = shortCallTimeout;
        Outcome outcome = repetition == Repetition::Overlapping ? submitOverlapping(job, port)
                                                                : outcomeOf(m_sessions[port].call(request).status);
        if (outcome == Outcome::Accepted) {
            job.accepted = true;
            return;
        }
        outcomeUnknown = outcomeUnknown || outcome == Outcome::Unknown;
        // A request that timed out may still be in progress; repeat it at once.
        if (repetition != Repetition::SameDaemon || outcome == Outcome::Rejected)
            std::this_thread::sleep_for(retryDelay);
    }
    job.rejected = !outcomeUnknown;
}

SoakClient::Outcome SoakClient::submitOverlapping(const SoakJob& job, std::uint16_t port)
{
    testing_support::BlockingRequest request = makeRequest("POST", job, port, submissionBody(job));
    milliseconds overlapDelay(m_repetitionRandom() % 100);
    std::future<int> first = std::async(std::launch::async, [&] { return m_sessions[port].call(request).status; });
    std::this_thread::sleep_for(overlapDelay);
    Outcome second = outcomeOf(testing_support::callHttp(request).status);
    Outcome outcome = outcomeOf(first.get());
    if (outcome == second || outcome == Outcome::Accepted)
        return outcome;
    return second == Outcome::Accepted ? second : Outcome::Unknown;
}

void SoakClient::cancel(SoakJob& job)
{
    job.cancelSent = true;
    for (int attempt = 0; attempt < maxAttempts && !job.cancelAcknowledged; ++attempt) {
        std::uint16_t port = drawPort();
        job.cancelAcknowledged = m_sessions[port].call(makeRequest("DELETE", job, port, "")).status == 200;
        if (!job.cancelAcknowledged)
            std::this_thread::sleep_for(retryDelay);
    }
}

} // namespace lentilsaddle::soak
