#include "state/RequestSnapshotParts.h"

#include <algorithm>

namespace lentilsaddle::state {

std::vector<Record::RequestSnapshot> RequestSnapshotParts::split(
    const Record::RequestSnapshot& snapshot, std::size_t entriesPerPart)
{
    std::size_t count = std::max<std::size_t>(1, (snapshot.entries.size() + entriesPerPart - 1) / entriesPerPart);
    std::vector<Record::RequestSnapshot> parts(count);
    for (std::size_t number = 0; number < count; ++number) {
        Record::RequestSnapshot& part = parts[number];
        part.nextOffset = snapshot.nextOffset;
        part.part = static_cast<std::uint32_t>(number);
        part.parts = static_cast<std::uint32_t>(count);
        std::size_t first = number * entriesPerPart;
        std::size_t last = std::min(snapshot.entries.size(), first + entriesPerPart);
        for (std::size_t i = first; i < last; ++i)
            part.entries.push_back(snapshot.entries[i]);
    }
    return parts;
}

std::optional<Record::RequestSnapshot> RequestSnapshotParts::add(
    const Origin& origin, const Record::RequestSnapshot& part)
{
    if (part.part >= part.parts)
        return std::nullopt;
    SnapshotId id { origin.instance, origin.incarnation, part.nextOffset, part.parts };
    auto& known = m_parts[id];
    known[part.part] = part.entries;
    if (known.size() < part.parts)
        return std::nullopt;
    Record::RequestSnapshot complete { .entries = {}, .nextOffset = part.nextOffset };
    for (const auto& [number, entries] : known)
        complete.entries.insert(complete.entries.end(), entries.begin(), entries.end());
    m_parts.erase(id);
    return complete;
}

} // namespace lentilsaddle::state
