/// @file
/// Fixture of tests that run request tasks on a fake log and a fake backend server.
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

/// Starts request tasks as entry instances that share one fake log and one fake backend server.
class RequestTaskFixture : public testing::Test {
protected:
    using Response = RequestMessage::ServiceResponse;

    ~RequestTaskFixture() override
    {
        m_log.disconnect();
        m_tasks.clear();
    }

    static state::InstanceInfo entryInstance(const std::string& name)
    {
        return { .name = state::InstanceId(name), .kind = state::InstanceInfo::Kind::Entry };
    }

    static state::InstanceInfo backendServer(const std::string& name, const std::string& address)
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

    /// Starts a configured instance whose instance list contains the fake backend server.
    RequestTask& startInstance(const std::string& name, RequestTaskOptions options = {})
    {
        return startInstance(name, options, { backendServer("r1", m_backend.address()) });
    }

    RequestTask& startInstance(
        const std::string& name, RequestTaskOptions options, std::vector<state::InstanceInfo> instances)
    {
        RequestTask& task = startUnconfigured(name, options);
        instances.push_back(entryInstance(name));
        task.post({ .body = RequestMessage::Configure { .configuration = configuration(), .ready = true } });
        task.post({ .body = RequestMessage::Instances { .instances = std::move(instances) } });
        // Its refusal shows that the task has processed the configuration and the first batch of the ledger's stream.
        RequestMessage::ServiceRequest barrier = request("barrier");
        barrier.service = state::ServiceId("none");
        submitAndWait(task, barrier);
        return task;
    }

    RequestTask& startUnconfigured(const std::string& name, RequestTaskOptions options = {})
    {
        ++m_incarnation;
        TaskEnvironment environment {
            .instance = state::InstanceId(name),
            .dataCentre = state::DataCentreId("norte-ovi"),
            .incarnation = m_incarnation,
            .monotonicClock =
                [this] {
                    return (m_clockStopped ? m_startTime : std::chrono::steady_clock::now()) + m_clockOffset.load();
                },
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
            .faultPoint = [this, name](std::string_view point) { m_atFaultPoint(name, point); },
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

    static std::future<Response> submit(RequestTask& task, RequestMessage::ServiceRequest request)
    {
        auto promise = std::make_shared<std::promise<Response>>();
        task.post({ .body = RequestMessage::Submit {
                        .request = std::move(request),
                        .reply = [promise](Response response) { promise->set_value(std::move(response)); },
                    } });
        return promise->get_future();
    }

    static Response submitAndWait(RequestTask& task, RequestMessage::ServiceRequest request)
    {
        return submit(task, std::move(request)).get();
    }

    /// Blocks until the task has responded to all requests and recorded their outcomes.
    static void drain(RequestTask& task)
    {
        std::promise<void> drained;
        task.post({ .body = RequestMessage::Drain { .onDrained = [&] { drained.set_value(); } } });
        drained.get_future().wait();
    }

    /// @return whether the rendered metrics contain the line.
    bool hasMetric(const std::string& line) const { return m_metrics.render().find(line + "\n") != std::string::npos; }

    /// @return the kinds of the events recorded since the last call.
    std::vector<std::string> consumeEvents()
    {
        std::lock_guard lock(m_eventMutex);
        return std::exchange(m_events, {});
    }

    FakeLog m_log;
    FakeBackend m_backend;
    transport::Metrics m_metrics;
    /// Offset added to the clock, to simulate that the process was paused.
    std::atomic<std::chrono::milliseconds> m_clockOffset { std::chrono::milliseconds(0) };
    /// Stops the clock, so that counts within a time window do not depend on the speed of the test.
    std::atomic<bool> m_clockStopped = false;
    std::function<void(const std::string& instance, std::string_view point)> m_atFaultPoint
        = [](const std::string&, std::string_view) {};

private:
    const state::MonotonicTime m_startTime = std::chrono::steady_clock::now();
    std::mt19937_64 m_random { 20261204 };
    std::uint64_t m_incarnation = 0;
    std::mutex m_eventMutex;
    std::vector<std::string> m_events;
    std::vector<std::unique_ptr<RequestTask>> m_tasks;
};

} // namespace lentilsaddle::coordination
