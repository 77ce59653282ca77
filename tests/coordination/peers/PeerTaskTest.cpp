#include "coordination/peers/PeerTask.h"

#include "tests/coordination/FakeInstanceList.h"
#include "tests/coordination/TestEnvironment.h"

#include <gtest/gtest.h>

#include <atomic>
#include <thread>

namespace lentilsaddle::coordination {

using state::Record;

namespace {

    using Names = std::vector<std::string>;
    /// Nothing listens on port 1.
    constexpr auto unreachableAddress = "127.0.0.1:1";

    struct Members {
        Names names;
        bool suspected = false;
    };

    /// One instance with short intervals and its own view of the instance list.
    class Instance {
    public:
        explicit Instance(const std::string& name)
            : m_name(name)
            , m_task(std::make_unique<PeerTask>(makeTestEnvironment(name, m_metrics),
                  PeerTaskOptions {
                      .platformUrl = m_list.url(),
                      .instanceListInterval = std::chrono::milliseconds(10),
                      .heartbeatInterval = std::chrono::milliseconds(20),
                      .exchangeInterval = std::chrono::milliseconds(60),
                      .suspicionTimeout = std::chrono::milliseconds(200),
                      .configurationGrace = std::chrono::milliseconds(10),
                      .relayTimeout = std::chrono::milliseconds(1'000),
                  },
                  hooks()))
        {
            m_task->start();
            m_address = "127.0.0.1:" + std::to_string(m_ports.take());
        }
        ~Instance() { stop(); }

        void stop() { m_task.reset(); }

        template <typename Body> void post(Body body) { m_task->post({ std::move(body) }); }

        PeerMessage::TimelineResponse timeline()
        {
            Mailbox<PeerMessage::TimelineResponse> responses;
            post(PeerMessage::ReadTimeline {
                .subject = "s", .reply = [&](auto response) { responses.put(std::move(response)); } });
            return responses.take();
        }

        /// Waits until the published members and the suspicion of the scheduler have these values.
        void awaitMembers(const Names& names, bool suspected = false)
        {
            members.takeUntil([&](const Members& seen) { return seen.names == names && seen.suspected == suspected; });
        }

        const std::string& name() const { return m_name; }
        const std::string& address() const { return m_address; }
        FakeInstanceList& list() { return m_list; }

        Mailbox<Members> members;
        Mailbox<Record::ConfigurationSnapshot> snapshots;
        Mailbox<Names> relayedAppends;
        std::atomic<state::ConfigurationVersion> servedVersion = 0;
        std::atomic<std::size_t> snapshotBytes = 0;
        /// Delay of the response with a snapshot; blocks the thread that serves peers.
        std::atomic<std::chrono::milliseconds> snapshotDelay { std::chrono::milliseconds(0) };
        std::atomic<bool> respondsToTimeline = true;
        std::atomic<bool> respondsToAppends = true;

    private:
        PeerTaskHooks hooks()
        {
            return {
                .onInstances = [](const auto&) {},
                .onMembers =
                    [this](const std::vector<state::InstanceInfo>& list, bool suspected) {
                        Members seen { .names = {}, .suspected = suspected };
                        for (const state::InstanceInfo& member : list)
                            seen.names.push_back(member.name.value());
                        members.put(std::move(seen));
                    },
                .readTimeline =
                    [this](const std::string& subject, const auto& reply) {
                        if (respondsToTimeline)
                            reply({ { .instance = state::InstanceId(m_name), .sequence = 1, .subject = subject } });
                    },
                .snapshotForPeer =
                    [this](const auto& reply) {
                        std::this_thread::sleep_for(snapshotDelay.load());
                        if (servedVersion == 0)
                            reply(std::nullopt);
                        else
                            reply(Record::ConfigurationSnapshot {
                                .version = servedVersion, .document = "{}" + std::string(snapshotBytes, ' ') });
                    },
                .onPeerSnapshot
                = [this](Record::ConfigurationSnapshot snapshot) { snapshots.put(std::move(snapshot)); },
                .relayRead =
                    [](const auto&, auto, auto, const auto& reply) {
                        reply({ .status = protocol::LogClient::ReadResult::Status::Records,
                            .records = { { .offset = 4, .bytes = "r" } },
                            .nextOffset = 5 });
                    },
                .relayAppend =
                    [this](const auto&, const Names& records, const auto& reply) {
                        relayedAppends.put(records);
                        if (respondsToAppends)
                            reply(true, 7);
                    },
                .onListening = [this](std::uint16_t port) { m_ports.put(port); },
            };
        }

        std::string m_name;
        std::string m_address;
        transport::Metrics m_metrics;
        FakeInstanceList m_list;
        Mailbox<std::uint16_t> m_ports;
        std::unique_ptr<PeerTask> m_task;
    };

    /// Makes the instances of each group reach each other only: the other groups get an address on which nothing
    /// listens.
    void setPartitions(const std::vector<std::vector<Instance*>>& groups)
    {
        for (std::size_t viewer = 0; viewer < groups.size(); ++viewer) {
            std::map<std::string, std::string> addresses;
            for (std::size_t group = 0; group < groups.size(); ++group) {
                for (Instance* instance : groups[group])
                    addresses[instance->name()] = group == viewer ? instance->address() : unreachableAddress;
            }
            for (Instance* instance : groups[viewer])
                instance->list().set(addresses);
        }
    }

