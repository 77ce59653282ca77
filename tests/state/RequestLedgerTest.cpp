#include "state/RequestLedger.h"

#include "state/RequestSnapshotParts.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <array>
#include <random>
#include <set>
#include <tuple>

namespace lentilsaddle::state {

namespace {

    constexpr std::size_t instances = 3;
    constexpr std::size_t keys = 2;

    KeyDigest keyOf(std::size_t number)
    {
        return KeyDigest::of("account", "service", std::to_string(number));
    }

    /// State without the times, which differ between replicas.
    auto contentOf(const RequestLedger& ledger, MonotonicTime now)
    {
        std::vector<std::tuple<KeyDigest, Origin, int>> content;
        for (const auto& saved : ledger.snapshot(0, now).entries)
            content.emplace_back(saved.key, saved.issuer, saved.ended ? static_cast<int>(saved.ended->outcome) : -1);
        std::sort(content.begin(), content.end());
        return content;
    }

    /// Several processes that claim, use and release the same keys, and read the stream at different speeds.
    class History {
    public:
        /// Outcomes after which a key cannot be claimed again are rare, so that most histories are long.
        void apply(int kind, std::size_t instance, std::size_t key, std::size_t choice)
        {
            if (kind < 5)
                claim(instance, key);
            else if (kind < 9)
                finish(instance, key, RequestOutcome::NotRun);
            else if (kind < 10)
                finish(instance, key, RequestOutcome::Done);
            else if (kind < 14)
                repeat(choice);
            else if (kind < 15)
                restart(instance, choice % instances);
            else
                read(instance, choice % 8);
        }

        void readAll()
        {
            for (std::size_t instance = 0; instance < instances; ++instance)
                read(instance, m_stream.size());
        }

        bool atMostOneIssuer() const
        {
            for (std::size_t key = 0; key < keys; ++key) {
                std::size_t issuers = m_ran[key];
                for (const Instance& instance : m_instances)
                    issuers += instance.active[key].has_value() ? 1 : 0;
                if (issuers > 1)
                    return false;
            }
            return true;
        }

        bool replicasAgree() const
        {
            RequestLedger full;
            for (const Record& record : m_stream)
                full.apply(record, MonotonicTime());
            return std::all_of(m_instances.begin(), m_instances.end(), [&](const Instance& instance) {
                return contentOf(instance.ledger, MonotonicTime()) == contentOf(full, MonotonicTime());
            });
        }

    private:
        struct Instance {
            RequestLedger ledger;
            std::size_t position = 0;
            std::uint64_t incarnation = 0;
            std::uint64_t sequence = 0;
            std::set<Origin> used;
            /// Claim whose request may be dispatched at any time.
            std::array<std::optional<Origin>, keys> active;
        };

        Origin nextOrigin(std::size_t instance)
        {
            Instance& self = m_instances[instance];
            return { InstanceId(std::to_string(instance)), self.incarnation, ++self.sequence };
        }

        void claim(std::size_t instance, std::size_t key)
        {
            const RequestLedger::Entry* entry = m_instances[instance].ledger.find(keyOf(key), MonotonicTime());
            if (!entry || !entry->issuer)
                m_stream.push_back(
                    { nextOrigin(instance), Record::RequestClaim { .key = keyOf(key), .request = RequestId("q") } });
        }

        void finish(std::size_t instance, std::size_t key, RequestOutcome outcome)
        {
            std::optional<Origin>& active = m_instances[instance].active[key];
            if (!active)
                return;
            m_stream.push_back({ nextOrigin(instance),
                Record::RequestEnded { .key = keyOf(key), .outcome = outcome, .claimSequence = active->sequence } });
            m_ran[key] += outcome == RequestOutcome::Done ? 1 : 0;
            active.reset();
        }

        /// Repeats a recent record, because duplicates of older ones no longer cause faults.
        void repeat(std::size_t choice)
        {
            if (!m_stream.empty())
                m_stream.push_back(m_stream[m_stream.size() - 1 - choice % std::min<std::size_t>(8, m_stream.size())]);
        }

