/// @file
/// Fake workers of one data centre for task-level tests.
#pragma once

#include "transport/HttpServer.h"
#include "transport/Task.h"

#include <nlohmann/json.hpp>

#include <functional>
#include <future>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace lentilsaddle::coordination {

/// Handles the worker calls of the platform. Leases do not lapse by time; tests set the state to `lapsed`.
class FakePlatform : public transport::Task<std::function<void()>> {
public:
    struct Task {
        std::string job;
        int attempt = 0;
        std::uint64_t epoch = 0;
        std::uint64_t sequence = 0;
        std::string state = "leased";
        std::vector<int> accelerators;
    };
    struct Worker {
        std::uint64_t epoch = 0;
        std::vector<Task> tasks;
        /// Calls that get no response.
        std::set<std::string> unansweredCalls;
        /// Start calls fail with `no_lease`.
        bool rejectsStarts = false;
        int renewals = 0;
    };

    explicit FakePlatform(int workers, int accelerators = 2)
        : m_accelerators(accelerators)
    {
        for (int i = 0; i < workers; ++i)
            m_workers["w" + std::to_string(i)] = {};
        start();
        run([] {});
    }
    ~FakePlatform() override { stop(); }

    std::string url() { return "http://127.0.0.1:" + std::to_string(m_port); }

    /// Runs work on the fake's thread and waits for it.
    void run(const std::function<void()>& work)
    {
        std::promise<void> done;
        post([&] {
            work();
            done.set_value();
        });
        done.get_future().wait();
    }

    void setTaskState(const std::string& job, const std::string& state)
    {
        run([&] { forEachTask(job, [&](Task& task) { task.state = state; }); });
    }

    /// @return number of workers on which the job has a task in this state.
    int countWorkers(const std::string& job, const std::string& state)
    {
        int result = 0;
        run([&] { forEachTask(job, [&](Task& task) { result += task.state == state ? 1 : 0; }); });
        return result;
    }

    /// @return number of successful start calls of an attempt.
    int startCount(const std::string& job, int attempt)
    {
        int result = 0;
        run([&] { result = m_starts[job][attempt]; });
        return result;
    }

    int renewals(const std::string& worker)
    {
        int result = 0;
        run([&] { result = m_workers[worker].renewals; });
        return result;
    }

    std::map<std::string, Worker> m_workers;
    /// Successful start calls, by job and attempt.
    std::map<std::string, std::map<int, int>> m_starts;
    /// Largest number of attempts of one job that ran at the same time.
    std::size_t m_maxConcurrentAttempts = 0;
    int m_checkpoints = 0;

protected:
    void onStart() override
    {
        m_server = std::make_unique<transport::HttpServer>(loop(), transport::HttpServerOptions {},
            [this](const transport::HttpRequest& request, const transport::HttpResponder& respond) {
                handle(request, respond);
            });
        m_port = m_server->port();
    }
    void onStop() override { m_server.reset(); }
    void onMessage(std::function<void()> work) override { work(); }

private:
    using Json = nlohmann::json;

    template <typename Visit> void forEachTask(const std::string& job, Visit visit)
    {
        for (auto& [id, worker] : m_workers) {
            for (Task& task : worker.tasks) {
                if (task.job == job)
                    visit(task);
            }
        }
    }

    void handle(const transport::HttpRequest& request, const transport::HttpResponder& respond)
    {
        if (request.path == "/workers") {
            respond({ .status = 200, .headers = {}, .body = listWorkers().dump() });
            return;
        }
        auto slash = request.path.rfind('/');
        std::string id = request.path.substr(9, slash - 9);
        std::string action = request.path.substr(slash + 1);
        Worker& worker = m_workers[id];
        if (worker.unansweredCalls.contains(action) || worker.unansweredCalls.contains("all")) {
            m_unansweredRequests.push_back(respond);
            return;
        }
        Json body = Json::parse(request.body);
        std::string error = execute(worker, action, body);
        Json response = error.empty() ? Json { { "epoch", worker.epoch } }
                                      : Json { { "error", error }, { "epoch", worker.epoch } };
        if (error.empty() && action == "renew")
            renew(worker, body, response);
        if (error.empty() && (action == "renew" || action == "fence"))
            response["tasks"] = listTasks(worker);
        respond({ .status = error.empty() ? 200 : 409, .headers = {}, .body = response.dump() });
    }

    std::string execute(Worker& worker, const std::string& action, const Json& body)
    {
        if (body.contains("epoch") && body["epoch"].get<std::uint64_t>() < worker.epoch)
            return "fenced";
        if (body.contains("epoch"))
            worker.epoch = body["epoch"];
        if (action == "fence" || action == "renew")
            return {};
        auto task = std::find_if(worker.tasks.begin(), worker.tasks.end(),
            [&](const Task& entry) { return entry.job == body["job"] && entry.attempt == body["attempt"]; });
        bool found = task != worker.tasks.end();
        if (action == "lease")
            return lease(worker, body);
        if (action == "release") {
            if (found)
                worker.tasks.erase(task);
            return {};
        }
        if (action == "checkpoint") {
            ++m_checkpoints;
            return {};
        }
        if (!found || worker.rejectsStarts)
            return "no_lease";
        task->state = "running";
        ++m_starts[task->job][task->attempt];
        std::set<int> attempts;
        forEachTask(task->job, [&](Task& other) {
            if (other.state == "running")
                attempts.insert(other.attempt);
        });
        m_maxConcurrentAttempts = std::max(m_maxConcurrentAttempts, attempts.size());
        return {};
    }

    static std::string lease(Worker& worker, const Json& body)
    {
        std::vector<int> wanted = body["accelerators"];
        for (const Task& task : worker.tasks) {
            for (int index : wanted) {
                if (std::find(task.accelerators.begin(), task.accelerators.end(), index) != task.accelerators.end())
                    return "occupied";
            }
        }
        worker.tasks.push_back({ .job = body["job"],
            .attempt = body["attempt"],
            .epoch = body["epoch"],
            .sequence = body["sequence"],
            .state = "leased",
            .accelerators = wanted });
        return {};
    }

    static void renew(Worker& worker, const Json& body, Json& response)
    {
        ++worker.renewals;
        response["renewed"] = Json::array();
        response["lost"] = Json::array();
        for (const Json& lease : body["leases"]) {
            bool held = std::any_of(worker.tasks.begin(), worker.tasks.end(), [&](const Task& task) {
                return task.job == lease["job"] && task.attempt == lease["attempt"] && task.state != "lapsed";
            });
            response[held ? "renewed" : "lost"].push_back(lease["job"]);
        }
    }

    static Json listTasks(const Worker& worker)
    {
        Json tasks = Json::array();
        for (const Task& task : worker.tasks)
            tasks.push_back({ { "job", task.job }, { "attempt", task.attempt }, { "epoch", task.epoch },
                { "sequence", task.sequence }, { "state", task.state }, { "accelerators", task.accelerators },
                { "reason", "" } });
        return tasks;
    }

    Json listWorkers() const
    {
        Json workers = Json::array();
        for (const auto& [id, worker] : m_workers)
            workers.push_back({ { "id", id }, { "rack", "r0" }, { "position", 0 }, { "accelerators", m_accelerators },
                { "address", "127.0.0.1:" + std::to_string(m_port) } });
        return { { "workers", workers } };
    }

    int m_accelerators;
    std::uint16_t m_port = 0;
    std::unique_ptr<transport::HttpServer> m_server;
    std::vector<transport::HttpResponder> m_unansweredRequests;
};

} // namespace lentilsaddle::coordination
