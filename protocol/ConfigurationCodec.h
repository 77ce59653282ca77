/// @file
/// JSON encoding of the configuration.
#pragma once

#include <string>

namespace lentilsaddle::state {
struct Configuration;
}

namespace lentilsaddle::protocol {

/// Encodes a configuration as a JSON document; the version is part of it.
std::string encodeConfiguration(const state::Configuration& configuration);

/// Decodes and validates a JSON document.
/// @throws ProtocolError naming the offending field; unknown fields are errors.
state::Configuration decodeConfiguration(const std::string& document);

/// Applies a JSON Merge Patch (RFC 7396) to a configuration. Has the signature of
/// state::ConfigurationHistory::ApplyPatch.
/// @throws state::StateError naming the offending field.
state::Configuration applyMergePatch(const state::Configuration& base, const std::string& mergePatch);

} // namespace lentilsaddle::protocol
