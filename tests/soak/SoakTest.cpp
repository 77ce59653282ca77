#include "tests/process/TemporaryFolder.h"
#include "tests/soak/SoakCluster.h"
#include "tests/soak/SoakRun.h"

#include <gtest/gtest.h>

#include <csignal>
#include <filesystem>

namespace lentilsaddle::soak {

namespace {

    struct Case {
        std::uint64_t seed = 1;
        std::chrono::seconds duration { 8 };
    };

    class SoakTest : public testing::TestWithParam<Case> { };

} // namespace

// Guards against overlapping faults that make real processes violate a guarantee to clients: lost jobs, rejected jobs
// that run, tasks that run twice at the same time, worker capacity exceeded, two leaders in a term, work in an
// evacuated data centre, and a large configuration that is not in force in time.
TEST_P(SoakTest, GuaranteesHoldUnderRandomFaults)
{
    std::signal(SIGPIPE, SIG_IGN);
    std::string folder = testing_support::makeTemporaryFolder(
        testing::TempDir() + "lentilsaddle-soak-" + std::to_string(GetParam().seed) + "-");
    SoakResult result = runSoak({ .seed = GetParam().seed, .duration = GetParam().duration, .folder = folder });
    EXPECT_GT(result.accepted, 0U);
    for (const std::string& violation : result.violations)
        ADD_FAILURE() << violation << "; logs in " << folder;
    if (result.violations.empty())
        std::filesystem::remove_all(folder);
}

// Guards against a daemon that stays down because a fault terminated it shortly before the faults were cleared.
TEST(SoakClusterTest, TerminatedDaemonRunsAfterTheFaultsAreCleared)
{
    std::signal(SIGPIPE, SIG_IGN);
    std::string folder = testing_support::makeTemporaryFolder(testing::TempDir() + "lentilsaddle-soak-cluster-");
    SoakCluster cluster({ .folder = folder, .daemons = 2, .workers = 1 });
    ASSERT_TRUE(cluster.waitUntilReady()) << "logs in " << folder;
    cluster.daemon(1).pause();
    cluster.daemon(1).terminate();
    pid_t terminated = cluster.daemon(1).id();
    cluster.clearFaults();
    ASSERT_TRUE(cluster.waitUntilReady()) << "logs in " << folder;
    EXPECT_NE(cluster.daemon(1).id(), terminated);
    std::filesystem::remove_all(folder);
}

INSTANTIATE_TEST_SUITE_P(Short, SoakTest, testing::Values(Case { .seed = 1 }));

// Seeds that have failed, with their causes. Only 100 and 90211 run here; run the others by hand: lentilsaddle_soak
// --seed N.
// 100, 201 (also 102, 103, 106, 200, 302, 400, 402, 404): run ends of a restarted worker were acknowledged with the
// sequence numbers of its previous incarnation. 100, 405, 407 failed later because of faults in the worker stand-in:
// commands executed after their incarnation had ended, acknowledgements applied twice, run ends that no daemon
// could learn of. 710006: the worker stand-in ended one member of a gang as stopped and the others as done.
// 90211: the last fault terminated a daemon that was not started again, because its restart was dropped with the
// faults.
// 2, 10, 15, 202612052, 202612059, 202612060, 202612062, 202612064, 202612066: the HTTP client repeated an append whose
// connection closed, and its 503 counted as the answer although the append was stored. 3, 6, 10: likewise a repeated
// start, whose 429 or 503 counted as the answer although the task ran.
// 777108: the batch task repeated such an append itself; the journal showed the record before the repetition was
// refused, and the refusal counted as the answer.
INSTANTIATE_TEST_SUITE_P(Regression, SoakTest,
    testing::Values(Case { .seed = 100, .duration = std::chrono::seconds(15) },
        Case { .seed = 90211, .duration = std::chrono::seconds(15) }));

} // namespace lentilsaddle::soak
