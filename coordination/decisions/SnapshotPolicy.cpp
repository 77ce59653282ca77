#include "coordination/decisions/SnapshotPolicy.h"

namespace lentilsaddle::coordination {

SnapshotPolicy::SnapshotPolicy(const Options& options)
    : m_options(options)
{
}

void SnapshotPolicy::recordSnapshot(state::MonotonicTime now)
{
    m_records = 0;
    m_afterOutage = false;
    m_lastSnapshot = now;
}

bool SnapshotPolicy::due(state::MonotonicTime now, std::size_t streamLength) const
{
    if (streamLength == 0)
        return false;
    auto age = now - m_lastSnapshot;
    return m_records >= m_options.records || age >= interval()
        || (m_afterOutage && age >= m_options.minimumAgeAfterOutage);
}

} // namespace lentilsaddle::coordination
