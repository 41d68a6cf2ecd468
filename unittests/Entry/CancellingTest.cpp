// Tests of cancels that arrive before the submission of their job, or before its record is stored.
#include "CoordinatorHarness.h"

#include <gmock/gmock.h>

namespace marigoldlink {
namespace {

    using testing::AnyOf;
    using testing::Contains;
    using testing::Field;
    using testing::IsEmpty;
    using testing::Not;
    using testing::SizeIs;

    constexpr CallToken submission { 1 };
    constexpr CallToken cancelling { 2 };

    const std::string s_cancelled = "z"; // records of jobs are queued in the order of ids

    // Submits a job behind others whose records fill the next batches, and cancels it at once.
    void cancelBehindOthers(CoordinatorHarness& fleet)
    {
        constexpr int others = 60;
        for (int i = 0; i < others; ++i)
            fleet.coordinator.submit(
                CallToken(i + 10), CoordinatorHarness::job("other" + std::to_string(i)), fleet.now);
        fleet.coordinator.submit(submission, CoordinatorHarness::job(s_cancelled), fleet.now);
        fleet.coordinator.cancel(cancelling, JobId(s_cancelled), fleet.now);
    }

    bool isAcknowledged(const CoordinatorHarness& fleet)
    {
        return std::any_of(fleet.replies.begin(), fleet.replies.end(),
            [](const ReplyOrder& order) { return order.token == cancelling; });
    }

    // Guards against UNASKED violations: a cancelling overtook the submission of its job, was answered that no such job
    // exists, and the job started once its submission arrived.
    TEST(Cancelling, ALaterSubmissionOfACancelledUnknownJobStartsNothing)
    {
        CoordinatorHarness fleet;
        fleet.begin({ "w1" });
        fleet.coordinator.cancel(cancelling, JobId("a"), fleet.now);
        fleet.settle();
        ASSERT_THAT(fleet.replies, SizeIs(1));
        EXPECT_EQ(fleet.replies[0].token, cancelling);
        ASSERT_THAT(fleet.replies[0].reply.kind, AnyOf(Reply::Kind::Cancelled, Reply::Kind::UnknownJob));
        fleet.coordinator.submit(submission, CoordinatorHarness::job("a"), fleet.now);
        fleet.settle();
        fleet.run(Duration(500));
        fleet.answerPolls();
        fleet.settle();
        EXPECT_THAT(fleet.starts, IsEmpty());
    }

    // Guards against a cancelled job that is shown as pending: its progress was stored before its own record.
    TEST(Cancelling, AJobCancelledBeforeItsRecordIsStoredIsShownAsCancelled)
    {
        CoordinatorHarness fleet;
        fleet.begin({ "w1" });
        cancelBehindOthers(fleet);
        for (int i = 0; i < 10; ++i)
            fleet.settle();
        ASSERT_TRUE(isAcknowledged(fleet));
        const auto status = fleet.coordinator.jobStatus(JobId(s_cancelled));
        EXPECT_EQ(status.kind, Reply::Kind::State);
        EXPECT_EQ(status.state, JobState::Cancelled);
    }

    // Guards against UNASKED violations: a cancelling was acknowledged once the progress of its job was stored, without
    // the record of the job. A successor did not know the job and started it when its submission arrived again.
    TEST(Cancelling, AnAcknowledgedCancellingIsKnownToASuccessor)
    {
        CoordinatorHarness former;
        former.begin({ "w1" });
        std::map<std::string, std::string> stored;
        cancelBehindOthers(former);
        for (int i = 0; i < 10 && !isAcknowledged(former); ++i) {
            former.run(Duration(60));
            former.storeBatch(stored);
            former.run(Duration(1));
        }
        ASSERT_TRUE(isAcknowledged(former));

        CoordinatorHarness successor({ 11, 2 });
        successor.restore(stored);
        successor.begin({ "w1", "w2", "w3", "w4", "w5", "w6", "w7", "w8" });
        successor.coordinator.submit(submission, CoordinatorHarness::job(s_cancelled), successor.now);
        for (int i = 0; i < 100; ++i) {
            successor.settle();
            successor.answerPolls();
        }
        EXPECT_THAT(successor.starts, Not(IsEmpty())) << "of other jobs";
        EXPECT_THAT(successor.starts, Not(Contains(Field(&StartOrder::task, CoordinatorHarness::task(s_cancelled)))));
    }

} // namespace
} // namespace marigoldlink
