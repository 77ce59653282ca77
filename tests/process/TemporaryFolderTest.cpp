#include "tests/process/TemporaryFolder.h"

#include <gtest/gtest.h>

#include <filesystem>
#include <system_error>

namespace lentilsaddle::testing_support {

// Guards against two runs of one seed that remove each other's logs.
TEST(TemporaryFolderTest, FoldersOfOnePrefixDiffer)
{
    std::string prefix = (std::filesystem::temp_directory_path() / "lentilsaddle-folder-").string();
    std::string first = makeTemporaryFolder(prefix);
    std::string second = makeTemporaryFolder(prefix);
    EXPECT_NE(first, second);
    for (const std::string& folder : { first, second }) {
        EXPECT_TRUE(folder.starts_with(prefix)) << folder;
        EXPECT_TRUE(std::filesystem::is_directory(folder)) << folder;
        std::filesystem::remove(folder);
    }
}

// Guards against a test that goes on without a folder.
TEST(TemporaryFolderTest, MissingParentIsAnError)
{
    std::filesystem::path parent = std::filesystem::temp_directory_path() / "lentilsaddle-no-such-folder";
    EXPECT_THROW(makeTemporaryFolder((parent / "a-").string()), std::system_error);
}

} // namespace lentilsaddle::testing_support
