// Tests that a coordinator that takes over adopts the runs of its predecessor and starts nothing twice.
#include "CoordinatorHarness.h"
#include "marigoldlink/Protocol/JobCodec.h"

#include <gmock/gmock.h>

namespace marigoldlink {
namespace {

    using testing::IsEmpty;
    using testing::SizeIs;

    // Guards against stopping every found run and starting it again elsewhere.
    TEST(Takeover, AdoptsTheRunsThatItFinds)
    {
        CoordinatorHarness fleet({ 20, 2 });
        fleet.addWorker("w1");
        fleet.coordinator.restoreJob(CoordinatorHarness::job("a", 2), {}, fleet.now);
        fleet.run(Duration(5));
        fleet.answerPolls({ { CoordinatorHarness::task("a", 0), RunNumber(3), "", 100, 0 } });
        fleet.coordinator.finishRestore(fleet.now);
        fleet.settle();
        EXPECT_THAT(fleet.stops, IsEmpty());
        ASSERT_THAT(fleet.starts, SizeIs(1));
        EXPECT_EQ(fleet.starts[0].task, CoordinatorHarness::task("a", 1));
        EXPECT_GT(number(fleet.starts[0].run), 1000) << "runs of a new term have higher numbers than any run before";
    }

    // After a takeover one team's runs fill the workers and both teams' restored jobs wait. Guards against shares that
    // a coordinator learns only from its own starts, so that the team with the older jobs would fill the room again.
    TEST(Takeover, SharesHoldInTheFirstPass)
    {
        CoordinatorSettings settings;
        settings.scheduling.shares = true;
        CoordinatorHarness fleet({ 20, 2 }, {}, settings);
        fleet.addWorker("w1");
        fleet.addWorker("w2");
        const auto restore = [&fleet](const std::string& id, const std::string& team, int tasks) {
            auto spec = CoordinatorHarness::job(id, tasks);
            spec.team = TeamId(team);
            fleet.coordinator.restoreJob(spec, {}, fleet.now);
            fleet.run(Duration(1));
        };
        restore("a", "large", 40);
        restore("b", "small", 40);
        std::vector<ListedRun> running;
        for (int i = 0; i < 8; ++i)
            running.push_back({ CoordinatorHarness::task("a", i), RunNumber(3), "", 100, 0 });
        fleet.run(Duration(5));
        fleet.answerPolls(running, {}, "w1");
        fleet.answerPolls({}, {}, "w2");
        fleet.coordinator.finishRestore(fleet.now);
        fleet.settle();
        EXPECT_THAT(fleet.stops, IsEmpty());
        ASSERT_THAT(fleet.starts, SizeIs(8));
        for (const auto& start : fleet.starts)
            EXPECT_EQ(start.task.job, JobId("b")) << "the large team has its half already";
    }

    JobSpec timedJob(const std::string& id, std::int64_t firstUnixMs)
    {
        auto spec = CoordinatorHarness::job(id);
        spec.schedule = { 2, firstUnixMs, 60000 };
        return spec;
    }

    // Workers are polled before due occurrences are opened. Guards against stopping the found runs as unknown and
    // starting them again at once.
    TEST(Takeover, AdoptsARunOfAnOccurrence)
    {
        CoordinatorHarness fleet({ 20, 2 });
        fleet.addWorker("w1");
        fleet.addWorker("w2");
        const auto spec = timedJob("a", fleet.wallMs() - 500);
        fleet.coordinator.restoreJob(spec, {}, fleet.now);
        fleet.run(Duration(5));
        fleet.answerPolls({ { CoordinatorHarness::task("a"), RunNumber(1), "", 100, 0 } }, {}, "w1");
        fleet.answerPolls();
        fleet.coordinator.finishRestore(fleet.now);
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
        fleet.answerPolls({}, { { 1, CoordinatorHarness::task("a"), RunNumber(1), RunEnd::Done, "" } });
        fleet.coordinator.finishRestore(fleet.now);
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
        fleet.answerPolls();
        fleet.coordinator.finishRestore(fleet.now);
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
            fleet.answerPolls({}, {}, "w1");
            fleet.failPolls("w2");
        }
        EXPECT_THAT(fleet.starts, IsEmpty()) << "the task may be running on the worker that does not answer";
        for (int i = 0; i < 20; ++i) {
            fleet.run(Duration(100));
            fleet.answerPolls({}, {}, "w1");
            fleet.failPolls("w2");
        }
        EXPECT_THAT(fleet.starts, SizeIs(1));
    }

