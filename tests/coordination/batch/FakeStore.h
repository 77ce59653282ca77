/// @file
/// In-memory store of keyed streams with fault injection.
#pragma once

#include "coordination/batch/JournalHooks.h"
#include "transport/EventLoop.h"

#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace lentilsaddle::coordination::batch {

/// Shared by the tasks of one test; each task has hooks of its own, whose replies run on its loop.
class FakeStore {
public:
    enum class AppendFault {
        None,
        /// The append is not done, and the response says so.
        Refuse,
        /// The append is done, but its response is lost.
        LoseResponse,
        /// The append is neither done nor responded to; the caller cannot know whether it will be done.
        Drop,
    };

    JournalHooks hooksFor(transport::EventLoop& loop)
    {
        return {
            .append = [this, &loop](const AppendRequest& request,
                          const std::function<void(AppendResult)>& reply) { append(loop, request, reply); },
            .read =
                [this, &loop](const ReadRequest& request, const std::function<void(ReadResult)>& reply) {
                    read(loop, request.stream, request.from, request.wait, request.timeout, reply);
                },
            .newest = [this, &loop](Stream stream, const std::string& afterKey, std::chrono::milliseconds,
                          const std::function<void(NewestResult)>& reply) { newest(loop, stream, afterKey, reply); },
        };
    }

    /// Appends on behalf of the operator or of a worker.
    void put(Stream stream, const std::string& key, const std::optional<std::string>& value)
    {
        std::lock_guard lock(m_mutex);
        store(stream, { .key = key, .value = value });
    }

    /// Sets the fault of later appends, of all tasks.
    void setAppendFault(AppendFault fault)
    {
        std::lock_guard lock(m_mutex);
        m_appendFault = fault;
    }

    /// Does the next append of a key with this prefix and closes its connection without a response. Other appends have
    /// the fault that is set.
    void closeConnectionOfNextAppend(const std::string& prefix)
    {
        std::lock_guard lock(m_mutex);
        m_closedConnectionPrefix = prefix;
    }

    /// Sets the time after which the responses to later appends arrive.
    void setAppendDelay(std::chrono::milliseconds delay)
    {
        std::lock_guard lock(m_mutex);
        m_appendDelay = delay;
    }

    /// Reads that are sent while this is set have no response and fail at their timeout.
    void setUnresponsive(bool unresponsive)
    {
        std::lock_guard lock(m_mutex);
        m_unresponsive = unresponsive;
    }

    /// The same for one stream.
    void setUnresponsive(Stream stream, bool unresponsive)
    {
        std::lock_guard lock(m_mutex);
        m_streams[stream].unresponsive = unresponsive;
    }

    /// @return whether an append of a record whose key begins with the prefix was refused.
    bool refused(const std::string& prefix)
    {
        std::lock_guard lock(m_mutex);
        auto found = m_refusedKeys.lower_bound(prefix);
        return found != m_refusedKeys.end() && found->starts_with(prefix);
    }

    /// Limits the number of records in a response to a read.
    void setReadLimit(std::size_t records)
    {
        std::lock_guard lock(m_mutex);
        m_readLimit = records;
    }

    /// Limits the number of keys in a page of a listing.
    void setPageSize(std::size_t keys)
    {
        std::lock_guard lock(m_mutex);
        m_pageSize = keys;
    }

    /// Makes one call for a page of a listing fail.
    /// @param call number of the call, counted from the first one of the store.
    void failListingCall(int call)
    {
        std::lock_guard lock(m_mutex);
        m_failedListingCall = call;
    }

    /// @return number of append requests.
    int appends()
    {
        std::lock_guard lock(m_mutex);
        return m_appends;
    }

    int listingCalls()
    {
        std::lock_guard lock(m_mutex);
        return m_listingCalls;
    }

    /// Expires all present records of a stream.
    void expire(Stream stream)
    {
        std::lock_guard lock(m_mutex);
        m_streams[stream].first = m_streams[stream].records.size();
    }

    std::vector<KeyedRecord> records(Stream stream)
    {
        std::lock_guard lock(m_mutex);
        return m_streams[stream].records;
    }

private:
    /// A repetition of one of so many appends gets the result of the first attempt.
    static constexpr std::size_t rememberedAppends = 5;

    struct StreamState {
        std::vector<KeyedRecord> records;
        std::uint64_t first = 0;
        bool unresponsive = false;
    };

    std::uint64_t store(Stream stream, KeyedRecord record)
    {
        std::vector<KeyedRecord>& records = m_streams[stream].records;
        record.offset = records.size();
        records.push_back(std::move(record));
        return records.back().offset;
    }

