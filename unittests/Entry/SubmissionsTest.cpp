// Tests of submissions while the store accepts no writes.
#include "CoordinatorHarness.h"

#include <gmock/gmock.h>

namespace marigoldlink {
namespace {

    using testing::SizeIs;

    // Guards against submissions left without an answer during an outage of the store at peak load. A caller that is
    // refused in time can retry; one without an answer cannot, as the job may have been accepted.
    TEST(Submissions, AreRefusedInTimeWhenTheirRecordCannotBeSent)
    {
        CoordinatorHarness fleet;
        fleet.begin({ "w1" });
        fleet.coordinator.submit(CallToken(1), CoordinatorHarness::job("sent"), fleet.now);
        fleet.run(Duration(20));
        ASSERT_TRUE(fleet.batch) << "its write is in flight";
        fleet.coordinator.submit(CallToken(2), CoordinatorHarness::job("queued"), fleet.now);
        fleet.run(Duration(900));
        ASSERT_THAT(fleet.replies, SizeIs(1));
        EXPECT_EQ(fleet.replies[0].token, CallToken(2));
        EXPECT_EQ(fleet.replies[0].reply.kind, Reply::Kind::Refused);
        EXPECT_GT(fleet.replies[0].reply.retryAfter, Duration(0));
        fleet.answerJournal();
        fleet.run(Duration(100));
        ASSERT_THAT(fleet.replies, SizeIs(2));
        EXPECT_EQ(fleet.replies[1].token, CallToken(1));
        EXPECT_EQ(fleet.replies[1].reply.kind, Reply::Kind::Accepted);
        // The refused job can be submitted again and is then accepted.
        fleet.accept(CoordinatorHarness::job("queued"));
        fleet.run(Duration(20));
        EXPECT_THAT(fleet.starts, SizeIs(2));
    }

    TEST(Submissions, MayBeWithdrawnFromABatchThatTheStoreRefused)
    {
        CoordinatorHarness fleet;
        fleet.coordinator.finishRestore(fleet.now);
        fleet.coordinator.submit(CallToken(1), CoordinatorHarness::job("a"), fleet.now);
        for (int i = 0; i < 9; ++i) {
            fleet.run(Duration(100));
            fleet.answerJournal(JournalAnswer::Refused);
        }
        ASSERT_THAT(fleet.replies, SizeIs(1));
        EXPECT_EQ(fleet.replies[0].reply.kind, Reply::Kind::Refused);
        fleet.run(Duration(400));
        EXPECT_FALSE(fleet.batch && !fleet.batch->puts.empty());
    }

} // namespace
} // namespace marigoldlink
