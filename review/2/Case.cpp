/// @file
/// A runner executes a start and resets the connection; the retry on a new connection is refused.

#include "review/support/Cluster.h"

using namespace std::chrono_literals;
using lentilsaddle::review::Cluster;
using lentilsaddle::review::Runner;

namespace {

constexpr int runnerCount = 12;
// 1 of 12 runners, within the share of 0.085.
constexpr int sickRunner = 0;
constexpr auto troubleDuration = 6'500ms;
const std::string job = "00000000000000b2";

// Work items that ran on two runners at the same time.
int overlappingRuns(Cluster& cluster)
{
    int count = 0;
    auto runs = cluster.runsOf(job);
    for (std::size_t later = 0; later < runs.size(); ++later) {
        for (std::size_t earlier = 0; earlier < later; ++earlier) {
            const Runner::Run& first = runs[earlier].second;
            const Runner::Run& second = runs[later].second;
            if (first.task != second.task || (first.end && *first.end <= second.begin))
                continue;
            cluster.note("work item " + first.task + " runs twice at the same time, as run "
                + std::to_string(first.number) + " on r-" + std::to_string(runs[earlier].first) + " and as run "
                + std::to_string(second.number) + " on r-" + std::to_string(runs[later].first));
            ++count;
        }
    }
    return count;
}

bool body(Cluster& cluster, bool trouble)
{
    cluster.warmUp();
    if (trouble) {
        cluster.note("r-0 resets or refuses starts from now on");
        cluster.runner(sickRunner).setHealth(Runner::Health::ResetsAndRefuses);
    }
    // Leaves a quarter of the runners free.
    if (cluster.submit(0, job, { { .count = 18, .accelerators = 4, .work = 2'500ms } }).status != 200)
        throw std::runtime_error("the job was not accepted");
    Cluster::waitUntil(troubleDuration, [] { return false; });
    cluster.runner(sickRunner).setHealth(Runner::Health::Good);
    Cluster::waitUntil(30s, [&] { return cluster.state(0, job) == "completed"; });
    return overlappingRuns(cluster) == 0;
}

} // namespace

int main(int argc, char** argv)
{
    return lentilsaddle::review::runCase(argc, argv, runnerCount, body);
}
