#include "transport/RefusalRecorder.h"

#include "transport/Metrics.h"

#include <gtest/gtest.h>

namespace lentilsaddle::transport {

// Guards against hostile clients that fill the log, and against refusals that no metric shows.
TEST(RefusalRecorderTest, CountsEachRefusalAndLogsThemTogether)
{
    Metrics metrics;
    RefusalRecorder recorder(metrics, "api");
    for (int ms = 0; ms < 10'000; ++ms)
        recorder.record("no_room", RefusalRecorder::Time(std::chrono::hours(1) + std::chrono::milliseconds(ms)));
    recorder.record("no_room", RefusalRecorder::Time(std::chrono::hours(2)));
    EXPECT_EQ(recorder.linesWritten(), 2U);
    EXPECT_NE(metrics.render().find(R"(lentilsaddle_http_refused_total{reason="no_room"} 10001)"), std::string::npos);
}

} // namespace lentilsaddle::transport
