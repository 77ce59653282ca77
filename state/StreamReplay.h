/// @file
/// Start-up and gap handling shared by all readers of a log stream.
#pragma once

#include "state/StreamBatch.h"

#include <functional>
#include <optional>
#include <vector>

namespace lentilsaddle::state {

/// Applies a stream to a state machine, starting from the beginning of the stream or from a snapshot in it.
///
/// A snapshot holds the offset up to which it covers the stream. Records between that offset and the offset of the
/// snapshot itself are applied after it, so records are buffered until a usable snapshot is read.
class StreamReplay {
public:
    struct Hooks {
        /// @return the offset up to which the record covers the stream, or nothing if it is not a snapshot.
        std::function<std::optional<LogOffset>(const Record&)> snapshotOffset;
        /// Replaces the state by a snapshot.
        std::function<void(const Record&)> loadSnapshot;
        /// Applies one record other than a snapshot.
        std::function<void(LogOffset, const Record&)> apply;
    };

    explicit StreamReplay(Hooks hooks);

    /// Applies a batch.
    void accept(const StreamBatch& batch);

    /// Loads a snapshot that was not read from the stream. It is ignored unless the state is incomplete and the
    /// snapshot covers all records before the buffered ones.
    void offerSnapshot(const Record& snapshot);

    /// @return whether the state includes every record from the start of the stream, so that queries may be answered
    /// from it.
    bool complete() const { return m_complete; }

    /// @return whether the state is complete and the last batch reached the end of the stream.
    bool caughtUp() const { return m_complete && m_caughtUp; }

    /// @return whether the stream is being read for the first time, so that an incomplete state may become complete
    /// without a new record.
    bool firstRead() const { return m_firstRead; }

    /// @return offset of the next record to read.
    LogOffset nextOffset() const { return m_nextOffset; }

private:
    void acceptEntry(const StreamBatch::Entry& entry);
    void startFromSnapshot(const Record& snapshot, LogOffset covered);

    Hooks m_hooks;
    bool m_complete = false;
    bool m_caughtUp = false;
    bool m_started = false;
    bool m_firstRead = true;
    /// Offset from which m_pending holds all records.
    LogOffset m_pendingFrom = 0;
    LogOffset m_nextOffset = 0;
    std::vector<StreamBatch::Entry> m_pending;
};

} // namespace lentilsaddle::state
