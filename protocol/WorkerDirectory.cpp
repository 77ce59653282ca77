#include "protocol/WorkerDirectory.h"

#include "protocol/Endpoint.h"
#include "protocol/JsonReader.h"
#include "protocol/ProtocolError.h"
#include "state/GangShape.h"
#include "transport/HttpClient.h"
#include "transport/Logger.h"

#include <limits>
#include <utility>

namespace lentilsaddle::protocol {

namespace {

    state::Worker decodeWorker(const nlohmann::json& value)
    {
        JsonReader entry(value, "workers");
        state::Worker worker {
            .id = state::WorkerId(entry.string("id")),
            .rack = state::RackId(entry.string("rack")),
            .position = static_cast<int>(entry.integerOr("position", 0, std::numeric_limits<int>::max(), 0)),
            .accelerators = static_cast<int>(entry.integer("accelerators", 0, state::maximumAcceleratorsPerTask)),
            .address = entry.string("address"),
        };
        if (!isEndpoint(worker.address))
            throw ProtocolError("workers.address", "must be an IPv4 address and a port from 1 to 65535");
        return worker;
    }

} // namespace

std::vector<state::Worker> decodeWorkers(const std::string& body)
{
    nlohmann::json document = JsonReader::parse(body);
    JsonReader reader(document, "");
    std::vector<state::Worker> workers;
    for (const nlohmann::json& value : reader.array("workers")) {
        try {
            workers.push_back(decodeWorker(value));
        } catch (const ProtocolError& error) {
            transport::writeLog(transport::LogLevel::Warning, "workers", "skipped a worker that cannot be decoded",
                { { "error", error.what() } });
        }
    }
    return workers;
}

WorkerDirectory::WorkerDirectory(
    transport::HttpClient& http, std::string platformUrl, std::chrono::milliseconds timeout)
    : m_http(http)
    , m_platformUrl(std::move(platformUrl))
    , m_timeout(timeout)
{
}

void WorkerDirectory::read(const state::DataCentreId& dataCentre, Callback callback)
{
    transport::HttpCall call {
        .url = m_platformUrl + "/workers?data_centre=" + dataCentre.value(),
        .timeout = m_timeout,
        .stallTimeout = m_timeout,
        .repeatable = true,
    };
    m_http.send(call, [callback = std::move(callback)](const transport::HttpResult& result) {
        if (result.failure != transport::HttpFailure::None || result.response.status != 200) {
            callback(std::nullopt);
            return;
        }
        std::optional<std::vector<state::Worker>> workers;
        try {
            workers = decodeWorkers(result.response.body);
        } catch (const ProtocolError& error) {
            transport::writeLog(transport::LogLevel::Warning, "workers", "the list of workers cannot be decoded",
                { { "error", error.what() } });
        }
        callback(std::move(workers));
    });
}

} // namespace lentilsaddle::protocol
