/// @file
/// Response of a worker to a control call.
#pragma once

#include "state/Identifier.h"
#include "state/WorkerTask.h"

#include <cstdint>
#include <vector>

namespace lentilsaddle::protocol {

struct WorkerResponse {
    enum class Status {
        Ok,
        /// The worker has seen a higher epoch.
        Fenced,
        /// An accelerator is leased to another job.
        Occupied,
        /// The worker has no such lease; the task was not started.
        NoLease,
        /// The call was not sent, or the worker refused it for another reason; it had no effect.
        Refused,
        /// The call may have taken effect.
        Unknown,
    };

    Status status = Status::Unknown;
    /// Highest epoch that the worker has seen; 0 if the response does not contain it.
    std::uint64_t epoch = 0;
    /// Jobs whose leases a renewal extended.
    std::vector<state::JobId> renewed;
    /// Jobs whose leases a renewal did not find.
    std::vector<state::JobId> lost;
    /// Tasks that the worker lists in its response to a fence, renew or tasks call.
    std::vector<state::WorkerTask> tasks;
};

} // namespace lentilsaddle::protocol
