/// @file
/// Bounded queue of requests with deadlines and weighted fair shares between accounts.
#pragma once

#include "state/Identifier.h"
#include "state/Time.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace lentilsaddle::coordination {

struct AdmissionQueueOptions {
    /// Requests that wait in all accounts together.
    std::size_t capacity = 1024;
};

/// Queue of one service. Accounts with waiting requests are served in proportion to their weights; an idle account
/// saves up nothing.
class AdmissionQueue {
public:
    struct Item {
        std::uint64_t ticket = 0;
        state::AccountId account;
        state::MonotonicTime deadline;
    };

    enum class Verdict {
        Accepted,
        QueueFull,
        /// The request would wait beyond its deadline.
        DeadlineTooClose,
    };

    struct Admission {
        Verdict verdict = Verdict::Accepted;
        std::chrono::milliseconds estimatedWait { 0 };
        /// Request that lost its place to this one, because its account held more than its share of a full queue.
        std::optional<Item> evicted;
    };

    explicit AdmissionQueue(const AdmissionQueueOptions& options);

    /// Sets the relative share of an account, 1 if never set.
    void setWeight(const state::AccountId& account, int weight);

    /// @return the verdict that offer() would give now.
    Verdict check(const Item& item, int inService, state::MonotonicTime now) const;

    /// Adds a request, unless the queue has no room for its account or it would wait beyond its deadline.
    /// @param inService requests that are being served at the same time, the queue's rate of service.
    Admission offer(const Item& item, int inService, state::MonotonicTime now);

    /// @return the next request to serve; requests whose deadline has passed are left for removeExpired().
    std::optional<Item> dequeue(state::MonotonicTime now);

    /// Puts back a request that dequeue() returned and that cannot be served yet, at the head of its account.
    void requeue(const Item& item);

    /// Removes and returns the requests whose deadline has passed.
    std::vector<Item> removeExpired(state::MonotonicTime now);

    /// Notes how long a request was in service, for the estimate of the wait.
    void recordServiceTime(std::chrono::microseconds duration);

    std::size_t size() const { return m_size; }

private:
    struct Account {
        int weight = 1;
        /// Virtual time at which the next request is due; the account with the lowest one is served.
        double due = 0;
        std::deque<Item> waiting;
    };

    std::chrono::milliseconds estimateWait(const Account& account, int inService) const;
    /// @return the account that holds the most in proportion to its weight, or null if nothing waits.
    const Account* mostOverShare() const;
    /// @return the verdict, with the account that has to give way if the queue is full.
    Verdict judge(const Account& account, state::MonotonicTime deadline, int inService, state::MonotonicTime now,
        const Account*& givesWay) const;
    void append(Account& account, const Item& item);

    AdmissionQueueOptions m_options;
    std::map<state::AccountId, Account> m_accounts;
    std::size_t m_size = 0;
    double m_virtualTime = 0;
    /// Moving average; 0 until the first request was served.
    std::chrono::duration<double, std::milli> m_meanServiceTime { 0 };
};

} // namespace lentilsaddle::coordination
