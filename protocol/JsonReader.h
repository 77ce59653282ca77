/// @file
/// Checked access to the fields of a JSON object.
#pragma once

#include <nlohmann/json.hpp>

#include <set>
#include <string>

namespace lentilsaddle::protocol {

/// Reads and validates the fields of one JSON object. The getters throw ProtocolError with the path of the field if a
/// required field is missing, has the wrong type or is outside the range from `low` to `high`, both inclusive.
class JsonReader {
public:
    /// @throws ProtocolError if the value is not an object.
    JsonReader(const nlohmann::json& object, std::string path);

    /// Parses a document.
    /// @throws ProtocolError with field `body` if the text is not valid JSON or is nested too deeply to be copied or
    /// serialised.
    static nlohmann::json parse(const std::string& text);

    /// @return whether the field is present and not null.
    bool has(const std::string& name);
    std::string string(const std::string& name);
    std::string stringOr(const std::string& name, const std::string& fallback);
    long integer(const std::string& name, long low, long high);
    long integerOr(const std::string& name, long low, long high, long fallback);
    double numberOr(const std::string& name, double low, double high, double fallback);
    bool booleanOr(const std::string& name, bool fallback);
    const nlohmann::json& array(const std::string& name);
    const nlohmann::json& object(const std::string& name);

    /// @return path of a field for error messages.
    std::string path(const std::string& name) const;

    /// @throws ProtocolError if the object has a field that was not read.
    void requireNoOtherFields() const;

private:
    const nlohmann::json& require(const std::string& name);

    const nlohmann::json& m_object;
    std::string m_path;
    std::set<std::string> m_readFields;
};

} // namespace lentilsaddle::protocol
