#include "transport/Task.h"

#include <gtest/gtest.h>

#include <stdexcept>
#include <vector>

namespace lentilsaddle::transport {

namespace {

    class CollectingTask : public Task<int> {
    public:
        ~CollectingTask() override { stop(); }
        std::vector<int> m_received;
        bool m_failToStart = false;

    protected:
        void onStart() override
        {
            if (m_failToStart)
                throw std::runtime_error("no socket");
        }
        void onMessage(int message) override
        {
            m_received.push_back(message);
            if (message < 0)
                throw std::out_of_range("unexpected value");
        }
    };

} // namespace

// Guards against messages being lost when a task stops, and against reordering.
TEST(Task, HandlesAllMessagesInOrderBeforeItStops)
{
    CollectingTask task;
    task.post(0);
    task.start();
    for (int i = 1; i < 1000; ++i)
        task.post(i);
    task.stop();
    ASSERT_EQ(task.m_received.size(), 1000U);
    for (int i = 0; i < 1000; ++i)
        EXPECT_EQ(task.m_received[static_cast<std::size_t>(i)], i);
}

// Guards against one malformed message, or an unexpected error of a timer, that ends the whole process.
TEST(Task, UnexpectedErrorEndsOnlyItsCallback)
{
    CollectingTask task;
    task.start();
    for (int message : { 1, -1, 2 })
        task.post(message);
    task.stop();
    EXPECT_EQ(task.m_received, (std::vector<int> { 1, -1, 2 }));

    EventLoop loop([] {});
    bool laterTimerRan = false;
    loop.startTimer(std::chrono::microseconds(0), [] { throw 1; });
    loop.startTimer(std::chrono::milliseconds(5), [&] {
        laterTimerRan = true;
        loop.requestStop();
    });
    loop.run();
    EXPECT_TRUE(laterTimerRan);
}

// Guards against a daemon that keeps running without its listening socket after onStart() has failed.
TEST(Task, ExceptionInOnStartIsRethrownByStart)
{
    CollectingTask task;
    task.m_failToStart = true;
    EXPECT_THROW(task.start(), std::runtime_error);
}

} // namespace lentilsaddle::transport
