/// @file
/// Identity of a task of a batch job.
#pragma once

#include "state/Identifier.h"

#include <compare>
#include <optional>
#include <string>

namespace lentilsaddle::state::batch {

struct BatchTaskId {
    JobId job;
    int occurrence = 0;
    int step = 0;
    int index = 0;

    auto operator<=>(const BatchTaskId&) const = default;

    /// @return `JOB.OCCURRENCE.STEP.INDEX`.
    std::string toString() const;

    /// @return the identity, or nothing if the text does not have the form of toString().
    static std::optional<BatchTaskId> parse(const std::string& text);
};

} // namespace lentilsaddle::state::batch
