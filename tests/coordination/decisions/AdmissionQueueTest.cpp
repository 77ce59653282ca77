#include "coordination/decisions/AdmissionQueue.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>

namespace lentilsaddle::coordination {

namespace {

    const state::MonotonicTime start {};
    const state::MonotonicTime farDeadline = start + std::chrono::hours(1);

    state::AccountId account(int number)
    {
        return state::AccountId("account" + std::to_string(number));
    }

    AdmissionQueue::Item item(int accountNumber, std::uint64_t ticket = 0)
    {
        return { .ticket = ticket, .account = account(accountNumber), .deadline = farDeadline };
    }

} // namespace

// Guards against a large account's burst that starves the small ones: while all of them wait, each account's share of
// the service stays within one request of its weight.
RC_GTEST_PROP(AdmissionQueue, WaitingAccountsAreServedByWeight, ())
{
    AdmissionQueue queue({ .capacity = 10'000 });
    auto weights = *rc::gen::container<std::vector<int>>(4, rc::gen::inRange(1, 20));
    auto bursts = *rc::gen::container<std::vector<int>>(4, rc::gen::inRange(50, 400));
    int weightSum = 0;
    for (int number = 0; number < 4; ++number) {
        queue.setWeight(account(number), weights[number]);
        weightSum += weights[number];
        for (int i = 0; i < bursts[number]; ++i)
            queue.offer(item(number), 0, start);
    }
    std::map<state::AccountId, int> served;
    int total = 0;
    auto allWait = [&] {
        for (int number = 0; number < 4; ++number) {
            if (served[account(number)] >= bursts[number])
                return false;
        }
        return true;
    };
    for (; allWait(); ++total)
        ++served[queue.dequeue(start)->account];
    for (int number = 0; number < 4; ++number) {
        double share = static_cast<double>(total) * weights[number] / weightSum;
        // Four accounts may each be ahead by one request, in proportion to the weights.
        RC_ASSERT(std::abs(served[account(number)] - share) <= 1 + 4.0 * weights[number] / weightSum);
    }
}

// Guards against a burst that fills the queue and so shuts out every other account.
TEST(AdmissionQueue, FullQueueMakesRoomForAnAccountBelowItsShare)
{
    AdmissionQueue queue({ .capacity = 10 });
    for (std::uint64_t ticket = 1; ticket <= 10; ++ticket)
        EXPECT_EQ(queue.offer(item(1, ticket), 0, start).verdict, AdmissionQueue::Verdict::Accepted);
    EXPECT_EQ(queue.offer(item(1, 11), 0, start).verdict, AdmissionQueue::Verdict::QueueFull);
    for (int i = 0; i < 5; ++i) {
        AdmissionQueue::Admission admission = queue.offer(item(2), 0, start);
        EXPECT_EQ(admission.verdict, AdmissionQueue::Verdict::Accepted);
        ASSERT_TRUE(admission.evicted);
        EXPECT_EQ(admission.evicted->ticket, static_cast<std::uint64_t>(10 - i));
    }
    EXPECT_EQ(queue.offer(item(2), 0, start).verdict, AdmissionQueue::Verdict::QueueFull);
    EXPECT_EQ(queue.size(), 10U);
}

// Guards against requests that wait in vain and are refused only at their deadline.
TEST(AdmissionQueue, RefusesEarlyWhatCannotBeServedInTime)
{
    AdmissionQueue queue({ .capacity = 1000 });
    queue.recordServiceTime(std::chrono::milliseconds(100));
    for (int i = 0; i < 20; ++i)
        queue.offer(item(1), 2, start);
    AdmissionQueue::Item late = item(1);
    late.deadline = start + std::chrono::milliseconds(900);
    AdmissionQueue::Admission admission = queue.offer(late, 2, start);
    EXPECT_EQ(admission.verdict, AdmissionQueue::Verdict::DeadlineTooClose);
    EXPECT_EQ(admission.estimatedWait, std::chrono::milliseconds(1050));
    // Another account waits only for its own share.
    late.account = account(2);
    EXPECT_EQ(queue.offer(late, 2, start).verdict, AdmissionQueue::Verdict::Accepted);
}

// Guards against handing over a request whose caller has gone, and against an expired one that blocks the others.
TEST(AdmissionQueue, ExpiredRequestsAreNotServed)
{
    AdmissionQueue queue({ .capacity = 10 });
    AdmissionQueue::Item expiring = item(1, 1);
    expiring.deadline = start + std::chrono::seconds(1);
    queue.offer(expiring, 0, start);
    queue.offer(item(1, 2), 0, start);
    state::MonotonicTime later = start + std::chrono::seconds(1);
    EXPECT_EQ(queue.dequeue(later)->ticket, 2U);
    EXPECT_FALSE(queue.dequeue(later));
    ASSERT_EQ(queue.removeExpired(later).size(), 1U);
    EXPECT_EQ(queue.size(), 0U);
}

} // namespace lentilsaddle::coordination
