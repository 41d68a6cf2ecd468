// Tests of cancels of jobs that the coordinator does not know.
#include "CoordinatorHarness.h"

#include <gmock/gmock.h>

namespace marigoldlink {
namespace {

    using testing::AnyOf;
    using testing::IsEmpty;
    using testing::SizeIs;

    // Guards against UNASKED violations: a cancelling overtook the submission of its job, was answered that no such job
    // exists, and the job started once its submission arrived.
    TEST(Cancelling, ALaterSubmissionOfACancelledUnknownJobStartsNothing)
    {
        CoordinatorHarness fleet;
        fleet.begin({ "w1" });
        fleet.coordinator.cancel(CallToken(1), JobId("a"), fleet.now);
        fleet.settle();
        ASSERT_THAT(fleet.replies, SizeIs(1));
        EXPECT_EQ(fleet.replies[0].token, CallToken(1));
        ASSERT_THAT(fleet.replies[0].reply.kind, AnyOf(Reply::Kind::Cancelled, Reply::Kind::UnknownJob));
        fleet.coordinator.submit(CallToken(2), CoordinatorHarness::job("a"), fleet.now);
        fleet.settle();
        fleet.run(Duration(500));
        fleet.answerPolls();
        fleet.settle();
        EXPECT_THAT(fleet.starts, IsEmpty());
    }

} // namespace
} // namespace marigoldlink
