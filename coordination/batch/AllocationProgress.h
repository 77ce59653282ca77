/// @file
/// Progress of the run that an allocation stands for.
#pragma once

#include "coordination/decisions/batch/UnsavedWork.h"

namespace lentilsaddle::coordination::batch {

struct Allocation;

/// @return what determines the work that an early end of the run loses.
RunProgress progressOf(const Allocation& allocation);

} // namespace lentilsaddle::coordination::batch
