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

/// Splits a snapshot into records of bounded size and puts them together again.
class RequestSnapshotParts {
public:
    /// About 60 bytes each, so that a record stays below 256 KiB.
    static constexpr std::size_t maximumEntries = 4000;

    /// @return the parts, at least one.
    static std::vector<Record::RequestSnapshot> split(
        const Record::RequestSnapshot& snapshot, std::size_t entriesPerPart = maximumEntries);

    /// Adds a part. Parts may repeat and come in any order.
    /// @return the whole snapshot, once its last missing part was added.
    std::optional<Record::RequestSnapshot> add(const Origin& origin, const Record::RequestSnapshot& part);

    /// Forgets the parts of snapshots that are not whole.
    void clear() { m_parts.clear(); }

private:
    /// Process that took the snapshot, offset that it covers, and number of parts.
    using SnapshotId = std::tuple<InstanceId, std::uint64_t, LogOffset, std::uint32_t>;

    std::map<SnapshotId, std::map<std::uint32_t, std::vector<Record::RequestSnapshotEntry>>> m_parts;
};

} // namespace lentilsaddle::state
