#include "coordination/decisions/batch/InstanceRanking.h"

#include <gtest/gtest.h>

namespace lentilsaddle::coordination::batch {

namespace {

    const state::InstanceId self { "e-1" };
    const state::InstanceId other { "e-2" };

} // namespace

// Guards against an instance with few processors that leads because it was the first to read the journal.
TEST(InstanceRanking, IsOutrankedByAnInstanceWithMoreProcessors)
{
    InstanceRanking ranking(self, 120);
    ranking.recordAnnouncement(self, 120);
    EXPECT_FALSE(ranking.outranked());
    ranking.recordAnnouncement(other, 500);
    EXPECT_TRUE(ranking.outranked());
}

// Guards against slower failover where all instances are equal.
TEST(InstanceRanking, EqualInstancesDoNotOutrankEachOther)
{
    InstanceRanking ranking(self, 250);
    ranking.recordAnnouncement(self, 250);
    ranking.recordAnnouncement(other, 250);
    EXPECT_FALSE(ranking.outranked());
}

// Guards against a first claim before instances with more processors have announced themselves.
TEST(InstanceRanking, IsOutrankedUntilItsOwnAnnouncementIsRead)
{
    InstanceRanking ranking(self, 250);
    EXPECT_TRUE(ranking.announcementDue());
    EXPECT_TRUE(ranking.outranked());
    ranking.recordAnnouncement(self, 250);
    EXPECT_FALSE(ranking.announcementDue());
}

// Guards against a claim delay and an announcement where the processors are not configured.
TEST(InstanceRanking, UnknownProcessorsAreNeitherAnnouncedNorCompared)
{
    InstanceRanking ranking(self, 0);
    ranking.recordAnnouncement(other, 500);
    EXPECT_FALSE(ranking.announcementDue());
    EXPECT_FALSE(ranking.outranked());
}

} // namespace lentilsaddle::coordination::batch
