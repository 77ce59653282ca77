#include "coordination/decisions/batch/StartCheck.h"

#include <algorithm>

namespace lentilsaddle::coordination::batch {

using state::batch::Resources;

std::vector<StartDecision> decideStarts(
    const std::vector<DueStart>& starts, std::map<state::WorkerId, StartCapacity> workers, bool gang)
{
    std::vector<StartDecision> decisions;
    decisions.reserve(starts.size());
    for (const DueStart& start : starts) {
        StartCapacity& worker = workers[start.worker];
        if (start.withdrawn) {
            worker.free += start.resources;
            decisions.push_back(StartDecision::Withdrawn);
            continue;
        }
        bool fits = Resources {}.fitsInto(worker.free);
        // A task that does not start leaves its share to the others.
        if (!fits)
            worker.free += start.resources;
        if (!worker.available)
            decisions.push_back(StartDecision::WorkerUnavailable);
        else if (worker.evacuated)
            decisions.push_back(StartDecision::DataCentreEvacuated);
        else
            decisions.push_back(fits ? StartDecision::Start : StartDecision::InsufficientCapacity);
    }
    bool complete = std::all_of(
        decisions.begin(), decisions.end(), [](StartDecision decision) { return decision == StartDecision::Start; });
    if (gang && !complete)
        std::replace(decisions.begin(), decisions.end(), StartDecision::Start, StartDecision::GangIncomplete);
    return decisions;
}

const char* startDecisionName(StartDecision decision)
{
    switch (decision) {
    case StartDecision::Start:
        return "start";
    case StartDecision::WorkerUnavailable:
        return "worker_unavailable";
    case StartDecision::DataCentreEvacuated:
        return "data_centre_evacuated";
    case StartDecision::StaleDirectory:
        return "stale_directory";
    case StartDecision::StaleEvacuations:
        return "stale_evacuations";
    case StartDecision::InsufficientCapacity:
        return "insufficient_capacity";
    case StartDecision::Withdrawn:
        return "withdrawn";
    case StartDecision::GangIncomplete:
        return "gang_incomplete";
    }
    return "unknown";
}

} // namespace lentilsaddle::coordination::batch
