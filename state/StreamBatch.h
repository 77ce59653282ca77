/// @file
/// Records delivered from a log stream.
#pragma once

#include "state/Record.h"

#include <vector>

namespace lentilsaddle::state {

/// Consecutive records of one stream.
struct StreamBatch {
    struct Entry {
        LogOffset offset = 0;
        Record record;
    };

    std::vector<Entry> entries;
    /// Offset of the first record that this batch could have held.
    LogOffset firstOffset = 0;
    /// Offset after the last record.
    LogOffset nextOffset = 0;
    /// Records before firstOffset have expired unread: the reader must find a snapshot before it serves again.
    bool gap = false;
    /// The batch reaches the end of the stream.
    bool caughtUp = false;
};

} // namespace lentilsaddle::state
