#include "protocol/JsonReader.h"

#include "protocol/ProtocolError.h"

#include <utility>

namespace lentilsaddle::protocol {

using nlohmann::json;

namespace {

    // The JSON library copies and serialises a document recursively, one call for each level.
    constexpr int maximumNestingDepth = 64;

    bool isNestedTooDeeply(const std::string& text)
    {
        int depth = 0;
        bool inString = false;
        for (std::size_t position = 0; position < text.size(); ++position) {
            char c = text[position];
            if (inString && c == '\\')
                ++position;
            else if (c == '"')
                inString = !inString;
            else if (!inString && (c == '[' || c == '{') && ++depth > maximumNestingDepth)
                return true;
            else if (!inString && (c == ']' || c == '}'))
                --depth;
        }
        return false;
    }

} // namespace

JsonReader::JsonReader(const json& object, std::string path)
    : m_object(object)
    , m_path(std::move(path))
{
    if (!object.is_object())
        throw ProtocolError(m_path.empty() ? "body" : m_path, "must be a JSON object");
}

json JsonReader::parse(const std::string& text)
{
    if (isNestedTooDeeply(text))
        throw ProtocolError("body", "must have at most " + std::to_string(maximumNestingDepth) + " levels of nesting");
    try {
        return json::parse(text);
    } catch (const json::exception& error) {
        throw ProtocolError("body", std::string("is not valid JSON: ") + error.what());
    }
}

std::string JsonReader::path(const std::string& name) const
{
    return m_path.empty() ? name : m_path + "." + name;
}

bool JsonReader::has(const std::string& name)
{
    m_readFields.insert(name);
    return m_object.contains(name) && !m_object.at(name).is_null();
}

const json& JsonReader::require(const std::string& name)
{
    if (!has(name))
        throw ProtocolError(path(name), "is required");
    return m_object.at(name);
}

std::string JsonReader::string(const std::string& name)
{
    const json& value = require(name);
    if (!value.is_string())
        throw ProtocolError(path(name), "must be a string");
    return value.get<std::string>();
}

std::string JsonReader::stringOr(const std::string& name, const std::string& fallback)
{
    return has(name) ? string(name) : fallback;
}

long JsonReader::integer(const std::string& name, long low, long high)
{
    const json& value = require(name);
    bool inRange = value.is_number_integer();
    // An unsigned value above the range of long would wrap in get<long>().
    if (inRange && value.is_number_unsigned())
        inRange = value.get<std::uint64_t>() <= static_cast<std::uint64_t>(high < 0 ? 0 : high);
    if (!inRange || value.get<long>() < low || value.get<long>() > high)
        throw ProtocolError(
            path(name), "must be an integer from " + std::to_string(low) + " to " + std::to_string(high));
    return value.get<long>();
}

long JsonReader::integerOr(const std::string& name, long low, long high, long fallback)
{
    return has(name) ? integer(name, low, high) : fallback;
}

double JsonReader::numberOr(const std::string& name, double low, double high, double fallback)
{
    if (!has(name))
        return fallback;
    const json& value = m_object.at(name);
    if (!value.is_number() || !(value.get<double>() >= low && value.get<double>() <= high))
        throw ProtocolError(path(name), "must be a number from " + std::to_string(low) + " to " + std::to_string(high));
    return value.get<double>();
}

bool JsonReader::booleanOr(const std::string& name, bool fallback)
{
    if (!has(name))
        return fallback;
    const json& value = m_object.at(name);
    if (!value.is_boolean())
        throw ProtocolError(path(name), "must be true or false");
    return value.get<bool>();
}

const json& JsonReader::array(const std::string& name)
{
    const json& value = require(name);
    if (!value.is_array())
        throw ProtocolError(path(name), "must be a JSON array");
    return value;
}

const json& JsonReader::object(const std::string& name)
{
    const json& value = require(name);
    if (!value.is_object())
        throw ProtocolError(path(name), "must be a JSON object");
    return value;
}

void JsonReader::requireNoOtherFields() const
{
    for (const auto& [name, value] : m_object.items()) {
        if (!m_readFields.contains(name))
            throw ProtocolError(path(name), "is unknown");
    }
}

} // namespace lentilsaddle::protocol
