/// @file
/// YAML encoding of the settings.
#pragma once

#include <string>

namespace lentilsaddle::state {
struct Settings;
}

namespace lentilsaddle::protocol {

/// Reads and validates a settings file.
/// @param file path of the file.
/// @throws ProtocolError naming file, line, key and allowed range; unknown, repeated and missing keys are errors.
state::Settings readSettings(const std::string& file);

/// Parses and validates settings.
/// @param text content of a settings file.
/// @param name file name for error messages.
/// @throws ProtocolError as readSettings() does.
state::Settings parseSettings(const std::string& text, const std::string& name);

} // namespace lentilsaddle::protocol
