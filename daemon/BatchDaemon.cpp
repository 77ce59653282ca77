#include "daemon/BatchDaemon.h"

#include "coordination/batch/BatchTask.h"
#include "daemon/RandomSource.h"
#include "platform/BatchApiTask.h"
#include "platform/BatchPlatformFactory.h"
#include "transport/Logger.h"

#include <time.h>

#include <algorithm>
#include <cmath>
#include <future>
#include <memory>
#include <utility>

namespace lentilsaddle::daemon {

using coordination::batch::BatchMessage;
using platform::BatchApiMessage;
using std::chrono::milliseconds;

namespace {

    // Boot-time clock. Unlike the steady clock, it advances while the system is suspended, so that a lease or a leader
    // term expires during the suspension.
    state::MonotonicTime readBootClock()
    {
        timespec now {};
        clock_gettime(CLOCK_BOOTTIME, &now);
        return state::MonotonicTime(std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec));
    }

    // Returns a clock that advances the wall time of the process start by the boot clock, so that later steps of the
    // system time have no effect.
    state::WallClock makeWallClock()
    {
        auto wallStart = std::chrono::time_point_cast<std::chrono::microseconds>(std::chrono::system_clock::now());
        state::MonotonicTime start = readBootClock();
        return [wallStart, start] {
            return wallStart + std::chrono::duration_cast<std::chrono::microseconds>(readBootClock() - start);
        };
    }

} // namespace

BatchDaemon::BatchDaemon(state::Settings settings)
    : m_settings(std::move(settings))
{
    coordination::TaskEnvironment environment = makeEnvironment();
    m_api = std::make_unique<platform::BatchApiTask>(environment, m_settings.batch,
        platform::BatchApiTask::Hooks {
            .postBatch = [this](BatchMessage message) { m_batch->post(std::move(message)); },
        });
    m_batch = std::make_unique<coordination::batch::BatchTask>(environment, batchOptions(),
        coordination::batch::BatchTask::Hooks {
            .connect
            = [url = m_settings.platformUrl, connections = m_settings.batch.workerConnections()](
                  transport::EventLoop& loop) { return platform::createBatchPlatform(loop, url, connections); },
            .onConfiguration =
                [this](std::shared_ptr<const state::batch::BatchConfiguration> configuration) {
                    m_api->post({ .body = BatchApiMessage::Configure { .configuration = std::move(configuration) } });
                },
            .onReadiness
            = [this](bool ready) { m_api->post({ .body = BatchApiMessage::Readiness { .ready = ready } }); },
        });
}

BatchDaemon::~BatchDaemon()
{
    m_api->stop();
    m_batch->stop();
}

coordination::TaskEnvironment BatchDaemon::makeEnvironment()
{
    auto random = makeRandomSource();
    return {
        .instance = m_settings.instance,
        .dataCentre = m_settings.dataCentre,
        .incarnation = random(),
        .monotonicClock = readBootClock,
        .wallClock = makeWallClock(),
        .random = random,
        .recordEvent = [](const std::string&, const std::string&, const std::string&) {},
        .faultPoint = [](std::string_view) {},
        .metrics = &m_metrics,
    };
}

coordination::batch::BatchOptions BatchDaemon::batchOptions() const
{
    coordination::batch::BatchOptions options;
    const state::batch::BatchSettings& settings = m_settings.batch;
    options.workerLease = std::min(options.workerLease, settings.workerLeaseLimit);
    options.longestWorkerLease = settings.workerLeaseLimit;
    options.stopGrace = settings.stopGrace + milliseconds(100);
    // The stop requests for an incomplete gang must reach the workers before their own gang timeout expires.
    options.gangStartTimeout = std::min(options.gangStartTimeout, settings.gangTimeout * 3 / 4);
    options.evacuationLimit = settings.evacuationLimit;
    options.jobMemoryBytes = settings.jobMemoryBytes();
    options.learnRunTimes = settings.learnRunTimes;
    options.processors = static_cast<int>(std::lround(settings.processors * 1'000));
    return options;
}

void BatchDaemon::start()
{
    m_api->start();
    m_batch->start();
}

bool BatchDaemon::shutDown()
{
    auto idle = std::make_shared<std::promise<void>>();
    m_batch->post({ .body = BatchMessage::Drain {} });
    m_api->post({ .body
        = BatchApiMessage::Drain { .notice = m_settings.shutdownNotice, .onIdle = [idle] { idle->set_value(); } } });
    bool finished = idle->get_future().wait_for(m_settings.shutdownLimit) == std::future_status::ready;
    transport::writeLog(finished ? transport::LogLevel::Info : transport::LogLevel::Warning, "daemon",
        finished ? "all requests finished" : "shutdown limit reached with requests in flight");
    return finished;
}

} // namespace lentilsaddle::daemon
