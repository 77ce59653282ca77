#include "transport/CallbackGuard.h"

#include "transport/Logger.h"

#include <exception>

namespace lentilsaddle::transport {

void logUnexpectedError(const char* callback)
{
    try {
        throw;
    } catch (const std::exception& error) {
        writeLog(LogLevel::Error, "task", "unexpected error", { { "callback", callback }, { "error", error.what() } });
    } catch (...) {
        writeLog(LogLevel::Error, "task", "unexpected error",
            { { "callback", callback }, { "error", "not a standard exception" } });
    }
}

} // namespace lentilsaddle::transport
