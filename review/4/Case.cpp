/// @file
/// A job that can never run holds back accepted jobs of a lower priority on idle runners.

#include "review/support/Cluster.h"

#include <algorithm>

using namespace std::chrono_literals;
using lentilsaddle::review::Cluster;

namespace {

constexpr int runnerCount = 12;
constexpr int daemonCount = 3;
// 1 of 20 jobs can never run, within the share of 0.05: it needs more accelerators at a time than there are.
constexpr int soundJobs = 19;
constexpr int hopelessMembers = 21;
constexpr auto finish = 14s;
constexpr auto observation = 3s;
const std::string hopelessJob = "00000000000000c4";

std::string jobName(int index)
{
    return "000000000000b4" + std::string(index < 10 ? "0" : "") + std::to_string(index);
}

bool body(Cluster& cluster, bool trouble)
{
    cluster.warmUp();
    if (trouble) {
        int status
            = cluster
                  .submit(0, hopelessJob, { { .count = hopelessMembers, .accelerators = 8, .work = 8s, .gang = true } },
                      lentilsaddle::review::urgentQueue)
                  .status;
        if (status != 200)
            throw std::runtime_error("the job that can never run was not accepted");
    }
    for (int index = 0; index < soundJobs; ++index) {
        if (cluster.submit(index % daemonCount, jobName(index), { { .accelerators = 1, .work = 500ms } }).status != 200)
            throw std::runtime_error("a job was not accepted");
        Cluster::waitUntil(200ms, [] { return false; });
    }
    Cluster::waitUntil(finish + observation, [] { return false; });
    int idle = 0;
    for (int index = 0; index < soundJobs; ++index) {
        if (!cluster.runsOf(jobName(index)).empty())
            continue;
        cluster.note("job " + jobName(index) + " has not begun " + cluster.state(0, jobName(index)));
        ++idle;
    }
    return idle == 0;
}

} // namespace

int main(int argc, char** argv)
{
    return lentilsaddle::review::runCase(argc, argv, runnerCount, body);
}
