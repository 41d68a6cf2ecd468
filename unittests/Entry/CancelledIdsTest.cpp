// Tests of cancellings that arrive before the submission of their job.
#include "CoordinatorHarness.h"
#include "marigoldlink/Entry/PeerCalls.h"

#include <gmock/gmock.h>

namespace marigoldlink {
namespace {

    using testing::AllOf;
    using testing::Contains;
    using testing::Field;
    using testing::IsEmpty;
    using testing::Key;
    using testing::Not;
    using testing::Pair;
    using testing::SizeIs;

    const TeamId s_team("bookings");
    const TeamId s_otherTeam("gates");
    constexpr std::size_t s_maxIdsPerTeam = CancelledIds::Limits {}.idsPerTeam;

    CallOrigin from(const TeamId& team)
    {
        CallOrigin origin;
        origin.team = team;
        return origin;
    }

    auto isReply(CallToken token, Reply::Kind kind)
    {
        return AllOf(Field(&ReplyOrder::token, token), Field(&ReplyOrder::reply, Field("kind", &Reply::kind, kind)));
    }

    // Cancels an unknown id and stores what follows from it.
    void cancelAndStore(CoordinatorHarness& fleet, const JobId& id, std::map<std::string, std::string>& stored)
    {
        fleet.coordinator.cancel(CallToken(++fleet.lastToken), id, fleet.now, from(s_team));
        fleet.run(Duration(60));
        fleet.storeBatch(stored);
        fleet.run(Duration(5));
    }

    TEST(CancelledIds, ALateSubmissionIsToldThatItsJobWasCancelled)
    {
        CoordinatorHarness fleet;
        fleet.begin({ "w1" });
        std::map<std::string, std::string> stored;
        cancelAndStore(fleet, JobId("a"), stored);
        fleet.replies.clear();
        fleet.accept(CoordinatorHarness::job("a"));
        fleet.run(Duration(5));
        ASSERT_THAT(fleet.replies, SizeIs(1));
        EXPECT_EQ(fleet.replies[0].reply.kind, Reply::Kind::AlreadyCancelled);
        EXPECT_EQ(fleet.coordinator.jobStatus(JobId("a")).kind, Reply::Kind::UnknownJob);
    }

    // Guards against jobs that start after a change of coordinator although their cancelling was acknowledged before
    // it.
    TEST(CancelledIds, ASuccessorKeepsTheIdsThatWereCancelled)
    {
        std::map<std::string, std::string> stored;
        {
            CoordinatorHarness fleet;
            fleet.begin({ "w1" });
            cancelAndStore(fleet, JobId("a"), stored);
            ASSERT_THAT(fleet.replies, SizeIs(1));
        }
        ASSERT_THAT(stored, Contains(Key(records::cancelledId(JobId("a")))));
        CoordinatorHarness successor({ 20, 2 });
        successor.restore(stored);
        successor.begin({ "w1" });
        successor.accept(CoordinatorHarness::job("a"));
        successor.accept(CoordinatorHarness::job("b"));
        successor.run(Duration(500));
        EXPECT_THAT(successor.replies, Contains(isReply(CallToken(1), Reply::Kind::AlreadyCancelled)));
        EXPECT_THAT(successor.replies, Contains(isReply(CallToken(2), Reply::Kind::Accepted)));
        ASSERT_THAT(successor.starts, SizeIs(1));
        EXPECT_EQ(successor.starts[0].task.job, JobId("b"));
        EXPECT_EQ(successor.coordinator.jobStatus(JobId("a")).kind, Reply::Kind::UnknownJob) << "nobody submitted it";
    }

