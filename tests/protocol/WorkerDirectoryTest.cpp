#include "protocol/WorkerDirectory.h"

#include "protocol/ProtocolError.h"

#include <gtest/gtest.h>

namespace lentilsaddle::protocol {

namespace {

    std::string listWith(const std::string& entry)
    {
        return R"({"workers":[{"id":"w-1","rack":"r","accelerators":8,"address":"10.0.0.1:80"},)" + entry
            + R"(,{"id":"w-2","rack":"r","accelerators":8,"address":"10.0.0.2:80"}]})";
    }

} // namespace

// Guards against one entry that cannot be decoded and hides all workers, and against placement on that entry.
TEST(WorkerDirectory, OnlyTheInvalidEntryIsSkipped)
{
    EXPECT_EQ(decodeWorkers(listWith(R"({"id":"w","rack":"r","accelerators":8,"address":"10.0.0.3:80"})")).size(), 3U);
    for (const char* odd : { R"({"id":"w","rack":"r","accelerators":9,"address":"10.0.0.3:80"})", R"({"rack":"r"})",
             "7", R"({"id":"w","rack":"r","accelerators":8,"address":"10.0.0.3:65536"})",
             R"({"id":"w","rack":"r","accelerators":18446744073709551615,"address":"10.0.0.3:80"})" }) {
        std::vector<state::Worker> workers = decodeWorkers(listWith(odd));
        ASSERT_EQ(workers.size(), 2U) << odd;
        EXPECT_EQ(workers[0].id, state::WorkerId("w-1"));
        EXPECT_EQ(workers[1].id, state::WorkerId("w-2"));
    }
}

// Guards against an empty list of workers in place of one that cannot be read.
TEST(WorkerDirectory, BodyThatIsNoListIsAnError)
{
    EXPECT_THROW(decodeWorkers("{"), ProtocolError);
    EXPECT_THROW(decodeWorkers(R"({"workers":{}})"), ProtocolError);
    EXPECT_THROW(decodeWorkers("[]"), ProtocolError);
}

} // namespace lentilsaddle::protocol
