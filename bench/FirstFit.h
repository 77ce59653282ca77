/// @file
/// Baseline placement: first fit.
#pragma once

#include "coordination/decisions/PlacementPolicy.h"

namespace lentilsaddle::bench {

/// Starts every waiting job that fits, in submission order, on the first workers in the order of their identifiers.
coordination::PlacementPolicy firstFit();

} // namespace lentilsaddle::bench
