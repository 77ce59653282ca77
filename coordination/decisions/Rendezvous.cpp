#include "coordination/decisions/Rendezvous.h"

#include <xxhash.h>

#include <algorithm>
#include <string>

namespace lentilsaddle::coordination {

std::uint64_t rendezvousScore(const state::InstanceId& instance, std::string_view key)
{
    std::string input = std::to_string(instance.value().size()) + ":" + instance.value();
    input += key;
    return XXH3_64bits(input.data(), input.size());
}

std::vector<state::InstanceId> rendezvousOrder(std::vector<state::InstanceId> instances, std::string_view key)
{
    std::sort(instances.begin(), instances.end(), [key](const auto& left, const auto& right) {
        auto leftScore = rendezvousScore(left, key);
        auto rightScore = rendezvousScore(right, key);
        return leftScore != rightScore ? leftScore > rightScore : left < right;
    });
    return instances;
}

} // namespace lentilsaddle::coordination
