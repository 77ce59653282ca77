/// @file
/// Accounting of the memory that the unfinished requests of a process take.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace lentilsaddle::transport {

/// Decides which requests may take memory. Opens no socket and reads no clock. Not thread-safe.
///
/// A request is charged from its header to the end of its response. While it is *receiving* or *sending*, its client
/// can keep it from ending; such a request can be dropped to make room. While it is *running*, it cannot.
///
/// Requests of at most `smallBytes` may use the whole limit, larger ones only a part of it. Room is made by dropping
/// the request that has been without progress for longest, if that is at least the stall time, whoever its client is.
/// If none has stopped for so long, a large request finds no room; a small one drops the request without progress for
/// longest among the clients that hold at least an equal part of the bytes that can be dropped.
class BodyBudget {
public:
    using RequestId = std::uint64_t;
    using Time = std::chrono::steady_clock::time_point;
    /// Ends the connection of a dropped request. Must not call the budget.
    using DropHook = std::function<void()>;

    struct Options {
        /// Bytes of all requests together.
        std::size_t limitBytes = 0;
        /// Requests of at most this size use the room that larger ones leave.
        std::size_t smallBytes = 16'384;
        /// Part of the limit that only small requests use.
        double smallShare = 0.25;
        /// A request is dropped for a larger one only after this time without progress. Above the delay of a link and a
        /// retransmission, so that a client that is only slow is not mistaken for one that has stopped.
        std::chrono::milliseconds stallTime { 1'000 };
        /// Bytes that count as progress; a client that sends less in the stall time counts as stopped.
        std::size_t progressBytes = 4'096;
    };

    explicit BodyBudget(const Options& options);

    /// Begins to account for a request in the state "receiving".
    /// @param bytes memory that it takes now; its announced length counts at once.
    /// @return its number, or 0 if there is no room.
    RequestId open(const std::string& client, std::size_t bytes, Time now, DropHook onDrop);

    /// Changes the memory of a request. Less is always granted.
    /// @return false if there is no room; the request then keeps what it has.
    bool resize(RequestId request, std::size_t bytes, Time now);

    /// Records bytes that were received or sent.
    void recordTransfer(RequestId request, std::size_t bytes, Time now);

    /// The request has arrived completely and can no longer be dropped.
    void startRunning(RequestId request);

    /// The response is being sent; the request can be dropped again.
    void startSending(RequestId request, Time now);

    /// Ends the accounting. Requests that have been dropped or ended are ignored.
    void close(RequestId request);

    bool isOpen(RequestId request) const { return m_requests.contains(request); }
    std::size_t heldBytes() const { return m_heldBytes; }
    std::size_t heldBytes(const std::string& client) const;
    std::size_t requests() const { return m_requests.size(); }
    std::size_t limitBytes() const { return m_options.limitBytes; }

private:
    struct Request {
        std::string client;
        std::size_t bytes = 0;
        /// Bytes transferred since the last progress.
        std::size_t transferred = 0;
        Time lastProgress;
        bool running = false;
        DropHook onDrop;
    };
    using Requests = std::map<RequestId, Request>;
    struct Client {
        std::size_t bytes = 0;
        std::size_t requests = 0;
    };

    /// Drops requests until the bytes fit.
    /// @param size memory of the request that asks, after the change.
    /// @param bytes how much it would take in addition.
    /// @param exempt request that is not dropped.
    bool makeRoom(std::size_t size, std::size_t bytes, Time now, RequestId exempt);
    /// Finds the request to drop for one of the given size. Running requests are never found, and do not count towards
    /// the part of their client, because dropping cannot free their memory.
    Requests::iterator findDroppable(std::size_t size, Time now, RequestId exempt);
    std::size_t limitFor(std::size_t size) const;
    Requests::iterator remove(Requests::iterator request);

    Options m_options;
    RequestId m_nextRequest = 1;
    std::size_t m_heldBytes = 0;
    Requests m_requests;
    std::map<std::string, Client> m_clients;
};

} // namespace lentilsaddle::transport
