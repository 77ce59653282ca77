/// @file
/// Job as the API reports it.
#pragma once

#include "state/JobSpecification.h"
#include "state/TaskPlacement.h"

#include <string>
#include <vector>

namespace lentilsaddle::protocol {

struct ApiJob {
    state::JobSpecification specification;
    std::string state;
    std::string reason;
    int attempts = 0;
    std::vector<state::TaskPlacement> placements;
};

} // namespace lentilsaddle::protocol
