/// @file
/// Error of the transport layer.
#pragma once

#include <stdexcept>

namespace lentilsaddle::transport {

/// A socket, library or system call failed.
class TransportError : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

} // namespace lentilsaddle::transport
