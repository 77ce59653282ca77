/// @file
/// One stream of the stand-in log service.
#pragma once

#include <nlohmann/json.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <vector>

namespace lentilsaddle::standin {

/// Append-only records with offsets and limited retention, kept in memory.
class LogStream {
public:
    using Time = std::chrono::steady_clock::time_point;

    struct Retention {
        /// 0 keeps all.
        std::size_t records = 0;
        /// 0 keeps records of any age.
        std::chrono::milliseconds age { 0 };
    };

    /// Appends a batch of base64 records.
    /// @return the offset of the first record.
    /// @throws std::invalid_argument if a record is not valid base64; then nothing is appended.
    std::uint64_t append(const std::vector<std::string>& records, Time now);

    /// Drops the records below an offset.
    void expireBelow(std::uint64_t offset);

    /// Drops the records that exceed the retention limits.
    void expire(const Retention& retention, Time now);

    std::uint64_t firstOffset() const { return m_firstOffset; }
    std::uint64_t nextOffset() const { return m_firstOffset + m_records.size(); }

    /// @return the response body for a read from an offset that is not expired.
    /// @param maximum largest number of records returned.
    nlohmann::json read(std::uint64_t offset, std::size_t maximum) const;

    /// @return offsets, number of records and append counts, for tests.
    nlohmann::json summary() const;

private:
    struct StoredRecord {
        std::string data;
        std::size_t bytes = 0;
        Time appended;
    };

    std::deque<StoredRecord> m_records;
    std::uint64_t m_firstOffset = 0;
    std::uint64_t m_appendRequests = 0;
    std::uint64_t m_appendedRecords = 0;
    std::uint64_t m_appendedBytes = 0;
};

} // namespace lentilsaddle::standin
