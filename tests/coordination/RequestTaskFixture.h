/// @file
/// Request tasks with a log and backend servers of the test.
#pragma once

#include "coordination/RequestTask.h"
#include "tests/coordination/FakeBackend.h"
#include "tests/coordination/FakeLog.h"
#include "transport/Metrics.h"

#include <gtest/gtest.h>

#include <atomic>
#include <chrono>
#include <future>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace lentilsaddle::coordination {

class RequestTaskFixture : public testing::Test {
protected:
    using Answer = RequestMessage::ServiceAnswer;

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
        RequestTask& task = startUnconfigured(name, options);
        task.post({ .body = RequestMessage::Configure { .configuration = configuration(), .ready = true } });
        task.post(
            { .body = RequestMessage::Instances { .instances = { entry(name), runner("r1", m_backend.address()) } } });
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
            .monotonicClock = [this] { return std::chrono::steady_clock::now() + m_pause.load(); },
            .wallClock = [] { return state::WallTime(); },
            .random = [this] { return m_random += 0x9E3779B97F4A7C15; },
            .recordEvent =
                [this](const std::string&, const std::string& kind, const std::string&) {
                    std::lock_guard lock(m_eventMutex);
                    m_events.push_back(kind);
                },
            .faultPoint = [this](std::string_view step) { m_atStep(step); },
            .metrics = &m_metrics,
        };
        m_tasks.push_back(
            std::make_unique<RequestTask>(environment, options, m_log.connect(environment.instance, m_incarnation)));
        m_tasks.back()->start();
        return *m_tasks.back();
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
    std::function<void(std::string_view)> m_atStep = [](std::string_view) {};

private:
    std::atomic<std::uint64_t> m_random = 1;
    std::uint64_t m_incarnation = 0;
    std::mutex m_eventMutex;
    std::vector<std::string> m_events;
    std::vector<std::unique_ptr<RequestTask>> m_tasks;
};

} // namespace lentilsaddle::coordination
