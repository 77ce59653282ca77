#include "coordination/decisions/batch/JobAdmission.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <vector>

namespace lentilsaddle::coordination::batch {

namespace {

    using Decision = JobAdmission::Decision;

    constexpr std::size_t limit = 1'000;

} // namespace

// Guards against accepted jobs that take more memory than they may, and against an account that leaves no room to
// others.
RC_GTEST_PROP(JobAdmission, AcceptedJobsStayBelowTheLimitAndLeaveRoomToOthers, ())
{
    JobAdmission admission(limit);
    std::vector<std::size_t> accounts(3, 0);
    std::size_t total = 0;
    for (int step = 0; step < 60; ++step) {
        std::size_t& account = accounts[*rc::gen::inRange<std::size_t>(0, accounts.size())];
        std::size_t job = *rc::gen::inRange<std::size_t>(1, limit);
        bool urgent = *rc::gen::arbitrary<bool>();
        if (admission.decide({ .job = job, .account = account, .total = total, .urgent = urgent }) != Decision::Accept)
            continue;
        account += job;
        total += job;
        RC_ASSERT(total <= limit);
        RC_ASSERT(account <= limit - total + job);
    }
}

// Guards against work that is not urgent and takes the room of urgent work.
TEST(JobAdmission, APartOfTheRoomIsLeftToUrgentJobs)
{
    JobAdmission admission(limit);
    EXPECT_EQ(admission.decide({ .job = 10, .account = 0, .total = 745 }), Decision::NoRoom);
    EXPECT_EQ(admission.decide({ .job = 10, .account = 0, .total = 745, .urgent = true }), Decision::Accept);
    EXPECT_EQ(admission.decide({ .job = 10, .account = 300, .total = 500 }), Decision::AccountLimit);
}

} // namespace lentilsaddle::coordination::batch
