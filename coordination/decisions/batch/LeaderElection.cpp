#include "coordination/decisions/batch/LeaderElection.h"

namespace lentilsaddle::coordination::batch {

state::MonotonicTime claimTime(const LeadershipView& view, std::chrono::milliseconds takeoverDelay)
{
    if (!view.leader)
        return view.lastSign + view.jitter;
    if (view.leader->vacant)
        return view.lastSign + view.jitter;
    // An earlier process of the same instance has ended, or this one could not have started.
    bool ownPredecessor = view.leader->instance == view.self && view.leader->incarnation != view.incarnation;
    if (ownPredecessor)
        return view.lastSign;
    return view.lastSign + takeoverDelay + view.jitter;
}

} // namespace lentilsaddle::coordination::batch