    TEST(CancelledIds, ACancellingIsAcknowledgedOnceItIsStored)
    {
        CoordinatorHarness fleet;
        fleet.begin({ "w1" });
        fleet.coordinator.cancel(CallToken(1), JobId("a"), fleet.now, from(s_team));
        fleet.coordinator.cancel(CallToken(2), JobId("a"), fleet.now, from(s_team));
        fleet.run(Duration(200));
        ASSERT_TRUE(fleet.batch);
        EXPECT_THAT(fleet.replies, IsEmpty());
        // A submission is not refused for good before that either.
        fleet.coordinator.submit(CallToken(3), CoordinatorHarness::job("a"), fleet.now);
        fleet.run(Duration(5));
        EXPECT_THAT(fleet.replies, IsEmpty());
        fleet.answerJournal();
        fleet.run(Duration(5));
        EXPECT_THAT(fleet.replies, Contains(isReply(CallToken(1), Reply::Kind::UnknownJob)));
        EXPECT_THAT(fleet.replies, Contains(isReply(CallToken(2), Reply::Kind::UnknownJob)));
        EXPECT_THAT(fleet.replies, Contains(isReply(CallToken(3), Reply::Kind::AlreadyCancelled)));
        // A repetition needs no further write.
        fleet.replies.clear();
        fleet.coordinator.cancel(CallToken(4), JobId("a"), fleet.now, from(s_team));
        fleet.run(Duration(200));
        EXPECT_THAT(fleet.replies, Contains(isReply(CallToken(4), Reply::Kind::UnknownJob)));
        EXPECT_FALSE(fleet.batch);
    }

    // Guards against a rightful denial that reaches its client only after a successor has accepted the job.
    TEST(CancelledIds, ACancellingIsNotAcknowledgedOnceASuccessorHasWritten)
    {
        CoordinatorHarness fleet;
        fleet.begin({ "w1" });
        fleet.coordinator.cancel(CallToken(1), JobId("a"), fleet.now, from(s_team));
        fleet.run(Duration(60));
        ASSERT_TRUE(fleet.batch);
        fleet.answerJournal(JournalAnswer::Conflict);
        fleet.run(Duration(200));
        EXPECT_THAT(fleet.replies, IsEmpty());
        EXPECT_TRUE(fleet.coordinator.isSuperseded());
    }

    // Guards against callers that cancel any number of ids that never existed: what is kept of a team is limited, and a
    // cancelling that leaves nothing behind is not acknowledged.
    TEST(CancelledIds, ATeamBeyondItsLimitIsToldToComeBack)
    {
        CoordinatorHarness fleet;
        fleet.begin({ "w1" });
        const auto firstToken = fleet.lastToken;
        for (std::size_t i = 0; i < s_maxIdsPerTeam; ++i)
            fleet.coordinator.cancel(
                CallToken(++fleet.lastToken), JobId("a" + std::to_string(i)), fleet.now, from(s_team));
        for (std::size_t stored = 0; stored < s_maxIdsPerTeam; stored += Journal::maxRecords)
            fleet.settle();
        ASSERT_THAT(fleet.replies, SizeIs(s_maxIdsPerTeam));
        EXPECT_EQ(fleet.replies.back().token, CallToken(firstToken + s_maxIdsPerTeam));
        EXPECT_EQ(fleet.replies.back().reply.kind, Reply::Kind::UnknownJob);
        fleet.replies.clear();
        fleet.coordinator.cancel(CallToken(901), JobId("beyond"), fleet.now, from(s_team));
        fleet.coordinator.cancel(CallToken(902), JobId("a0"), fleet.now, from(s_team));
        fleet.coordinator.cancel(CallToken(903), JobId("beyond"), fleet.now, from(s_otherTeam));
        fleet.settle();
        ASSERT_THAT(fleet.replies, SizeIs(3));
        EXPECT_EQ(fleet.replies[0].reply.kind, Reply::Kind::NotCancelled);
        EXPECT_GT(fleet.replies[0].reply.retryAfter, Duration(0));
        EXPECT_THAT(fleet.replies, Contains(isReply(CallToken(902), Reply::Kind::UnknownJob)));
        EXPECT_THAT(fleet.replies, Contains(isReply(CallToken(903), Reply::Kind::UnknownJob)));
    }

