// Submissions while the store does not write.
#include "CoordinatorHarness.h"

#include <gmock/gmock.h>

namespace marigoldlink {
namespace {

    using testing::SizeIs;

    // Pattern: the store is down at the peak of a queue. A caller who hears in time that its job was not accepted comes
    // back; one who hears nothing cannot, as the job may be accepted.
    TEST(Submissions, AreRefusedInTimeWhenTheirRecordCannotBeSent)
    {
        CoordinatorHarness fleet;
        fleet.begin({ "w1" });
        fleet.coordinator.submit(CallToken(1), CoordinatorHarness::job("sent"), fleet.now);
        fleet.run(Duration(20));
        ASSERT_TRUE(fleet.batch) << "its write is under way and has no answer";
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
        // The refused one may come again, and is accepted then.
        fleet.accept(CoordinatorHarness::job("queued"));
        fleet.run(Duration(20));
        EXPECT_THAT(fleet.starts, SizeIs(2));
    }

    TEST(Submissions, MayBeWithdrawnFromABatchThatTheStoreRefused)
    {
        CoordinatorHarness fleet;
        fleet.coordinator.restored(fleet.now);
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
