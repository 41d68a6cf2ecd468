// A coordinator that takes over finds the runs of the one before, and starts nothing twice.
#include "CoordinatorHarness.h"
#include "marigoldlink/Protocol/JobCodec.h"

#include <gmock/gmock.h>

namespace marigoldlink {
namespace {

    using testing::IsEmpty;
    using testing::SizeIs;

    // Seen in the bench's first days with trouble: every run found was stopped and started again elsewhere.
    TEST(Takeover, AdoptsTheRunsThatItFinds)
    {
        CoordinatorHarness fleet({ 20, 2 });
        fleet.addWorker("w1");
        fleet.coordinator.restoreJob(CoordinatorHarness::job("a", 2), {}, fleet.now);
        fleet.run(Duration(5));
        fleet.answerLooks({ { CoordinatorHarness::task("a", 0), RunNumber(3), "", 100, 0 } });
        fleet.coordinator.restored(fleet.now);
        fleet.settle();
        EXPECT_THAT(fleet.stops, IsEmpty());
        ASSERT_THAT(fleet.starts, SizeIs(1));
        EXPECT_EQ(fleet.starts[0].task, CoordinatorHarness::task("a", 1));
        EXPECT_GT(number(fleet.starts[0].run), 1000) << "runs of a new term have higher numbers than any run before";
    }

    JobSpec timedJob(const std::string& id, std::int64_t firstUnixMs)
    {
        auto spec = CoordinatorHarness::job(id);
        spec.schedule = { 2, firstUnixMs, 60000 };
        return spec;
    }

    // Seen in trials with timed jobs: the workers are looked at before the occurrences that are due are opened, so the
    // runs found were stopped as unknown and started again at once.
    TEST(Takeover, AdoptsARunOfAnOccurrence)
    {
        CoordinatorHarness fleet({ 20, 2 });
        fleet.addWorker("w1");
        fleet.addWorker("w2");
        const auto spec = timedJob("a", fleet.wallMs() - 500);
        fleet.coordinator.restoreJob(spec, {}, fleet.now);
        fleet.run(Duration(5));
        fleet.answerLooks({ { CoordinatorHarness::task("a"), RunNumber(1), "", 100, 0 } }, {}, "w1");
        fleet.answerLooks();
        fleet.coordinator.restored(fleet.now);
        fleet.settle();
        EXPECT_THAT(fleet.stops, IsEmpty());
        EXPECT_THAT(fleet.starts, IsEmpty());
    }

    TEST(Takeover, CountsAnEndOfAnOccurrence)
    {
        CoordinatorHarness fleet({ 20, 2 });
        fleet.addWorker("w1");
        fleet.coordinator.restoreJob(timedJob("a", fleet.wallMs() - 500), {}, fleet.now);
        fleet.run(Duration(5));
        fleet.answerLooks({}, { { 1, CoordinatorHarness::task("a"), RunNumber(1), RunEnd::Done, "" } });
        fleet.coordinator.restored(fleet.now);
        fleet.settle();
        EXPECT_THAT(fleet.starts, IsEmpty());
        EXPECT_TRUE(fleet.coordinator.jobs().find(JobId("a"))->finishedOccurrences.contains(0));
    }

    TEST(Takeover, DoesNotOpenAnOccurrenceThatIsNotDue)
    {
        CoordinatorHarness fleet({ 20, 2 });
        fleet.addWorker("w1");
        fleet.coordinator.restoreJob(timedJob("a", fleet.wallMs() + 1000), {}, fleet.now);
        fleet.run(Duration(5));
        fleet.answerLooks();
        fleet.coordinator.restored(fleet.now);
        fleet.settle();
        EXPECT_THAT(fleet.starts, IsEmpty());
        fleet.run(Duration(1100));
        EXPECT_THAT(fleet.starts, SizeIs(1));
    }

    TEST(Takeover, WaitsUntilAnUnreachableWorkersLeaseHasLapsed)
    {
        CoordinatorHarness fleet({ 20, 2 });
        fleet.addWorker("w1");
        fleet.coordinator.restoreWorker(fleet.addWorker("w2"), std::nullopt, fleet.now);
        fleet.coordinator.restoreJob(CoordinatorHarness::job("a"), {}, fleet.now);
        fleet.takeOverWithout("w2", "w1");
        for (int i = 0; i < 60; ++i) {
            fleet.run(Duration(100));
            fleet.answerLooks({}, {}, "w1");
            fleet.failLooks("w2");
        }
        EXPECT_THAT(fleet.starts, IsEmpty()) << "its task may run on the worker that does not answer";
        for (int i = 0; i < 20; ++i) {
            fleet.run(Duration(100));
            fleet.answerLooks({}, {}, "w1");
            fleet.failLooks("w2");
        }
        EXPECT_THAT(fleet.starts, SizeIs(1));
    }

