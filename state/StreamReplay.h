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
/// A snapshot names the offset up to which it holds the state. Records between that offset and the snapshot's own
/// place are applied after it, so they are kept until a usable snapshot appears.
class StreamReplay {
public:
    struct Hooks {
        /// @return the offset up to which a record replaces the stream, or nothing if it is no snapshot.
        std::function<std::optional<LogOffset>(const Record&)> snapshotOffset;
        /// Replaces the state by a snapshot.
        std::function<void(const Record&)> loadSnapshot;
        /// Applies one record that is no snapshot.
        std::function<void(LogOffset, const Record&)> apply;
    };

    explicit StreamReplay(Hooks hooks);

    /// Applies a batch.
    void accept(const StreamBatch& batch);

    /// Offers a snapshot that did not come from the stream. It is used only if it closes a gap.
    void offerSnapshot(const Record& snapshot);

    /// @return whether the state covers every record from the stream's start, so that it may be served from.
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
    /// Offset of the first record in m_pending or of the next one.
    LogOffset m_pendingFrom = 0;
    LogOffset m_nextOffset = 0;
    std::vector<StreamBatch::Entry> m_pending;
};

} // namespace lentilsaddle::state
