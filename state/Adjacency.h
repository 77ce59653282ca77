/// @file
/// Level of the hierarchy within which a gang's accelerators must lie.
#pragma once

#include <optional>
#include <string_view>

namespace lentilsaddle::state {

enum class Adjacency {
    Worker,
    Rack,
    DataCentre,
};

/// @return the name used in the API and in the configuration.
constexpr std::string_view toString(Adjacency adjacency)
{
    switch (adjacency) {
    case Adjacency::Worker:
        return "worker";
    case Adjacency::Rack:
        return "rack";
    case Adjacency::DataCentre:
        return "data_centre";
    }
    return "data_centre";
}

/// @return the level with that name, or nothing if the name is unknown.
constexpr std::optional<Adjacency> adjacencyFromString(std::string_view name)
{
    if (name == "worker")
        return Adjacency::Worker;
    if (name == "rack")
        return Adjacency::Rack;
    if (name == "data_centre")
        return Adjacency::DataCentre;
    return std::nullopt;
}

} // namespace lentilsaddle::state
