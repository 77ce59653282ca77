#include "tests/soak/SoakClient.h"

#include <nlohmann/json.hpp>

#include <cstdio>
#include <utility>

namespace lentilsaddle::soak {

using nlohmann::json;
using std::chrono::milliseconds;

namespace {

    constexpr int maxAttempts = 4;
    constexpr milliseconds callTimeout { 2'000 };
    constexpr milliseconds retryDelay { 100 };

} // namespace

SoakClient::SoakClient(Options options)
    : m_options(std::move(options))
    , m_random(m_options.seed)
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

int SoakClient::call(const std::string& method, const SoakJob& job, const std::string& body)
{
    std::uint16_t port = m_options.ports.at(draw(m_options.ports.size()));
    return m_sessions[port]
        .call({ .method = method,
            .port = port,
            .path = "/" + job.queue + "/" + job.id,
            .headers = { { "Host", "soak.example" }, { "Credential", "key" }, { "Content-Type", "application/json" } },
            .body = body,
            .timeout = callTimeout })
        .status;
}

void SoakClient::submit(SoakJob& job)
{
    bool outcomeUnknown = false;
    for (int attempt = 0; attempt < maxAttempts; ++attempt) {
        int status = call("POST", job, submissionBody(job));
        if (status == 200) {
            job.accepted = true;
            return;
        }
        outcomeUnknown = outcomeUnknown || (status != 503 && status != 429 && status != 404);
        std::this_thread::sleep_for(retryDelay);
    }
    job.rejected = !outcomeUnknown;
}

void SoakClient::cancel(SoakJob& job)
{
    job.cancelSent = true;
    for (int attempt = 0; attempt < maxAttempts && !job.cancelAcknowledged; ++attempt) {
        job.cancelAcknowledged = call("DELETE", job, "") == 200;
        if (!job.cancelAcknowledged)
            std::this_thread::sleep_for(retryDelay);
    }
}

} // namespace lentilsaddle::soak
