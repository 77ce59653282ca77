/// @file
/// Which instances suit the leadership best.
#pragma once

#include "state/Identifier.h"

#include <map>

namespace lentilsaddle::coordination::batch {

/// Compares the processors of instances. The leader does the work of all workers, so it should have the most.
class InstanceRanking {
public:
    /// @param processors processors of the instance, in thousandths; 0 if unknown.
    InstanceRanking(state::InstanceId self, int processors);

    /// Notes what another instance has announced, or this one earlier.
    void recordAnnouncement(const state::InstanceId& instance, int processors) { m_announced[instance] = processors; }

    /// @return whether the journal lacks what this instance has to announce.
    bool announcementDue() const;

    /// @return whether another instance has announced more processors. True as well before anything was announced,
    /// because others may be about to.
    bool outranked() const;

    /// @return whether this instance has more processors than the other one has announced.
    bool outranks(const state::InstanceId& other) const;

    /// @return whether an instance with this many processors suits the role better.
    bool outrankedBy(int processors) const { return m_processors > 0 && processors > m_processors; }

private:
    state::InstanceId m_self;
    int m_processors = 0;
    std::map<state::InstanceId, int> m_announced;
};

} // namespace lentilsaddle::coordination::batch
