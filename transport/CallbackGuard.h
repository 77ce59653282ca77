/// @file
/// Containment of exceptions that a callback does not handle.
#pragma once

#include <utility>

namespace lentilsaddle::transport {

/// Logs the exception that is being handled. Call within a catch block.
/// @param callback kind of the callback that threw it.
void logUnexpectedError(const char* callback);

/// Runs a callback. An exception that it does not handle is logged and ends only this callback, because one unexpected
/// value must not end the process with everything else that it serves.
/// @param kind kind of the callback, for the log.
/// @return whether the callback returned without an exception.
template <typename Callback> bool runGuarded(const char* kind, Callback&& callback)
{
    try {
        std::forward<Callback>(callback)();
        return true;
    } catch (...) {
        logUnexpectedError(kind);
        return false;
    }
}

} // namespace lentilsaddle::transport
