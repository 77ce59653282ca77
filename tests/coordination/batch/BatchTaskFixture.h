/// @file
/// Fixture of the tests of batch scheduling on one or more instances.
#pragma once

#include "FakeStore.h"
#include "FakeWorkers.h"
#include "coordination/batch/BatchTask.h"
#include "coordination/batch/JournalKeys.h"
#include "protocol/batch/BatchRecordCodec.h"
#include "tests/coordination/TestEnvironment.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <atomic>
#include <future>
#include <map>
#include <memory>
#include <random>
#include <sstream>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace lentilsaddle::coordination::batch {

inline const state::JobId jobId { "00000000000000aa" };
inline constexpr const char* taskName = "00000000000000aa.0.0.0";
/// Words in the directory entry of a worker.
inline constexpr std::string_view acceleratorsPrefix = "accelerators=";
inline constexpr std::string_view addressPrefix = "address=";
inline constexpr std::string_view incarnationPrefix = "incarnation=";
inline constexpr std::string_view dataCentrePrefix = "data_centre=";
inline constexpr std::string_view coldPrefix = "cold_ms=";
inline constexpr std::string_view evacuationKeyPrefix = "evacuate/";

/// Short limits, in the proportions of the defaults.
inline BatchOptions shortOptions()
{
    BatchOptions options;
    options.leaderLease = std::chrono::milliseconds(300);
    options.renewalGrace = std::chrono::milliseconds(1'000);
    options.failoverDelay = std::chrono::milliseconds(450);
    options.claimJitter = std::chrono::milliseconds(20);
    options.heartbeatInterval = std::chrono::milliseconds(100);
    options.appendTimeout = std::chrono::milliseconds(100);
    options.submitTimeout = std::chrono::milliseconds(100);
    options.journalWait = std::chrono::milliseconds(50);
    options.directoryWait = std::chrono::milliseconds(50);
    options.readTimeout = std::chrono::milliseconds(100);
    options.storeRetryDelay = std::chrono::milliseconds(10);
    options.maximumStoreRetryDelay = std::chrono::milliseconds(40);
    options.staleAfter = std::chrono::milliseconds(250);
    options.directoryStaleAfter = std::chrono::milliseconds(250);
    options.workerLease = std::chrono::milliseconds(900);
    options.longestWorkerLease = FakeWorkers::longestLease;
    options.observeWait = std::chrono::milliseconds(100);
    options.requestTimeout = std::chrono::milliseconds(80);
    options.requestRetryDelay = std::chrono::milliseconds(20);
    options.startTimeout = std::chrono::milliseconds(60);
    options.startRetryLimit = std::chrono::milliseconds(200);
    options.stopGrace = std::chrono::milliseconds(50);
    options.refusalBackoff = std::chrono::milliseconds(50);
    options.directoryReadInterval = std::chrono::milliseconds(20);
    options.planRefreshInterval = std::chrono::milliseconds(30);
    options.crashSettleTime = std::chrono::milliseconds(300);
    options.lookupTimeout = std::chrono::milliseconds(200);
    return options;
}

inline state::batch::BatchJob makeJob(int tasks = 1)
{
    return {
        .id = jobId,
        .queue = { .name = "q", .service = state::ServiceId("s"), .maximumAttempts = 2 },
        .payload = "text",
        .steps = { { .taskCount = tasks, .resources = { .milliCores = 1, .accelerators = 1 } } },
    };
}

inline bool waitUntil(
    const std::function<bool()>& condition, std::chrono::milliseconds limit = std::chrono::milliseconds(5'000))
{
    auto end = std::chrono::steady_clock::now() + limit;
    while (std::chrono::steady_clock::now() < end) {
        if (condition())
            return true;
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    return condition();
}

/// Instances on an in-memory store and in-memory workers, with short limits. The store holds a configuration and lists
/// the worker `w1`.
class BatchTaskTest : public testing::Test {
protected:
    BatchTaskTest()
    {
        m_store.put(Stream::Configuration, "config", "1");
        m_store.put(Stream::Directory, "w1", "ready");
    }

    std::unique_ptr<BatchTask> startInstance(const std::string& name, int processors = 0)
    {
        BatchOptions options = m_options;
        options.processors = processors;
        TaskEnvironment environment = makeTestEnvironment(name, m_metrics);
        environment.incarnation = ++m_incarnation;
        // Claims of several instances must differ in their sequence numbers, as in the daemon.
        environment.random = [engine = std::make_shared<std::mt19937_64>(m_incarnation)] { return (*engine)(); };
        environment.monotonicClock = [this] { return std::chrono::steady_clock::now() + m_clockOffset.load(); };
        auto task = std::make_unique<BatchTask>(environment, options,
            BatchTask::Hooks {
                .connect = [this](transport::EventLoop& loop) { return platformFor(loop); },
                .onConfiguration =
                    [this](const std::shared_ptr<const state::batch::BatchConfiguration>& configuration) {
                        m_configurationVersion = configuration->version;
                    },
                .onReadiness = [this](bool ready) { m_ready = ready; },
            });
        task->start();
        return task;
    }

    BatchPlatform platformFor(transport::EventLoop& loop)
    {
        return {
            .journal = m_store.hooksFor(loop),
            .worker = m_workers.hooksFor(loop),
            // An entry is its state, followed by what differs from the default.
            .decodeWorker =
                [](const std::string& key, const std::string& value) {
                    state::batch::BatchWorker worker {
                        .id = state::WorkerId(key),
                        .service = state::ServiceId("s"),
                        .address = key,
                        .capacity = { .milliCores = 8, .memoryMegabytes = 8, .accelerators = 8 },
                        .incarnation = 1,
                    };
                    std::istringstream words(value);
                    for (std::string word; words >> word;) {
                        if (word == "draining")
                            worker.draining = true;
                        else if (word.starts_with(acceleratorsPrefix))
                            worker.capacity.accelerators = std::stoll(word.substr(acceleratorsPrefix.size()));
                        else if (word.starts_with(addressPrefix))
                            worker.address = word.substr(addressPrefix.size());
                        else if (word.starts_with(incarnationPrefix))
                            worker.incarnation = std::stoll(word.substr(incarnationPrefix.size()));
                        else if (word.starts_with(coldPrefix))
                            worker.coldRemaining
                                = std::chrono::milliseconds(std::stoll(word.substr(coldPrefix.size())));
                        else if (word.starts_with(dataCentrePrefix))
                            worker.dataCentre = state::DataCentreId(word.substr(dataCentrePrefix.size()));
                    }
                    return std::optional(worker);
                },
            .decodeConfiguration =
                [this](const std::string&, const std::string& value) {
                    ++m_decodedConfigurations;
                    return std::optional(state::batch::BatchConfiguration { .version = std::stoul(value) });
                },
            .decodeEvacuation =
                [](const std::string& key) {
                    bool evacuation = key.starts_with(evacuationKeyPrefix);
                    return evacuation ? std::optional(state::DataCentreId(key.substr(evacuationKeyPrefix.size())))
                                      : std::nullopt;
                },
            .owner = nullptr,
        };
    }

    static std::future<ChangeOutcome> beginSubmission(BatchTask& task, const state::batch::BatchJob& job)
    {
        auto outcome = std::make_shared<std::promise<ChangeOutcome>>();
        task.post({ .body = BatchMessage::Submit {
                        .job = job, .reply = [outcome](ChangeOutcome value) { outcome->set_value(value); } } });
        return outcome->get_future();
    }

    static ChangeOutcome submit(BatchTask& task, const state::batch::BatchJob& job)
    {
        return beginSubmission(task, job).get();
    }

    static std::future<ChangeOutcome> beginCancellation(BatchTask& task, const state::JobId& job)
    {
        auto outcome = std::make_shared<std::promise<ChangeOutcome>>();
        task.post({ .body = BatchMessage::Cancel {
                        .job = job, .reply = [outcome](ChangeOutcome value) { outcome->set_value(value); } } });
        return outcome->get_future();
    }

    static ChangeOutcome cancel(BatchTask& task, const state::JobId& job) { return beginCancellation(task, job).get(); }

    static BatchMessage::QueryResult query(BatchTask& task, const state::JobId& job)
    {
        auto result = std::make_shared<std::promise<BatchMessage::QueryResult>>();
        task.post({ .body = BatchMessage::Query { .job = job,
                        .reply = [result](BatchMessage::QueryResult value) { result->set_value(value); } } });
        return result->get_future().get();
    }

    static std::size_t pendingCount(BatchTask& task, const std::string& queue)
    {
        auto result = std::make_shared<std::promise<std::size_t>>();
        task.post({ .body = BatchMessage::CountPending {
                        .queue = queue, .reply = [result](std::size_t value) { result->set_value(value); } } });
        return result->get_future().get();
    }

    /// Lists the workers `w1` to `wN` in the directory.
    void addWorkers(int count)
    {
        for (int number = 1; number <= count; ++number)
            m_store.put(Stream::Directory, "w" + std::to_string(number), "ready");
    }

    std::vector<std::string> leaderRecords()
    {
        std::vector<std::string> values;
        for (const KeyedRecord& record : m_store.records(Stream::Journal)) {
            if (record.key == leaderKey)
                values.push_back(*record.value);
        }
        return values;
    }

    std::ptrdiff_t announcements()
    {
        return std::ranges::count_if(m_store.records(Stream::Journal),
            [](const KeyedRecord& record) { return record.key.starts_with(instanceKeyPrefix); });
    }

    void setAccelerators(const std::string& worker, int accelerators)
    {
        m_store.put(Stream::Directory, worker, std::string(acceleratorsPrefix) + std::to_string(accelerators));
    }

    // Makes the leader claim the job's tasks while the store refuses appends, so that the claims stay unconfirmed.
    // The workers must have no capacity before.
    void holdClaims(BatchTask& task, const state::batch::BatchJob& job, const std::map<std::string, int>& accelerators)
    {
        ASSERT_EQ(submit(task, job), ChangeOutcome::Done);
        ASSERT_TRUE(waitUntil([this] { return m_workers.observations() > 0; }));
        m_store.setAppendFault(FakeStore::AppendFault::Refuse);
        for (const auto& [worker, count] : accelerators)
            setAccelerators(worker, count);
        std::string prefix = makeKey(taskKeyPrefix, job.id.value());
        ASSERT_TRUE(waitUntil([&] { return m_store.refused(prefix); }));
    }

    bool waitUntilStored(const std::string& key)
    {
        return waitUntil([&] {
            return std::ranges::any_of(
                m_store.records(Stream::Journal), [&](const KeyedRecord& record) { return record.key == key; });
        });
    }

    // Longer than the leader needs to read the directory and to plan.
    static void letTheLeaderAct() { std::this_thread::sleep_for(std::chrono::milliseconds(250)); }

    static void letTheDirectoryBecomeStale()
    {
        std::this_thread::sleep_for(shortOptions().directoryStaleAfter + std::chrono::milliseconds(50));
    }

    bool waitUntilRunning()
    {
        return waitUntil([this] { return m_workers.running().size() == 1; });
    }

    // Runs another job on w1 to its end, so that the worker has responded a moment ago and has no runs.
    void runFirstJob(BatchTask& task)
    {
        state::batch::BatchJob job = makeJob();
        job.id = state::JobId("00000000000000ee");
        submit(task, job);
        ASSERT_TRUE(waitUntilRunning());
        m_workers.finish("w1", "00000000000000ee.0.0.0", EndedTask::Reason::Done);
        ASSERT_TRUE(waitUntil([this] { return m_workers.acknowledged("w1") == 1; }));
    }

    // Stores a job whose task an earlier leader has claimed for a run on the first incarnation of w1.
    void storeClaim()
    {
        m_store.put(Stream::Journal, makeKey(jobKeyPrefix, jobId.value()), protocol::batch::encodeJob(makeJob()));
        state::batch::BatchTaskState claimed {
            .phase = state::batch::BatchTaskState::Phase::Claimed,
            .run = 1,
            .worker = state::WorkerId("w1"),
            .workerIncarnation = 1,
        };
        m_store.put(Stream::Journal, makeKey(taskKeyPrefix, taskName), protocol::batch::encodeTaskState(claimed));
    }

    /// @return the stored state of a task.
    state::batch::BatchTaskState stateOf(const std::string& task)
    {
        state::batch::BatchTaskState result;
        for (const KeyedRecord& record : m_store.records(Stream::Journal)) {
            if (record.key == makeKey(taskKeyPrefix, task) && record.value)
                result = protocol::batch::decodeTaskState(*record.value);
        }
        return result;
    }

    /// @return the worker that runs a task; empty if there is none.
    std::string workerOf(const std::string& task)
    {
        for (const std::string& run : m_workers.running()) {
            if (run.find(task) != std::string::npos)
                return run.substr(0, run.find(' '));
        }
        return "";
    }

    /// Options of the instances that are started next.
    BatchOptions m_options = shortOptions();
    transport::Metrics m_metrics;
    FakeStore m_store;
    FakeWorkers m_workers;
    std::atomic<bool> m_ready = false;
    std::uint64_t m_incarnation = 10;
    /// Added to the clocks of all instances, as after a suspension of an entry instance.
    std::atomic<std::chrono::milliseconds> m_clockOffset { std::chrono::milliseconds(0) };
    std::atomic<int> m_decodedConfigurations = 0;
    std::atomic<std::uint64_t> m_configurationVersion = 0;
};

} // namespace lentilsaddle::coordination::batch
