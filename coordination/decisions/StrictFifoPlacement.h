/// @file
/// Baseline placement: strict first in, first out.
#pragma once

#include "coordination/decisions/PlacementPolicy.h"

namespace lentilsaddle::coordination {

/// Starts waiting jobs in submission order and stops at the first one that does not fit. Ignores guarantees.
PlacementPolicy strictFifoPlacement();

} // namespace lentilsaddle::coordination