    // A team with a limit of eight tasks has a job of six. Its predecessor may have started tasks on w2, which does not
    // answer and has room for four; w1 lists two. Eight more tasks are handed in.
    class TakeoverAtALimit : public testing::Test {
    protected:
        TakeoverAtALimit()
            : fleet({ 20, 2 })
        {
            fleet.operators.config.teams[TeamId("t")] = { TeamId("t"), 1, { 8000, 0, 0 }, {} };
            fleet.coordinator.setOperators(fleet.operators, fleet.now);
            fleet.addWorker("w1", 20000);
            fleet.coordinator.restoreJob(jobOfTeam("a", 6), {}, fleet.now);
        }

        static JobSpec jobOfTeam(const std::string& id, int tasks)
        {
            auto spec = CoordinatorHarness::job(id, tasks);
            spec.team = TeamId("t");
            return spec;
        }

        static ListedRun run(int index) { return { CoordinatorHarness::task("a", index), RunNumber(1), "", 100, 0 }; }

        void takeOver(std::optional<std::set<TaskKey>> onlyRuns)
        {
            fleet.coordinator.restoreWorker(fleet.addWorker("w2", 4000), std::move(onlyRuns), fleet.now);
            fleet.run(Duration(5));
            fleet.answerPolls({ run(0), run(1) }, {}, "w1");
            fleet.failPolls("w2");
            fleet.coordinator.finishRestore(fleet.now);
            fleet.settle();
            fleet.accept(jobOfTeam("b", 8));
            fleet.run(Duration(50));
        }

        CoordinatorHarness fleet;
    };

    // Guards against QUOTA violations (review/15): a successor did not count the runs of workers that it could not
    // reach, and started tasks of new jobs up to the whole limit.
    TEST_F(TakeoverAtALimit, CountsWhatAWorkerThatDoesNotAnswerMayRun)
    {
        takeOver(std::nullopt);
        EXPECT_EQ(fleet.starts.size(), 2u) << "two are listed, and four may be on w2";
        for (int i = 0; i < 8; ++i) {
            fleet.run(Duration(50));
            fleet.answerPolls({ run(2) }, {}, "w2");
        }
        EXPECT_EQ(fleet.starts.size(), 5u) << "w2 lists only one";
    }

    TEST_F(TakeoverAtALimit, CountsTheTasksThatARecordNames)
    {
        takeOver(std::set<TaskKey> { CoordinatorHarness::task("a", 2) });
        EXPECT_EQ(fleet.starts.size(), 5u) << "two are listed, and one may be on w2";
    }

    TEST_F(TakeoverAtALimit, CountsTheTasksOfACancelledJobThatMayStillRun)
    {
        JobProgress cancelled;
        cancelled.state = JobState::Cancelled;
        fleet.coordinator.restoreJob(jobOfTeam("c", 2), cancelled, fleet.now);
        fleet.coordinator.restoreJob(jobOfTeam("d", 1), { JobState::Complete, {}, {} }, fleet.now);
        takeOver(std::nullopt);
        EXPECT_EQ(fleet.starts.size(), 2u) << "no more than four can be on w2";
    }

    TEST_F(TakeoverAtALimit, UsesTheWholeLimitOnceTheLeasesHaveExpired)
    {
        takeOver(std::nullopt);
        fleet.waitForStarts(6, CoordinatorHarness::leasesExpireAfter, "w2", "w1");
        EXPECT_GE(fleet.starts.size(), 6u);
        EXPECT_LE(fleet.starts.size(), 8u);
    }

    TEST(Takeover, ARunThatWasGivenUpBlocksItsTaskUntilItsEndIsListed)
    {
        CoordinatorHarness fleet({ 20, 2 });
        fleet.addWorker("w1");
        fleet.addWorker("w2");
        fleet.coordinator.restoreJob(CoordinatorHarness::job("a"), {}, fleet.now);
        fleet.run(Duration(5));
        // Two workers list a run of the task. One of the runs must be stopped, and its end must be reported.
        fleet.answerPolls({ { CoordinatorHarness::task("a"), RunNumber(1), "", 100, 0 } }, {}, "w1");
        fleet.answerPolls({ { CoordinatorHarness::task("a"), RunNumber(2), "", 100, 0 } }, {}, "w2");
        fleet.coordinator.finishRestore(fleet.now);
        fleet.settle();
        ASSERT_THAT(fleet.stops, SizeIs(1));
        EXPECT_EQ(fleet.stops[0].worker.id, WorkerId("w2"));
        // The adopted run fails while the other is still shutting down.
        fleet.answerPolls({}, { { 1, CoordinatorHarness::task("a"), RunNumber(1), RunEnd::Failed, "" } }, "w1");
        fleet.answerPolls({ { CoordinatorHarness::task("a"), RunNumber(2), "", 100, 0 } }, {}, "w2");
        fleet.run(Duration(300));
        EXPECT_THAT(fleet.starts, IsEmpty());
        fleet.answerPolls({}, { { 1, CoordinatorHarness::task("a"), RunNumber(2), RunEnd::Stopped, "" } }, "w2");
        fleet.run(Duration(300));
        EXPECT_THAT(fleet.starts, SizeIs(1));
    }

