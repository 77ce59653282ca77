/// @file
/// When a stream needs a snapshot.
#pragma once

#include "state/Time.h"

#include <chrono>
#include <cstddef>

namespace lentilsaddle::coordination {

/// Keeps a snapshot within the records that the log service keeps, and bounds what a new reader replays.
class SnapshotPolicy {
public:
    struct Options {
        /// Records after which a snapshot is due.
        std::size_t records = 1'000;
        /// Time that the log service keeps records.
        std::chrono::milliseconds retention = std::chrono::hours(48);
        /// Least age of the last snapshot when one is taken after an outage, so that a flapping connection does not
        /// fill the stream with snapshots.
        std::chrono::milliseconds minimumAgeAfterOutage = std::chrono::minutes(1);
    };

    explicit SnapshotPolicy(const Options& options);

    /// Sets the assumed time of the last snapshot. Records hold no time, so an instance that starts draws it at random
    /// within the interval: if instances are replaced more often than the interval, none would ever wait for its end.
    void assumeSnapshotAt(state::MonotonicTime time) { m_lastSnapshot = time; }

    /// Notes records that are no snapshots.
    void countRecords(std::size_t count) { m_records += count; }
    /// Notes a snapshot in the stream, by this or another instance.
    void recordSnapshot(state::MonotonicTime now);
    /// Notes a snapshot of unknown age that was read at start.
    void recordReplayedSnapshot() { m_records = 0; }
    void recordOutageEnd() { m_afterOutage = true; }

    /// @param streamLength number of records ever appended; an empty stream needs no snapshot.
    bool due(state::MonotonicTime now, std::size_t streamLength) const;

    /// @return age of the last snapshot at which the next one is due, whatever the number of records.
    std::chrono::milliseconds interval() const { return m_options.retention / 4; }

private:
    Options m_options;
    std::size_t m_records = 0;
    bool m_afterOutage = false;
    state::MonotonicTime m_lastSnapshot;
};

} // namespace lentilsaddle::coordination
