#include "coordination/decisions/batch/FencingTokens.h"

#include <algorithm>

namespace lentilsaddle::coordination::batch {

FencingTokens::FencingTokens(std::uint64_t term)
    : m_last(term << serialBits)
    , m_limit(m_last + (std::uint64_t { 1 } << serialBits) - 1)
{
}

std::uint64_t FencingTokens::next()
{
    m_last = std::min(m_last + 1, m_limit);
    return m_last;
}

} // namespace lentilsaddle::coordination::batch
