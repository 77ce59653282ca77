/// @file
/// Log service of the platform for tests of one task.
#pragma once

#include "tests/coordination/FakeHttpService.h"
#include "tests/coordination/Mailbox.h"

#include <absl/strings/escaping.h>
#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace lentilsaddle::coordination {

/// Keeps every stream in one array and injects the faults of the real service.
class FakeLogService : public FakeHttpService {
public:
    enum class AppendFault {
        None,
        /// The append takes effect and is never answered.
        LoseResponse,
        /// The append is neither made nor answered.
        Drop,
    };

    FakeLogService() { start(); }
    ~FakeLogService() override { stop(); }

    void setAppendFault(AppendFault fault)
    {
        run([this, fault] { m_fault = fault; });
    }
    /// Drops the records before an offset.
    void expire(std::uint64_t oldest)
    {
        run([this, oldest] { m_oldest = oldest; });
    }
    void add(const std::string& bytes)
    {
        run([this, &bytes] {
            m_records.push_back(bytes);
            answerReads();
        });
    }
    std::vector<std::string> records()
    {
        std::vector<std::string> copy;
        run([this, &copy] { copy = m_records; });
        return copy;
    }
    /// Called with each append that arrives, before its answer.
    Mailbox<std::size_t> receivedAppends;

protected:
    void handle(const transport::HttpRequest& request, transport::HttpResponder respond) override
    {
        if (request.method == "POST")
            append(request, respond);
        else
            read(request, std::move(respond));
    }
    void onShutDown() override { m_waitingReads.clear(); }

private:
    struct WaitingRead {
        std::uint64_t offset;
        transport::HttpResponder respond;
    };

    void append(const transport::HttpRequest& request, const transport::HttpResponder& respond)
    {
        std::vector<std::string> batch;
        nlohmann::json body = nlohmann::json::parse(request.body);
        for (const auto& entry : body.at("records"))
            absl::Base64Unescape(entry.get<std::string>(), &batch.emplace_back());
        std::size_t first = m_records.size();
        if (m_fault != AppendFault::Drop)
            m_records.insert(m_records.end(), batch.begin(), batch.end());
        if (m_fault == AppendFault::None)
            respond({ .body = nlohmann::json({ { "first_offset", first } }).dump() });
        answerReads();
        receivedAppends.put(batch.size());
    }

    void read(const transport::HttpRequest& request, transport::HttpResponder respond)
    {
        std::uint64_t offset = std::stoull(request.query.at("offset"));
        if (offset < m_oldest)
            respond({ .status = 410, .body = nlohmann::json({ { "oldest_offset", m_oldest } }).dump() });
        else if (offset >= m_records.size() && request.query.at("wait_ms") != "0")
            m_waitingReads.push_back({ .offset = offset, .respond = std::move(respond) });
        else
            answer(offset, respond);
    }

    void answer(std::uint64_t offset, const transport::HttpResponder& respond)
    {
        nlohmann::json records = nlohmann::json::array();
        for (; offset < m_records.size(); ++offset)
            records.push_back({ { "offset", offset }, { "data", absl::Base64Escape(m_records[offset]) } });
        respond({ .body
            = nlohmann::json({ { "records", records }, { "next_offset", offset }, { "oldest_offset", m_oldest } })
                  .dump() });
    }

    void answerReads()
    {
        std::vector<WaitingRead> waiting = std::exchange(m_waitingReads, {});
        for (const WaitingRead& entry : waiting)
            answer(entry.offset, entry.respond);
    }

    AppendFault m_fault = AppendFault::None;
    std::uint64_t m_oldest = 0;
    std::vector<std::string> m_records;
    std::vector<WaitingRead> m_waitingReads;
};

} // namespace lentilsaddle::coordination
