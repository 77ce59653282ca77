#include "coordination/decisions/RetryBudget.h"

#include <algorithm>

namespace lentilsaddle::coordination {

namespace {

    std::int64_t slotIndex(state::MonotonicTime now, int slots)
    {
        return now.time_since_epoch() / (std::chrono::nanoseconds(RetryBudget::window) / slots);
    }

} // namespace

RetryBudget::RetryBudget(const RetryBudgetOptions& options)
    : m_options(options)
{
}

RetryBudget::Slot& RetryBudget::slotAt(std::int64_t index)
{
    Slot& slot = m_slots[static_cast<std::size_t>(index % slots)];
    if (slot.index != index)
        slot = { .index = index };
    return slot;
}

void RetryBudget::countRequest(state::MonotonicTime now)
{
    ++slotAt(slotIndex(now, slots)).requests;
}

bool RetryBudget::tryConsume(state::MonotonicTime now)
{
    std::int64_t current = slotIndex(now, slots);
    int requests = 0;
    int retries = 0;
    for (const Slot& slot : m_slots) {
        if (slot.index <= current - slots)
            continue;
        requests += slot.requests;
        retries += slot.retries;
    }
    if (retries >= std::max(m_options.minimumRetries, static_cast<int>(requests * m_options.ratio)))
        return false;
    ++slotAt(current).retries;
    return true;
}

} // namespace lentilsaddle::coordination
