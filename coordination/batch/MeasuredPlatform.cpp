#include "coordination/batch/MeasuredPlatform.h"

#include "transport/Metrics.h"

#include <string>
#include <utility>

namespace lentilsaddle::coordination::batch {

namespace {

    constexpr const char* storeMetric = "lentilsaddle_batch_store_call_seconds";
    constexpr const char* workerMetric = "lentilsaddle_batch_worker_call_seconds";

    // Wraps a callback, so that the time until it is called is recorded.
    class Recorder {
    public:
        Recorder(transport::Metrics& metrics, state::MonotonicClock clock)
            : m_metrics(metrics)
            , m_clock(std::move(clock))
        {
        }

        /// @param isAnswered returns whether a result is a response.
        template <typename Result>
        std::function<void(Result)> wrap(const char* metric, const char* call, std::function<void(Result)> reply,
            const std::function<bool(const Result&)>& isAnswered) const
        {
            return [this, metric, call, begin = m_clock(), reply = std::move(reply), isAnswered](Result result) {
                m_metrics.observe(metric, m_clock() - begin,
                    { { "call", call }, { "answered", isAnswered(result) ? "true" : "false" } });
                reply(std::move(result));
            };
        }

    private:
        transport::Metrics& m_metrics;
        state::MonotonicClock m_clock;
    };

    bool appendAnswered(const AppendResult& result)
    {
        return result.status != AppendResult::Status::Unknown;
    }
    bool readAnswered(const ReadResult& result)
    {
        return result.status != ReadResult::Status::Failed;
    }
    bool newestAnswered(const NewestResult& result)
    {
        return result.ok;
    }
    bool callAnswered(const WorkerCallResult& result)
    {
        return result.status != WorkerCallResult::Status::Unknown;
    }
    bool observationAnswered(const Observation& result)
    {
        return callAnswered(result.result);
    }

    JournalHooks measuredJournal(const JournalHooks& hooks, const std::shared_ptr<Recorder>& recorder)
    {
        return {
            .append =
                [hooks, recorder](const AppendRequest& request, std::function<void(AppendResult)> reply) {
                    hooks.append(
                        request, recorder->wrap<AppendResult>(storeMetric, "append", std::move(reply), appendAnswered));
                },
            .read =
                [hooks, recorder](Stream stream, std::uint64_t from, std::chrono::milliseconds wait,
                    std::chrono::milliseconds timeout, std::function<void(ReadResult)> reply) {
                    hooks.read(stream, from, wait, timeout,
                        recorder->wrap<ReadResult>(storeMetric, "read", std::move(reply), readAnswered));
                },
            .newest =
                [hooks, recorder](Stream stream, const std::string& afterKey, std::chrono::milliseconds timeout,
                    std::function<void(NewestResult)> reply) {
                    hooks.newest(stream, afterKey, timeout,
                        recorder->wrap<NewestResult>(storeMetric, "newest", std::move(reply), newestAnswered));
                },
        };
    }

    WorkerHooks measuredWorker(const WorkerHooks& hooks, const std::shared_ptr<Recorder>& recorder)
    {
        return {
            .start =
                [hooks, recorder](const state::batch::BatchWorker& worker, const StartRequest& request,
                    std::chrono::milliseconds timeout, std::function<void(WorkerCallResult)> reply) {
                    hooks.start(worker, request, timeout,
                        recorder->wrap<WorkerCallResult>(workerMetric, "start", std::move(reply), callAnswered));
                },
            .stop =
                [hooks, recorder](const state::batch::BatchWorker& worker, const StopRequest& request,
                    std::chrono::milliseconds timeout, std::function<void(WorkerCallResult)> reply) {
                    hooks.stop(worker, request, timeout,
                        recorder->wrap<WorkerCallResult>(workerMetric, "stop", std::move(reply), callAnswered));
                },
            .observe =
                [hooks, recorder](const state::batch::BatchWorker& worker, const ObserveRequest& request,
                    std::chrono::milliseconds timeout, std::function<void(Observation)> reply) {
                    hooks.observe(worker, request, timeout,
                        recorder->wrap<Observation>(workerMetric, "observe", std::move(reply), observationAnswered));
                },
        };
    }

} // namespace

BatchPlatform measuredPlatform(BatchPlatform platform, transport::Metrics& metrics, const state::MonotonicClock& clock)
{
    auto recorder = std::make_shared<Recorder>(metrics, clock);
    platform.journal = measuredJournal(platform.journal, recorder);
    platform.worker = measuredWorker(platform.worker, recorder);
    return platform;
}

} // namespace lentilsaddle::coordination::batch