    TEST(Takeover, ARunThatWasGivenUpBlocksItsTaskUntilItsEndIsListed)
    {
        CoordinatorHarness fleet({ 20, 2 });
        fleet.addWorker("w1");
        fleet.addWorker("w2");
        fleet.coordinator.restoreJob(CoordinatorHarness::job("a"), {}, fleet.now);
        fleet.run(Duration(5));
        // Two workers list a run of the task; one of them must go, and its end must be seen.
        fleet.answerLooks({ { CoordinatorHarness::task("a"), RunNumber(1), "", 100, 0 } }, {}, "w1");
        fleet.answerLooks({ { CoordinatorHarness::task("a"), RunNumber(2), "", 100, 0 } }, {}, "w2");
        fleet.coordinator.restored(fleet.now);
        fleet.settle();
        ASSERT_THAT(fleet.stops, SizeIs(1));
        EXPECT_EQ(fleet.stops[0].worker.id, WorkerId("w2"));
        // The adopted run fails while the other still winds down.
        fleet.answerLooks({}, { { 1, CoordinatorHarness::task("a"), RunNumber(1), RunEnd::Failed, "" } }, "w1");
        fleet.answerLooks({ { CoordinatorHarness::task("a"), RunNumber(2), "", 100, 0 } }, {}, "w2");
        fleet.run(Duration(300));
        EXPECT_THAT(fleet.starts, IsEmpty());
        fleet.answerLooks({}, { { 1, CoordinatorHarness::task("a"), RunNumber(2), RunEnd::Stopped, "" } }, "w2");
        fleet.run(Duration(300));
        EXPECT_THAT(fleet.starts, SizeIs(1));
    }

    // A chain of takeovers in the bench, beside a dark rack: each one waited anew for leases that had lapsed long ago.
    TEST(Takeover, DoesNotWaitForAWorkerThatWasRecordedAsLapsed)
    {
        CoordinatorHarness fleet({ 20, 2 });
        fleet.addWorker("w1");
        WorkerEntry recorded;
        recorded.life = { WorkerId("w2"), 1 };
        recorded.service = ServiceId("gates");
        fleet.coordinator.restoreWorker(recorded, std::set<TaskKey> {}, fleet.now);
        fleet.coordinator.restoreJob(CoordinatorHarness::job("a"), {}, fleet.now);
        fleet.takeOverWithout("w2", "w1");
        EXPECT_THAT(fleet.starts, SizeIs(1));
    }

    // A planned stop: the predecessor said that it sends no more orders, so only its leases are waited for.
    TEST(Takeover, WaitsOnlyForLeasesAfterThePredecessorResigned)
    {
        CoordinatorHarness fleet({ 20, 2, true });
        fleet.addWorker("w1");
        fleet.coordinator.restoreWorker(fleet.addWorker("w2"), std::nullopt, fleet.now);
        fleet.coordinator.restoreJob(CoordinatorHarness::job("a"), {}, fleet.now);
        const auto begin = fleet.now;
        fleet.takeOverWithout("w2", "w1");
        while (fleet.starts.empty() && fleet.now < begin + Duration(10000)) {
            fleet.run(Duration(50));
            fleet.answerLooks({}, {}, "w1");
            fleet.failLooks("w2");
        }
        EXPECT_GE(fleet.now - begin, Duration(3061)) << "3 s on a clock that is 2% slow";
        EXPECT_LE(fleet.now - begin, Duration(3400));
    }

    // Seen in an incident on celazime-prod: a worker that is gone with its instance stays in the registry for some
    // seconds, and each takeover in a series of stops waited for its lease.
    TEST(Takeover, DoesNotWaitForAWorkerOnWhichNothingWasStarted)
    {
        CoordinatorHarness fleet({ 20, 2, true });
        fleet.addWorker("w1");
        fleet.addWorker("w2"); // in the registry, and without a record
        fleet.coordinator.restoreJob(CoordinatorHarness::job("a"), {}, fleet.now);
        fleet.takeOverWithout("w2", "w1");
        EXPECT_THAT(fleet.starts, SizeIs(1));
    }

