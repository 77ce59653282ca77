#include "tests/standin/LogStream.h"

#include <absl/strings/escaping.h>

#include <algorithm>
#include <stdexcept>

namespace lentilsaddle::standin {

using nlohmann::json;

std::uint64_t LogStream::append(const std::vector<std::string>& records, Time now)
{
    std::vector<StoredRecord> batch;
    for (const std::string& record : records) {
        std::string decoded;
        if (!absl::Base64Unescape(record, &decoded))
            throw std::invalid_argument("records: a record is no base64");
        batch.push_back({ .data = record, .bytes = decoded.size(), .appended = now });
    }
    std::uint64_t first = nextOffset();
    ++m_appendRequests;
    for (StoredRecord& record : batch) {
        ++m_appendedRecords;
        m_appendedBytes += record.bytes;
        m_records.push_back(std::move(record));
    }
    return first;
}

void LogStream::expireBelow(std::uint64_t offset)
{
    while (!m_records.empty() && m_firstOffset < offset) {
        m_records.pop_front();
        ++m_firstOffset;
    }
}

void LogStream::expire(const Retention& retention, Time now)
{
    if (retention.records > 0 && m_records.size() > retention.records)
        expireBelow(nextOffset() - retention.records);
    while (retention.age.count() > 0 && !m_records.empty() && m_records.front().appended + retention.age < now)
        expireBelow(m_firstOffset + 1);
}

json LogStream::read(std::uint64_t offset, std::size_t maximum) const
{
    json records = json::array();
    std::uint64_t end = std::min<std::uint64_t>(nextOffset(), offset + maximum);
    for (std::uint64_t i = offset; i < end; ++i)
        records.push_back({ { "offset", i }, { "data", m_records[i - m_firstOffset].data } });
    return { { "records", records }, { "next_offset", std::max(offset, end) }, { "oldest_offset", m_firstOffset } };
}

json LogStream::summary() const
{
    return { { "oldest_offset", m_firstOffset }, { "next_offset", nextOffset() }, { "records", m_records.size() },
        { "append_requests", m_appendRequests }, { "appended_records", m_appendedRecords },
        { "appended_bytes", m_appendedBytes } };
}

} // namespace lentilsaddle::standin
