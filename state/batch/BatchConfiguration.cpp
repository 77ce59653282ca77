#include "state/batch/BatchConfiguration.h"

namespace lentilsaddle::state::batch {

const BatchQueue* BatchConfiguration::findQueue(const std::string& host, const std::string& path) const
{
    const BatchQueue* best = nullptr;
    for (const BatchQueue& queue : queues) {
        if (queue.host != host || !path.starts_with(queue.pathPrefix))
            continue;
        if (!best || queue.pathPrefix.size() > best->pathPrefix.size())
            best = &queue;
    }
    return best;
}

const BatchAccount* BatchConfiguration::findAccountByApiKey(const std::string& key) const
{
    for (const BatchAccount& account : accounts) {
        if (account.apiKeys.contains(key))
            return &account;
    }
    return nullptr;
}

std::int64_t BatchConfiguration::guaranteedAccelerators(const AccountId& account) const
{
    for (const BatchAccount& candidate : accounts) {
        if (candidate.id == account)
            return candidate.guaranteedAccelerators;
    }
    return 0;
}

} // namespace lentilsaddle::state::batch
