/// @file
/// YAML encoding of the settings.
#pragma once

#include <string>

namespace lentilsaddle::state {
struct Settings;
}

namespace lentilsaddle::protocol {

/// Reads and checks a settings file.
/// @param file path of the file.
/// @throws ProtocolError naming file, line, key and allowed range; unknown, repeated and missing keys are errors.
state::Settings readSettings(const std::string& file);

/// Reads and checks settings from a text.
/// @param name name for error messages.
state::Settings parseSettings(const std::string& text, const std::string& name);

} // namespace lentilsaddle::protocol
