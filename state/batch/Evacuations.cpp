#include "state/batch/Evacuations.h"

#include <utility>

namespace lentilsaddle::state::batch {

bool Evacuations::apply(const EvacuationRecord& record)
{
    auto [known, added] = m_records.try_emplace(record.dataCentre, record);
    if (added)
        return record.requested;
    if (record.offset < known->second.offset)
        return false;
    bool changed = known->second.requested != record.requested;
    known->second = record;
    return changed;
}

std::vector<EvacuationRecord> Evacuations::replace(const std::vector<EvacuationRecord>& listing)
{
    std::map<DataCentreId, EvacuationRecord> before = std::exchange(m_records, {});
    for (const EvacuationRecord& record : listing)
        apply(record);
    std::vector<EvacuationRecord> changes;
    for (const auto& [dataCentre, record] : m_records) {
        auto known = before.find(dataCentre);
        bool wasEvacuated = known != before.end() && known->second.requested;
        if (record.requested != wasEvacuated)
            changes.push_back(record);
    }
    for (auto& [dataCentre, record] : before) {
        if (!record.requested || m_records.contains(dataCentre))
            continue;
        record.requested = false;
        changes.push_back(record);
    }
    return changes;
}

bool Evacuations::contains(const DataCentreId& dataCentre) const
{
    auto known = m_records.find(dataCentre);
    return known != m_records.end() && known->second.requested;
}

} // namespace lentilsaddle::state::batch
