#include "protocol/SettingsCodec.h"

#include "protocol/ProtocolError.h"
#include "state/Settings.h"

#include <gtest/gtest.h>

namespace lentilsaddle::protocol {

namespace {

    const std::string required = "instance: e-1\ndata_centre: d\nplatform:\n  url: http://127.0.0.1:7000\n";

    std::string errorOf(const std::string& text)
    {
        try {
            parseSettings(text, "s.yaml");
        } catch (const ProtocolError& error) {
            return error.what();
        }
        return "no error";
    }

} // namespace

TEST(SettingsCodec, ReadsKeysAndKeepsDefaults)
{
    state::Settings settings = parseSettings(required + "leases:\n  ttl_ms: 40000\n", "s.yaml");
    EXPECT_EQ(settings.instance.value(), "e-1");
    EXPECT_EQ(settings.leaseTtl, std::chrono::seconds(40));
    EXPECT_EQ(settings.leaseRenewInterval, std::chrono::seconds(10));
}

// Guards against a value in the wrong unit, or a mistyped key, being applied or silently ignored.
TEST(SettingsCodec, ErrorsNameFileLineKeyRangeAndUnit)
{
    EXPECT_EQ(errorOf(required + "leases:\n  ttl_ms: 30s\n"),
        "s.yaml:6: leases.ttl_ms: must be an integer from 1000 to 600000 (milliseconds), got '30s'");
    EXPECT_EQ(errorOf(required + "leases:\n  ttl_s: 30\n"), "s.yaml:6: leases.ttl_s: is unknown");
    EXPECT_EQ(errorOf("data_centre: d\nplatform:\n  url: http://127.0.0.1:7000\n"),
        "s.yaml:1: instance: is required; expected 1 to 63 characters of a-z, 0-9 and -");
    EXPECT_EQ(errorOf(required + "log:\n  level: info\nlog:\n  level: debug\n"), "s.yaml:8: log.level: is given twice");
}

// Guards against a machine without room for a single body, or whose memory the requests alone can use up.
TEST(SettingsCodec, PartOfTheMemoryIsForRequests)
{
    EXPECT_EQ(parseSettings(required + "batch:\n  memory_mb: 120\n", "s.yaml").batch.requestMemoryBytes(), 15U << 20);
    EXPECT_EQ(parseSettings(required + "batch:\n  memory_mb: 1\n", "s.yaml").batch.requestMemoryBytes(), 2U << 20);
    EXPECT_EQ(parseSettings(required + "http:\n  memory_mb: 512\n", "s.yaml").requestMemoryBytes(), 64U << 20);
    EXPECT_EQ(parseSettings(required + "batch:\n  memory_mb: 240\n", "s.yaml").batch.jobMemoryBytes(), 80U << 20);
    EXPECT_EQ(parseSettings(required + "batch:\n  memory_mb: 1\n", "s.yaml").batch.jobMemoryBytes(), 32U << 20);
    EXPECT_EQ(parseSettings(required, "s.yaml").requestMemoryBytes(), 256U << 20);
}

// Guards against a leader of many workers that closes connections to them although it has the descriptors for more,
// and against one that runs out of descriptors for its clients.
TEST(SettingsCodec, DescriptorsBoundTheConnectionsToWorkers)
{
    EXPECT_EQ(parseSettings(required, "s.yaml").batch.workerConnections(), 2'400U);
    EXPECT_EQ(parseSettings(required + "batch:\n  descriptors: 8192\n", "s.yaml").batch.workerConnections(), 6'492U);
    EXPECT_EQ(parseSettings(required + "batch:\n  descriptors: 1024\n", "s.yaml").batch.workerConnections(), 64U);
    EXPECT_NE(errorOf(required + "batch:\n  descriptors: many\n").find("must be an integer"), std::string::npos);
}

// Guards against a daemon that does not start because the template of its settings had no value for an optional key,
// and against one that starts without a required value.
TEST(SettingsCodec, OptionalKeyWithoutAValueIsAbsent)
{
    for (const char* value : { "", "\"\"", "~", "{{limits.max_fds}}", "\"{{limits.max_fds}}\"" }) {
        state::Settings settings
            = parseSettings(required + "batch:\n  descriptors: " + value + "\n  stop_grace_ms: 700\n", "s.yaml");
        EXPECT_EQ(settings.batch.descriptors, 0U) << value;
        EXPECT_EQ(settings.batch.stopGrace, std::chrono::milliseconds(700)) << value;
        EXPECT_EQ(settings.unsetKeys, std::vector<std::string> { "batch.descriptors" }) << value;
        EXPECT_EQ(errorOf(std::string("data_centre: d\ninstance: ") + value + "\nplatform:\n  url: http://h:1\n"),
            "s.yaml:2: instance: is required; expected 1 to 63 characters of a-z, 0-9 and -")
            << value;
    }
    EXPECT_NE(errorOf(required + "batch:\n  descriptors: {a: 1}\n").find("is unknown"), std::string::npos);
    EXPECT_NE(errorOf(required + "batch:\n  descriptors: [1]\n").find("must be an integer"), std::string::npos);
}

// Guards against a daemon of the other kind, or one with guessed protocol times, that starts because a placeholder of
// its settings was not filled in.
TEST(SettingsCodec, AddressOrTimeWithoutAValueIsAnError)
{
    for (const char* key :
        { "front", "ready", "metrics", "worker_lease_limit_ms", "stop_grace_ms", "gang_timeout_ms" }) {
        for (const char* value : { "", "\"\"", "~", "{{listen.front}}", "\"{{listen.front}}\"" }) {
            std::string error = errorOf(required + "batch:\n  " + key + ": " + value + "\n");
            EXPECT_NE(error.find(std::string("batch.") + key + ": has no value; expected "), std::string::npos)
                << key << ": " << value << ": " << error;
        }
    }
}

// Guards against a daemon that does not start because the platform does not know its machine, has no
// preference or no bound of evacuations.
TEST(SettingsCodec, MachineOrPreferenceWithoutAValueKeepsItsDefault)
{
    for (const char* key : { "batch:\n  processors", "batch:\n  descriptors", "batch:\n  memory_mb",
             "batch:\n  learn_run_times", "batch:\n  evacuation_limit_ms", "http:\n  memory_mb", "log:\n  level" })
        EXPECT_EQ(parseSettings(required + key + ": {{limits.max_fds}}\n", "s.yaml").unsetKeys.size(), 1U) << key;
}

// Guards against an operator who cannot switch off what is learned, or switches it off by a typing error.
TEST(SettingsCodec, LearningIsOnUnlessSwitchedOff)
{
    EXPECT_TRUE(parseSettings(required, "s.yaml").batch.learnRunTimes);
    EXPECT_FALSE(parseSettings(required + "batch:\n  learn_run_times: false\n", "s.yaml").batch.learnRunTimes);
    EXPECT_NE(errorOf(required + "batch:\n  learn_run_times: no\n").find("must be true or false"), std::string::npos);
}

// Guards against leases that expire after a single lost renewal.
TEST(SettingsCodec, LeaseMustOutliveTwoRenewals)
{
    EXPECT_NE(
        errorOf(required + "leases:\n  ttl_ms: 10000\n").find("at least twice renew_interval_ms"), std::string::npos);
}

} // namespace lentilsaddle::protocol
