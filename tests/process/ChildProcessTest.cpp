#include "tests/process/ChildProcess.h"

#include <gtest/gtest.h>

#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <iterator>
#include <system_error>
#include <thread>

namespace lentilsaddle::testing_support {

// Guards against an error that names the program although its log cannot be opened.
TEST(ChildProcessTest, ErrorNamesALogThatCannotBeOpened)
{
    std::string path = (std::filesystem::temp_directory_path() / "lentilsaddle-no-such-folder" / "child.log").string();
    try {
        ChildProcess process({ "/bin/true" }, path);
        FAIL() << "the program was started without its log";
    } catch (const std::system_error& error) {
        EXPECT_NE(std::string(error.what()).find(path), std::string::npos) << error.what();
        EXPECT_EQ(error.code(), std::errc::no_such_file_or_directory);
    }
}

// Guards against a child whose output is lost.
TEST(ChildProcessTest, LogGetsBothOutputsOfTheProgram)
{
    std::filesystem::path path
        = std::filesystem::temp_directory_path() / ("lentilsaddle-child-" + std::to_string(getpid()) + ".log");
    ChildProcess process({ "/bin/sh", "-c", "echo out; echo error >&2" }, path.string());
    while (!process.ended())
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    std::ifstream log(path);
    std::string text { std::istreambuf_iterator<char>(log), {} };
    EXPECT_EQ(process.exitCode(), 0);
    EXPECT_EQ(text, "out\nerror\n");
    std::filesystem::remove(path);
}

} // namespace lentilsaddle::testing_support
