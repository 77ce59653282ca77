#include "protocol/WorkerDirectory.h"

#include "protocol/ProtocolError.h"

#include <gtest/gtest.h>

namespace lentilsaddle::protocol {

// Guards against placement decisions on a partially decoded list of workers.
TEST(WorkerDirectory, InvalidListIsAnError)
{
    EXPECT_EQ(decodeWorkers(R"({"workers":[{"id":"w","rack":"r","accelerators":8,"address":"a"}]})").size(), 1U);
    EXPECT_THROW(decodeWorkers(R"({"workers":[{"id":"w","rack":"r","accelerators":9,"address":"a"}]})"), ProtocolError);
    EXPECT_THROW(decodeWorkers(R"({"workers":[{"rack":"r"}]})"), ProtocolError);
}

} // namespace lentilsaddle::protocol
