#include "coordination/peers/PeerTask.h"

#include "tests/coordination/FakeInstanceList.h"
#include "tests/coordination/TestEnvironment.h"

#include <gtest/gtest.h>

#include <atomic>

namespace lentilsaddle::coordination {

using state::Record;

namespace {

    using Names = std::vector<std::string>;
    /// Nobody listens on port 1.
    constexpr auto deadAddress = "127.0.0.1:1";

    struct Members {
        Names names;
        bool suspected = false;
    };

    /// One instance with short intervals and its own view of the instance list.
    class Node {
    public:
        explicit Node(const std::string& name)
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
        ~Node() { kill(); }

        void kill() { m_task.reset(); }

        template <typename Body> void post(Body body) { m_task->post({ std::move(body) }); }

        PeerMessage::TimelineResponse timeline()
        {
            Mailbox<PeerMessage::TimelineResponse> answers;
            post(PeerMessage::ReadTimeline {
                .subject = "s", .reply = [&](auto answer) { answers.put(std::move(answer)); } });
            return answers.take();
        }

        /// Waits until the members are these.
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
        std::atomic<state::ConfigurationVersion> served = 0;
        std::atomic<bool> answersTimeline = true;
        std::atomic<bool> answersAppends = true;

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
                        if (answersTimeline)
                            reply({ { .instance = state::InstanceId(m_name), .sequence = 1, .subject = subject } });
                    },
                .snapshotForPeer =
                    [this](const auto& reply) {
                        if (served == 0)
                            reply(std::nullopt);
                        else
                            reply(Record::ConfigurationSnapshot { .version = served, .document = "{}" });
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
                        if (answersAppends)
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

    /// Lets the nodes of each group reach each other; the other groups get an address that nobody listens on.
    void connect(const std::vector<std::vector<Node*>>& groups)
    {
        for (std::size_t viewer = 0; viewer < groups.size(); ++viewer) {
            std::map<std::string, std::string> addresses;
            for (std::size_t group = 0; group < groups.size(); ++group) {
                for (Node* node : groups[group])
                    addresses[node->name()] = group == viewer ? node->address() : deadAddress;
            }
            for (Node* node : groups[viewer])
                node->list().set(addresses);
        }
    }

    void serve(Node& node, state::ConfigurationVersion version)
    {
        node.served = version;
        node.post(PeerMessage::ConfigurationVersion { .version = version });
    }

} // namespace

// Guards against an instance that the lagging list does not show yet seeing nobody, and against an empty answer of the
// list emptying the membership.
TEST(PeerTask, EmptyListKeepsTheLastMembersAndTheOwnInstanceCounts)
{
    Node a("a");
    Node b("b");
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

// Guards against a dead instance missing from the time line in silence, or holding it up.
TEST(PeerTask, TimelineMergesAllInstancesAndNamesTheMissing)
{
    Node a("a");
    Node b("b");
    connect({ { &a, &b } });
    a.awaitMembers({ "a", "b" });
    EXPECT_EQ(a.timeline().events.size(), 2U);
    b.answersTimeline = false;
    a.list().set({ { "b", b.address() }, { "c", deadAddress } });
    a.awaitMembers({ "a", "b", "c" });
    PeerMessage::TimelineResponse answer = a.timeline();
    EXPECT_EQ(answer.events.size(), 1U);
    EXPECT_EQ(answer.missing.size(), 2U);
}

// Guards against a dead scheduler going unnoticed, and against a suspicion that outlives the fault.
TEST(PeerTask, SchedulerIsSuspectedUntilItAnswers)
{
    Node a("a");
    Node b("b");
    a.post(PeerMessage::SchedulerRole { .epoch = 1, .scheduler = state::InstanceId("b") });
    connect({ { &a }, { &b } });
    a.awaitMembers({ "a" }, true);
    connect({ { &a, &b } });
    a.awaitMembers({ "a", "b" });
    b.kill();
    a.awaitMembers({ "a" }, true);
}

// Guards against sending to another instance that took over the address of a dead one.
TEST(PeerTask, AddressOfAnotherInstanceIsNotReachable)
{
    Node a("a");
    Node b("b");
    a.list().set({ { "old", b.address() } });
    a.awaitMembers({ "a", "old" });
    a.awaitMembers({ "a" });
}

// Guards against starting during an outage of the log with an older configuration than a reachable peer has.
TEST(PeerTask, NewInstanceReadsTheHighestVersionOfItsPeers)
{
    Node a("a");
    Node b("b");
    Node c("c");
    serve(b, 4);
    serve(c, 6);
    connect({ { &a, &b, &c } });
    EXPECT_EQ(a.snapshots.take().version, 6U);
}

// Guards against two groups that a partition separated staying on different versions after it has healed.
TEST(PeerTask, HealedPartitionSpreadsTheNewerConfiguration)
{
    Node a("a");
    Node b("b");
    Node c("c");
    Node d("d");
    for (Node* node : { &a, &b, &c, &d })
        serve(*node, 1);
    connect({ { &a, &b }, { &c, &d } });
    a.awaitMembers({ "a", "b" });
    c.awaitMembers({ "c", "d" });
    serve(c, 2);
    EXPECT_EQ(d.snapshots.take().version, 2U);
    EXPECT_TRUE(a.snapshots.empty());
    connect({ { &a, &b, &c, &d } });
    EXPECT_EQ(a.snapshots.take().version, 2U);
    EXPECT_EQ(b.snapshots.take().version, 2U);
    a.awaitMembers({ "a", "b", "c", "d" });
}

// Guards against a relayed append being reported as absent although the peer may have made it.
TEST(PeerTask, RelayedAppendWithoutAnswerIsUnresolved)
{
    using Status = protocol::LogClient::AppendResult::Status;
    Mailbox<protocol::LogClient::AppendResult> results;
    Node a("a");
    Node b("b");
    auto append = [&] {
        a.post(PeerMessage::RelayAppend {
            .stream = "s", .records = { "r" }, .reply = [&](const auto& result) { results.put(result); } });
        return results.take();
    };
    EXPECT_EQ(append().status, Status::NotSent);
    b.post(PeerMessage::LogReachability { .reachable = true });
    serve(b, 1);
    connect({ { &a, &b } });
    a.snapshots.take();
    EXPECT_EQ(append().firstOffset, 7U);
    Mailbox<protocol::LogClient::ReadResult> reads;
    a.post(PeerMessage::RelayRead { .stream = "s", .reply = [&](const auto& result) { reads.put(result); } });
    EXPECT_EQ(reads.take().records.at(0).bytes, "r");
    b.answersAppends = false;
    EXPECT_EQ(append().status, Status::Unresolved);
}

} // namespace lentilsaddle::coordination
