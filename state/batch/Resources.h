/// @file
/// Amounts of a worker's resources.
#pragma once

#include <cstdint>

namespace lentilsaddle::state::batch {

/// Processor time in thousandths of a core, memory in MB, whole accelerators.
struct Resources {
    std::int64_t milliCores = 0;
    std::int64_t memoryMegabytes = 0;
    std::int64_t accelerators = 0;

    auto operator<=>(const Resources&) const = default;

    /// @return whether no resource exceeds the available amount.
    bool fitsInto(const Resources& available) const
    {
        return milliCores <= available.milliCores && memoryMegabytes <= available.memoryMegabytes
            && accelerators <= available.accelerators;
    }

    Resources& operator+=(const Resources& other)
    {
        milliCores += other.milliCores;
        memoryMegabytes += other.memoryMegabytes;
        accelerators += other.accelerators;
        return *this;
    }

    Resources& operator-=(const Resources& other)
    {
        milliCores -= other.milliCores;
        memoryMegabytes -= other.memoryMegabytes;
        accelerators -= other.accelerators;
        return *this;
    }
};

} // namespace lentilsaddle::state::batch
