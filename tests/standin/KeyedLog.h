/// @file
/// One topic of the stand-in for the platform's store.
#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace lentilsaddle::standin {

/// Keeps the records of one partition, the newest offset of each key, and the epoch and sequence of each producer.
class KeyedLog {
public:
    struct AppendRequest {
        /// Records, each with its length before it.
        std::string body;
        /// The append fails if the end offset differs.
        std::optional<std::uint64_t> expectedEnd;
        /// Empty for an append without fencing and deduplication.
        std::string producer;
        std::uint64_t epoch = 0;
        std::uint64_t sequence = 0;
    };

    struct Response {
        int status = 200;
        nlohmann::json body;
    };

    /// Appends records unless the epoch, the sequence or the expected end is wrong. A repeat of the last append of a
    /// producer returns the same response again.
    /// @throws std::invalid_argument or std::out_of_range if a record is incomplete.
    Response append(const AppendRequest& request);

    /// Appends one record without checking epoch, sequence or expected end.
    void put(const std::string& key, const std::string& value);

    std::uint64_t endOffset() const { return m_records.size(); }
    std::uint64_t firstOffset() const { return m_firstOffset; }

    /// Discards all records for read(); newestByKey() still returns the newest record of each key.
    void discardRecords() { m_firstOffset = endOffset(); }

    /// @return the records from an offset on, in the store's binary encoding; the first one and as many more as fit
    /// into the size limit.
    std::string read(std::uint64_t from, std::size_t maximumBytes) const;

    /// @return a page of the newest record of each key, in the order of the keys.
    /// @param afterKey last key of the previous page; empty for the first page.
    nlohmann::json newestByKey(const std::string& afterKey) const;

    /// @return all values of a key in the order of their appends, also the discarded ones.
    std::vector<std::string> valueHistory(const std::string& key) const;

private:
    struct Record {
        std::string key;
        std::string value;
    };

    struct Producer {
        std::uint64_t epoch = 0;
        std::uint64_t sequence = 0;
        std::shared_ptr<const Response> lastResponse;
    };

    void addRecord(Record record);

    std::vector<Record> m_records;
    std::uint64_t m_firstOffset = 0;
    /// Offset of the newest record of each key that has a value.
    std::map<std::string, std::uint64_t> m_newest;
    std::map<std::string, Producer> m_producers;
};

} // namespace lentilsaddle::standin
