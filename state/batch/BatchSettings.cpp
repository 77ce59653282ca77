#include "state/batch/BatchSettings.h"

#include <algorithm>

namespace lentilsaddle::state::batch {

namespace {

    // Files, client connections, and connections to the store, with a reserve.
    constexpr std::size_t otherDescriptors = 1'700;
    constexpr std::size_t unknownDescriptors = 4'100;
    // A process with fewer descriptors still reaches some workers at a time.
    constexpr std::size_t minimumWorkerConnections = 64;

} // namespace

std::size_t BatchSettings::workerConnections() const
{
    std::size_t available = descriptors > 0 ? descriptors : unknownDescriptors;
    return available > otherDescriptors + minimumWorkerConnections ? available - otherDescriptors
                                                                   : minimumWorkerConnections;
}

} // namespace lentilsaddle::state::batch
