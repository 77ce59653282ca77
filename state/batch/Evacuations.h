/// @file
/// Data centres that are evacuated.
#pragma once

#include "state/Identifier.h"
#include "state/batch/EvacuationRecord.h"

#include <cstdint>
#include <map>
#include <vector>

namespace lentilsaddle::state::batch {

/// The data centres in which nothing may start, by the newest record of each.
class Evacuations {
public:
    /// Applies a record, unless a newer one of its data centre is known.
    /// @return whether the data centre became evacuated, or ceased to be.
    bool apply(const EvacuationRecord& record);

    /// Replaces everything by a listing of the stream. Data centres that it lacks are not evacuated.
    /// @return a record for each data centre that became evacuated or ceased to be. The offset of one that the listing
    /// lacks is that of its last known record.
    std::vector<EvacuationRecord> replace(const std::vector<EvacuationRecord>& listing);

    bool contains(const DataCentreId& dataCentre) const;

private:
    /// Newest record of each data centre; also ends, so that a repeated older record does not revive a request.
    std::map<DataCentreId, EvacuationRecord> m_records;
};

} // namespace lentilsaddle::state::batch
