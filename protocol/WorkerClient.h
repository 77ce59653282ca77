/// @file
/// Control calls to workers.
#pragma once

#include "protocol/WorkerLease.h"
#include "protocol/WorkerResponse.h"
#include "state/Worker.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace lentilsaddle::transport {
class HttpClient;
struct HttpCall;
} // namespace lentilsaddle::transport

namespace lentilsaddle::protocol {

/// Client for the control API of the platform's workers. Another wire format would change only this class.
///
/// All methods must be called on the HTTP client's thread; the callback runs later, never within the call.
class WorkerClient {
public:
    using Callback = std::function<void(WorkerResponse)>;

    /// @param http must outlive this object.
    /// @param timeout time limit of each call except checkpoint().
    WorkerClient(transport::HttpClient& http, std::chrono::milliseconds timeout);

    void fence(const state::Worker& worker, std::uint64_t epoch, Callback callback);
    void lease(const state::Worker& worker, const WorkerLease& lease, const std::vector<int>& accelerators,
        std::chrono::milliseconds ttl, Callback callback);
    /// Renews all leases of one worker in one call.
    void renew(const state::Worker& worker, std::uint64_t epoch, const std::vector<WorkerLease>& leases,
        std::chrono::milliseconds ttl, Callback callback);
    void start(const state::Worker& worker, const WorkerLease& lease, const std::string& payload, Callback callback);
    /// @param limit time that the checkpoint may take.
    void checkpoint(
        const state::Worker& worker, const WorkerLease& lease, std::chrono::milliseconds limit, Callback callback);
    void stop(const state::Worker& worker, const WorkerLease& lease, Callback callback);
    void release(const state::Worker& worker, const WorkerLease& lease, Callback callback);

private:
    void send(const transport::HttpCall& call, Callback callback);

    transport::HttpClient& m_http;
    std::chrono::milliseconds m_timeout;
};

} // namespace lentilsaddle::protocol
