/// @file
/// Error of the coordination layer.
#pragma once

#include <stdexcept>

namespace lentilsaddle::coordination {

/// A task cannot do its work. Wraps the error of the layer below by std::throw_with_nested.
class CoordinationError : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

} // namespace lentilsaddle::coordination