        /// Ends a process that may have dispatched its requests. Its successor starts from the snapshot of another
        /// process.
        void restart(std::size_t instance, std::size_t source)
        {
            Instance& self = m_instances[instance];
            for (std::size_t key = 0; key < keys; ++key)
                m_ran[key] += self.active[key] ? 1 : 0;
            Record::RequestSnapshot snapshot = m_instances[source].ledger.snapshot(0, MonotonicTime());
            self = { .position = m_instances[source].position, .incarnation = self.incarnation + 1 };
            self.ledger.restore(snapshot, MonotonicTime());
        }

        void read(std::size_t instance, std::size_t count)
        {
            Instance& self = m_instances[instance];
            for (; count > 0 && self.position < m_stream.size(); --count) {
                self.ledger.apply(m_stream[self.position++], MonotonicTime());
                for (std::size_t key = 0; key < keys; ++key)
                    useOwnClaim(self, instance, key);
            }
        }

        static void useOwnClaim(Instance& self, std::size_t instance, std::size_t key)
        {
            const RequestLedger::Entry* entry = self.ledger.find(keyOf(key), MonotonicTime());
            if (!entry || !entry->issuer || entry->ended)
                return;
            const Origin& issuer = *entry->issuer;
            bool own = issuer.instance.value() == std::to_string(instance) && issuer.incarnation == self.incarnation;
            if (own && self.used.insert(issuer).second)
                self.active[key] = issuer;
        }

        std::vector<Record> m_stream;
        std::array<Instance, instances> m_instances;
        std::array<std::size_t, keys> m_ran {};
    };

    Record claimBy(const std::string& instance, std::uint64_t sequence)
    {
        return { { InstanceId(instance), 1, sequence },
            Record::RequestClaim { .key = keyOf(0), .request = RequestId("q") } };
    }

