#include "coordination/decisions/SchedulerElection.h"

#include "coordination/decisions/Rendezvous.h"

#include <algorithm>

namespace lentilsaddle::coordination {

SchedulerElection::SchedulerElection(std::chrono::milliseconds rankDelay, std::chrono::milliseconds unlistedDelay)
    : m_rankDelay(rankDelay)
    , m_unlistedDelay(unlistedDelay)
{
}

std::optional<state::MonotonicTime> SchedulerElection::claimTime(const View& view, state::MonotonicTime now)
{
    if (!view.vacant && !view.suspected && !view.unlisted) {
        m_leaderlessSince.reset();
        return std::nullopt;
    }
    if (!m_leaderlessSince || m_leaderlessEpoch != view.epoch) {
        m_leaderlessSince = now;
        m_leaderlessEpoch = view.epoch;
    }
    if (!view.eligible)
        return std::nullopt;
    std::vector<state::InstanceId> candidates = view.members;
    if (std::find(candidates.begin(), candidates.end(), view.self) == candidates.end())
        candidates.push_back(view.self);
    candidates = rendezvousOrder(std::move(candidates), "scheduler/" + view.dataCentre.value());
    auto rank = std::find(candidates.begin(), candidates.end(), view.self) - candidates.begin();
    bool onlyUnlisted = !view.vacant && !view.suspected;
    return *m_leaderlessSince + rank * m_rankDelay + (onlyUnlisted ? m_unlistedDelay : std::chrono::milliseconds(0));
}

} // namespace lentilsaddle::coordination
