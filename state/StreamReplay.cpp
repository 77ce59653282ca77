#include "state/StreamReplay.h"

#include <algorithm>
#include <utility>

namespace lentilsaddle::state {

StreamReplay::StreamReplay(Hooks hooks)
    : m_hooks(std::move(hooks))
{
}

void StreamReplay::accept(const StreamBatch& batch)
{
    bool restart = !m_started || batch.gap || batch.firstOffset > m_nextOffset;
    if (restart) {
        m_started = true;
        m_complete = batch.firstOffset == 0;
        m_pending.clear();
        m_pendingFrom = batch.firstOffset;
        m_nextOffset = batch.firstOffset;
    }
    for (const StreamBatch::Entry& entry : batch.entries) {
        // A batch may overlap the previous one after a retried read.
        if (entry.offset < m_nextOffset)
            continue;
        acceptEntry(entry);
        m_nextOffset = entry.offset + 1;
    }
    m_nextOffset = std::max(m_nextOffset, batch.nextOffset);
    m_caughtUp = batch.caughtUp;
    if (batch.caughtUp || batch.gap)
        m_firstRead = false;
}

void StreamReplay::acceptEntry(const StreamBatch::Entry& entry)
{
    std::optional<LogOffset> covered = m_hooks.snapshotOffset(entry.record);
    if (m_complete) {
        if (!covered)
            m_hooks.apply(entry.offset, entry.record);
        return;
    }
    if (!covered) {
        m_pending.push_back(entry);
        return;
    }
    // A snapshot that covers the stream only to an offset before the oldest buffered record would leave a gap.
    if (*covered >= m_pendingFrom)
        startFromSnapshot(entry.record, *covered);
}

void StreamReplay::offerSnapshot(const Record& snapshot)
{
    std::optional<LogOffset> covered = m_hooks.snapshotOffset(snapshot);
    if (!m_started || m_complete || !covered || *covered < m_pendingFrom)
        return;
    startFromSnapshot(snapshot, *covered);
    // The snapshot may be ahead of this reader.
    m_nextOffset = std::max(m_nextOffset, *covered);
}

void StreamReplay::startFromSnapshot(const Record& snapshot, LogOffset covered)
{
    m_hooks.loadSnapshot(snapshot);
    for (const StreamBatch::Entry& entry : m_pending) {
        if (entry.offset >= covered)
            m_hooks.apply(entry.offset, entry.record);
    }
    m_pending.clear();
    m_complete = true;
}

} // namespace lentilsaddle::state
