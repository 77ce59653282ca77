/// @file
/// Error of the coordination layer.
#pragma once

#include <stdexcept>

namespace lentilsaddle::coordination {

/// Failure that prevents a task from running. Wraps the error of the lower layer by std::throw_with_nested.
class CoordinationError : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

} // namespace lentilsaddle::coordination
