/// @file
/// Strongly typed string identifiers.
#pragma once

#include <compare>
#include <functional>
#include <string>
#include <utility>

namespace lentilsaddle::state {

/// String identifier that cannot be mixed up with the identifier of another kind of object.
/// @tparam Tag type that only distinguishes the kinds.
template <typename Tag> class Identifier {
public:
    Identifier() = default;
    explicit Identifier(std::string value)
        : m_value(std::move(value))
    {
    }

    const std::string& value() const { return m_value; }
    bool empty() const { return m_value.empty(); }
    auto operator<=>(const Identifier&) const = default;

private:
    std::string m_value;
};

using AccountId = Identifier<struct AccountTag>;
using DataCentreId = Identifier<struct DataCentreTag>;
using InstanceId = Identifier<struct InstanceTag>;
using JobId = Identifier<struct JobTag>;
using PatchId = Identifier<struct PatchTag>;
using RackId = Identifier<struct RackTag>;
using RequestId = Identifier<struct RequestTag>;
using ServiceId = Identifier<struct ServiceTag>;
using WorkerId = Identifier<struct WorkerTag>;

} // namespace lentilsaddle::state

template <typename Tag> struct std::hash<lentilsaddle::state::Identifier<Tag>> {
    std::size_t operator()(const lentilsaddle::state::Identifier<Tag>& id) const noexcept
    {
        return std::hash<std::string> {}(id.value());
    }
};
