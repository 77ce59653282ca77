/// @file
/// Request tasks with a log and backend servers of the test.
#pragma once

#include "coordination/requests/RequestTask.h"
#include "tests/coordination/FakeBackend.h"
#include "tests/coordination/FakeLog.h"
#include "transport/Metrics.h"

#include <gtest/gtest.h>

#include <atomic>
#include <chrono>
#include <future>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace lentilsaddle::coordination {

class RequestTaskFixture : public testing::Test {
protected:
    using Answer = RequestMessage::ServiceResponse;

    ~RequestTaskFixture() override
    {
        m_log.disconnect();
        m_tasks.clear();
    }

    static state::InstanceInfo entry(const std::string& name)
    {
        return { .name = state::InstanceId(name), .kind = state::InstanceInfo::Kind::Entry };
    }

    static state::InstanceInfo runner(const std::string& name, const std::string& address)
    {
        return {
            .name = state::InstanceId(name),
            .kind = state::InstanceInfo::Kind::BackendServer,
            .dataCentre = state::DataCentreId("norte-ovi"),
            .address = address,
            .service = state::ServiceId("shop"),
        };
    }

    static std::shared_ptr<const state::Configuration> configuration()
    {
        auto configuration = std::make_shared<state::Configuration>();
        configuration->version = 1;
        configuration->services[state::ServiceId("shop")] = { .id = state::ServiceId("shop") };
        configuration->accounts[state::AccountId("bilbao")] = { .id = state::AccountId("bilbao") };
        return configuration;
    }

    /// Starts an instance that is configured and knows the backend server.
    RequestTask& startInstance(const std::string& name, RequestTaskOptions options = {})
    {
        return startInstance(name, options, { runner("r1", m_backend.address()) });
    }

    RequestTask& startInstance(
        const std::string& name, RequestTaskOptions options, std::vector<state::InstanceInfo> instances)
    {
        RequestTask& task = startUnconfigured(name, options);
        instances.push_back(entry(name));
        task.post({ .body = RequestMessage::Configure { .configuration = configuration(), .ready = true } });
        task.post({ .body = RequestMessage::Instances { .instances = std::move(instances) } });
        // Once this is refused, the configuration is in force and the ledger's stream is read.
        RequestMessage::ServiceRequest barrier = request("barrier");
        barrier.service = state::ServiceId("none");
        ask(task, barrier);
        return task;
    }

    RequestTask& startUnconfigured(const std::string& name, RequestTaskOptions options = {})
    {
        ++m_incarnation;
        TaskEnvironment environment {
            .instance = state::InstanceId(name),
            .dataCentre = state::DataCentreId("norte-ovi"),
            .incarnation = m_incarnation,
            .monotonicClock
            = [this] { return (m_frozen ? m_started : std::chrono::steady_clock::now()) + m_pause.load(); },
            .wallClock = [] { return state::WallTime(); },
            .random =
                [this] {
                    std::lock_guard lock(m_eventMutex);
                    return m_random();
                },
            .recordEvent =
                [this](const std::string&, const std::string& kind, const std::string&) {
                    std::lock_guard lock(m_eventMutex);
                    m_events.push_back(kind);
                },
            .faultPoint = [this, name](std::string_view step) { m_atStep(name, step); },
            .metrics = &m_metrics,
        };
        m_tasks.push_back(
            std::make_unique<RequestTask>(environment, options, m_log.connect(environment.instance, m_incarnation)));
        m_tasks.back()->start();
        return *m_tasks.back();
    }

    void setLogReachable(bool reachable)
    {
        for (const auto& task : m_tasks)
            task->post({ .body = RequestMessage::LogReachability { .reachable = reachable } });
    }

    static RequestMessage::ServiceRequest request(const std::string& id, const std::string& key = "")
    {
        return {
            .id = state::RequestId(id),
            .service = state::ServiceId("shop"),
            .account = state::AccountId("bilbao"),
            .idempotencyKey = key,
            .nonRepeatable = !key.empty(),
            .timeout = std::chrono::seconds(30),
            .body = "body of " + id,
        };
    }

    static std::future<Answer> submit(RequestTask& task, RequestMessage::ServiceRequest request)
    {
        auto promise = std::make_shared<std::promise<Answer>>();
        task.post({ .body = RequestMessage::Submit {
                        .request = std::move(request),
                        .reply = [promise](Answer answer) { promise->set_value(std::move(answer)); },
                    } });
        return promise->get_future();
    }

    static Answer ask(RequestTask& task, RequestMessage::ServiceRequest request)
    {
        return submit(task, std::move(request)).get();
    }

    /// Waits until the task has answered all requests and recorded their outcomes.
    static void drain(RequestTask& task)
    {
        std::promise<void> drained;
        task.post({ .body = RequestMessage::Drain { .onDrained = [&] { drained.set_value(); } } });
        drained.get_future().wait();
    }

    /// @return whether the metrics have this line.
    bool hasMetric(const std::string& line) const { return m_metrics.render().find(line + "\n") != std::string::npos; }

    /// @return kinds of the events since the last call.
    std::vector<std::string> takeEvents()
    {
        std::lock_guard lock(m_eventMutex);
        return std::exchange(m_events, {});
    }

    FakeLog m_log;
    FakeBackend m_backend;
    transport::Metrics m_metrics;
    /// Makes the clock jump, as when the process was paused.
    std::atomic<std::chrono::milliseconds> m_pause { std::chrono::milliseconds(0) };
    /// Stops the clock, so that counts in a window of time do not depend on the machine.
    std::atomic<bool> m_frozen = false;
    std::function<void(const std::string& instance, std::string_view step)> m_atStep
        = [](const std::string&, std::string_view) {};

private:
    const state::MonotonicTime m_started = std::chrono::steady_clock::now();
    std::mt19937_64 m_random { 20261204 };
    std::uint64_t m_incarnation = 0;
    std::mutex m_eventMutex;
    std::vector<std::string> m_events;
    std::vector<std::unique_ptr<RequestTask>> m_tasks;
};

} // namespace lentilsaddle::coordination
