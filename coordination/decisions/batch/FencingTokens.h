/// @file
/// Fencing tokens of the requests to workers.
#pragma once

#include <cstdint>

namespace lentilsaddle::coordination::batch {

/// Issues the fencing tokens of one term. They rise within the term, and all of them are above those of earlier terms.
class FencingTokens {
public:
    /// Bits of a token below the term. A token of 53 bits is exact also for readers that decode numbers as doubles.
    static constexpr int serialBits = 20;

    /// @param term term of the leader.
    explicit FencingTokens(std::uint64_t term);

    /// @return a token above all that were issued before. After the last one of the term, that one again.
    std::uint64_t next();

private:
    std::uint64_t m_last;
    std::uint64_t m_limit;
};

} // namespace lentilsaddle::coordination::batch
