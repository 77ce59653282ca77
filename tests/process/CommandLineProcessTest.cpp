#include "tests/process/ProcessTest.h"

#include <string>
#include <vector>

namespace lentilsaddle::testing_support {

namespace {

    class CommandLineProcessTest : public ProcessTest {
    protected:
        int run(std::vector<std::string> arguments, int port = 0)
        {
            std::string server = "127.0.0.1:" + std::to_string(port == 0 ? m_harness.entryPort(0) : port);
            arguments.insert(arguments.begin(), { "--server", server });
            m_output.clear();
            return m_harness.run("cli/lentilsaddle", arguments, m_output);
        }

        std::string m_output;
    };

} // namespace

// Guards against exit codes by which a script cannot distinguish a refused operation, invalid usage, an unreachable
// server and an unknown outcome.
TEST_F(CommandLineProcessTest, ExitCodesDistinguishTheOutcomes)
{
    EXPECT_EQ(run({ "status" }), 0) << m_output;
    EXPECT_EQ(run({ "--version" }), 0) << m_output;
    EXPECT_EQ(run({ "job", "no-such-job" }), 1) << m_output;
    EXPECT_EQ(run({ "submit", "--account", "nobody" }), 1) << m_output;
    EXPECT_NE(m_output.find("account"), std::string::npos) << m_output;
    EXPECT_EQ(run({ "no-such-command" }), 2) << m_output;
    EXPECT_EQ(run({ "status", "--no-such-flag" }), 2) << m_output;
    EXPECT_EQ(run({ "submit", "--tasks", "many" }), 2) << m_output;
    // No server listens on port 1.
    EXPECT_EQ(run({ "status" }, 1), 3) << m_output;
    ASSERT_TRUE(waitForLedger(0));
    m_harness.controlBackend(0, { { "drop_after_run", true } });
    std::vector<std::string> order { "request", "--service", "pavoreserva-app", "--account", "shops",
        "--non-repeatable", "--idempotency-key", "order-1" };
    EXPECT_EQ(run(order), 4) << m_output;
    EXPECT_EQ(runsOfKey("order-1"), 1);
}

} // namespace lentilsaddle::testing_support
