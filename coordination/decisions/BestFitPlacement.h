/// @file
/// Baseline placement: best fit.
#pragma once

#include "coordination/decisions/PlacementPolicy.h"

namespace lentilsaddle::coordination {

/// Starts every waiting job that fits, in submission order, in the fullest worker or rack. Ignores guarantees.
PlacementPolicy bestFitPlacement();

} // namespace lentilsaddle::coordination
