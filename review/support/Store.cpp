#include "review/support/Store.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <utility>

namespace lentilsaddle::review {

using nlohmann::json;

namespace {

    constexpr std::size_t pageSize = 500;
    constexpr std::size_t rememberedAppends = 5;
    constexpr std::size_t readBytes = 1'048'576;

    void writeNumber(std::string& output, std::uint64_t value, std::size_t bytes)
    {
        for (std::size_t index = bytes; index-- > 0;)
            output.push_back(static_cast<char>((value >> (8 * index)) & 0xff));
    }

    std::size_t readLength(const std::string& body, std::size_t position)
    {
        std::size_t value = 0;
        for (std::size_t index = 0; index < 4; ++index)
            value = (value << 8) | static_cast<unsigned char>(body.at(position + index));
        return value;
    }

    std::string encodeBase64(const std::string& text)
    {
        static constexpr char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
        std::string output;
        for (std::size_t index = 0; index < text.size(); index += 3) {
            std::uint32_t group = 0;
            for (std::size_t offset = 0; offset < 3; ++offset)
                group = (group << 8)
                    | (index + offset < text.size() ? static_cast<unsigned char>(text[index + offset]) : 0U);
            for (std::size_t digit = 0; digit < 4; ++digit)
                output.push_back(index + digit <= text.size() ? digits[(group >> (18 - 6 * digit)) & 63U] : '=');
        }
        return output;
    }

    std::string queryText(const ServerRequest& request, const std::string& name)
    {
        auto found = request.query.find(name);
        return found == request.query.end() ? "" : found->second;
    }

    std::uint64_t queryNumber(const ServerRequest& request, const std::string& name)
    {
        std::string text = queryText(request, name);
        return text.empty() ? 0 : std::stoull(text);
    }

    // Key of the first record of an append, if it is a job or a cancellation; otherwise empty.
    std::string changedKey(const ServerRequest& request)
    {
        if (request.path != "/-/log-append" || request.body.size() < 6)
            return {};
        std::string key = request.body.substr(5, static_cast<unsigned char>(request.body[4]));
        return key.starts_with("j/") || key.starts_with("c/") ? key : std::string();
    }