    void publishConfiguration(Instance& instance, state::ConfigurationVersion version)
    {
        instance.servedVersion = version;
        instance.post(PeerMessage::ConfigurationVersion { .version = version });
    }

} // namespace

// Guards against an instance that the list, which lags, does not show yet having no members, and against an empty list
// response clearing the membership.
TEST(PeerTask, EmptyListKeepsTheLastMembersAndTheOwnInstance)
{
    Instance a("a");
    Instance b("b");
    a.awaitMembers({ "a" });
    a.list().set({ { "b", b.address() } });
    a.awaitMembers({ "a", "b" });
    a.list().set({});
    a.list().awaitRead();
    a.list().shutDown();
    a.list().listen();
    a.list().awaitRead();
    EXPECT_EQ(a.timeline().events.size(), 2U);
    EXPECT_TRUE(a.members.empty());
}

// Guards against a time line that omits an unresponsive instance without naming it, or that never completes.
TEST(PeerTask, TimelineMergesAllInstancesAndNamesTheUnresponsive)
{
    Instance a("a");
    Instance b("b");
    setPartitions({ { &a, &b } });
    a.awaitMembers({ "a", "b" });
    EXPECT_EQ(a.timeline().events.size(), 2U);
    b.respondsToTimeline = false;
    a.list().set({ { "b", b.address() }, { "c", unreachableAddress } });
    a.awaitMembers({ "a", "b", "c" });
    PeerMessage::TimelineResponse response = a.timeline();
    EXPECT_EQ(response.events.size(), 1U);
    EXPECT_EQ(response.missing.size(), 2U);
}

// Guards against a failed scheduler that is not suspected, and against a suspicion that remains after the fault ends.
TEST(PeerTask, SchedulerIsSuspectedUntilItResponds)
{
    Instance a("a");
    Instance b("b");
    a.post(PeerMessage::SchedulerRole { .epoch = 1, .scheduler = state::InstanceId("b") });
    setPartitions({ { &a }, { &b } });
    a.awaitMembers({ "a" }, true);
    setPartitions({ { &a, &b } });
    a.awaitMembers({ "a", "b" });
    b.stop();
    a.awaitMembers({ "a" }, true);
}

// Guards against sending to another instance that was assigned the address of a failed one.
TEST(PeerTask, AddressOfAnotherInstanceIsNotReachable)
{
    Instance a("a");
    Instance b("b");
    a.list().set({ { "old", b.address() } });
    a.awaitMembers({ "a", "old" });
    a.awaitMembers({ "a" });
}

// Guards against starting during an outage of the log with an older configuration than a reachable peer has.
TEST(PeerTask, NewInstanceReadsTheHighestVersionOfItsPeers)
{
    Instance a("a");
    Instance b("b");
    Instance c("c");
    publishConfiguration(b, 4);
    publishConfiguration(c, 6);
    setPartitions({ { &a, &b, &c } });
    EXPECT_EQ(a.snapshots.take().version, 6U);
}

// Guards against a configuration that is never read from a peer because its transfer takes longer than one timeout.
TEST(PeerTask, SnapshotThatTakesLongerThanTheTimeoutIsReadInTheEnd)
{
    Instance a("a");
    Instance b("b");
    b.snapshotDelay = std::chrono::milliseconds(1'500);
    publishConfiguration(b, 4);
    setPartitions({ { &a, &b } });
    EXPECT_EQ(a.snapshots.take().version, 4U);
}

// Guards against a configuration that is larger than the default limit of a message and is never read from a peer.
TEST(PeerTask, SnapshotOfSeveralMegabytesIsRead)
{
    Instance a("a");
    Instance b("b");
    b.snapshotBytes = 6'000'000;
    publishConfiguration(b, 4);
    setPartitions({ { &a, &b } });
    EXPECT_EQ(a.snapshots.take().document.size(), 6'000'002U);
}

// Guards against two sides of a partition keeping different versions after it has healed.
TEST(PeerTask, HealedPartitionSpreadsTheNewerConfiguration)
{
    Instance a("a");
    Instance b("b");
    Instance c("c");
    Instance d("d");
    for (Instance* instance : { &a, &b, &c, &d })
        publishConfiguration(*instance, 1);
    setPartitions({ { &a, &b }, { &c, &d } });
    a.awaitMembers({ "a", "b" });
    c.awaitMembers({ "c", "d" });
    publishConfiguration(c, 2);
    EXPECT_EQ(d.snapshots.take().version, 2U);
    EXPECT_TRUE(a.snapshots.empty());
    setPartitions({ { &a, &b, &c, &d } });
    EXPECT_EQ(a.snapshots.take().version, 2U);
    EXPECT_EQ(b.snapshots.take().version, 2U);
    a.awaitMembers({ "a", "b", "c", "d" });
}

// Guards against a relayed append being reported as not made although the peer may have made it.
TEST(PeerTask, RelayedAppendWithoutResponseIsUnresolved)
{
    using Status = protocol::LogClient::AppendResult::Status;
    Mailbox<protocol::LogClient::AppendResult> results;
    Instance a("a");
    Instance b("b");
    auto append = [&] {
        a.post(PeerMessage::RelayAppend {
            .stream = "s", .records = { "r" }, .reply = [&](const auto& result) { results.put(result); } });
        return results.take();
    };
    EXPECT_EQ(append().status, Status::NotSent);
    b.post(PeerMessage::LogReachability { .reachable = true });
    publishConfiguration(b, 1);
    setPartitions({ { &a, &b } });
    a.snapshots.take();
    EXPECT_EQ(append().firstOffset, 7U);
    Mailbox<protocol::LogClient::ReadResult> reads;
    a.post(PeerMessage::RelayRead { .stream = "s", .reply = [&](const auto& result) { reads.put(result); } });
    EXPECT_EQ(reads.take().records.at(0).bytes, "r");
    b.respondsToAppends = false;
    EXPECT_EQ(append().status, Status::Unresolved);
}

} // namespace lentilsaddle::coordination
