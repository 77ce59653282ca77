/// @file
/// The store goes down right after it has stored a submission, and refuses the retry on a new connection.

#include "review/support/Cluster.h"

using namespace std::chrono_literals;
using lentilsaddle::review::Cluster;
using lentilsaddle::review::Store;

namespace {

constexpr int daemonCount = 3;
constexpr int runnerCount = 4;
constexpr auto outage = 4'200ms;
constexpr auto retryDelay = 700ms;
constexpr int attempts = 4;
const std::string job = "00000000000000b1";

bool body(Cluster& cluster, bool trouble)
{
    cluster.warmUp();
    if (trouble)
        cluster.store().goDownWith(job);
    auto begin = Cluster::Clock::now();
    bool rejected = true;
    for (int attempt = 0; attempt < attempts && rejected; ++attempt) {
        int status
            = cluster.submit(attempt % daemonCount, job, { { .count = 2, .accelerators = 1, .work = 500ms } }).status;
        rejected = status == 429 || status == 503;
        Cluster::waitUntil(retryDelay, [] { return false; });
    }
    if (trouble) {
        if (!cluster.store().wentDown())
            throw std::runtime_error("the submission did not reach the store");
        Cluster::waitUntil(outage, [&] { return Cluster::Clock::now() - begin >= outage; });
        for (std::size_t daemon = 0; daemon < daemonCount; ++daemon)
            cluster.store().setMode(daemon, Store::Mode::Normal);
        cluster.note("the store serves again");
    }
    bool started = Cluster::waitUntil(15s, [&] { return !cluster.runsOf(job).empty(); });
    cluster.state(0, job);
    if (!trouble && (rejected || !started))
        throw std::runtime_error("the job did not run");
    if (rejected && started)
        cluster.note("all attempts to submit job " + job + " were rejected, and it was started");
    return !(rejected && started);
}

} // namespace

int main(int argc, char** argv)
{
    return lentilsaddle::review::runCase(argc, argv, runnerCount, body);
}