    ServerResponse reply(int status, const json& body)
    {
        return { .status = status, .body = body.dump() };
    }

} // namespace

Store::Store(const std::vector<std::uint16_t>& ports, Log log)
    : m_log(std::move(log))
    , m_modes(ports.size(), Mode::Normal)
{
    for (std::size_t index = 0; index < ports.size(); ++index) {
        m_servers.push_back(std::make_unique<Server>(
            ports[index], [this, index](const ServerRequest& request) { return handle(index, request); }));
        m_servers.back()->start();
    }
}

Store::~Store()
{
    for (std::size_t index = 0; index < m_modes.size(); ++index)
        setMode(index, Mode::Busy);
}

void Store::setMode(std::size_t port, Mode mode)
{
    std::lock_guard lock(m_mutex);
    m_modes.at(port) = mode;
    ++m_outage;
    m_changed.notify_all();
}

void Store::goDownWith(const std::string& text)
{
    std::lock_guard lock(m_mutex);
    m_downTrigger = text;
}

bool Store::wentDown() const
{
    std::lock_guard lock(m_mutex);
    return m_wentDown;
}

void Store::put(const std::string& topic, const std::string& key, const std::string& value)
{
    std::lock_guard lock(m_mutex);
    add(m_topics[topic], { .key = key, .value = value });
    m_changed.notify_all();
}

std::string Store::newestValue(const std::string& topic, const std::string& key) const
{
    std::lock_guard lock(m_mutex);
    auto known = m_topics.find(topic);
    if (known == m_topics.end())
        return {};
    auto offset = known->second.newest.find(key);
    return offset == known->second.newest.end() ? std::string() : known->second.records[offset->second].value;
}

void Store::add(Topic& topic, Record record)
{
    if (record.value.empty())
        topic.newest.erase(record.key);
    else
        topic.newest[record.key] = topic.records.size();
    topic.records.push_back(std::move(record));
}

ServerResponse Store::handle(std::size_t port, const ServerRequest& request)
{
    std::string key = changedKey(request);
    std::string call = "store: edge-" + std::to_string(port) + " appends " + key;
    std::unique_lock lock(m_mutex);
    if (m_modes[port] == Mode::Busy) {
        if (!key.empty())
            m_log(call + " -> 503, nothing done");
        return reply(503, { { "error", "busy" } });
    }
    if (m_modes[port] == Mode::Silent) {
        m_changed.wait(lock, [&] { return m_modes[port] != Mode::Silent; });
        return { .reset = true };
    }
    std::uint64_t outage = m_outage;
    ServerResponse response = reply(404, { { "error", "unknown path" } });
    if (request.path == "/-/log-append")
        response = append(request);
    else if (request.path == "/-/log-read")
        response = read(lock, port, request);
    else if (request.path == "/-/log-newest")
        response = newest(request);
    bool lost = m_outage != outage && m_modes[port] != Mode::Normal;
    if (!key.empty())
        m_log(call + " -> " + std::to_string(response.status) + (lost ? ", stored, connection reset" : ""));
    if (lost)
        return { .reset = true };
    return response;
}

ServerResponse Store::append(const ServerRequest& request)
{
    Topic& topic = m_topics[queryText(request, "topic")];
    std::string name = queryText(request, "producer");
    std::uint64_t epoch = queryNumber(request, "epoch");
    std::uint64_t sequence = queryNumber(request, "seq");
    if (!name.empty() && topic.producers.contains(name)) {
        Producer& known = topic.producers[name];
        if (epoch < known.epoch)
            return reply(409, { { "reason", "fenced" } });
        if (epoch == known.epoch) {
            for (const auto& [number, response] : known.recent) {
                if (number == sequence)
                    return response;
            }
            if (sequence != known.sequence + 1)
                return reply(409, { { "reason", "seq" }, { "seq", known.sequence + 1 } });
        }
    }
    if (request.query.contains("at") && queryNumber(request, "at") != topic.records.size())
        return reply(412, { { "end_offset", topic.records.size() } });
    std::uint64_t offset = topic.records.size();
    for (std::size_t position = 0; position < request.body.size();) {
        std::size_t size = readLength(request.body, position);
        std::string content = request.body.substr(position + 4, size);
        auto keySize = static_cast<unsigned char>(content.at(0));
        add(topic, { .key = content.substr(1, keySize), .value = content.substr(1 + std::size_t { keySize }) });
        position += 4 + size;
    }
    ServerResponse response = reply(200, { { "offset", offset }, { "end_offset", topic.records.size() } });
    if (!name.empty()) {
        Producer& producer = topic.producers[name];
        if (producer.epoch != epoch)
            producer.recent.clear();
        producer.epoch = epoch;
        producer.sequence = sequence;
        producer.recent.emplace_back(sequence, response);
        if (producer.recent.size() > rememberedAppends)
            producer.recent.pop_front();
    }
    if (!m_downTrigger.empty() && request.body.find(m_downTrigger) != std::string::npos) {
        m_downTrigger.clear();
        m_wentDown = true;
        m_modes.assign(m_modes.size(), Mode::Busy);
        ++m_outage;
    }
    m_changed.notify_all();
    return response;
}

ServerResponse Store::read(std::unique_lock<std::mutex>& lock, std::size_t port, const ServerRequest& request)
{
    std::string name = queryText(request, "topic");
    std::uint64_t from = queryNumber(request, "from");
    auto deadline = std::chrono::steady_clock::now() + std::chrono::milliseconds(queryNumber(request, "wait_ms"));
    m_changed.wait_until(
        lock, deadline, [&] { return m_topics[name].records.size() > from || m_modes[port] != Mode::Normal; });
    const Topic& topic = m_topics[name];
    std::string body;
    writeNumber(body, topic.records.size(), 8);
    writeNumber(body, 0, 8);
    for (std::uint64_t offset = from; offset < topic.records.size() && body.size() < readBytes; ++offset) {
        const Record& record = topic.records[offset];
        writeNumber(body, 1 + record.key.size() + record.value.size(), 4);
        body.push_back(static_cast<char>(record.key.size()));
        body += record.key + record.value;
    }
    return { .status = 200, .body = std::move(body) };
}

ServerResponse Store::newest(const ServerRequest& request)
{
    const Topic& topic = m_topics[queryText(request, "topic")];
    json items = json::array();
    auto next = topic.newest.upper_bound(queryText(request, "after"));
    for (; next != topic.newest.end() && items.size() < pageSize; ++next)
        items.push_back({ { "key", next->first }, { "value", encodeBase64(topic.records[next->second].value) },
            { "offset", next->second } });
    return reply(200,
        { { "items", std::move(items) }, { "has_more", next != topic.newest.end() },
            { "end_offset", topic.records.size() } });
}

} // namespace lentilsaddle::review
