#include "platform/StoreClient.h"

#include "coordination/batch/JournalHooks.h"
#include "tests/transport/SilencingServer.h"
#include "transport/EventLoop.h"

#include <gtest/gtest.h>

#include <string>

namespace lentilsaddle::platform {

using coordination::batch::ReadResult;
using coordination::batch::Stream;
using std::chrono::milliseconds;

namespace {

    constexpr int connections = 16;
    constexpr milliseconds responseDelay { 30 };
    constexpr milliseconds readTimeout { 250 };
    // End offset and first offset of an empty partition.
    constexpr std::size_t emptyReadBytes = 16;

} // namespace

// Guards against a configuration that is read late because the reader waits for a timeout on each of the connections to
// the store that have gone silent together.
TEST(SilentStoreConnection, SecondReadIsAnsweredAfterAllConnectionsHaveGoneSilent)
{
    transport::EventLoop loop { [] {} };
    testing_support::SilencingServer server(std::string(emptyReadBytes, '\0'), responseDelay);
    StoreClient store(loop, server.url());
    auto hooks = store.hooks();
    auto readTogether = [&](int count) {
        int answered = 0;
        int pending = count;
        for (int number = 0; number < count; ++number) {
            hooks.read({ .stream = Stream::Configuration, .timeout = readTimeout }, [&](const ReadResult& result) {
                answered += result.status == ReadResult::Status::Failed ? 0 : 1;
                if (--pending == 0)
                    loop.requestStop();
            });
        }
        loop.run();
        return answered;
    };
    ASSERT_EQ(readTogether(connections), connections);
    ASSERT_EQ(server.connections(), connections);
    server.silenceOpenConnections();
    EXPECT_EQ(readTogether(1), 0);
    EXPECT_EQ(readTogether(1), 1);
}

} // namespace lentilsaddle::platform
