#include "coordination/batch/MeasuredPlatform.h"

#include "transport/Metrics.h"

#include <string>
#include <utility>

namespace lentilsaddle::coordination::batch {

namespace {

    constexpr const char* storeMetric = "lentilsaddle_batch_store_call_seconds";
    constexpr const char* workerMetric = "lentilsaddle_batch_worker_call_seconds";

    // Wraps the callbacks of one kind of call, so that the time until each is called is recorded.
    class Recorder {
    public:
        Recorder(transport::Metrics& metrics, state::MonotonicClock clock, const char* metric, const char* call)
            : m_clock(std::move(clock))
            , m_answered(metrics.latencyObserver(metric, { { "call", call }, { "answered", "true" } }))
            , m_unanswered(metrics.latencyObserver(metric, { { "call", call }, { "answered", "false" } }))
        {
        }

        /// @param isAnswered returns whether a result is a response.
        template <typename Result>
        std::function<void(Result)> wrap(std::function<void(Result)> reply, bool (*isAnswered)(const Result&)) const
        {
            return [this, begin = m_clock(), reply = std::move(reply), isAnswered](Result result) {
                (isAnswered(result) ? m_answered : m_unanswered)(m_clock() - begin);
                reply(std::move(result));
            };
        }

    private:
        state::MonotonicClock m_clock;
        std::function<void(std::chrono::nanoseconds)> m_answered;
        std::function<void(std::chrono::nanoseconds)> m_unanswered;
    };

    // Recorders of all kinds of calls.
    struct Recorders {
        Recorders(transport::Metrics& metrics, const state::MonotonicClock& clock)
            : append(metrics, clock, storeMetric, "append")
            , read(metrics, clock, storeMetric, "read")
            , newest(metrics, clock, storeMetric, "newest")
            , start(metrics, clock, workerMetric, "start")
            , stop(metrics, clock, workerMetric, "stop")
            , observe(metrics, clock, workerMetric, "observe")
        {
        }

        Recorder append;
        Recorder read;
        Recorder newest;
        Recorder start;
        Recorder stop;
        Recorder observe;
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

    JournalHooks measuredJournal(const JournalHooks& hooks, const std::shared_ptr<Recorders>& recorders)
    {
        return {
            .append =
                [hooks, recorders](const AppendRequest& request, std::function<void(AppendResult)> reply) {
                    hooks.append(request, recorders->append.wrap<AppendResult>(std::move(reply), appendAnswered));
                },
            .read =
                [hooks, recorders](const ReadRequest& request, std::function<void(ReadResult)> reply) {
                    hooks.read(request, recorders->read.wrap<ReadResult>(std::move(reply), readAnswered));
                },
            .newest =
                [hooks, recorders](Stream stream, const std::string& afterKey, std::chrono::milliseconds timeout,
                    std::function<void(NewestResult)> reply) {
                    hooks.newest(stream, afterKey, timeout,
                        recorders->newest.wrap<NewestResult>(std::move(reply), newestAnswered));
                },
        };
    }

    WorkerHooks measuredWorker(const WorkerHooks& hooks, const std::shared_ptr<Recorders>& recorders)
    {
        return {
            .start =
                [hooks, recorders](const state::batch::BatchWorker& worker, const StartRequest& request,
                    std::chrono::milliseconds timeout, std::function<void(WorkerCallResult)> reply) {
                    hooks.start(worker, request, timeout,
                        recorders->start.wrap<WorkerCallResult>(std::move(reply), callAnswered));
                },
            .stop =
                [hooks, recorders](const state::batch::BatchWorker& worker, const StopRequest& request,
                    std::chrono::milliseconds timeout, std::function<void(WorkerCallResult)> reply) {
                    hooks.stop(worker, request, timeout,
                        recorders->stop.wrap<WorkerCallResult>(std::move(reply), callAnswered));
                },
            .observe =
                [hooks, recorders](const state::batch::BatchWorker& worker, const ObserveRequest& request,
                    std::chrono::milliseconds timeout, std::function<void(Observation)> reply) {
                    hooks.observe(worker, request, timeout,
                        recorders->observe.wrap<Observation>(std::move(reply), observationAnswered));
                },
        };
    }

} // namespace

BatchPlatform measuredPlatform(BatchPlatform platform, transport::Metrics& metrics, const state::MonotonicClock& clock)
{
    auto recorders = std::make_shared<Recorders>(metrics, clock);
    platform.journal = measuredJournal(platform.journal, recorders);
    platform.worker = measuredWorker(platform.worker, recorders);
    return platform;
}

} // namespace lentilsaddle::coordination::batch
