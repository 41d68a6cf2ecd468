// Tests of takeovers of workers that have more ends than one answer lists.
#include "CoordinatorHarness.h"
#include "marigoldlink/Protocol/JobCodec.h"

#include <gmock/gmock.h>

namespace marigoldlink {
namespace {

    using testing::IsEmpty;
    using testing::SizeIs;

    // Worker w1 has two ends of a predecessor's runs and lists one of them in each answer.
    class TakeoverWithCutOffEnds : public testing::Test {
    protected:
        TakeoverWithCutOffEnds()
            : fleet({ 20, 2 })
            , tookOverAt(fleet.now)
        {
            fleet.coordinator.restoreWorker(fleet.addWorker("w1"), std::nullopt, fleet.now);
            fleet.addWorker("w2");
            fleet.coordinator.restoreJob(CoordinatorHarness::job("a", 2), {}, fleet.now);
            fleet.run(Duration(5));
            fleet.areEndsCutOff = true;
            fleet.answerPolls({}, { end(1) }, "w1");
            fleet.areEndsCutOff = false;
            fleet.answerPolls({}, {}, "w2");
            fleet.coordinator.finishRestore(fleet.now);
            fleet.settle();
            // The poll that was sent before the first end was stored.
            fleet.areEndsCutOff = true;
            fleet.answerPolls({}, { end(1) }, "w1");
            fleet.areEndsCutOff = false;
            fleet.settle();
            fleet.run(Duration(300));
        }

        static ListedEnd end(int number)
        {
            return { number, CoordinatorHarness::task("a", number - 1), RunNumber(1), RunEnd::Done, "" };
        }

        CoordinatorHarness fleet;
        TimePoint tookOverAt;
    };

    // Guards against TWICE violations (review/1): a worker's first 500 ends were taken for all of them, so tasks whose
    // ends it had yet to list were started again.
    TEST_F(TakeoverWithCutOffEnds, ATaskWhoseEndIsNotListedYetIsNotStartedAgain)
    {
        EXPECT_THAT(fleet.starts, IsEmpty());
        ASSERT_THAT(fleet.polls, testing::Contains(testing::Field(&PollOrder::acknowledged, 1)));
        fleet.answerPolls({}, { end(2) }, "w1");
        fleet.settle();
        EXPECT_THAT(fleet.starts, IsEmpty());
        EXPECT_EQ(fleet.coordinator.jobStatus(JobId("a")).state, JobState::Complete);
    }

    TEST_F(TakeoverWithCutOffEnds, ATaskThatIsInNoListStartsOnceAllEndsAreKnown)
    {
        fleet.answerPolls({}, {}, "w1");
        fleet.settle();
        ASSERT_THAT(fleet.starts, SizeIs(1));
        EXPECT_EQ(fleet.starts[0].task, CoordinatorHarness::task("a", 1));
    }

    // The ends that such a worker has yet to list are protected until its lease has expired, whether it is registered
    // or not, and its record must not vouch that nothing else ran there.
    TEST_F(TakeoverWithCutOffEnds, AWorkerThatFallsSilentKeepsItsUnlistedEndsUntilItsLeaseHasExpired)
    {
        fleet.coordinator.workerEntryRemoved(WorkerId("w1"), fleet.now);
        std::map<std::string, std::string> stored;
        while (fleet.starts.empty() && fleet.now < tookOverAt + Duration(15000)) {
            fleet.failPolls("w1");
            fleet.run(Duration(50));
            fleet.answerPolls({}, {}, "w2");
            if (fleet.batch && fleet.now < tookOverAt + CoordinatorHarness::leasesExpireAfter) {
                for (const auto& [key, value] : fleet.batch->puts)
                    stored[key] = value;
            }
            fleet.answerJournal();
        }
        EXPECT_GE(fleet.now - tookOverAt, CoordinatorHarness::leasesExpireAfter);
        EXPECT_THAT(fleet.starts, SizeIs(1));
        if (const auto record = stored.find(records::worker(WorkerId("w1"))); record != stored.end())
            EXPECT_FALSE(decodeWorker(WorkerId("w1"), record->second).onlyRuns);
    }

} // namespace
} // namespace marigoldlink
