#include "coordination/decisions/batch/LeaderElection.h"

#include <algorithm>

namespace lentilsaddle::coordination::batch {

using std::chrono::milliseconds;

state::MonotonicTime claimTime(const LeadershipView& view, milliseconds failoverDelay)
{
    bool vacant = !view.leader || view.leader->vacant;
    // Instances that wait for the same configuration become eligible at the same time, so the delays count from then.
    state::MonotonicTime claimable
        = std::max(view.lastLeaderActivity + (vacant ? milliseconds(0) : failoverDelay), view.eligibleSince);
    state::MonotonicTime due = claimable + view.jitter + view.outrankedDelay;
    if (vacant)
        return due;
    // An earlier process of this instance must have ended, or this one could not have started.
    bool ownPredecessor = view.leader->instance == view.self && view.leader->incarnation != view.incarnation;
    if (ownPredecessor)
        return view.lastLeaderActivity;
    return due;
}

} // namespace lentilsaddle::coordination::batch
