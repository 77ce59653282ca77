#include "state/batch/BatchTaskId.h"

#include <array>
#include <charconv>
#include <string_view>

namespace lentilsaddle::state::batch {

std::string BatchTaskId::toString() const
{
    return job.value() + '.' + std::to_string(occurrence) + '.' + std::to_string(step) + '.' + std::to_string(index);
}

std::optional<BatchTaskId> BatchTaskId::parse(const std::string& text)
{
    std::string_view rest = text;
    std::array<int, 3> numbers {};
    for (std::size_t part = numbers.size(); part-- > 0;) {
        std::size_t dot = rest.rfind('.');
        if (dot == std::string_view::npos)
            return std::nullopt;
        std::string_view digits = rest.substr(dot + 1);
        auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), numbers[part]);
        if (error != std::errc {} || end != digits.data() + digits.size() || numbers[part] < 0)
            return std::nullopt;
        rest = rest.substr(0, dot);
    }
    if (rest.empty())
        return std::nullopt;
    return BatchTaskId {
        .job = JobId(std::string(rest)), .occurrence = numbers[0], .step = numbers[1], .index = numbers[2]
    };
}

} // namespace lentilsaddle::state::batch
