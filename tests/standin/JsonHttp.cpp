#include "tests/standin/JsonHttp.h"

#include <sstream>
#include <stdexcept>

namespace lentilsaddle::standin {

using nlohmann::json;

transport::HttpResponse jsonResponse(int status, const json& body)
{
    return { .status = status, .headers = { { "content-type", "application/json" } }, .body = body.dump() };
}

transport::HttpResponse errorResponse(int status, const std::string& error)
{
    return jsonResponse(status, { { "error", error } });
}

transport::HttpResponse droppedConnection()
{
    return { .dropConnection = true };
}

json parseObject(const std::string& body)
{
    if (body.empty())
        return json::object();
    json value = json::parse(body, nullptr, false);
    if (!value.is_object())
        throw std::invalid_argument("the body is no JSON object");
    return value;
}

std::chrono::milliseconds millisecondsOr(
    const json& object, const std::string& name, std::chrono::milliseconds fallback)
{
    return std::chrono::milliseconds(object.value(name, static_cast<std::int64_t>(fallback.count())));
}

std::vector<std::string> splitPath(const std::string& path)
{
    std::vector<std::string> parts;
    std::istringstream stream(path);
    for (std::string part; std::getline(stream, part, '/');) {
        if (!part.empty())
            parts.push_back(part);
    }
    return parts;
}

std::int64_t toJournalTime(std::chrono::steady_clock::time_point time)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(time.time_since_epoch()).count();
}

} // namespace lentilsaddle::standin
