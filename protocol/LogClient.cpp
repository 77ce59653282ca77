#include "protocol/LogClient.h"

#include "protocol/JsonReader.h"
#include "protocol/ProtocolError.h"
#include "transport/HttpClient.h"

#include <absl/strings/escaping.h>

#include <limits>
#include <utility>

namespace lentilsaddle::protocol {

using nlohmann::json;

namespace {

    constexpr int statusOk = 200;
    constexpr int statusCreated = 201;
    constexpr int statusGone = 410;

    state::LogOffset readOffset(JsonReader& reader, const std::string& name)
    {
        return static_cast<state::LogOffset>(reader.integer(name, 0, std::numeric_limits<long>::max()));
    }

    LogClient::EncodedRecord decodeEntry(const json& value)
    {
        JsonReader reader(value, "records");
        LogClient::EncodedRecord record { .offset = readOffset(reader, "offset"), .bytes = {} };
        if (!absl::Base64Unescape(reader.string("data"), &record.bytes))
            throw ProtocolError(reader.path("data"), "must be base64");
        return record;
    }

    LogClient::ReadResult decodeRead(const transport::HttpResponse& response)
    {
        LogClient::ReadResult result;
        if (response.status != statusOk && response.status != statusGone) {
            result.error = "status " + std::to_string(response.status);
            return result;
        }
        json document = JsonReader::parse(response.body);
        JsonReader reader(document, "");
        result.oldestOffset = readOffset(reader, "oldest_offset");
        if (response.status == statusGone) {
            result.status = LogClient::ReadResult::Status::Expired;
            return result;
        }
        result.nextOffset = readOffset(reader, "next_offset");
        for (const json& entry : reader.array("records"))
            result.records.push_back(decodeEntry(entry));
        result.status = LogClient::ReadResult::Status::Records;
        return result;
    }

    LogClient::AppendResult toAppendResult(const transport::HttpResult& httpResult)
    {
        using Status = LogClient::AppendResult::Status;
        if (httpResult.failure == transport::HttpFailure::NotSent)
            return { .status = Status::NotSent, .firstOffset = 0, .error = httpResult.error };
        if (httpResult.failure != transport::HttpFailure::None)
            return { .status = Status::Unresolved, .firstOffset = 0, .error = httpResult.error };
        // An error status does not prove that the service has not appended the records.
        if (httpResult.response.status != statusOk && httpResult.response.status != statusCreated)
            return { .status = Status::Unresolved,
                .firstOffset = 0,
                .error = "status " + std::to_string(httpResult.response.status) };
        try {
            json document = JsonReader::parse(httpResult.response.body);
            JsonReader reader(document, "");
            return { .status = Status::Appended, .firstOffset = readOffset(reader, "first_offset"), .error = {} };
        } catch (const ProtocolError& error) {
            return { .status = Status::Unresolved, .firstOffset = 0, .error = error.what() };
        }
    }

    LogClient::ReadResult toReadResult(const transport::HttpResult& httpResult)
    {
        LogClient::ReadResult result;
        result.error = httpResult.error;
        if (httpResult.failure != transport::HttpFailure::None)
            return result;
        try {
            return decodeRead(httpResult.response);
        } catch (const ProtocolError& error) {
            result.error = error.what();
            return result;
        }
    }

} // namespace

struct LogClient::Implementation {
    std::string platformUrl;
    transport::HttpClient http;

    std::string recordsUrl(const std::string& stream) const
    {
        return platformUrl + "/log/streams/" + stream + "/records";
    }
};

LogClient::LogClient(transport::EventLoop& loop, std::string platformUrl)
    : m_implementation(new Implementation { .platformUrl = std::move(platformUrl), .http = { loop, {} } })
{
}

LogClient::~LogClient() = default;

void LogClient::append(const std::string& stream, const std::vector<std::string>& records,
    std::chrono::milliseconds timeout, AppendCallback callback)
{
    json encoded = json::array();
    for (const std::string& record : records)
        encoded.push_back(absl::Base64Escape(record));
    transport::HttpCall call {
        .method = "POST",
        .url = m_implementation->recordsUrl(stream),
        .headers = { { "content-type", "application/json" } },
        .body = json({ { "records", std::move(encoded) } }).dump(),
        .timeout = timeout,
    };
    m_implementation->http.send(call, [callback = std::move(callback)](const transport::HttpResult& httpResult) {
        callback(toAppendResult(httpResult));
    });
}

void LogClient::read(const std::string& stream, state::LogOffset offset, std::size_t maximumRecords,
    std::chrono::milliseconds wait, std::chrono::milliseconds timeout, ReadCallback callback)
{
    transport::HttpCall call {
        .method = "GET",
        .url = m_implementation->recordsUrl(stream) + "?offset=" + std::to_string(offset)
            + "&max=" + std::to_string(maximumRecords) + "&wait_ms=" + std::to_string(wait.count()),
        .headers = {},
        .body = {},
        .timeout = wait + timeout,
        .stallTimeout = timeout,
        .repeatable = true,
    };
    m_implementation->http.send(call, [callback = std::move(callback)](const transport::HttpResult& httpResult) {
        callback(toReadResult(httpResult));
    });
}

} // namespace lentilsaddle::protocol
