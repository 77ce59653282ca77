#include "protocol/ConfigurationCodec.h"

#include "state/Configuration.h"
#include "state/StateError.h"

#include <gtest/gtest.h>

namespace lentilsaddle::protocol {

TEST(ConfigurationCodec, MergePatchAddsAndRemoves)
{
    state::Configuration base = applyMergePatch({}, R"({"accounts":{"a":{"weight":3},"b":{}}})");
    state::Configuration next = applyMergePatch(base, R"({"accounts":{"b":null}})");
    EXPECT_EQ(next.accounts.size(), 1U);
    EXPECT_EQ(next.accounts.at(state::AccountId("a")).weight, 3);
}

// Guards against a mistyped key being silently ignored.
TEST(ConfigurationCodec, UnknownFieldIsNamed)
{
    try {
        applyMergePatch({}, R"({"accounts":{"a":{"wieght":3}}})");
        FAIL() << "the patch was accepted";
    } catch (const state::StateError& error) {
        EXPECT_EQ(error.field(), "accounts.a.wieght");
    }
}

TEST(ConfigurationCodec, DocumentSurvivesARoundTrip)
{
    state::Configuration configuration = applyMergePatch({},
        R"({"data_centres":{"d":{"accelerators":64}},"services":{"s":{}},
            "accounts":{"a":{"guarantees":[{"data_centre":"d","accelerators":8,"adjacency":"worker","count":2}]}}})");
    configuration.version = 9;
    EXPECT_EQ(decodeConfiguration(encodeConfiguration(configuration)), configuration);
}

} // namespace lentilsaddle::protocol