    // A rack is dark while the coordinator changes: only the tasks that were there wait, not all of their service.
    TEST(Takeover, WaitsOnlyForTheTasksThatTheRecordOfASilentWorkerNames)
    {
        CoordinatorHarness fleet({ 20, 2 });
        fleet.addWorker("w1");
        fleet.coordinator.restoreWorker(
            fleet.addWorker("w2"), std::set<TaskKey> { CoordinatorHarness::task("a", 0) }, fleet.now);
        fleet.coordinator.restoreJob(CoordinatorHarness::job("a", 2), {}, fleet.now);
        fleet.coordinator.restoreJob(CoordinatorHarness::job("b", 1), {}, fleet.now);
        fleet.takeOverWithout("w2", "w1");
        ASSERT_THAT(fleet.starts, SizeIs(2));
        for (const auto& start : fleet.starts)
            EXPECT_NE(start.task, CoordinatorHarness::task("a", 0));
        EXPECT_GE(fleet.waitForStarts(3, Duration(10000), "w2", "w1"), Duration(6900))
            << "late orders of the predecessor and their leases";
    }

    TEST(Takeover, TheRecordOfAWorkerThatStopsAnsweringNamesWhatRunsThere)
    {
        CoordinatorHarness fleet;
        fleet.begin({ "w1" });
        fleet.accept(CoordinatorHarness::job("a"));
        fleet.run(Duration(5));
        ASSERT_THAT(fleet.starts, SizeIs(1));
        const ListedRun running { fleet.starts[0].task, fleet.starts[0].run, "", 100, 0 };
        fleet.answerStarts();
        const auto recordOf = [&fleet] {
            std::optional<WorkerRecord> record;
            for (const auto& [key, value] : fleet.batch ? fleet.batch->puts : decltype(fleet.batch->puts) {}) {
                if (key == records::worker(WorkerId("w1")))
                    record = decodeWorker(WorkerId("w1"), value);
            }
            return record;
        };
        fleet.run(Duration(5));
        fleet.answerLooks({ running });
        fleet.run(Duration(5));
        fleet.failLooks("w1");
        fleet.run(Duration(60));
        auto record = recordOf();
        ASSERT_TRUE(record && record->onlyRuns);
        EXPECT_EQ(*record->onlyRuns, std::set<TaskKey> { CoordinatorHarness::task("a") });
        fleet.answerJournal();
        // It answers again: nothing is started on it before its record is open again.
        fleet.run(Duration(400));
        fleet.answerLooks({ running });
        fleet.run(Duration(60));
        record = recordOf();
        ASSERT_TRUE(record);
        EXPECT_FALSE(record->onlyRuns);
        EXPECT_FALSE(fleet.coordinator.workers().find(WorkerId("w1"))->isRecorded);
        fleet.answerJournal();
        EXPECT_TRUE(fleet.coordinator.workers().find(WorkerId("w1"))->isRecorded);
    }

    TEST(Takeover, AWorkerIsNotUsedWhileTheStoreHoldsItsClosedRecord)
    {
        CoordinatorHarness fleet;
        fleet.begin({ "w1" });
        fleet.run(Duration(5));
        fleet.failLooks("w1");
        fleet.run(Duration(60));
        ASSERT_TRUE(fleet.batch) << "the closed record is on its way";
        fleet.run(Duration(300));
        fleet.answerLooks();
        fleet.run(Duration(60)); // the open record waits behind it
        fleet.answerJournal();
        EXPECT_FALSE(fleet.coordinator.workers().find(WorkerId("w1"))->isRecorded);
        fleet.run(Duration(5));
        fleet.answerJournal();
        EXPECT_TRUE(fleet.coordinator.workers().find(WorkerId("w1"))->isRecorded);
    }

    // Entries lapse while the store is away; in the bench a successor did not know of a worker that still ran a task.
    TEST(Takeover, AWorkerThatLeftTheRegistryIsStillCountedWith)
    {
        CoordinatorHarness fleet({ 20, 2 });
        fleet.addWorker("w1");
        WorkerEntry recorded;
        recorded.life = { WorkerId("w2"), 1 };
        recorded.service = ServiceId("gates");
        fleet.coordinator.restoreWorker(recorded, std::nullopt, fleet.now);
        fleet.coordinator.restoreJob(CoordinatorHarness::job("a"), {}, fleet.now);
        fleet.run(Duration(5));
        EXPECT_THAT(fleet.looks, SizeIs(2));
        fleet.answerLooks({}, {}, "w1");
        fleet.failLooks("w2");
        fleet.coordinator.restored(fleet.now);
        fleet.settle();
        for (int i = 0; i < 50; ++i) {
            fleet.run(Duration(100));
            fleet.answerLooks({}, {}, "w1");
            fleet.failLooks("w2");
        }
        EXPECT_THAT(fleet.starts, IsEmpty());
    }