    // Guards against a delay in each of several successive takeovers while a rack is unreachable: each one waited again
    // for leases that had already expired.
    TEST(Takeover, DoesNotWaitForAWorkerThatWasRecordedAsLapsed)
    {
        CoordinatorHarness fleet({ 20, 2 });
        fleet.addWorker("w1");
        WorkerEntry recorded;
        recorded.incarnation = { WorkerId("w2"), 1 };
        recorded.service = ServiceId("gates");
        fleet.coordinator.restoreWorker(recorded, std::set<TaskKey> {}, fleet.now);
        fleet.coordinator.restoreJob(CoordinatorHarness::job("a"), {}, fleet.now);
        fleet.takeOverWithout("w2", "w1");
        EXPECT_THAT(fleet.starts, SizeIs(1));
    }

    // Graceful shutdown: the predecessor announced that it sends no more orders, so only its leases have to expire.
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
            fleet.answerPolls({}, {}, "w1");
            fleet.failPolls("w2");
        }
        EXPECT_GE(fleet.now - begin, Duration(3061)) << "a lease of 3 s on a clock that is 2% slow";
        EXPECT_LE(fleet.now - begin, Duration(3400));
    }

    // Guards against a delay in each of several successive takeovers: a worker that was removed with its instance stays
    // registered for some seconds, and each takeover waited for its lease.
    TEST(Takeover, DoesNotWaitForAWorkerOnWhichNothingWasStarted)
    {
        CoordinatorHarness fleet({ 20, 2, true });
        fleet.addWorker("w1");
        fleet.addWorker("w2"); // registered, but without a record
        fleet.coordinator.restoreJob(CoordinatorHarness::job("a"), {}, fleet.now);
        fleet.takeOverWithout("w2", "w1");
        EXPECT_THAT(fleet.starts, SizeIs(1));
    }

    // A rack is unreachable during a takeover: only the tasks on it have to wait, not all tasks of their service.
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
            << "time for late orders of the predecessor and the leases they grant";
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
        fleet.answerPolls({ running });
        fleet.run(Duration(5));
        fleet.failPolls("w1");
        fleet.run(Duration(60));
        auto record = recordOf();
        ASSERT_TRUE(record && record->onlyRuns);
        EXPECT_EQ(*record->onlyRuns, std::set<TaskKey> { CoordinatorHarness::task("a") });
        fleet.answerJournal();
        // The worker answers again. Nothing is started on it before its unsealed record is stored.
        fleet.run(Duration(400));
        fleet.answerPolls({ running });
        fleet.run(Duration(60));
        record = recordOf();
        ASSERT_TRUE(record);
        EXPECT_FALSE(record->onlyRuns);
        EXPECT_FALSE(fleet.coordinator.workers().find(WorkerId("w1"))->isRecordStored);
        fleet.answerJournal();
        EXPECT_TRUE(fleet.coordinator.workers().find(WorkerId("w1"))->isRecordStored);
    }

    TEST(Takeover, AWorkerIsNotUsedWhileTheStoreHoldsItsSealedRecord)
    {
        CoordinatorHarness fleet;
        fleet.begin({ "w1" });
        fleet.run(Duration(5));
        fleet.failPolls("w1");
        fleet.run(Duration(60));
        ASSERT_TRUE(fleet.batch) << "the write of the sealed record is in flight";
        fleet.run(Duration(300));
        fleet.answerPolls();
        fleet.run(Duration(60)); // the unsealed record is queued behind it
        fleet.answerJournal();
        EXPECT_FALSE(fleet.coordinator.workers().find(WorkerId("w1"))->isRecordStored);
        fleet.run(Duration(5));
        fleet.answerJournal();
        EXPECT_TRUE(fleet.coordinator.workers().find(WorkerId("w1"))->isRecordStored);
    }

    // Guards against TWICE violations: a sealed record was stored before the ends that its worker had listed, since it
    // takes precedence in the journal. It did not name the ended tasks, so a successor that could not reach the worker
    // started them again.
    TEST(Takeover, TheRecordOfASilentWorkerNamesTasksWhoseEndsAreNotStored)
    {
        constexpr int jobs = 3 * Journal::maxRecords;
        std::map<std::string, std::string> stored;
        CoordinatorHarness first;
        first.addWorker("w1", jobs * 1000);
        first.run(Duration(5));
        first.answerPolls();
        first.coordinator.finishRestore(first.now);
        first.run(Duration(60));
        first.storeBatch(stored);
        std::vector<ListedEnd> ends;
        for (int i = 0; i < jobs; ++i) {
            const auto id = "job" + std::to_string(i);
            first.coordinator.submit(CallToken(i), CoordinatorHarness::job(id), first.now);
            ends.push_back({ i + 1, CoordinatorHarness::task(id), RunNumber(1), RunEnd::Done, "" });
        }
        while (first.starts.size() < jobs) {
            first.run(Duration(10));
            first.storeBatch(stored);
        }
        first.answerStarts();
        first.answerPolls({}, ends);
        first.run(Duration(100));
        first.failPolls("w1");
        first.run(Duration(45));
        const auto hasSealedRecord = [&stored] {
            return decodeWorker(WorkerId("w1"), stored.at(records::worker(WorkerId("w1")))).onlyRuns.has_value();
        };
        while (!hasSealedRecord() && first.batch) {
            first.storeBatch(stored);
            first.run(Duration(1));
        }
        ASSERT_TRUE(hasSealedRecord());
        ASSERT_TRUE(first.batch) << "some ends are not stored when the first coordinator ends";

        CoordinatorHarness second({ 20, 2 });
        second.addWorker("w2", jobs * 1000);
        second.restore(stored);
        second.takeOverWithout("w1", "w2");
        EXPECT_EQ(second.starts.size(), 0u);
        // The worker answers and lists its ends again.
        second.run(Duration(2100));
        second.answerPolls({}, ends, "w1");
        second.run(Duration(100));
        EXPECT_EQ(second.starts.size(), 0u);
        EXPECT_EQ(second.coordinator.jobs().activeJobs().size(), 0u);
    }

    // Registry entries expire during an outage of the store. Guards against a successor that does not know of a worker
    // that is still running a task.
    TEST(Takeover, RecordedWorkerOutsideTheRegistryStillBlocksItsTasks)
    {
        CoordinatorHarness fleet({ 20, 2 });
        fleet.addWorker("w1");
        WorkerEntry recorded;
        recorded.incarnation = { WorkerId("w2"), 1 };
        recorded.service = ServiceId("gates");
        fleet.coordinator.restoreWorker(recorded, std::nullopt, fleet.now);
        fleet.coordinator.restoreJob(CoordinatorHarness::job("a"), {}, fleet.now);
        fleet.run(Duration(5));
        EXPECT_THAT(fleet.polls, SizeIs(2));
        fleet.answerPolls({}, {}, "w1");
        fleet.failPolls("w2");
        fleet.coordinator.finishRestore(fleet.now);
        fleet.settle();
        for (int i = 0; i < 50; ++i) {
            fleet.run(Duration(100));
            fleet.answerPolls({}, {}, "w1");
            fleet.failPolls("w2");
        }
        EXPECT_THAT(fleet.starts, IsEmpty());
    }

    // Guards against LIMIT violations: runs of ended jobs used capacity that the successor did not count.
    TEST(Takeover, ARunOfAnEndedJobTakesRoomUntilItsEndIsListed)
    {
        CoordinatorHarness fleet({ 20, 2 });
        fleet.addWorker("w1", 2000);
        JobProgress cancelled;
        cancelled.state = JobState::Cancelled;
        fleet.coordinator.restoreJob(CoordinatorHarness::job("old", 2), cancelled, fleet.now);
        fleet.coordinator.restoreJob(CoordinatorHarness::job("new", 2), {}, fleet.now);
        fleet.run(Duration(5));
        fleet.answerPolls({ { CoordinatorHarness::task("old", 0), RunNumber(1), "", 100, 0 } });
        fleet.coordinator.finishRestore(fleet.now);
        fleet.settle();
        EXPECT_THAT(fleet.stops, SizeIs(1));
        EXPECT_THAT(fleet.starts, SizeIs(1)) << "one of two slots is in use";
    }

    // Guards against LOST violations (random runs hunt-2017-39 and hunt-8634-11): the predecessor stored a failure but
    // ended before it acknowledged the end, so the successor counted the run twice and failed the job.
    TEST(Takeover, AFailureThatWasStoredIsNotCountedAgain)
    {
        CoordinatorHarness first;
        first.addWorker("w1");
        first.run(Duration(5));
        first.answerPolls();
        first.coordinator.finishRestore(first.now);
        first.settle();
        first.accept(CoordinatorHarness::job("a"));
        first.run(Duration(5));
        first.answerStarts();
        first.answerPolls({}, { { 1, CoordinatorHarness::task("a"), RunNumber(1), RunEnd::Failed, "" } });
        const auto progress = first.coordinator.jobs().progress(*first.coordinator.jobs().find(JobId("a")));
        EXPECT_EQ(progress.tasks.at(CoordinatorHarness::task("a")).failures, 1);

        CoordinatorHarness second({ 20, 2 });
        second.addWorker("w1");
        second.coordinator.restoreJob(CoordinatorHarness::job("a"), progress, second.now);
        second.run(Duration(5));
        second.answerPolls({}, { { 1, CoordinatorHarness::task("a"), RunNumber(1), RunEnd::Failed, "" } });
        second.coordinator.finishRestore(second.now);
        second.settle();
        second.run(Duration(500));
        EXPECT_EQ(second.coordinator.jobs().find(JobId("a"))->state, JobState::Running);
        EXPECT_THAT(second.starts, SizeIs(1)) << "one attempt is left";
    }

    // Guards against BUDGET violations: the end of a run that was presumed lost arrived after the failure of the next.
    TEST(Takeover, FailuresCountInAnyOrder)
    {
        CoordinatorHarness fleet({ 20, 2 });
        fleet.addWorker("w1");
        JobProgress progress;
        progress.state = JobState::Running;
        progress.tasks[CoordinatorHarness::task("a")] = { false, 1, "", { RunNumber(2) } };
        fleet.coordinator.restoreJob(CoordinatorHarness::job("a"), progress, fleet.now);
        fleet.run(Duration(5));
        fleet.answerPolls({}, { { 1, CoordinatorHarness::task("a"), RunNumber(1), RunEnd::Failed, "" } });
        fleet.coordinator.finishRestore(fleet.now);
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
        fleet.answerPolls({}, { { 1, CoordinatorHarness::task("a"), RunNumber(7), RunEnd::Failed, "" } });
        fleet.coordinator.finishRestore(fleet.now);
        fleet.run(Duration(2000));
        EXPECT_THAT(fleet.starts, IsEmpty()) << "both attempts are used up";
        EXPECT_EQ(fleet.coordinator.jobs().find(JobId("a"))->state, JobState::Failed);
    }

    // Guards against tasks running twice after a network partition: the owner in the partitioned zone considered the
    // leases of workers outside of it expired, while its successor kept their tasks running.
    TEST(Takeover, OwnerWithExpiredElectionLeaseDoesNotExpireWorkerLeases)
    {
        CoordinatorHarness fleet;
        fleet.addWorker("w1");
        fleet.addWorker("w2");
        fleet.run(Duration(5));
        fleet.answerPolls();
        fleet.coordinator.finishRestore(fleet.now);
        fleet.accept(CoordinatorHarness::job("a"));
        fleet.run(Duration(5));
        ASSERT_THAT(fleet.starts, SizeIs(1));
        const auto worker = fleet.starts[0].worker.id.value();
        fleet.answerStarts();
        fleet.coordinator.setLeaseValidUntil(fleet.now + Duration(1000));
        const auto orderedUntil = fleet.now + Duration(1000) + Duration(4000);
        while (fleet.now < orderedUntil + Duration(3000)) {
            fleet.run(Duration(50));
            if (fleet.now > orderedUntil + Duration(100)) {
                EXPECT_THAT(fleet.polls, IsEmpty()) << "leases must not be extended any more";
            }
            fleet.failPolls(worker);
            fleet.answerPolls();
        }
        EXPECT_THAT(fleet.starts, IsEmpty());
        // Once the lease is valid again, no other coordinator can have held the task.
        fleet.coordinator.setLeaseValidUntil(TimePoint::max());
        fleet.run(Duration(50));
        EXPECT_THAT(fleet.starts, SizeIs(1));
    }

    // A worker of a predecessor that does not answer; the list of instances tells which worker its instance has now.
    class TakeoverOfEndedWorkers : public testing::Test {
    protected:
        // Returns the time from the takeover until a task starts elsewhere.
        static Duration timeToStart(InstanceState state, const std::string& listedWorker)
        {
            CoordinatorHarness fleet({ 20, 2 });
            const auto since = fleet.now;
            fleet.addWorker("w1");
            WorkerEntry recorded;
            recorded.incarnation = { WorkerId("w2"), 1 };
            recorded.service = ServiceId("gates");
            recorded.instance = "m-2";
            fleet.coordinator.restoreWorker(recorded, std::nullopt, fleet.now);
            fleet.coordinator.restoreJob(CoordinatorHarness::job("a"), {}, fleet.now);
            FleetInstance instance;
            instance.id = "m-2";
            instance.state = state;
            instance.pool = ServiceId("gates");
            instance.worker = WorkerId(listedWorker);
            fleet.takeOverWithout("w2", "w1");
            int listed = 0;
            while (fleet.starts.empty() && fleet.now < since + Duration(15000)) {
                fleet.run(Duration(50));
                fleet.answerPolls({}, {}, "w1");
                fleet.failPolls("w2");
                if (std::exchange(listed, fleet.lists) < fleet.lists)
                    fleet.coordinator.instancesListed({ instance }, fleet.now);
            }
            return fleet.now - since;
        }
    };

    // Guards against a service that starts nothing for 7 s after each takeover, since an instance of it had been moved
    // or maintained shortly before and the record of its worker was still stored.
    TEST_F(TakeoverOfEndedWorkers, AWorkerThatWasReplacedHoldsNoRuns)
    {
        EXPECT_LT(timeToStart(InstanceState::Up, "w3"), Duration(2500));
        EXPECT_LT(timeToStart(InstanceState::Moving, ""), Duration(2500));
        EXPECT_LT(timeToStart(InstanceState::Maintenance, ""), Duration(2500));
    }

    TEST_F(TakeoverOfEndedWorkers, AListThatMayBeOlderThanTheWorkerIsNotUsed)
    {
        EXPECT_GE(timeToStart(InstanceState::Up, "w3"), Duration(1500));
    }

    TEST_F(TakeoverOfEndedWorkers, AWorkerThatIsListedOrWhoseInstanceIsDownMayHoldRuns)
    {
        EXPECT_GE(timeToStart(InstanceState::Up, "w2"), CoordinatorHarness::leasesExpireAfter);
        EXPECT_GE(timeToStart(InstanceState::Down, ""), CoordinatorHarness::leasesExpireAfter);
        EXPECT_GE(timeToStart(InstanceState::Up, ""), CoordinatorHarness::leasesExpireAfter);
    }

    // A pool below its need and a spare instance, for a coordinator that has taken over.
    class TakeoverOfInstances : public testing::Test {
    protected:
        static CoordinatorSettings settings(bool comparesFences)
        {
            CoordinatorSettings settings;
            settings.checksInstanceFences = comparesFences;
            return settings;
        }

        // Returns the time from the takeover to the first move.
        static Duration timeToFirstMove(bool comparesFences, Term term)
        {
            CoordinatorHarness fleet(term, {}, settings(comparesFences));
            const auto since = fleet.now;
            const ServiceId spare("office");
            fleet.operators.config.pools.emplace(spare, WorkerPool { spare, false, true });
            fleet.coordinator.setOperators(fleet.operators, fleet.now);
            fleet.coordinator.finishRestore(fleet.now);
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

    // Guards against ONE violations where instances do not compare fences: moves of the predecessor took effect after
    // those of its successor.
    TEST_F(TakeoverOfInstances, WaitsForOrdersOfBeforeWhereNobodyComparesFences)
    {
        EXPECT_GE(timeToFirstMove(false, { 20, 2 }), CoordinatorSettings {}.instanceCallTimeout);
        EXPECT_GE(timeToFirstMove(false, { 20, 2, true }), CoordinatorSettings {}.instanceCallTimeout)
            << "an owner that resigned may have orders in flight";
    }

    TEST_F(TakeoverOfInstances, DoesNotWaitWhereFencesAreCompared)
    {
        EXPECT_LT(timeToFirstMove(true, { 20, 2 }), CoordinatorSettings {}.instanceCallTimeout);
        EXPECT_LT(timeToFirstMove(false, { 10, 1 }), CoordinatorSettings {}.instanceCallTimeout);
    }

} // namespace
} // namespace marigoldlink
