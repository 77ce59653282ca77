/// @file
/// Snapshots of a request ledger that span several records.
#pragma once

#include "state/Record.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <tuple>
#include <vector>

namespace lentilsaddle::state {

/// Splits a snapshot into parts of bounded size and reassembles them.
class RequestSnapshotParts {
public:
    /// Entries in one part. An entry has about 60 bytes, which keeps a record below 256 KiB.
    static constexpr std::size_t maximumEntriesPerPart = 4000;

    /// @return the parts, at least one.
    static std::vector<Record::RequestSnapshot> split(
        const Record::RequestSnapshot& snapshot, std::size_t entriesPerPart = maximumEntriesPerPart);

    /// Adds a part. Parts may repeat and come in any order.
    /// @return the complete snapshot, once its last missing part was added.
    std::optional<Record::RequestSnapshot> add(const Origin& origin, const Record::RequestSnapshot& part);

    /// Discards the parts of incomplete snapshots.
    void clear() { m_parts.clear(); }

private:
    /// Process that took the snapshot, offset that it covers, and number of parts.
    using SnapshotId = std::tuple<InstanceId, std::uint64_t, LogOffset, std::uint32_t>;

    std::map<SnapshotId, std::map<std::uint32_t, std::vector<Record::RequestSnapshotEntry>>> m_parts;
};

} // namespace lentilsaddle::state
