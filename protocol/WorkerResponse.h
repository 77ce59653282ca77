/// @file
/// Answer of a worker to a control call.
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
        /// There is no such lease; nothing started.
        NoLease,
        /// The call was not sent, or the worker refused it for another reason; it had no effect.
        Refused,
        /// The call may have taken effect.
        Unknown,
    };

    Status status = Status::Unknown;
    /// Highest epoch that the worker has seen, if it told one.
    std::uint64_t epoch = 0;
    /// Jobs whose leases a renewal extended.
    std::vector<state::JobId> renewed;
    /// Jobs whose leases a renewal did not find.
    std::vector<state::JobId> lost;
    /// Tasks that the worker lists, for fence, renew and tasks.
    std::vector<state::WorkerTask> tasks;
};

} // namespace lentilsaddle::protocol
