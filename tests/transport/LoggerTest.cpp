#include "transport/Logger.h"

#include <gtest/gtest.h>

namespace lentilsaddle::transport {

TEST(Logger, ValuesAreQuotedWhereNecessary)
{
    EXPECT_EQ(formatLogLine("store", "stream lost", { { "stream", "journal" }, { "error", "a \"b\"\nc" } }),
        R"(component=store message="stream lost" stream=journal error="a \"b\" c")");
}

// Guards against a log that one value of another system fills, such as a parse error that repeats the document.
TEST(Logger, LongValuesAreCut)
{
    std::string line
        = formatLogLine("store", "lost", { { "error", std::string(100'000, 'x') }, { "stream", "journal" } });
    EXPECT_LT(line.size(), 1'200U);
    EXPECT_TRUE(line.ends_with("x... stream=journal"));
}

} // namespace lentilsaddle::transport
