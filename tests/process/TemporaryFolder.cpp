#include "tests/process/TemporaryFolder.h"

#include <cerrno>
#include <cstdlib>
#include <system_error>

namespace lentilsaddle::testing_support {

std::string makeTemporaryFolder(const std::string& prefix)
{
    std::string path = prefix + "XXXXXX";
    if (!mkdtemp(path.data()))
        throw std::system_error(errno, std::generic_category(), "cannot create " + path);
    return path;
}

} // namespace lentilsaddle::testing_support
