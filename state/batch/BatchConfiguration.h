/// @file
/// Configuration of the batch subsystem.
#pragma once

#include "state/batch/BatchAccount.h"
#include "state/batch/BatchQueue.h"

#include <cstdint>
#include <string>
#include <vector>

namespace lentilsaddle::state::batch {

/// Complete version of the operator's configuration.
struct BatchConfiguration {
    std::uint64_t version = 0;
    std::vector<BatchQueue> queues;
    std::vector<BatchAccount> accounts;

    /// @return the queue of this host with the longest matching path prefix, or null.
    const BatchQueue* findQueue(const std::string& host, const std::string& path) const;

    /// @return the account with this API key, or null.
    const BatchAccount* findAccountByApiKey(const std::string& key) const;

    /// @return accelerators guaranteed to an account; 0 if it is unknown.
    std::int64_t guaranteedAccelerators(const AccountId& account) const;
};

} // namespace lentilsaddle::state::batch
