#include "transport/LogWriter.h"

#include <gtest/gtest.h>
#include <unistd.h>

#include <array>
#include <chrono>
#include <string>

namespace lentilsaddle::transport {

namespace {

    std::string readAll(int descriptor)
    {
        std::string text;
        std::array<char, 4096> buffer {};
        ssize_t count = 0;
        while ((count = read(descriptor, buffer.data(), buffer.size())) > 0)
            text.append(buffer.data(), static_cast<std::size_t>(count));
        return text;
    }

} // namespace

TEST(LogWriter, WritesLinesInOrder)
{
    std::array<int, 2> ends {};
    ASSERT_EQ(pipe(ends.data()), 0);
    {
        LogWriter writer({ .descriptor = ends[1] });
        writer.write("a");
        writer.write("b");
    }
    close(ends[1]);
    EXPECT_EQ(readAll(ends[0]), "a\nb\n");
    close(ends[0]);
}

// Guards against write() blocking a request while the pipe is full, and against lines dropped without being counted.
TEST(LogWriter, FullPipeDoesNotBlockWritersAndDroppedLinesAreCounted)
{
    std::array<int, 2> ends {};
    ASSERT_EQ(pipe(ends.data()), 0);
    std::string line(1'000, 'x');
    auto writer = std::make_unique<LogWriter>(LogWriter::Options { .descriptor = ends[1], .maximumBytes = 100'000 });
    auto begin = std::chrono::steady_clock::now();
    for (int count = 0; count < 2'000; ++count)
        writer->write(line);
    EXPECT_LT(std::chrono::steady_clock::now() - begin, std::chrono::milliseconds(500));
    std::string text;
    std::array<char, 65'536> buffer {};
    while (text.find("lines dropped") == std::string::npos) {
        ssize_t count = read(ends[0], buffer.data(), buffer.size());
        ASSERT_GT(count, 0);
        text.append(buffer.data(), static_cast<std::size_t>(count));
    }
    EXPECT_NE(text.find("message=\"lines dropped\" count="), std::string::npos);
    writer.reset();
    close(ends[0]);
    close(ends[1]);
}

// Guards against a shutdown that hangs because the log pipe is full and not read.
TEST(LogWriter, FullPipeDoesNotBlockTheDestructor)
{
    std::array<int, 2> ends {};
    ASSERT_EQ(pipe(ends.data()), 0);
    auto begin = std::chrono::steady_clock::now();
    {
        LogWriter writer({ .descriptor = ends[1] });
        for (int count = 0; count < 200; ++count)
            writer.write(std::string(1'000, 'x'));
    }
    EXPECT_LT(std::chrono::steady_clock::now() - begin, std::chrono::seconds(2));
    close(ends[0]);
    close(ends[1]);
}

} // namespace lentilsaddle::transport
