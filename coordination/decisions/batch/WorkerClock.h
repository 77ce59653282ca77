/// @file
/// Bounds of a worker's clock.
#pragma once

#include "state/Time.h"

#include <chrono>
#include <optional>

namespace lentilsaddle::coordination::batch {

/// Bounds of a worker's steady clock, from the readings in its responses. The clock may run slow by a known share,
/// never fast.
class WorkerClock {
public:
    /// @param maximumDrift share by which the clock may run slow.
    explicit WorkerClock(double maximumDrift)
        : m_maximumDrift(maximumDrift)
    {
    }

    /// Records a reading of the clock.
    /// @param clock reading carried by a response.
    /// @param received when the response arrived; the worker's clock had at least reached the reading then.
    void addReading(std::chrono::milliseconds clock, state::MonotonicTime received);

    /// Discards all readings, for a new incarnation of the worker.
    void reset();

    /// @return whether there is a reading.
    bool known() const { return m_received.has_value(); }

    /// @return estimated time of the clock, which may be behind it by the drift. Only if known.
    std::chrono::milliseconds estimate(state::MonotonicTime now) const;

    /// @return local time by which the clock has certainly reached the given time. Only if known.
    state::MonotonicTime latestTimeOf(std::chrono::milliseconds clock) const;

private:
    double m_maximumDrift;
    std::chrono::milliseconds m_clock { 0 };
    std::optional<state::MonotonicTime> m_received;
};

} // namespace lentilsaddle::coordination::batch
