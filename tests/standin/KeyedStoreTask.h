/// @file
/// Stand-in for the platform's store.
#pragma once

#include "tests/standin/KeyedLog.h"
#include "tests/standin/StandinTask.h"

#include <chrono>
#include <cstdint>
#include <list>
#include <map>
#include <random>
#include <set>
#include <string>

namespace lentilsaddle::standin {

/// Serves appends, long-poll reads and listings of keyed topics, on one port for each caller. For tests: `POST
/// /control` with `refuse` (status 503), `silent` (no response), `late` and `lose` (shares of appends, 0 to 1),
/// `cut_then_refuse` (one append takes effect and its connection closes, then status 503), `delay_ms`, `forget`
/// (discards the records); `POST /put?topic=&key=` appends the body as a value; `GET /history?topic=&key=` returns all
/// values of a key. With `begin` (a name) the faults are added to those in force, and `end` (a name) removes them;
/// without either they replace all. `ports` (indexes of ports) limits them to the requests on these ports.
class KeyedStoreTask : public StandinTask {
public:
    KeyedStoreTask(Listeners listeners, std::uint64_t seed);
    ~KeyedStoreTask() override;

protected:
    void onRequest(int listener, transport::HttpRequest request, transport::HttpResponder responder) override;

private:
    struct LongPoll {
        std::string topic;
        std::uint64_t from = 0;
        std::size_t maximumBytes = 0;
        int port = 0;
        transport::HttpResponder responder;
        transport::EventLoop::TimerId timer = 0;
    };

    struct Faults {
        bool refuseRequests = false;
        bool ignoreRequests = false;
        /// Share of the appends that take effect only after a delay and get no response.
        double lateAppendShare = 0;
        /// Share of the appends that take effect at once but get no response.
        double lostResponseShare = 0;
        std::chrono::milliseconds delay { 0 };
        /// One append on each port takes effect and gets no response; later requests on that port are refused.
        bool cutThenRefuse = false;
        /// Ports on which an append was cut.
        std::set<int> cutPorts;
        /// Empty for all ports.
        std::set<int> ports;
    };

    void applyControl(const nlohmann::json& body);
    static Faults parseFaults(const nlohmann::json& body);
    /// @return the faults in force for requests on a port, combined.
    Faults faultsAt(int port) const;
    void handleStoreCall(int port, const transport::HttpRequest& request, const transport::HttpResponder& responder);
    void append(int port, const transport::HttpRequest& request, const transport::HttpResponder& responder);
    /// Marks the faults that cut one append on a port as having done so.
    void recordCut(int port);
    void read(int port, const transport::HttpRequest& request, const transport::HttpResponder& responder);
    /// Responds to the long polls whose topic has new records.
    void completeLongPolls();
    /// Closes the connection without a response, after the caller has timed out.
    void closeWithoutResponse(const transport::HttpResponder& responder);
    bool drawFault(double share) { return std::uniform_real_distribution<>(0, 1)(m_random) < share; }

    std::map<std::string, KeyedLog> m_topics;
    std::list<LongPoll> m_longPolls;
    /// Faults in force, by name.
    std::map<std::string, Faults> m_faults;
    std::mt19937_64 m_random;
};

} // namespace lentilsaddle::standin