    TEST(CancelledIds, AreForgottenAfterTheRetentionOfTheStatusOfJobs)
    {
        CoordinatorSettings settings;
        settings.statusRetention = Duration(2000);
        CoordinatorHarness fleet({ 10, 1 }, {}, settings);
        fleet.begin({ "w1" });
        std::map<std::string, std::string> stored;
        cancelAndStore(fleet, JobId("a"), stored);
        ASSERT_THAT(stored, Contains(Key(records::cancelledId(JobId("a")))));
        const auto storedAt = fleet.now;
        while (fleet.now < storedAt + settings.statusRetention - Duration(100)) {
            fleet.run(Duration(50));
            fleet.storeBatch(stored);
            fleet.answerPolls();
        }
        EXPECT_THAT(stored, Contains(Key(records::cancelledId(JobId("a")))));
        while (stored.contains(records::cancelledId(JobId("a"))) && fleet.now < storedAt + Duration(20000)) {
            fleet.run(Duration(50));
            fleet.storeBatch(stored);
            fleet.answerPolls();
        }
        EXPECT_THAT(stored, Not(Contains(Pair(records::cancelledId(JobId("a")), testing::_))));
        fleet.replies.clear();
        fleet.accept(CoordinatorHarness::job("a"));
        fleet.run(Duration(5));
        EXPECT_THAT(fleet.replies, Contains(Field(&ReplyOrder::reply, Field(&Reply::kind, Reply::Kind::Accepted))));
    }

    // Guards against ids that expire shortly after a repeated cancelling was acknowledged.
    TEST(CancelledIds, ARepeatedCancellingRenewsTheRetention)
    {
        CoordinatorSettings settings;
        settings.statusRetention = Duration(2000);
        CoordinatorHarness fleet({ 10, 1 }, {}, settings);
        fleet.begin({ "w1" });
        std::map<std::string, std::string> stored;
        const auto pass = [&](Duration time) {
            for (const auto end = fleet.now + time; fleet.now < end;) {
                fleet.run(Duration(50));
                fleet.storeBatch(stored);
                fleet.answerPolls();
            }
        };
        cancelAndStore(fleet, JobId("a"), stored);
        for (int i = 0; i < 10; ++i) {
            pass(settings.statusRetention - Duration(200));
            cancelAndStore(fleet, JobId("a"), stored);
        }
        pass(settings.statusRetention - Duration(200));
        EXPECT_THAT(stored, Contains(Key(records::cancelledId(JobId("a")))));
    }

    TEST(CancelledIds, AKnownJobIsCancelledAsBefore)
    {
        CoordinatorHarness fleet;
        fleet.begin({ "w1" });
        fleet.accept(CoordinatorHarness::job("a"));
        fleet.run(Duration(5));
        fleet.replies.clear();
        std::map<std::string, std::string> stored;
        cancelAndStore(fleet, JobId("a"), stored);
        ASSERT_THAT(fleet.replies, SizeIs(1));
        EXPECT_EQ(fleet.replies[0].reply.kind, Reply::Kind::Cancelled);
        EXPECT_THAT(stored, Not(Contains(Key(records::cancelledId(JobId("a"))))));
    }

    // Guards against a former coordinator that answers for an id which its successor may have let expire.
    TEST(CancelledIds, DecideNothingOnceThereMayBeASuccessor)
    {
        CoordinatorHarness fleet;
        fleet.begin({ "w1" });
        std::map<std::string, std::string> stored;
        fleet.coordinator.setLeaseValidUntil(fleet.now + Duration(1000));
        cancelAndStore(fleet, JobId("a"), stored);
        fleet.replies.clear();
        fleet.run(Duration(1000));
        fleet.coordinator.cancel(CallToken(1), JobId("a"), fleet.now, from(s_team));
        fleet.coordinator.submit(CallToken(2), CoordinatorHarness::job("a"), fleet.now);
        fleet.run(Duration(5));
        EXPECT_THAT(fleet.replies, Contains(isReply(CallToken(1), Reply::Kind::NotCoordinator)));
        EXPECT_THAT(fleet.replies, Contains(isReply(CallToken(2), Reply::Kind::NotCoordinator)));
    }

    TEST(CancelledIds, TheRepliesArePartOfTheMessagesBetweenInstances)
    {
        for (const auto kind : { Reply::Kind::AlreadyCancelled, Reply::Kind::NotCancelled })
            EXPECT_EQ(decodeReply(encodeReply({ kind, {}, 0, Duration(1500) })).kind, kind);
    }

    TEST(CancelledIds, ARecordWithoutAValidTeamStillKeepsTheId)
    {
        EXPECT_EQ(decodeCancelledId(encodeCancelledId(s_team)), s_team);
        for (const char* record : { "", "{", "[]", "{}", R"({"team":7})" })
            EXPECT_EQ(decodeCancelledId(record), TeamId()) << record;
    }

} // namespace
} // namespace marigoldlink
