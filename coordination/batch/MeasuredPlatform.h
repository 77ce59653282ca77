/// @file
/// Latency histograms of the calls to the platform.
#pragma once

#include "coordination/batch/BatchPlatform.h"
#include "state/Time.h"

namespace lentilsaddle::transport {
class Metrics;
}

namespace lentilsaddle::coordination::batch {

/// @param metrics registry that outlives the hooks.
/// @return hooks that call the given ones and record how long each call took, by its outcome.
BatchPlatform measuredPlatform(BatchPlatform platform, transport::Metrics& metrics, const state::MonotonicClock& clock);

} // namespace lentilsaddle::coordination::batch
