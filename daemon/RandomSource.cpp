#include "daemon/RandomSource.h"

#include <memory>
#include <mutex>
#include <random>

namespace lentilsaddle::daemon {

std::function<std::uint64_t()> makeRandomSource()
{
    struct Source {
        std::mutex mutex;
        std::mt19937_64 engine { std::random_device {}() };
    };
    auto source = std::make_shared<Source>();
    return [source] {
        std::lock_guard lock(source->mutex);
        return source->engine();
    };
}

} // namespace lentilsaddle::daemon
