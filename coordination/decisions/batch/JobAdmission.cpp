#include "coordination/decisions/batch/JobAdmission.h"

namespace lentilsaddle::coordination::batch {

namespace {

    // Part of the limit that only urgent jobs use.
    constexpr std::size_t urgentPart = 4;

} // namespace

JobAdmission::Decision JobAdmission::decide(const Request& request) const
{
    std::size_t limit = request.urgent ? m_limitBytes : m_limitBytes - m_limitBytes / urgentPart;
    std::size_t free = limit > request.total ? limit - request.total : 0;
    if (request.job > free)
        return Decision::NoRoom;
    return request.account + request.job > free ? Decision::AccountLimit : Decision::Accept;
}

} // namespace lentilsaddle::coordination::batch
