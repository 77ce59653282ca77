#include "coordination/decisions/AdmissionQueue.h"

#include <algorithm>

namespace lentilsaddle::coordination {

namespace {

    /// Weight of the latest service time in the moving average.
    constexpr double serviceTimeSmoothing = 0.1;

} // namespace

AdmissionQueue::AdmissionQueue(const AdmissionQueueOptions& options)
    : m_options(options)
{
}

void AdmissionQueue::setWeight(const state::AccountId& account, int weight)
{
    m_accounts[account].weight = std::max(1, weight);
}

AdmissionQueue::Verdict AdmissionQueue::judge(const Account& account, state::MonotonicTime deadline, int inService,
    state::MonotonicTime now, const Account*& givesWay) const
{
    if (now + estimateWait(account, inService) >= deadline)
        return Verdict::DeadlineTooClose;
    if (m_size < m_options.capacity)
        return Verdict::Accepted;
    const Account* over = mostOverShare();
    if (!over || over == &account)
        return Verdict::QueueFull;
    double heldByOther = static_cast<double>(over->waiting.size()) / over->weight;
    if (heldByOther <= static_cast<double>(account.waiting.size() + 1) / account.weight)
        return Verdict::QueueFull;
    givesWay = over;
    return Verdict::Accepted;
}

AdmissionQueue::Verdict AdmissionQueue::check(const Item& item, int inService, state::MonotonicTime now) const
{
    auto found = m_accounts.find(item.account);
    const Account* givesWay = nullptr;
    return judge(found == m_accounts.end() ? Account() : found->second, item.deadline, inService, now, givesWay);
}

AdmissionQueue::Admission AdmissionQueue::offer(const Item& item, int inService, state::MonotonicTime now)
{
    Account& account = m_accounts[item.account];
    Admission admission { .estimatedWait = estimateWait(account, inService) };
    const Account* givesWay = nullptr;
    admission.verdict = judge(account, item.deadline, inService, now, givesWay);
    if (admission.verdict != Verdict::Accepted)
        return admission;
    if (givesWay) {
        auto& waiting = m_accounts[givesWay->waiting.back().account].waiting;
        admission.evicted = waiting.back();
        waiting.pop_back();
        --m_size;
    }
    append(account, item);
    return admission;
}

void AdmissionQueue::append(Account& account, const Item& item)
{
    if (account.waiting.empty())
        account.due = std::max(account.due, m_virtualTime);
    account.waiting.push_back(item);
    ++m_size;
}

const AdmissionQueue::Account* AdmissionQueue::mostOverShare() const
{
    const Account* most = nullptr;
    double highest = 0;
    for (const auto& [id, account] : m_accounts) {
        double held = static_cast<double>(account.waiting.size()) / account.weight;
        if (held > highest) {
            highest = held;
            most = &account;
        }
    }
    return most;
}

std::chrono::milliseconds AdmissionQueue::estimateWait(const Account& account, int inService) const
{
    if (m_size == 0 || inService <= 0 || m_meanServiceTime.count() <= 0)
        return std::chrono::milliseconds(0);
    // While the account's own requests are served, every other account gets its share, if it waits for that much.
    double own = static_cast<double>(account.waiting.size());
    double ahead = own;
    for (const auto& [id, other] : m_accounts) {
        if (&other != &account)
            ahead += std::min(static_cast<double>(other.waiting.size()), (own + 1) * other.weight / account.weight);
    }
    return std::chrono::ceil<std::chrono::milliseconds>((ahead + 1) * m_meanServiceTime / inService);
}

std::optional<AdmissionQueue::Item> AdmissionQueue::dequeue(state::MonotonicTime now)
{
    Account* next = nullptr;
    std::deque<Item>::iterator position;
    for (auto& [id, account] : m_accounts) {
        if (next && account.due >= next->due)
            continue;
        auto first = std::find_if(
            account.waiting.begin(), account.waiting.end(), [now](const Item& item) { return item.deadline > now; });
        if (first == account.waiting.end())
            continue;
        next = &account;
        position = first;
    }
    if (!next)
        return std::nullopt;
    Item item = *position;
    next->waiting.erase(position);
    --m_size;
    m_virtualTime = next->due;
    next->due += 1.0 / next->weight;
    return item;
}

void AdmissionQueue::requeue(const Item& item)
{
    Account& account = m_accounts[item.account];
    account.due -= 1.0 / account.weight;
    account.waiting.push_front(item);
    ++m_size;
}

std::vector<AdmissionQueue::Item> AdmissionQueue::removeExpired(state::MonotonicTime now)
{
    std::vector<Item> expired;
    for (auto& [id, account] : m_accounts) {
        std::erase_if(account.waiting, [&](const Item& item) {
            if (item.deadline > now)
                return false;
            expired.push_back(item);
            return true;
        });
    }
    m_size -= expired.size();
    return expired;
}

void AdmissionQueue::recordServiceTime(std::chrono::microseconds duration)
{
    std::chrono::duration<double, std::milli> latest = duration;
    if (m_meanServiceTime.count() <= 0)
        m_meanServiceTime = latest;
    else
        m_meanServiceTime += serviceTimeSmoothing * (latest - m_meanServiceTime);
}

} // namespace lentilsaddle::coordination
