/// @file
/// Protobuf encoding of log records.
#pragma once

#include <string>

namespace lentilsaddle::state {
struct Record;
}

namespace lentilsaddle::protocol {

/// @return the serialized record.
std::string encodeRecord(const state::Record& record);

/// @throws ProtocolError if the bytes are not a serialized record or a field is out of range.
state::Record decodeRecord(const std::string& bytes);

} // namespace lentilsaddle::protocol
