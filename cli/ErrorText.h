/// @file
/// Message of an exception with its nested causes.
#pragma once

#include <exception>
#include <string>

namespace lentilsaddle::cli {

/// @return the message of an exception followed by those of its nested exceptions, separated by colons.
std::string errorText(const std::exception& error);

} // namespace lentilsaddle::cli