    AppendResult perform(const AppendRequest& request)
    {
        std::uint64_t end = m_streams[Stream::Journal].records.size();
        if (request.writer) {
            const Writer& writer = *request.writer;
            if (m_writer && writer.term < m_writer->term)
                return { .status = AppendResult::Status::Fenced };
            if (m_writer && writer.term == m_writer->term) {
                if (auto earlier = m_lastResults.find(writer.sequence); earlier != m_lastResults.end())
                    return earlier->second;
                if (writer.sequence != m_writer->sequence + 1)
                    return { .status = AppendResult::Status::OutOfSequence };
            }
        }
        if (request.expectedEnd && *request.expectedEnd != end)
            return { .status = AppendResult::Status::ConditionFailed };
        for (const KeyedRecord& record : request.records)
            store(Stream::Journal, record);
        AppendResult result { .status = AppendResult::Status::Stored, .firstOffset = end };
        if (request.writer) {
            if (!m_writer || m_writer->term != request.writer->term)
                m_lastResults.clear();
            m_writer = request.writer;
            m_lastResults[request.writer->sequence] = result;
            if (m_lastResults.size() > rememberedAppends)
                m_lastResults.erase(m_lastResults.begin());
        }
        return result;
    }

    void append(
        transport::EventLoop& loop, const AppendRequest& request, const std::function<void(AppendResult)>& reply)
    {
        std::lock_guard lock(m_mutex);
        ++m_appends;
        if (m_closedConnectionPrefix && request.records.front().key.starts_with(*m_closedConnectionPrefix)) {
            m_closedConnectionPrefix.reset();
            perform(request);
            respond(loop, reply, AppendResult { .status = AppendResult::Status::Unknown });
            return;
        }
        if (m_appendFault == AppendFault::Refuse) {
            for (const KeyedRecord& record : request.records)
                m_refusedKeys.insert(record.key);
            loop.startTimer(m_appendDelay, [reply] { reply({ .status = AppendResult::Status::NotStored }); });
            return;
        }
        if (m_appendFault == AppendFault::Drop) {
            loop.startTimer(request.timeout, [reply] { reply({ .status = AppendResult::Status::Unknown }); });
            return;
        }
        AppendResult result = perform(request);
        if (m_appendFault == AppendFault::LoseResponse) {
            loop.startTimer(request.timeout, [reply] { reply({ .status = AppendResult::Status::Unknown }); });
            return;
        }
        loop.startTimer(m_appendDelay, [reply, result] { reply(result); });
    }

    template <typename Result>
    static void respond(transport::EventLoop& loop, const std::function<void(Result)>& reply, const Result& result)
    {
        loop.startTimer(std::chrono::microseconds(0), [reply, result] { reply(result); });
    }

    void read(transport::EventLoop& loop, Stream stream, std::uint64_t from, std::chrono::milliseconds wait,
        std::chrono::milliseconds timeout, const std::function<void(ReadResult)>& reply)
    {
        std::lock_guard lock(m_mutex);
        if (m_unresponsive || m_streams[stream].unresponsive) {
            loop.startTimer(wait + timeout, [reply] { reply({ .status = ReadResult::Status::Failed }); });
            return;
        }
        StreamState& current = m_streams[stream];
        if (from < current.first) {
            respond(loop, reply, ReadResult { .status = ReadResult::Status::Expired });
            return;
        }
        if (from >= current.records.size() && wait.count() > 0) {
            std::chrono::milliseconds step { 2 };
            loop.startTimer(step, [=, this, &loop] { read(loop, stream, from, wait - step, timeout, reply); });
            return;
        }
        ReadResult result { .status = ReadResult::Status::Ok, .next = from, .end = current.records.size() };
        for (; result.next < result.end && result.records.size() < m_readLimit; ++result.next)
            result.records.push_back(current.records[result.next]);
        respond(loop, reply, result);
    }

    void newest(transport::EventLoop& loop, Stream stream, const std::string& afterKey,
        const std::function<void(NewestResult)>& reply)
    {
        std::lock_guard lock(m_mutex);
        if (++m_listingCalls == m_failedListingCall) {
            respond(loop, reply, NewestResult { .error = "failed" });
            return;
        }
        std::map<std::string, KeyedRecord> newestOfKey;
        for (const KeyedRecord& record : m_streams[stream].records)
            newestOfKey[record.key] = record;
        NewestResult result { .ok = true, .end = m_streams[stream].records.size() };
        for (auto next = newestOfKey.upper_bound(afterKey); next != newestOfKey.end(); ++next) {
            if (result.records.size() == m_pageSize) {
                result.more = true;
                break;
            }
            if (next->second.value)
                result.records.push_back(next->second);
        }
        respond(loop, reply, result);
    }

    std::mutex m_mutex;
    std::map<Stream, StreamState> m_streams;
    std::optional<Writer> m_writer;
    /// Results of the newest appends of the writer's term, by sequence number.
    std::map<std::uint64_t, AppendResult> m_lastResults;
    AppendFault m_appendFault = AppendFault::None;
    std::optional<std::string> m_closedConnectionPrefix;
    std::set<std::string> m_refusedKeys;
    std::chrono::milliseconds m_appendDelay { 0 };
    int m_appends = 0;
    bool m_unresponsive = false;
    std::size_t m_readLimit = std::numeric_limits<std::size_t>::max();
    std::size_t m_pageSize = std::numeric_limits<std::size_t>::max();
    int m_listingCalls = 0;
    int m_failedListingCall = 0;
};

} // namespace lentilsaddle::coordination::batch
