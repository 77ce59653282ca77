/// @file
/// Task that serves one stand-in.
#pragma once

#include "transport/HttpServer.h"
#include "transport/Task.h"

#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace lentilsaddle::standin {

/// Owns the listening sockets and the state of a stand-in. Receives HTTP requests only, so its mailbox stays empty.
class StandinTask : public transport::Task<std::monostate> {
public:
    struct Listeners {
        std::string address = "127.0.0.1";
        std::uint16_t firstPort = 0;
        /// Consecutive ports.
        int count = 1;
        unsigned connectionsPerPort = 4096;
    };

    /// @param listeners ports that are opened when the task starts.
    explicit StandinTask(Listeners listeners);

    /// Runs the task until the process gets SIGTERM or SIGINT. Call it before any other thread starts.
    void runUntilTerminated();

protected:
    /// Handles one request.
    /// @param listener index of the port, from 0.
    virtual void onRequest(int listener, transport::HttpRequest request, transport::HttpResponder responder) = 0;

    const Listeners& listeners() const { return m_listeners; }

    void onStart() override;
    void onStop() override;
    void onMessage(std::monostate) override { }

private:
    void openListener(int index);

    Listeners m_listeners;
    std::vector<std::unique_ptr<transport::HttpServer>> m_servers;
};

} // namespace lentilsaddle::standin
