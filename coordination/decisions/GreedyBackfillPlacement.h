/// @file
/// Baseline placement: EASY backfill.
#pragma once

#include "coordination/decisions/PlacementPolicy.h"

namespace lentilsaddle::coordination {

/// Starts waiting jobs in submission order. The first one that does not fit gets a reservation; later jobs start
/// outside it, or inside if they are declared to end before it is complete (Lifka's EASY backfill). Ignores guarantees.
PlacementPolicy greedyBackfillPlacement();

} // namespace lentilsaddle::coordination
