/// @file
/// Stand-in for the platform's store: topics of keyed records with one partition each.
#pragma once

#include "review/support/Http.h"

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace lentilsaddle::review {

/// Serves each daemon on a port of its own, so that it can turn single machines away.
class Store {
public:
    enum class Mode {
        Normal,
        /// Calls get status 503 and have no effect.
        Busy,
        /// Calls have no effect and no response while the mode lasts.
        Silent,
    };

    /// @param ports one port for each daemon.
    /// @param log gets a line for each append of a job or a cancellation.
    Store(const std::vector<std::uint16_t>& ports, Log log);
    ~Store();

    void setMode(std::size_t port, Mode mode);

    /// From now on, the first append whose records contain the text takes effect, and the store goes down at that
    /// moment: calls in flight get no response, because their connections are reset, and later calls get status 503.
    void goDownWith(const std::string& text);
    bool wentDown() const;

    /// Writes a record as the operator or a worker.
    void put(const std::string& topic, const std::string& key, const std::string& value);

    /// @return the newest value of a key; empty if there is none.
    std::string newestValue(const std::string& topic, const std::string& key) const;

private:
    struct Record {
        std::string key;
        std::string value;
    };

    struct Producer {
        std::uint64_t epoch = 0;
        std::uint64_t sequence = 0;
        /// Sequence numbers and responses of the last appends.
        std::deque<std::pair<std::uint64_t, ServerResponse>> recent;
    };

    struct Topic {
        std::vector<Record> records;
        /// Offsets of the newest records.
        std::map<std::string, std::uint64_t> newest;
        std::map<std::string, Producer> producers;
    };

    ServerResponse handle(std::size_t port, const ServerRequest& request);
    ServerResponse append(const ServerRequest& request);
    ServerResponse read(std::unique_lock<std::mutex>& lock, std::size_t port, const ServerRequest& request);
    ServerResponse newest(const ServerRequest& request);
    static void add(Topic& topic, Record record);

    Log m_log;
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, Topic> m_topics;
    std::vector<Mode> m_modes;
    std::string m_downTrigger;
    bool m_wentDown = false;
    /// Counts changes of modes; calls that began under an earlier count get no response while the store is down.
    std::uint64_t m_outage = 0;
    std::vector<std::unique_ptr<Server>> m_servers;
};

} // namespace lentilsaddle::review
