/// @file
/// Folders of tests.
#pragma once

#include <string>

namespace lentilsaddle::testing_support {

/// Creates a folder that no other process uses.
/// @param prefix path of the folder without its random end; its parent must exist.
/// @return path of the folder.
/// @throws std::system_error if the folder cannot be created.
std::string makeTemporaryFolder(const std::string& prefix);

} // namespace lentilsaddle::testing_support
