/// @file
/// Fake instance list of the platform for task-level tests.
#pragma once

#include "tests/coordination/FakeHttpService.h"

#include <nlohmann/json.hpp>

#include <map>
#include <string>

namespace lentilsaddle::coordination {

/// Lists live entry instances of one data centre. Each instance under test has its own list: a partition is simulated
/// by a list in which nothing listens on the addresses of the other instances.
class FakeInstanceList : public FakeHttpService {
public:
    FakeInstanceList() { start(); }
    ~FakeInstanceList() override { stop(); }

    /// @param addresses by name.
    void set(const std::map<std::string, std::string>& addresses)
    {
        nlohmann::json instances = nlohmann::json::array();
        for (const auto& [name, address] : addresses)
            instances.push_back({ { "name", name }, { "kind", "entry" }, { "address", address },
                { "data_centre", "d1" }, { "state", "live" }, { "service", "" } });
        std::string body = nlohmann::json({ { "instances", instances } }).dump();
        run([this, body] { m_body = body; });
    }

    /// Waits until the reader has handled a list that was set before the call.
    void awaitRead()
    {
        m_reads.clear();
        // The second read is sent after the response to the first one was handled.
        m_reads.take();
        m_reads.take();
    }

protected:
    void handle(const transport::HttpRequest&, transport::HttpResponder respond) override
    {
        m_reads.put(true);
        respond({ .body = m_body });
    }

private:
    Mailbox<bool> m_reads;
    std::string m_body = R"({"instances":[]})";
};

} // namespace lentilsaddle::coordination
