/// @file
/// Record of the operator's stream about the evacuation of a data centre.
#pragma once

#include "state/Identifier.h"

#include <cstdint>

namespace lentilsaddle::state::batch {

/// Request to start nothing more in a data centre, or the end of that request.
struct EvacuationRecord {
    DataCentreId dataCentre;
    /// False if the record ends the evacuation.
    bool requested = false;
    /// Position in the stream, which orders the records.
    std::uint64_t offset = 0;

    bool operator==(const EvacuationRecord&) const = default;
};

} // namespace lentilsaddle::state::batch
