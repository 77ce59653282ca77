#include "transport/BodyBudget.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace lentilsaddle::transport {

namespace {

    using Time = BodyBudget::Time;
    using std::chrono::milliseconds;

    constexpr std::size_t limit = 100'000;

    Time at(int ms)
    {
        return Time() + milliseconds(ms);
    }

} // namespace

// Guards against memory that is never given back, or is counted twice, in whatever order bytes, ends, closed
// connections and drops arrive.
RC_GTEST_PROP(BodyBudgetProperty, HoldsExactlyWhatItsRequestsHold, ())
{
    BodyBudget budget({ .limitBytes = limit });
    struct Model {
        std::string client;
        std::size_t bytes = 0;
        bool running = false;
    };
    std::map<BodyBudget::RequestId, Model> model;
    std::vector<BodyBudget::RequestId> ids { 0 };
    std::set<BodyBudget::RequestId> dropped;
    int now = 0;
    int steps = *rc::gen::inRange(1, 200);
    for (int step = 0; step < steps; ++step) {
        now += *rc::gen::inRange(0, 800);
        auto id = *rc::gen::elementOf(ids);
        auto bytes = *rc::gen::weightedOneOf<std::size_t>({ { 3, rc::gen::inRange<std::size_t>(0, 16'384) },
            { 2, rc::gen::inRange<std::size_t>(16'384, 2 * limit) } });
        auto known = model.find(id);
        switch (*rc::gen::inRange(0, 6)) {
        case 0:
        case 1: {
            std::string client(1, *rc::gen::elementOf(std::string("abc")));
            auto own = std::make_shared<BodyBudget::RequestId>(0);
            *own = budget.open(client, bytes, at(now), [&dropped, own] { dropped.insert(*own); });
            if (*own != 0) {
                RC_ASSERT(!model.contains(*own));
                ids.push_back(*own);
                model[*own] = { .client = client, .bytes = bytes };
            }
            break;
        }
        case 2: {
            std::size_t before = known == model.end() ? 0 : known->second.bytes;
            bool granted = budget.resize(id, bytes, at(now));
            if (granted)
                RC_ASSERT(known != model.end());
            else
                RC_ASSERT(known == model.end() || bytes > before);
            if (granted)
                known->second.bytes = bytes;
            break;
        }
        case 3:
            budget.recordTransfer(id, bytes, at(now));
            break;
        case 4:
            if (known != model.end() && known->second.running)
                budget.startSending(id, at(now));
            else
                budget.startRunning(id);
            if (known != model.end())
                known->second.running = !known->second.running;
            break;
        case 5:
            budget.close(id);
            model.erase(id);
            break;
        }
        for (auto gone : dropped) {
            RC_ASSERT(model.contains(gone));
            RC_ASSERT(!model[gone].running);
            model.erase(gone);
        }
        dropped.clear();
        std::map<std::string, std::size_t> clients;
        std::size_t total = 0;
        for (const auto& [request, entry] : model) {
            RC_ASSERT(budget.isOpen(request));
            clients[entry.client] += entry.bytes;
            total += entry.bytes;
        }
        RC_ASSERT(budget.requests() == model.size());
        RC_ASSERT(budget.heldBytes() == total);
        RC_ASSERT(total <= limit);
        for (const char* client : { "a", "b", "c" })
            RC_ASSERT(budget.heldBytes(client) == clients[client]);
    }
    for (auto id : ids)
        budget.close(id);
    RC_ASSERT(budget.heldBytes() == 0U);
    RC_ASSERT(budget.requests() == 0U);
}

// Guards against large bodies that keep ordinary requests out.
TEST(BodyBudgetTest, LargeRequestsLeaveRoomForSmallOnes)
{
    BodyBudget budget({ .limitBytes = limit });
    for (int index = 0; index < 10; ++index)
        budget.open("a", 20'000, at(0), {});
    EXPECT_EQ(budget.heldBytes(), 60'000U);
    EXPECT_NE(budget.open("b", 10'000, at(0), {}), 0U);
    EXPECT_EQ(budget.open("b", 20'000, at(0), {}), 0U);
}

// Guards against dropping a body that arrives while others have stopped, and against keeping the stopped ones.
TEST(BodyBudgetTest, DropsTheRequestThatHasStoppedForLongest)
{
    BodyBudget budget({ .limitBytes = limit });
    std::vector<int> dropped;
    std::vector<BodyBudget::RequestId> ids(3);
    for (int index = 0; index < 3; ++index)
        ids[static_cast<std::size_t>(index)]
            = budget.open("a", 25'000, at(index), [&dropped, index] { dropped.push_back(index); });
    budget.recordTransfer(ids[0], 10'000, at(900));
    EXPECT_EQ(budget.open("b", 20'000, at(950), {}), 0U) << "none has stopped for long";
    EXPECT_NE(budget.open("b", 20'000, at(1'200), {}), 0U);
    EXPECT_EQ(dropped, std::vector<int> { 1 });
}

// Guards against clients that send a byte now and then to keep their place.
TEST(BodyBudgetTest, FewBytesAreNoProgress)
{
    BodyBudget budget({ .limitBytes = limit });
    bool dropped = false;
    auto slow = budget.open("a", 70'000, at(0), [&] { dropped = true; });
    for (int ms = 0; ms < 1'000; ms += 10)
        budget.recordTransfer(slow, 10, at(ms));
    EXPECT_NE(budget.open("b", 20'000, at(1'000), {}), 0U);
    EXPECT_TRUE(dropped);
}

// Guards against one client that drops the requests of others, which hold less and make progress.
TEST(BodyBudgetTest, DropsOnlyRequestsOfClientsAboveTheirPartUnlessStopped)
{
    BodyBudget budget({ .limitBytes = limit });
    bool droppedOther = false;
    auto other = budget.open("b", 5'000, at(0), [&] { droppedOther = true; });
    for (int index = 1; index <= 100; ++index)
        EXPECT_NE(budget.open("a", 10'000, at(index), {}), 0U);
    for (int index = 1; index <= 3; ++index) {
        budget.recordTransfer(other, 5'000, at(index * 900));
        for (int request = 1; request <= 100; ++request)
            EXPECT_NE(budget.open("a", 10'000, at(index * 900 + request), {}), 0U);
    }
    EXPECT_FALSE(droppedOther);
    for (int request = 0; request < 10; ++request)
        EXPECT_NE(budget.open("a", 10'000, at(3'700), {}), 0U);
    EXPECT_TRUE(droppedOther);
}

// Guards against stopped requests that keep their memory because their client holds less than a client whose requests
// run and cannot be dropped.
TEST(BodyBudgetTest, RunningRequestsOfOneClientDoNotProtectThoseOfOthers)
{
    BodyBudget budget({ .limitBytes = limit });
    budget.startRunning(budget.open("a", 70'000, at(0), [] { ADD_FAILURE(); }));
    std::vector<int> dropped;
    for (int index = 0; index < 5; ++index)
        budget.open("b", 5'000, at(index), [&dropped, index] { dropped.push_back(index); });
    EXPECT_NE(budget.open("c", 10'000, at(100), {}), 0U) << "of the bytes that can be dropped, b holds the most";
    EXPECT_EQ(dropped, std::vector<int> { 0 });
    EXPECT_NE(budget.open("c", 10'000, at(2'000), {}), 0U);
    EXPECT_EQ(dropped, (std::vector<int> { 0, 1, 2 }));
}

// Guards against many clients that each hold little, stop, and so have a steady upload dropped instead of theirs.
TEST(BodyBudgetTest, StoppedRequestsOfManyClientsAreDroppedBeforeASteadyUpload)
{
    BodyBudget budget({ .limitBytes = limit });
    auto upload = budget.open("ordinary", 30'000, at(0), [] { ADD_FAILURE(); });
    int dropped = 0;
    for (int index = 0; index < 35; ++index)
        budget.open("hostile" + std::to_string(index), 2'000, at(0), [&dropped] { ++dropped; });
    for (int index = 0; index < 30; ++index) {
        budget.recordTransfer(upload, 4'096, at(1'000 + index));
        EXPECT_NE(budget.open("new" + std::to_string(index), 2'000, at(1'000 + index), {}), 0U);
    }
    EXPECT_EQ(dropped, 30);
}

// Guards against a request that finds no room because only its own client holds an equal part.
TEST(BodyBudgetTest, AGrowingRequestDropsRequestsOfClientsThatHoldLess)
{
    BodyBudget budget({ .limitBytes = limit });
    budget.startRunning(budget.open("c", 70'000, at(0), [] { ADD_FAILURE(); }));
    for (int index = 0; index < 5; ++index)
        budget.open("b" + std::to_string(index), 4'000, at(0), {});
    auto growing = budget.open("a", 10'000, at(10), {});
    EXPECT_TRUE(budget.resize(growing, 14'000, at(20)));
}

// Guards against dropping a request that may have had an effect.
TEST(BodyBudgetTest, RunningRequestsAreNotDropped)
{
    BodyBudget budget({ .limitBytes = limit });
    auto running = budget.open("a", 75'000, at(0), [] { ADD_FAILURE(); });
    budget.startRunning(running);
    EXPECT_EQ(budget.open("b", 20'000, at(60'000), {}), 0U);
    EXPECT_NE(budget.open("b", 10'000, at(60'000), {}), 0U);
}

} // namespace lentilsaddle::transport