    // LIMIT in the bench: runs of jobs that had ended took room that the successor did not count.
    TEST(Takeover, ARunOfAnEndedJobTakesRoomUntilItsEndIsListed)
    {
        CoordinatorHarness fleet({ 20, 2 });
        fleet.addWorker("w1", 2000);
        JobProgress cancelled;
        cancelled.state = JobState::Cancelled;
        fleet.coordinator.restoreJob(CoordinatorHarness::job("old", 2), cancelled, fleet.now);
        fleet.coordinator.restoreJob(CoordinatorHarness::job("new", 2), {}, fleet.now);
        fleet.run(Duration(5));
        fleet.answerLooks({ { CoordinatorHarness::task("old", 0), RunNumber(1), "", 100, 0 } });
        fleet.coordinator.restored(fleet.now);
        fleet.settle();
        EXPECT_THAT(fleet.stops, SizeIs(1));
        EXPECT_THAT(fleet.starts, SizeIs(1)) << "one of two places is taken";
    }

    // LOST in hunts (hunt-2017-39, hunt-8634-11): the predecessor had stored the failure and was gone before it
    // acknowledged the end, so the successor counted one run twice and gave the job up.
    TEST(Takeover, AFailureThatWasStoredIsNotCountedAgain)
    {
        CoordinatorHarness first;
        first.addWorker("w1");
        first.run(Duration(5));
        first.answerLooks();
        first.coordinator.restored(first.now);
        first.settle();
        first.accept(CoordinatorHarness::job("a"));
        first.run(Duration(5));
        first.answerStarts();
        first.answerLooks({}, { { 1, CoordinatorHarness::task("a"), RunNumber(1), RunEnd::Failed, "" } });
        const auto progress = first.coordinator.jobs().progress(*first.coordinator.jobs().find(JobId("a")));
        EXPECT_EQ(progress.tasks.at(CoordinatorHarness::task("a")).failures, 1);

        CoordinatorHarness second({ 20, 2 });
        second.addWorker("w1");
        second.coordinator.restoreJob(CoordinatorHarness::job("a"), progress, second.now);
        second.run(Duration(5));
        second.answerLooks({}, { { 1, CoordinatorHarness::task("a"), RunNumber(1), RunEnd::Failed, "" } });
        second.coordinator.restored(second.now);
        second.settle();
        second.run(Duration(500));
        EXPECT_EQ(second.coordinator.jobs().find(JobId("a"))->state, JobState::Running);
        EXPECT_THAT(second.starts, SizeIs(1)) << "one attempt is left";
    }

    // BUDGET in hunts: the end of a run that had been given up came after the failure of the next one.
    TEST(Takeover, FailuresCountInWhateverOrderTheirEndsCome)
    {
        CoordinatorHarness fleet({ 20, 2 });
        fleet.addWorker("w1");
        JobProgress progress;
        progress.state = JobState::Running;
        progress.tasks[CoordinatorHarness::task("a")] = { false, 1, "", { RunNumber(2) } };
        fleet.coordinator.restoreJob(CoordinatorHarness::job("a"), progress, fleet.now);
        fleet.run(Duration(5));
        fleet.answerLooks({}, { { 1, CoordinatorHarness::task("a"), RunNumber(1), RunEnd::Failed, "" } });
        fleet.coordinator.restored(fleet.now);
        fleet.run(Duration(2000));
        EXPECT_THAT(fleet.starts, IsEmpty()) << "both attempts are used up";
        EXPECT_EQ(fleet.coordinator.jobs().find(JobId("a"))->state, JobState::Failed);
    }

