#include "state/batch/BatchSettings.h"

#include <algorithm>

namespace lentilsaddle::state::batch {

namespace {

    // Files, client connections, and connections to the store, with a reserve.
    constexpr std::size_t otherDescriptors = 1'700;
    constexpr std::size_t unknownDescriptors = 4'100;
    // A process with fewer descriptors still reaches some workers at a time.
    constexpr std::size_t minimumWorkerConnections = 64;

    constexpr std::size_t megabyte = 1 << 20;
    constexpr std::size_t unknownMemoryMegabytes = 256;
    // The rest is for the state of the jobs and for what libraries and the system keep for each connection. An eighth
    // of 120 MB holds the requests of 1,200 clients of 4,000 bytes each twice.
    constexpr std::size_t partForRequests = 8;
    constexpr std::size_t partForJobs = 3;
    // The largest job that a client may submit is accepted on any machine.
    constexpr std::size_t minimumJobMemory = 32 * megabyte;
    // A single body of the largest size is accepted on any machine.
    constexpr std::size_t minimumRequestMemory = 2 * megabyte;

} // namespace

std::size_t BatchSettings::workerConnections() const
{
    std::size_t available = descriptors > 0 ? descriptors : unknownDescriptors;
    return available > otherDescriptors + minimumWorkerConnections ? available - otherDescriptors
                                                                   : minimumWorkerConnections;
}

std::size_t BatchSettings::requestMemoryBytes() const
{
    return std::max(knownMemoryBytes() / partForRequests, minimumRequestMemory);
}

std::size_t BatchSettings::jobMemoryBytes() const
{
    return std::max(knownMemoryBytes() / partForJobs, minimumJobMemory);
}

std::size_t BatchSettings::knownMemoryBytes() const
{
    return (memoryMegabytes > 0 ? memoryMegabytes : unknownMemoryMegabytes) * megabyte;
}

} // namespace lentilsaddle::state::batch
