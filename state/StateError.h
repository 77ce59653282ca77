/// @file
/// Error of the state layer.
#pragma once

#include <stdexcept>
#include <string>
#include <utility>

namespace lentilsaddle::state {

/// A value or transition that the state layer rejects. Names the offending field so that callers can report it.
class StateError : public std::runtime_error {
public:
    /// @param field path of the offending field, such as `accounts.bilbao.weight`.
    /// @param reason what is wrong with it and what is allowed.
    StateError(std::string field, const std::string& reason)
        : std::runtime_error(field + ": " + reason)
        , m_field(std::move(field))
    {
    }

    const std::string& field() const { return m_field; }

private:
    std::string m_field;
};

} // namespace lentilsaddle::state
