/// @file
/// Store whose responses to all readers share one bandwidth.
#pragma once

#include "coordination/batch/JournalHooks.h"
#include "state/Time.h"
#include "transport/EventLoop.h"

#include <algorithm>
#include <chrono>
#include <functional>
#include <string>
#include <vector>

namespace lentilsaddle::coordination::batch {

/// Sends responses to reads one after the other, also those whose reader has given up, because the store does not learn
/// that in time. Has no appends and no listings of its own; tests add records.
class LimitedStore {
public:
    LimitedStore(transport::EventLoop& loop, std::size_t bytesPerSecond)
        : m_loop(loop)
        , m_bytesPerSecond(bytesPerSecond)
    {
    }

    JournalHooks hooks()
    {
        return {
            .append = [](const AppendRequest&, const std::function<void(AppendResult)>&) {},
            .read = [this](const ReadRequest& request,
                        const std::function<void(ReadResult)>& reply) { wait(request, now(), reply); },
            .newest =
                [this](Stream, const std::string&, std::chrono::milliseconds,
                    const std::function<void(NewestResult)>& reply) {
                    m_loop.startTimer(std::chrono::microseconds(0),
                        [this, reply] { reply({ .ok = true, .end = m_records.size() }); });
                },
        };
    }

    void add(std::size_t count, std::size_t valueSize)
    {
        for (std::size_t index = 0; index < count; ++index)
            m_records.push_back({ .key = "key", .value = std::string(valueSize, 'x'), .offset = m_records.size() });
    }

    std::uint64_t end() const { return m_records.size(); }
    std::size_t reads() const { return m_reads; }

private:
    static state::MonotonicTime now() { return std::chrono::steady_clock::now(); }

    void wait(const ReadRequest& request, state::MonotonicTime sent, const std::function<void(ReadResult)>& reply)
    {
        constexpr std::chrono::milliseconds step { 20 };
        if (request.from >= m_records.size() && now() < sent + request.wait) {
            m_loop.startTimer(step, [this, request, sent, reply] { wait(request, sent, reply); });
            return;
        }
        respond(request, sent + request.wait + request.timeout, reply);
    }

    void respond(
        const ReadRequest& request, state::MonotonicTime deadline, const std::function<void(ReadResult)>& reply)
    {
        constexpr std::size_t defaultBytes = 1'048'576;
        ++m_reads;
        std::size_t limit = request.maximumBytes > 0 ? request.maximumBytes : defaultBytes;
        ReadResult result { .status = ReadResult::Status::Ok, .next = request.from, .end = m_records.size() };
        std::size_t bytes = 0;
        for (; result.next < result.end && (bytes == 0 || bytes < limit); ++result.next) {
            result.records.push_back(m_records[result.next]);
            bytes += m_records[result.next].value->size();
        }
        state::MonotonicTime begin = std::max(now(), m_busyUntil);
        m_busyUntil = begin + std::chrono::microseconds(bytes * 1'000'000 / m_bytesPerSecond);
        bool inTime = begin < deadline;
        auto delay = (inTime ? m_busyUntil : deadline) - now();
        m_loop.startTimer(std::chrono::duration_cast<std::chrono::microseconds>(delay),
            [reply, inTime, result = std::move(result)] { reply(inTime ? result : ReadResult {}); });
    }

    transport::EventLoop& m_loop;
    std::size_t m_bytesPerSecond;
    std::vector<KeyedRecord> m_records;
    state::MonotonicTime m_busyUntil {};
    std::size_t m_reads = 0;
};

} // namespace lentilsaddle::coordination::batch
