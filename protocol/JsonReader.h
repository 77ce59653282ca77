/// @file
/// Checked access to the fields of a JSON object.
#pragma once

#include <nlohmann/json.hpp>

#include <set>
#include <string>

namespace lentilsaddle::protocol {

/// Reads fields of one object and reports errors with the path of the field. Fields that were not read are unknown.
class JsonReader {
public:
    /// @throws ProtocolError if the value is no object.
    JsonReader(const nlohmann::json& object, std::string path);

    /// Parses a document.
    /// @throws ProtocolError with field `body` if the text is no JSON.
    static nlohmann::json parse(const std::string& text);

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
    std::set<std::string> m_read;
};

} // namespace lentilsaddle::protocol
