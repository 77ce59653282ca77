/// @file
/// Range check of integer fields.
#pragma once

#include <string>

namespace lentilsaddle::state {

/// @param field path of the field for the error.
/// @throws StateError if the value is not within the bounds, which are allowed values themselves.
void requireRange(const std::string& field, int value, int low, int high);

} // namespace lentilsaddle::state
