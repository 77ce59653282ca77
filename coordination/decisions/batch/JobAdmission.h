/// @file
/// Limit of the memory that accepted jobs take.
#pragma once

#include <cstddef>

namespace lentilsaddle::coordination::batch {

/// Decides whether there is room for a job in the memory of the instances, which all hold the same jobs. Each decides
/// on its own view of the journal; what others accept until it has read that is limited by the store's rate of appends.
class JobAdmission {
public:
    enum class Decision {
        Accept,
        /// The account's jobs take at least as much as is free.
        AccountLimit,
        NoRoom,
    };

    /// Sizes in bytes of memory.
    struct Request {
        std::size_t job = 0;
        /// What the unfinished jobs of the account take.
        std::size_t account = 0;
        /// What all unfinished jobs take, with those that are being stored.
        std::size_t total = 0;
        /// Other jobs leave a part of the room to urgent ones.
        bool urgent = false;
    };

    /// @param limitBytes memory for unfinished jobs.
    explicit JobAdmission(std::size_t limitBytes)
        : m_limitBytes(limitBytes)
    {
    }

    /// An account may hold as much as is free, so that each further account finds room.
    Decision decide(const Request& request) const;

private:
    std::size_t m_limitBytes = 0;
};

} // namespace lentilsaddle::coordination::batch
