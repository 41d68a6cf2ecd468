// Tests of submissions while the store accepts no writes.
#include "CoordinatorHarness.h"
#include "marigoldlink/Entry/PeerCalls.h"

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

    // Guards against a coordinator that runs out of memory by jobs that are each within the limits. Large jobs leave
    // room for ordinary ones, and memory is free again when the status of a job is no longer kept.
    TEST(Submissions, AreRefusedWhenTheMemoryForJobsIsUsedUp)
    {
        CoordinatorSettings settings;
        settings.jobBytes = 1 << 20;
        CoordinatorHarness fleet({ 10, 1 }, {}, settings);
        fleet.begin({ "w1" });
        const auto submit = [&fleet](const std::string& id, int tasks) {
            auto job = CoordinatorHarness::job(id);
            job.steps[0].tasks = tasks;
            job.steps[0].need.milliCores = 1'000'000'000; // fits on no worker
            const auto earlier = fleet.replies.size();
            fleet.coordinator.submit(CallToken(1), job, fleet.now);
            fleet.settle();
            return fleet.replies.at(earlier).reply.kind;
        };
        EXPECT_EQ(submit("a", 1500), Reply::Kind::Accepted);
        EXPECT_EQ(submit("b", 1500), Reply::Kind::Refused);
        EXPECT_EQ(submit("a", 1500), Reply::Kind::Accepted) << "it is known";
        int accepted = 0;
        while (accepted < 100 && submit("c" + std::to_string(accepted), 30) == Reply::Kind::Accepted)
            ++accepted;
        EXPECT_GT(accepted, 40);
        EXPECT_LT(accepted, 90);
    }

    TEST(Submissions, MayBeWithdrawnFromABatchThatTheStoreRefused)
    {
        CoordinatorHarness fleet;
        fleet.coordinator.finishRestore(fleet.now);
        fleet.settle(); // stores the record of the queue
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

    // Guards against UNASKED violations (review/3): a former coordinator that was cut off answered that a job which its
    // successor had accepted did not exist, and the job went on after its cancelling.
    TEST(Cancelling, AnUnknownJobIsNotDeniedOnceThereMayBeASuccessor)
    {
        CoordinatorHarness fleet;
        fleet.begin({ "w1" });
        fleet.coordinator.setLeaseValidUntil(fleet.now + Duration(1000));
        fleet.coordinator.cancel(CallToken(1), JobId("a"), fleet.now);
        fleet.settle();
        fleet.run(Duration(1100));
        fleet.coordinator.cancel(CallToken(2), JobId("b"), fleet.now);
        fleet.run(Duration(5));
        ASSERT_THAT(fleet.replies, SizeIs(2));
        EXPECT_EQ(fleet.replies[0].reply.kind, Reply::Kind::UnknownJob);
        EXPECT_EQ(fleet.replies[1].reply.kind, Reply::Kind::NotCoordinator);
    }

    // Guards against submissions that end as unknown shortly before the caller's deadline. A caller that had been
    // refused before came back with little time left; its record waited behind hundreds of others, and the entry
    // instance gave up while the coordinator still held the submission. Such a caller must not try again.
    TEST(Submissions, AreRefusedBeforeTheirCallerStopsWaiting)
    {
        CoordinatorHarness fleet;
        fleet.begin({ "w1" });
        fleet.coordinator.submit(CallToken(1), CoordinatorHarness::job("sent"), fleet.now);
        fleet.run(Duration(20));
        ASSERT_TRUE(fleet.batch) << "its write is in flight";
        constexpr Duration wait { 150 };
        const auto since = fleet.now;
        fleet.coordinator.submit(CallToken(2), CoordinatorHarness::job("queued"), fleet.now, wait);
        while (fleet.replies.empty() && fleet.now < since + wait)
            fleet.run(Duration(1));
        ASSERT_THAT(fleet.replies, SizeIs(1));
        EXPECT_EQ(fleet.replies[0].token, CallToken(2));
        EXPECT_EQ(fleet.replies[0].reply.kind, Reply::Kind::Refused);
    }

    // Guards against submissions that wait although it is known that their record cannot be stored in time. During an
    // outage of the store each attempt waited 700 ms of the caller's three seconds.
    TEST(Submissions, AreRefusedAtOnceWhileTheStoreDoesNotAnswer)
    {
        CoordinatorHarness fleet;
        fleet.begin({ "w1" });
        fleet.coordinator.submit(CallToken(1), CoordinatorHarness::job("sent"), fleet.now);
        fleet.run(Duration(800));
        ASSERT_TRUE(fleet.batch) << "its write is in flight";
        fleet.coordinator.submit(CallToken(2), CoordinatorHarness::job("late"), fleet.now);
        fleet.run(Duration(1));
        ASSERT_THAT(fleet.replies, SizeIs(1));
        EXPECT_EQ(fleet.replies[0].token, CallToken(2));
        EXPECT_EQ(fleet.replies[0].reply.kind, Reply::Kind::Refused);
        // It is accepted as soon as the store answers again.
        fleet.answerJournal();
        fleet.replies.clear();
        fleet.accept(CoordinatorHarness::job("late"));
        ASSERT_THAT(fleet.replies, SizeIs(1));
        EXPECT_EQ(fleet.replies[0].reply.kind, Reply::Kind::Accepted);
    }

    // Guards against the same behind hundreds of queued records, which a slow store does not write in time.
    TEST(Submissions, AreRefusedAtOnceBehindALongQueue)
    {
        constexpr int jobs = 600;
        constexpr Duration writeTime { 60 };
        CoordinatorHarness fleet;
        fleet.begin({ "w1" });
        for (int i = 0; i < jobs; ++i)
            fleet.coordinator.submit(CallToken(i + 1), CoordinatorHarness::job("a" + std::to_string(i)), fleet.now);
        for (int i = 0; i < 5; ++i) {
            fleet.run(writeTime);
            fleet.answerJournal();
        }
        fleet.run(Duration(1));
        const auto before = fleet.replies.size();
        fleet.coordinator.submit(CallToken(jobs + 1), CoordinatorHarness::job("late"), fleet.now);
        fleet.run(Duration(1));
        ASSERT_THAT(fleet.replies, SizeIs(before + 1));
        EXPECT_EQ(fleet.replies.back().token, CallToken(jobs + 1));
        EXPECT_EQ(fleet.replies.back().reply.kind, Reply::Kind::Refused);
    }

    // Guards against jobs that run although their submission was refused: an attempt without an answer was still on its
    // way when the next one was refused, and it was accepted afterwards.
    TEST(Submissions, ARefusalTellsNothingOfAnEarlierAttemptWithoutAnAnswer)
    {
        using enum FleetCallRequest::Kind;
        const Reply refused { Reply::Kind::Refused, {}, 0, Duration(1000) };
        EXPECT_TRUE(isConclusive(Submit, refused, false));
        EXPECT_FALSE(isConclusive(Submit, refused, true));
        EXPECT_FALSE(isConclusive(Submit, { Reply::Kind::NotStoredHere, {}, 0, {} }, false));
        for (const auto kind : { Reply::Kind::Accepted, Reply::Kind::AlreadyCancelled })
            EXPECT_TRUE(isConclusive(Submit, { kind, {}, 0, {} }, true));
        for (const auto kind : { Reply::Kind::Cancelled, Reply::Kind::UnknownJob, Reply::Kind::NotCancelled })
            EXPECT_TRUE(isConclusive(Cancel, { kind, {}, 0, {} }, true));
    }

    // Guards against callers that are told "never runs" although their job runs: a former coordinator refused a
    // submission after its election lease had ended, while its successor may have accepted an earlier copy.
    TEST(Submissions, AreNotRefusedAtOnceWhileThereMayBeASuccessor)
    {
        CoordinatorHarness fleet;
        fleet.begin({ "w1" });
        fleet.coordinator.submit(CallToken(1), CoordinatorHarness::job("sent"), fleet.now);
        fleet.run(Duration(800));
        ASSERT_TRUE(fleet.batch) << "its write is in flight";
        fleet.coordinator.setLeaseValidUntil(fleet.now + Duration(100));
        fleet.coordinator.submit(CallToken(2), CoordinatorHarness::job("before"), fleet.now);
        fleet.run(Duration(101));
        fleet.coordinator.submit(CallToken(3), CoordinatorHarness::job("after"), fleet.now);
        fleet.run(Duration(1));
        ASSERT_THAT(fleet.replies, SizeIs(2));
        EXPECT_EQ(fleet.replies[0].reply.kind, Reply::Kind::Refused);
        EXPECT_EQ(fleet.replies[1].token, CallToken(3));
        EXPECT_EQ(fleet.replies[1].reply.kind, Reply::Kind::NotStoredHere);
    }

    // Guards against the same for a submission that was taken while the lease was valid and could not be sent in time.
    TEST(Submissions, AreNotRefusedForALateRecordWhileThereMayBeASuccessor)
    {
        CoordinatorHarness fleet;
        fleet.begin({ "w1" });
        fleet.coordinator.submit(CallToken(1), CoordinatorHarness::job("sent"), fleet.now);
        fleet.run(Duration(20));
        ASSERT_TRUE(fleet.batch) << "its write is in flight";
        fleet.coordinator.setLeaseValidUntil(fleet.now + Duration(500));
        fleet.coordinator.submit(CallToken(2), CoordinatorHarness::job("queued"), fleet.now);
        fleet.run(Duration(900));
        ASSERT_THAT(fleet.replies, SizeIs(1));
        EXPECT_EQ(fleet.replies[0].token, CallToken(2));
        EXPECT_EQ(fleet.replies[0].reply.kind, Reply::Kind::NotStoredHere);
        // The record is withdrawn nevertheless: a copy that arrives later is a submission of its own.
        fleet.answerJournal();
        fleet.run(Duration(100));
        EXPECT_FALSE(fleet.batch && !fleet.batch->puts.empty());
    }

    TEST(Submissions, TheTimeOfTheSenderIsPartOfTheCall)
    {
        FleetCallRequest request { FleetCallRequest::Kind::Submit, CoordinatorHarness::job("a"), Duration(150) };
        EXPECT_EQ(decodeCall(encodeCall(request)).wait, Duration(150));
        request.wait = Duration(-5);
        EXPECT_EQ(decodeCall(encodeCall(request)).wait, Duration(-5)) << "the caller has stopped waiting";
        request.wait.reset();
        EXPECT_EQ(decodeCall(encodeCall(request)).wait, std::nullopt) << "as sent by an earlier version";
    }

    TEST(Calls, TheOriginIsPartOfTheCall)
    {
        for (const auto kind : { FleetCallRequest::Kind::Submit, FleetCallRequest::Kind::Cancel }) {
            FleetCallRequest request { kind, CoordinatorHarness::job("a") };
            EXPECT_EQ(decodeCall(encodeCall(request)).origin, CallOrigin {}) << "as sent by an earlier version";
            request.origin = { TeamId("inspectors"), "127.0.0.1:4100", Duration(1500) };
            EXPECT_EQ(decodeCall(encodeCall(request)).origin, request.origin);
            request.origin = { {}, "127.0.0.1:4100", Duration(0) };
            EXPECT_EQ(decodeCall(encodeCall(request)).origin, request.origin) << "of an anonymous caller";
        }
    }

} // namespace
} // namespace marigoldlink
