#include "cli/ErrorText.h"

namespace lentilsaddle::cli {

std::string errorText(const std::exception& error)
{
    std::string text = error.what();
    try {
        std::rethrow_if_nested(error);
    } catch (const std::exception& cause) {
        text += ": " + errorText(cause);
    }
    return text;
}

} // namespace lentilsaddle::cli
