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
    /// Offset at which the batch begins.
    LogOffset firstOffset = 0;
    /// Offset after the last record.
    LogOffset nextOffset = 0;
    /// Records before firstOffset expired before they were read: the state is incomplete until a snapshot is loaded.
    bool gap = false;
    /// The batch reaches the end of the stream.
    bool caughtUp = false;
};

} // namespace lentilsaddle::state
