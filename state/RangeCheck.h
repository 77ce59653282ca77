/// @file
/// Range check of integer fields.
#pragma once

#include <string>

namespace lentilsaddle::state {

/// @param field path of the field for the error.
/// @throws StateError if the value is below the minimum or above the maximum.
void requireRange(const std::string& field, int value, int minimum, int maximum);

} // namespace lentilsaddle::state
