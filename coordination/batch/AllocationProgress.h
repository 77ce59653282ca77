/// @file
/// Progress of the run that an allocation stands for.
#pragma once

#include "coordination/decisions/batch/RemainingRunTime.h"
#include "coordination/decisions/batch/UnsavedWork.h"
#include "state/Time.h"

namespace lentilsaddle::coordination::batch {

struct Allocation;

/// @return what determines the work that an early end of the run loses.
RunProgress progressOf(const Allocation& allocation);

/// @return what tells when the run ends.
RunTimeEvidence runTimeEvidence(const Allocation& allocation, state::MonotonicTime now);

} // namespace lentilsaddle::coordination::batch
