#include "coordination/decisions/batch/LeaderElection.h"

#include <algorithm>

namespace lentilsaddle::coordination::batch {

using std::chrono::milliseconds;

state::MonotonicTime claimTime(const LeadershipView& view, milliseconds failoverDelay)
{
    bool vacant = !view.leader || view.leader->vacant;
    // Instances that wait for the same configuration become eligible together.
    state::MonotonicTime free
        = std::max(view.lastLeaderActivity + (vacant ? milliseconds(0) : failoverDelay), view.eligibleSince);
    state::MonotonicTime due = free + view.jitter + view.outrankedDelay;
    if (vacant)
        return due;
    // An earlier process of the same instance has ended, or this one could not have started.
    bool ownPredecessor = view.leader->instance == view.self && view.leader->incarnation != view.incarnation;
    if (ownPredecessor)
        return view.lastLeaderActivity;
    return due;
}

} // namespace lentilsaddle::coordination::batch
