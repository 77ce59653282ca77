#include "state/ConfigurationHistory.h"
#include "state/StateError.h"
#include "state/StreamReplay.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <map>

namespace lentilsaddle::state {

namespace {

    /// State of one instance. The document is the sequence of applied patches, so that a difference in order is
    /// detected.
    struct Replica {
        std::map<ConfigurationVersion, std::string> documents { { 0, "" } };
        bool reverted = false;
        ConfigurationHistory history { [this](const Configuration& base, const std::string& patch) {
            if (patch == "invalid")
                throw StateError("patch", "is invalid");
            documents[base.version + 1] = documents[base.version] + patch;
            return base;
        } };
        StreamReplay replay { {
            .snapshotOffset = [](const Record& record) -> std::optional<LogOffset> {
                if (const auto* snapshot = std::get_if<Record::ConfigurationSnapshot>(&record.body))
                    return snapshot->nextOffset;
                return std::nullopt;
            },
            .loadSnapshot =
                [this](const Record& record) {
                    const auto& snapshot = std::get<Record::ConfigurationSnapshot>(record.body);
                    Configuration configuration;
                    configuration.version = snapshot.version;
                    documents[snapshot.version] = snapshot.document;
                    history.restore(configuration, snapshot.outcomes);
                },
            .apply = [this](LogOffset,
                         const Record& record) { history.apply(std::get<Record::ConfigurationPatch>(record.body)); },
        } };

        const std::string& document() { return documents[history.current().version]; }

        void read(const std::vector<Record>& stream, LogOffset first, LogOffset end, bool gap)
        {
            StreamBatch batch { .entries = {}, .firstOffset = first, .nextOffset = end, .gap = gap, .caughtUp = true };
            for (LogOffset offset = first; offset < end; ++offset)
                batch.entries.push_back({ .offset = offset, .record = stream[offset] });
            ConfigurationVersion before = history.current().version;
            replay.accept(batch);
            reverted = reverted || history.current().version < before;
        }

        Record snapshot()
        {
            return { .origin = {},
                .body = Record::ConfigurationSnapshot { .version = history.current().version,
                    .document = document(),
                    .outcomes = history.outcomes(),
                    .nextOffset = replay.nextOffset() } };
        }
    };

    Record makePatch(int id, ConfigurationVersion base)
    {
        return { .origin = {},
            .body = Record::ConfigurationPatch { .id = PatchId(std::to_string(id)),
                .base = base,
                .mergePatch = id % 7 == 0 ? "invalid" : "[" + std::to_string(id) + "]" } };
    }

    /// Builds a stream of concurrent patches, repeated records and snapshots by readers that lag behind.
    std::vector<Record> makeStream(Replica& writer)
    {
        std::vector<Record> stream;
        auto length = *rc::gen::inRange(1, 60);
        for (int id = 1; id <= length; ++id) {
            int kind = *rc::gen::inRange(0, 10);
            if (kind == 0 && !stream.empty())
                stream.push_back(stream[*rc::gen::inRange<std::size_t>(0, stream.size())]);
            else if (kind == 1)
                stream.push_back(writer.snapshot());
            else
                stream.push_back(makePatch(id, writer.history.current().version + *rc::gen::inRange(0, 2)));
            // The writer of the next record may not have read the latest ones.
            if (*rc::gen::inRange(0, 3) > 0)
                writer.read(stream, writer.replay.nextOffset(), stream.size(), false);
        }
        writer.read(stream, writer.replay.nextOffset(), stream.size(), false);
        return stream;
    }

    void assertAgreement(Replica& replica, Replica& writer)
    {
        RC_ASSERT(!replica.reverted);
        if (!replica.replay.complete())
            return;
        RC_ASSERT(replica.history.current().version == writer.history.current().version);
        RC_ASSERT(replica.document() == writer.document());
        ConfigurationVersion accepted = 0;
        for (const Record::PatchOutcome& outcome : replica.history.outcomes()) {
            accepted += outcome.accepted ? 1 : 0;
            RC_ASSERT(writer.history.outcome(outcome.id).has_value());
            RC_ASSERT(writer.history.outcome(outcome.id)->accepted == outcome.accepted);
            RC_ASSERT(writer.history.outcome(outcome.id)->version == outcome.version);
        }
        // A repeated record must not put a rejected patch into force later.
        RC_ASSERT(accepted == replica.history.current().version);
    }

} // namespace

// Guards against different outcomes of concurrent patches at different instances, in whatever order and portions they
// read the stream, and against a version that decreases. Streams contain repeated and late records, invalid patches and
// snapshots; readers get overlapping batches, start late or miss expired records.
RC_GTEST_PROP(ConfigurationReplay, AllReplicasAgree, ())
{
    Replica writer;
    std::vector<Record> stream = makeStream(writer);
    Replica steady;
    for (LogOffset next = 0; next < stream.size();) {
        LogOffset first = *rc::gen::inRange<LogOffset>(0, next + 1);
        LogOffset end = *rc::gen::inRange<LogOffset>(next + 1, stream.size() + 1);
        steady.read(stream, first, end, false);
        next = end;
    }
    RC_ASSERT(steady.replay.complete());
    assertAgreement(steady, writer);

    Replica late;
    LogOffset oldest = *rc::gen::inRange<LogOffset>(0, stream.size());
    late.read(stream, oldest, stream.size(), oldest > 0);
    assertAgreement(late, writer);

    Replica interrupted;
    LogOffset read = *rc::gen::inRange<LogOffset>(0, stream.size());
    interrupted.read(stream, 0, read, false);
    LogOffset resumed = *rc::gen::inRange<LogOffset>(read, stream.size());
    interrupted.read(stream, resumed, stream.size(), resumed > read);
    if (!interrupted.replay.complete())
        interrupted.replay.offerSnapshot(steady.snapshot());
    RC_ASSERT(interrupted.replay.complete());
    assertAgreement(interrupted, writer);
}

} // namespace lentilsaddle::state
