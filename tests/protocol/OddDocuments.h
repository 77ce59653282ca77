/// @file
/// Documents with values that a reader of outside data must survive.
#pragma once

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace lentilsaddle::testing_support {

/// @return copies of the document, in each of which one value, at any level, is replaced by an odd one: another type,
/// a number outside of every range, an address with a port out of range, control characters, very deep nesting.
std::vector<std::string> documentsWithOneOddValue(const nlohmann::json& document);

/// @return a JSON array that holds an array, and so on, to a depth at which recursion overflows the stack.
std::string deeplyNestedArray();

} // namespace lentilsaddle::testing_support
