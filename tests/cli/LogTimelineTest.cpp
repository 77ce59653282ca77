#include "cli/LogTimeline.h"

#include <gtest/gtest.h>

#include <sstream>

namespace lentilsaddle::cli {

// Guards against a time line that is not in order of time when the lines come from the logs of several processes.
TEST(LogTimeline, SortsTheLinesOfAllProcesses)
{
    LogTimeline timeline("00aa");
    std::istringstream first("time=2026-01-01T00:00:02.000 level=INFO instance=e-1 component=scheduler "
                             "message=claiming job=00aa task=00aa.0.0.1\n");
    std::istringstream second("  1.2 e-2 time=2026-01-01T00:00:01.000 level=INFO instance=e-2 component=api "
                              "message=\"job submitted\" job=00aa outcome=stored\n"
                              "a line of another program that names 00aa\n");
    timeline.add(first);
    timeline.add(second);
    EXPECT_EQ(timeline.lines(),
        (std::vector<std::string> { "2026-01-01T00:00:01.000 e-2 api job submitted job=00aa outcome=stored",
            "2026-01-01T00:00:02.000 e-1 scheduler claiming job=00aa task=00aa.0.0.1" }));
}

// Guards against matching the lines of another job whose identifier contains the requested one.
TEST(LogTimeline, MatchesWholeIdentifiers)
{
    LogTimeline timeline("00aa");
    std::istringstream log("time=1 instance=e component=api message=x job=00aab\ntime=2 instance=e component=api "
                           "message=y job=100aa\n");
    timeline.add(log);
    EXPECT_TRUE(timeline.lines().empty());
}

} // namespace lentilsaddle::cli
