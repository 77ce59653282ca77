#include "state/batch/Evacuations.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <map>
#include <tuple>
#include <utility>
#include <vector>

namespace lentilsaddle::state::batch {

namespace {

    const DataCentreId east { "east" };
    const DataCentreId west { "west" };

    // Newest record of each data centre among the first `end` records of a stream.
    std::vector<EvacuationRecord> newestOf(const std::vector<EvacuationRecord>& stream, std::size_t end)
    {
        std::map<DataCentreId, EvacuationRecord> newest;
        for (std::size_t index = 0; index < end; ++index)
            newest[stream[index].dataCentre] = stream[index];
        std::vector<EvacuationRecord> listing;
        for (const auto& [dataCentre, record] : newest) {
            if (record.requested)
                listing.push_back(record);
        }
        return listing;
    }

} // namespace

// Guards against a request that is lost or revived by the order in which listings and records arrive: a listing may
// already hold what the records after it repeat, and records may be delivered again.
RC_GTEST_PROP(Evacuations, NewestRecordsHold,
    (const std::vector<std::pair<bool, bool>>& changes,
        const std::vector<std::tuple<bool, unsigned, unsigned>>& deliveries))
{
    std::vector<EvacuationRecord> stream;
    stream.reserve(changes.size());
    for (const auto& [first, requested] : changes)
        stream.push_back({ .dataCentre = first ? east : west, .requested = requested, .offset = stream.size() });
    Evacuations evacuations;
    std::size_t position = 0;
    auto deliverUntil = [&](std::size_t end) {
        for (; position < end; ++position)
            evacuations.apply(stream[position]);
    };
    for (const auto& [listing, advance, repeated] : deliveries) {
        std::size_t end = position + advance % (stream.size() - position + 1);
        if (listing)
            evacuations.replace(newestOf(stream, end));
        else
            deliverUntil(end);
        position -= repeated % (position + 1);
    }
    deliverUntil(stream.size());
    std::vector<EvacuationRecord> expected = newestOf(stream, stream.size());
    for (const DataCentreId& dataCentre : { east, west })
        RC_ASSERT(evacuations.contains(dataCentre)
            == std::any_of(expected.begin(), expected.end(),
                [&](const EvacuationRecord& record) { return record.dataCentre == dataCentre; }));
}

// Guards against a log and a metric that miss an evacuation that ended while the stream could not be read.
TEST(Evacuations, ListingReportsWhatChanged)
{
    Evacuations evacuations;
    EXPECT_TRUE(evacuations.apply({ .dataCentre = east, .requested = true, .offset = 1 }));
    EXPECT_FALSE(evacuations.apply({ .dataCentre = east, .requested = true, .offset = 2 }));
    std::vector<EvacuationRecord> changes
        = evacuations.replace({ { .dataCentre = west, .requested = true, .offset = 4 } });
    ASSERT_EQ(changes.size(), 2U);
    EXPECT_EQ(changes[0], (EvacuationRecord { .dataCentre = west, .requested = true, .offset = 4 }));
    EXPECT_EQ(changes[1], (EvacuationRecord { .dataCentre = east, .requested = false, .offset = 2 }));
    EXPECT_FALSE(evacuations.contains(east));
    EXPECT_TRUE(evacuations.contains(west));
}

} // namespace lentilsaddle::state::batch
