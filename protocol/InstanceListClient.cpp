#include "protocol/InstanceListClient.h"

#include "protocol/Endpoint.h"
#include "protocol/JsonReader.h"
#include "protocol/ProtocolError.h"
#include "transport/HttpClient.h"
#include "transport/Logger.h"

#include <utility>

namespace lentilsaddle::protocol {

using nlohmann::json;

namespace {

    constexpr int statusOk = 200;

    state::InstanceInfo decodeInstance(const json& value)
    {
        JsonReader reader(value, "instances");
        state::InstanceInfo instance;
        instance.name = state::InstanceId(reader.string("name"));
        instance.dataCentre = state::DataCentreId(reader.string("data_centre"));
        instance.address = reader.string("address");
        if (!isEndpoint(instance.address))
            throw ProtocolError(reader.path("address"), "must be an IPv4 address and a port from 1 to 65535");
        instance.service = state::ServiceId(reader.stringOr("service", ""));
        std::string kind = reader.string("kind");
        if (kind != "entry" && kind != "backend_server")
            throw ProtocolError(reader.path("kind"), "must be entry or backend_server, got '" + kind + "'");
        instance.kind = kind == "entry" ? state::InstanceInfo::Kind::Entry : state::InstanceInfo::Kind::BackendServer;
        std::string state = reader.string("state");
        if (state != "live" && state != "leaving")
            throw ProtocolError(reader.path("state"), "must be live or leaving, got '" + state + "'");
        instance.state = state == "live" ? state::InstanceInfo::State::Live : state::InstanceInfo::State::Leaving;
        return instance;
    }

    std::vector<state::InstanceInfo> decodeList(const std::string& body)
    {
        json document = JsonReader::parse(body);
        JsonReader reader(document, "");
        std::vector<state::InstanceInfo> instances;
        for (const json& entry : reader.array("instances")) {
            // An entry that cannot be decoded, such as one of an unknown kind, must not make the whole list unusable.
            try {
                instances.push_back(decodeInstance(entry));
            } catch (const ProtocolError& error) {
                transport::writeLog(transport::LogLevel::Warning, "instance_list",
                    "skipped an instance that cannot be decoded", { { .key = "error", .value = error.what() } });
            }
        }
        return instances;
    }

    std::optional<std::vector<state::InstanceInfo>> decodeResponse(const transport::HttpResult& result)
    {
        if (result.failure != transport::HttpFailure::None || result.response.status != statusOk)
            return std::nullopt;
        try {
            return decodeList(result.response.body);
        } catch (const ProtocolError&) {
            return std::nullopt;
        }
    }

} // namespace

struct InstanceListClient::Implementation {
    std::string platformUrl;
    transport::HttpClient http;
};

InstanceListClient::InstanceListClient(transport::EventLoop& loop, std::string platformUrl)
    : m_implementation(new Implementation { .platformUrl = std::move(platformUrl), .http = { loop, {} } })
{
}

InstanceListClient::~InstanceListClient() = default;

void InstanceListClient::read(std::chrono::milliseconds timeout, Callback callback)
{
    transport::HttpCall call {
        .method = "GET",
        .url = m_implementation->platformUrl + "/instances",
        .headers = {},
        .body = {},
        .timeout = timeout,
        .stallTimeout = timeout,
        .repeatable = true,
    };
    m_implementation->http.send(call,
        [callback = std::move(callback)](const transport::HttpResult& result) { callback(decodeResponse(result)); });
}

} // namespace lentilsaddle::protocol
