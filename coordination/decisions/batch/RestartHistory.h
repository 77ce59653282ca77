/// @file
/// Recent restarts of workers that no start can have caused.
#pragma once

#include "state/Time.h"

#include <chrono>
#include <deque>

namespace lentilsaddle::coordination::batch {

/// Recent restarts of workers on which no run was starting. They have a cause of their own, such as the loss of a rack
/// or a data centre, which other restarts at the same time are likely to share.
class RestartHistory {
public:
    /// @param window restarts that become known within this time of each other are taken for simultaneous.
    explicit RestartHistory(std::chrono::milliseconds window)
        : m_window(window)
    {
    }

    void add(state::MonotonicTime now);

    /// @param crash when the crash of a worker became known.
    /// @return whether a restart became known at the same time.
    bool coincides(state::MonotonicTime crash) const;

    /// @return when all restarts that coincide with a crash are known.
    state::MonotonicTime settled(state::MonotonicTime crash) const { return crash + m_window; }

private:
    std::chrono::milliseconds m_window;
    std::deque<state::MonotonicTime> m_restarts;
};

} // namespace lentilsaddle::coordination::batch