    TEST(Takeover, AFailedRunOfBeforeCountsAgainstTheAttempts)
    {
        CoordinatorHarness fleet({ 20, 2 });
        fleet.addWorker("w1");
        JobProgress progress;
        progress.state = JobState::Running;
        progress.tasks[CoordinatorHarness::task("a")] = { false, 1, "", { RunNumber(6) } };
        fleet.coordinator.restoreJob(CoordinatorHarness::job("a"), progress, fleet.now);
        fleet.run(Duration(5));
        fleet.answerLooks({}, { { 1, CoordinatorHarness::task("a"), RunNumber(7), RunEnd::Failed, "" } });
        fleet.coordinator.restored(fleet.now);
        fleet.run(Duration(2000));
        EXPECT_THAT(fleet.starts, IsEmpty()) << "both attempts are used up";
        EXPECT_EQ(fleet.coordinator.jobs().find(JobId("a"))->state, JobState::Failed);
    }

    // A zone cut in the bench: the owner in the zone took the workers outside for lapsed, whose tasks its successor
    // held.
    TEST(Takeover, AnOwnerThatMayHaveASuccessorDoesNotCountOnLapsedLeases)
    {
        CoordinatorHarness fleet;
        fleet.addWorker("w1");
        fleet.addWorker("w2");
        fleet.run(Duration(5));
        fleet.answerLooks();
        fleet.coordinator.restored(fleet.now);
        fleet.accept(CoordinatorHarness::job("a"));
        fleet.run(Duration(5));
        ASSERT_THAT(fleet.starts, SizeIs(1));
        const auto worker = fleet.starts[0].worker.id.value();
        fleet.answerStarts();
        fleet.coordinator.setSureUntil(fleet.now + Duration(1000));
        const auto orderedUntil = fleet.now + Duration(1000) + Duration(4000);
        while (fleet.now < orderedUntil + Duration(3000)) {
            fleet.run(Duration(50));
            if (fleet.now > orderedUntil + Duration(100)) {
                EXPECT_THAT(fleet.looks, IsEmpty()) << "it must not extend leases any more";
            }
            fleet.failLooks(worker);
            fleet.answerLooks();
        }
        EXPECT_THAT(fleet.starts, IsEmpty());
        // Once it is sure again, nobody else can have held the task.
        fleet.coordinator.setSureUntil(TimePoint::max());
        fleet.run(Duration(50));
        EXPECT_THAT(fleet.starts, SizeIs(1));
    }

    // A pool that is short and a spare instance, for a coordinator that has taken over.
    class TakeoverOfInstances : public testing::Test {
    protected:
        static CoordinatorSettings settings(bool comparesFences)
        {
            CoordinatorSettings settings;
            settings.comparesInstanceFences = comparesFences;
            return settings;
        }

        // The time from the takeover to the first move.
        static Duration timeToFirstMove(bool comparesFences, Term term)
        {
            CoordinatorHarness fleet(term, {}, settings(comparesFences));
            const auto since = fleet.now;
            const ServiceId spare("office");
            fleet.operators.config.pools.emplace(spare, WorkerPool { spare, false, true });
            fleet.coordinator.setOperators(fleet.operators, fleet.now);
            fleet.coordinator.restored(fleet.now);
            FleetInstance instance;
            instance.id = "m-1";
            instance.pool = spare;
            instance.worker = WorkerId("w-spare");
            instance.capacity = { 8000, 100000, 0 };
            fleet.coordinator.instancesListed({ instance }, fleet.now);
            fleet.accept(CoordinatorHarness::job("a"));
            while (fleet.moves.empty() && fleet.now < since + Duration(5000))
                fleet.run(Duration(10));
            return fleet.now - since;
        }
    };

    // Seen on agl-appraise, scale-1 (ONE), where nobody compares fences: moves of the coordinator before were carried
    // out after those of its successor.
    TEST_F(TakeoverOfInstances, WaitsForOrdersOfBeforeWhereNobodyComparesFences)
    {
        EXPECT_GE(timeToFirstMove(false, { 20, 2 }), CoordinatorSettings {}.instanceCallTime);
        EXPECT_GE(timeToFirstMove(false, { 20, 2, true }), CoordinatorSettings {}.instanceCallTime)
            << "an owner that resigned may have orders under way";
    }

    TEST_F(TakeoverOfInstances, DoesNotWaitWhereFencesAreCompared)
    {
        EXPECT_LT(timeToFirstMove(true, { 20, 2 }), CoordinatorSettings {}.instanceCallTime);
        EXPECT_LT(timeToFirstMove(false, { 10, 1 }), CoordinatorSettings {}.instanceCallTime);
    }

} // namespace
} // namespace marigoldlink
