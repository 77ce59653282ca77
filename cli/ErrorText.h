/// @file
/// Text of an error with its causes.
#pragma once

#include <exception>
#include <string>

namespace lentilsaddle::cli {

/// @return the message of an error and of the nested errors that caused it, separated by colons.
std::string errorText(const std::exception& error);

} // namespace lentilsaddle::cli
