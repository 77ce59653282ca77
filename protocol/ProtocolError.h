/// @file
/// Error of the protocol layer.
#pragma once

#include <stdexcept>
#include <string>
#include <utility>

namespace lentilsaddle::protocol {

/// A message or document that cannot be decoded. Names the offending field.
class ProtocolError : public std::runtime_error {
public:
    /// @param field path of the offending field; `body` if the message as a whole cannot be decoded.
    /// @param reason what is wrong with it and what is allowed.
    ProtocolError(std::string field, const std::string& reason)
        : std::runtime_error(field + ": " + reason)
        , m_field(std::move(field))
    {
    }

    const std::string& field() const { return m_field; }

private:
    std::string m_field;
};

} // namespace lentilsaddle::protocol
