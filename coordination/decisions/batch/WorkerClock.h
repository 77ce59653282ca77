/// @file
/// What is known of a worker's clock.
#pragma once

#include "state/Time.h"

#include <chrono>
#include <optional>

namespace lentilsaddle::coordination::batch {

/// Bounds of a worker's steady clock, from its answers. The clock may run slow by a known share, never fast.
class WorkerClock {
public:
    /// @param slowness share by which the clock may run slow.
    explicit WorkerClock(double maximumDrift)
        : m_maximumDrift(maximumDrift)
    {
    }

    /// @param clock time that an answer carried.
    /// @param received when the answer arrived; the worker's clock was at least at this time then.
    void addReading(std::chrono::milliseconds clock, state::MonotonicTime received);

    /// Forgets everything, for a new lifetime.
    void reset();

    bool known() const { return m_received.has_value(); }

    /// @return the clock's time as far as known; the clock may be behind it by its slowness.
    std::chrono::milliseconds estimate(state::MonotonicTime now) const;

    /// @return when the clock has surely passed a time.
    state::MonotonicTime latestTimeOf(std::chrono::milliseconds clock) const;

private:
    double m_maximumDrift;
    std::chrono::milliseconds m_clock { 0 };
    std::optional<state::MonotonicTime> m_received;
};

} // namespace lentilsaddle::coordination::batch