    const Origin& issuerAt(const RequestLedger& ledger, MonotonicTime now)
    {
        return *ledger.find(keyOf(0), now)->issuer;
    }

} // namespace

// Guards against two processes that dispatch the same request, and against replicas that differ, when records repeat or
// arrive late, processes crash and new ones start from a snapshot.
RC_GTEST_PROP(RequestLedger, OneIssuerForEachKeyAndReplicasAgree, ())
{
    History history;
    auto steps = *rc::gen::resize(400,
        rc::gen::container<std::vector<std::tuple<int, std::size_t, std::size_t, std::size_t>>>(
            rc::gen::tuple(rc::gen::inRange(0, 20), rc::gen::inRange<std::size_t>(0, instances),
                rc::gen::inRange<std::size_t>(0, keys), rc::gen::inRange<std::size_t>(0, 1000))));
    for (const auto& [kind, instance, key, choice] : steps) {
        history.apply(kind, instance, key, choice);
        RC_ASSERT(history.atMostOneIssuer());
    }
    history.readAll();
    RC_ASSERT(history.atMostOneIssuer());
    RC_ASSERT(history.replicasAgree());
}

// Guards against a released key that a late duplicate of a claim acquires although its issuer no longer uses it, so
// that no process could run the request; also at a reader that started from a snapshot in between.
TEST(RequestLedger, LateDuplicateOfAReleasedClaimDoesNotAcquireTheKey)
{
    RequestLedger ledger;
    MonotonicTime now;
    ledger.apply(claimBy("a", 1), now);
    ledger.apply(claimBy("b", 1), now);
    ledger.apply({ { InstanceId("a"), 1, 2 },
                     Record::RequestEnded { .key = keyOf(0), .outcome = RequestOutcome::NotRun, .claimSequence = 1 } },
        now);
    RequestLedger restored;
    restored.restore(ledger.snapshot(3, now), now);
    for (RequestLedger* replica : { &ledger, &restored }) {
        replica->apply(claimBy("a", 1), now);
        replica->apply(claimBy("b", 1), now);
        EXPECT_FALSE(replica->find(keyOf(0), now)->issuer);
        replica->apply(claimBy("b", 3), now);
        EXPECT_EQ(issuerAt(*replica, now).sequence, 3U);
    }
}

// Guards against a key that never expires, or that expires too early.
TEST(RequestLedger, KeyExpiresAfterTheWindow)
{
    RequestLedger ledger;
    MonotonicTime start;
    ledger.apply(claimBy("a", 1), start);
    MonotonicTime end = start + RequestLedger::idempotencyWindow;
    EXPECT_NE(ledger.find(keyOf(0), end - std::chrono::seconds(1)), nullptr);
    EXPECT_EQ(ledger.find(keyOf(0), end), nullptr);
    ledger.apply(claimBy("b", 1), end);
    EXPECT_EQ(issuerAt(ledger, end).instance, InstanceId("b"));
}

// Guards against two issuers when a key expires at one replica before it does at another that started later: the claim
// that acquires the key only at the first replica must still prevent a third claim from acquiring it at the second.
TEST(RequestLedger, WindowRestartsAtEachClaim)
{
    RequestLedger early;
    RequestLedger late;
    MonotonicTime start;
    early.apply(claimBy("a", 1), start);
    late.apply(claimBy("a", 1), start + std::chrono::hours(2));
    MonotonicTime second = start + RequestLedger::idempotencyWindow + std::chrono::hours(1);
    early.apply(claimBy("b", 1), second);
    late.apply(claimBy("b", 1), second);
    EXPECT_EQ(issuerAt(early, second).instance, InstanceId("b"));
    MonotonicTime third = second + std::chrono::hours(2);
    early.apply(claimBy("c", 1), third);
    late.apply(claimBy("c", 1), third);
    EXPECT_NE(issuerAt(early, third).instance, InstanceId("c"));
    EXPECT_NE(issuerAt(late, third).instance, InstanceId("c"));
}

// Guards against a snapshot that exceeds the record size limit of the log service, and against using an incomplete one.
RC_GTEST_PROP(RequestSnapshotParts, PartsInAnyOrderAreReassembled, ())
{
    Record::RequestSnapshot snapshot { .nextOffset = 7 };
    for (std::size_t i = *rc::gen::inRange<std::size_t>(0, 50); i > 0; --i)
        snapshot.entries.push_back({ .key = keyOf(i) });
    auto parts = RequestSnapshotParts::split(snapshot, *rc::gen::inRange<std::size_t>(1, 20));
    std::mt19937_64 random(*rc::gen::arbitrary<std::uint64_t>());
    std::shuffle(parts.begin(), parts.end(), random);
    RequestSnapshotParts collector;
    std::optional<Record::RequestSnapshot> complete;
    for (const Record::RequestSnapshot& part : parts) {
        RC_ASSERT(!complete);
        complete = collector.add({}, part);
    }
    RC_ASSERT(complete.has_value());
    RC_ASSERT(complete->nextOffset == snapshot.nextOffset);
    RC_ASSERT(complete->entries.size() == snapshot.entries.size());
    for (std::size_t i = 0; i < complete->entries.size(); ++i)
        RC_ASSERT(complete->entries[i].key == snapshot.entries[i].key);
}

// Guards against keys that expire before the end of their window after a restore from a snapshot.
TEST(RequestLedger, SnapshotKeepsTheAgeOfKeys)
{
    RequestLedger ledger;
    MonotonicTime start;
    ledger.apply(claimBy("a", 1), start);
    RequestLedger restored;
    MonotonicTime later = start + std::chrono::hours(20) + std::chrono::milliseconds(1500);
    restored.restore(ledger.snapshot(1, later), start);
    EXPECT_NE(restored.find(keyOf(0), start + std::chrono::hours(4) - std::chrono::seconds(2)), nullptr);
    EXPECT_EQ(restored.find(keyOf(0), start + std::chrono::hours(4)), nullptr);
}

} // namespace lentilsaddle::state
