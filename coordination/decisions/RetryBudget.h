/// @file
/// Limit on retries, so that failing backend servers are not flooded.
#pragma once

#include "state/Time.h"

#include <array>
#include <chrono>
#include <cstdint>

namespace lentilsaddle::coordination {

struct RetryBudgetOptions {
    /// Retries per request.
    double ratio = 0.1;
    /// Retries that are allowed in each window however few requests there are.
    int minimumRetries = 3;
};

/// Retry budget of one account and service over a sliding window of one second.
class RetryBudget {
public:
    static constexpr std::chrono::seconds window { 1 };

    explicit RetryBudget(const RetryBudgetOptions& options);

    /// Counts a new request.
    void countRequest(state::MonotonicTime now);

    /// Takes one retry.
    /// @return false if the budget is used up.
    bool tryConsume(state::MonotonicTime now);

private:
    struct Slot {
        std::int64_t index = -1;
        int requests = 0;
        int retries = 0;
    };
    /// The window slides in steps of a slot.
    static constexpr int slots = 10;

    Slot& slotAt(std::int64_t index);

    RetryBudgetOptions m_options;
    std::array<Slot, slots> m_slots;
};

} // namespace lentilsaddle::coordination
