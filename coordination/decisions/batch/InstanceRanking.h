/// @file
/// Preference between instances for the leader role.
#pragma once

#include "state/Identifier.h"

#include <map>

namespace lentilsaddle::coordination::batch {

/// Compares the processors that instances announce. The leader does the control work for all workers, so the instance
/// with the most processors should lead.
class InstanceRanking {
public:
    /// @param processors processors of the instance, in thousandths; 0 if unknown.
    InstanceRanking(state::InstanceId self, int processors);

    /// Records an announcement read from the journal, of another instance or of this one.
    /// @param processors processors of the instance, in thousandths.
    void recordAnnouncement(const state::InstanceId& instance, int processors) { m_announced[instance] = processors; }

    /// @return whether the journal lacks this instance's current announcement.
    bool announcementDue() const;

    /// @return whether another instance has announced more processors. Also true until this instance's own announcement
    /// has been read, because announcements of other instances may still follow.
    bool outranked() const;

    /// @return whether this instance has more processors than the other one has announced.
    bool outranks(const state::InstanceId& other) const;

    /// @return whether an instance with this many processors is preferred as leader.
    bool outrankedBy(int processors) const { return m_processors > 0 && processors > m_processors; }

private:
    state::InstanceId m_self;
    int m_processors = 0;
    std::map<state::InstanceId, int> m_announced;
};

} // namespace lentilsaddle::coordination::batch
