/// @file
/// Task that serves the HTTP API of callers and operators.
#pragma once

#include "coordination/TaskEnvironment.h"
#include "coordination/api/ApiMessage.h"
#include "coordination/api/ApiTaskHooks.h"
#include "transport/HttpServer.h"
#include "transport/RefusalRecorder.h"
#include "transport/Task.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace lentilsaddle::protocol {
struct ApiStatus;
}

namespace lentilsaddle::coordination {

/// Translates HTTP requests into messages of the other tasks and their replies into HTTP responses.
class ApiTask : public transport::Task<ApiMessage> {
public:
    /// @param server listening address and limits.
    ApiTask(TaskEnvironment environment, const transport::HttpServerOptions& server, ApiTaskHooks hooks);
    ~ApiTask() override;

protected:
    void onStart() override;
    void onStop() override;
    void onMessage(ApiMessage message) override;

private:
    /// Non-empty segments of the path.
    using Path = std::vector<std::string>;
    using Responder = transport::HttpResponder;

    void route(const transport::HttpRequest& request, const Responder& respond);
    void routeJob(const transport::HttpRequest& request, const Path& path, const Responder& respond);
    void routeConfiguration(const transport::HttpRequest& request, const Path& path, const Responder& respond);
    void routeOperations(const transport::HttpRequest& request, const Path& path, const Responder& respond);

    void submitRequest(const transport::HttpRequest& request, const std::string& service, const Responder& respond);
    void submitJob(const transport::HttpRequest& request, const Responder& respond);
    void queryJob(const std::string& id, const Responder& respond);
    void cancelJob(const std::string& id, const Responder& respond);
    void submitPatch(const transport::HttpRequest& request, const Responder& respond);
    void queryPatch(const std::string& id, const Responder& respond);
    void queryConfiguration(const Responder& respond);
    void readTimeline(const transport::HttpRequest& request, const Responder& respond);
    void reportReadiness(const Responder& respond);
    void reportStatus(const Responder& respond);
    void collectSchedulerStatus(const std::shared_ptr<protocol::ApiStatus>& status, const Responder& respond);
    void collectPeerStatus(const std::shared_ptr<protocol::ApiStatus>& status, const Responder& respond);

    /// @return a callback that other tasks may call from their threads; it runs the handler on this task's thread.
    template <typename Response> std::function<void(Response)> onThisThread(std::function<void(Response)> handler);

    std::string generateId(const char* prefix) const;

    TaskEnvironment m_environment;
    transport::HttpServerOptions m_serverOptions;
    ApiTaskHooks m_hooks;
    transport::RefusalRecorder m_refusals;
    std::unique_ptr<transport::HttpServer> m_server;
    bool m_draining = false;
};

} // namespace lentilsaddle::coordination
