#include "tests/standin/KeyedLog.h"

#include <absl/strings/escaping.h>

#include <stdexcept>
#include <utility>

namespace lentilsaddle::standin {

using nlohmann::json;

namespace {

    // Limits of a listing's page.
    constexpr std::size_t pageSize = 500;
    constexpr std::size_t pageBytes = 1'048'576;
    constexpr std::size_t lengthBytes = 4;
    constexpr std::size_t offsetBytes = 8;

    void writeNumber(std::string& output, std::uint64_t value, std::size_t bytes)
    {
        for (std::size_t index = bytes; index-- > 0;)
            output.push_back(static_cast<char>((value >> (8 * index)) & 0xff));
    }

    std::size_t readLength(const std::string& body, std::size_t position)
    {
        std::size_t value = 0;
        for (std::size_t index = 0; index < lengthBytes; ++index)
            value = (value << 8) | static_cast<unsigned char>(body.at(position + index));
        return value;
    }

} // namespace

KeyedLog::Response KeyedLog::append(const AppendRequest& request)
{
    Producer* producer = nullptr;
    if (!request.producer.empty()) {
        auto [found, added] = m_producers.try_emplace(request.producer);
        producer = &found->second;
        if (request.epoch < producer->epoch)
            return { .status = 409, .body = { { "reason", "fenced" } } };
        bool sameEpoch = !added && request.epoch == producer->epoch;
        if (sameEpoch && request.sequence == producer->sequence)
            return *producer->lastResponse;
        if (sameEpoch && request.sequence != producer->sequence + 1)
            return { .status = 409, .body = { { "reason", "seq" }, { "seq", producer->sequence + 1 } } };
    }
    if (request.expectedEnd && *request.expectedEnd != endOffset())
        return { .status = 412, .body = { { "end_offset", endOffset() } } };
    std::uint64_t offset = endOffset();
    for (std::size_t position = 0; position < request.body.size();) {
        std::size_t size = readLength(request.body, position);
        std::string content = request.body.substr(position + lengthBytes, size);
        if (content.size() != size || size == 0)
            throw std::invalid_argument("a record is cut");
        auto keySize = static_cast<unsigned char>(content[0]);
        addRecord({ .key = content.substr(1, keySize), .value = content.substr(1 + std::size_t { keySize }) });
        position += lengthBytes + size;
    }
    Response response { .body = { { "offset", offset }, { "end_offset", endOffset() } } };
    if (producer)
        *producer = {
            .epoch = request.epoch,
            .sequence = request.sequence,
            .lastResponse = std::make_shared<const Response>(response),
        };
    return response;
}

void KeyedLog::put(const std::string& key, const std::string& value)
{
    addRecord({ .key = key, .value = value });
}

void KeyedLog::addRecord(Record record)
{
    if (record.value.empty())
        m_newest.erase(record.key);
    else
        m_newest[record.key] = endOffset();
    m_records.push_back(std::move(record));
}

std::string KeyedLog::read(std::uint64_t from, std::size_t maximumBytes) const
{
    std::string output;
    writeNumber(output, endOffset(), offsetBytes);
    writeNumber(output, m_firstOffset, offsetBytes);
    for (std::uint64_t offset = from; offset < endOffset(); ++offset) {
        const Record& record = m_records[offset];
        if (offset > from && output.size() + record.key.size() + record.value.size() > maximumBytes)
            break;
        writeNumber(output, 1 + record.key.size() + record.value.size(), lengthBytes);
        output.push_back(static_cast<char>(record.key.size()));
        output += record.key + record.value;
    }
    return output;
}

json KeyedLog::newestByKey(const std::string& afterKey) const
{
    json items = json::array();
    auto next = afterKey.empty() ? m_newest.begin() : m_newest.upper_bound(afterKey);
    std::size_t bytes = 0;
    for (; next != m_newest.end() && items.size() < pageSize && bytes < pageBytes; ++next) {
        items.push_back({ { "key", next->first }, { "value", absl::Base64Escape(m_records[next->second].value) },
            { "offset", next->second } });
        bytes += m_records[next->second].value.size();
    }
    return { { "items", std::move(items) }, { "has_more", next != m_newest.end() }, { "end_offset", endOffset() } };
}

std::vector<std::string> KeyedLog::valueHistory(const std::string& key) const
{
    std::vector<std::string> values;
    for (const Record& record : m_records) {
        if (record.key == key)
            values.push_back(record.value);
    }
    return values;
}

} // namespace lentilsaddle::standin
