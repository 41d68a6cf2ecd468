// Tests of starts, stops and ends of runs.
#include "CoordinatorHarness.h"

#include <gmock/gmock.h>

namespace marigoldlink {
namespace {

    using testing::IsEmpty;
    using testing::SizeIs;

    class Runs : public testing::Test {
    protected:
        void begin(int workers = 1)
        {
            for (int i = 0; i < workers; ++i)
                fleet.addWorker("w" + std::to_string(i));
            fleet.run(Duration(5));
            fleet.answerPolls();
            fleet.coordinator.finishRestore(fleet.now);
        }

        CoordinatorHarness fleet;
    };

    TEST_F(Runs, NothingStartsBeforeTheJobIsStored)
    {
        begin();
        fleet.coordinator.submit(CallToken(1), CoordinatorHarness::job("a"), fleet.now);
        fleet.run(Duration(100));
        EXPECT_THAT(fleet.starts, IsEmpty());
        EXPECT_THAT(fleet.replies, IsEmpty());
        fleet.answerJournal();
        fleet.run(Duration(5));
        EXPECT_THAT(fleet.starts, SizeIs(1));
        ASSERT_THAT(fleet.replies, SizeIs(1));
        EXPECT_EQ(fleet.replies[0].reply.kind, Reply::Kind::Accepted);
    }

    TEST_F(Runs, CompleteIsShownAndItsEndAcknowledgedOnlyOnceItIsStored)
    {
        begin();
        fleet.accept(CoordinatorHarness::job("a"));
        fleet.run(Duration(5));
        fleet.answerStarts();
        fleet.answerPolls({}, { { 1, CoordinatorHarness::task("a"), RunNumber(1), RunEnd::Done, "" } });
        fleet.run(Duration(300));
        EXPECT_EQ(fleet.coordinator.jobStatus(JobId("a")).state, JobState::Running);
        for (const auto& poll : fleet.polls)
            EXPECT_EQ(poll.acknowledged, 0);
        fleet.answerPolls();
        fleet.answerJournal();
        fleet.run(Duration(300));
        EXPECT_EQ(fleet.coordinator.jobStatus(JobId("a")).state, JobState::Complete);
        ASSERT_THAT(fleet.polls, SizeIs(1));
        EXPECT_EQ(fleet.polls[0].acknowledged, 1);
    }

    // Guards against TWICE violations (as review/1, but without a takeover): a run that is neither listed as running
    // nor among the ends of a full list was treated as lost.
    TEST_F(Runs, ARunWhoseEndIsNotListedYetIsNotLost)
    {
        begin();
        fleet.accept(CoordinatorHarness::job("a", 2));
        fleet.run(Duration(5));
        ASSERT_THAT(fleet.starts, SizeIs(2));
        fleet.answerStarts();
        fleet.run(Duration(100));
        fleet.answerPolls();
        fleet.run(Duration(100));
        fleet.areEndsCutOff = true;
        fleet.answerPolls({}, { { 1, CoordinatorHarness::task("a", 0), RunNumber(1), RunEnd::Done, "" } });
        fleet.areEndsCutOff = false;
        fleet.settle();
        fleet.answerPolls({}, { { 2, CoordinatorHarness::task("a", 1), RunNumber(1), RunEnd::Done, "" } });
        fleet.settle();
        EXPECT_THAT(fleet.starts, IsEmpty());
        EXPECT_EQ(fleet.coordinator.jobStatus(JobId("a")).state, JobState::Complete);
    }

    // Regression test (FleetModelTest, seed 543): a resent batch took the versions of later progress that was not part
    // of it, so that progress counted as stored.
    TEST_F(Runs, ABatchThatIsSentAgainDoesNotStandForLaterProgress)
    {
        begin();
        fleet.accept(CoordinatorHarness::job("a", 2));
        fleet.run(Duration(5));
        fleet.answerStarts();
        fleet.answerPolls({ { CoordinatorHarness::task("a", 1), RunNumber(1), "", 100, 0 } },
            { { 1, CoordinatorHarness::task("a", 0), RunNumber(1), RunEnd::Done, "" } });
        fleet.run(Duration(60));
        ASSERT_TRUE(fleet.batch);
        const auto first = *fleet.batch;
        // The second end arrives while the first one's write is in flight.
        fleet.answerPolls({}, { { 2, CoordinatorHarness::task("a", 1), RunNumber(1), RunEnd::Done, "" } });
        fleet.run(Duration(60));
        fleet.answerJournal(JournalAnswer::Unknown);
        fleet.run(Duration(300));
        ASSERT_TRUE(fleet.batch);
        EXPECT_EQ(fleet.batch->number, first.number);
        fleet.answerJournal();
        EXPECT_EQ(fleet.coordinator.jobStatus(JobId("a")).state, JobState::Running)
            << "the second end is not stored yet";
        fleet.run(Duration(300));
        fleet.answerJournal();
        EXPECT_EQ(fleet.coordinator.jobStatus(JobId("a")).state, JobState::Complete);
    }

    TEST_F(Runs, AStartWithoutAnAnswerIsStoppedBeforeTheTaskStartsElsewhere)
    {
        begin(2);
        fleet.accept(CoordinatorHarness::job("a"));
        fleet.run(Duration(5));
        ASSERT_THAT(fleet.starts, SizeIs(1));
        const auto first = fleet.starts[0];
        fleet.answerStarts(StartAnswer::Unknown);
        fleet.run(Duration(300));
        EXPECT_THAT(fleet.starts, IsEmpty());
        ASSERT_FALSE(fleet.stops.empty());
        fleet.coordinator.stopAnswered(first.worker, first.task, first.run, StopAnswer::Stopping, fleet.now);
        fleet.run(Duration(10));
        // A poll that was sent after the stop was answered and does not list the run ends it.
        for (int i = 0; i < 3; ++i) {
            fleet.answerPolls();
            fleet.run(Duration(500));
        }
        ASSERT_THAT(fleet.starts, SizeIs(1));
        EXPECT_GT(number(fleet.starts[0].run), number(first.run));
    }

    // A service of two tasks on one worker, of which one may be unavailable. Both starts got no answer.
    class UnansweredServiceStarts : public Runs {
    protected:
        UnansweredServiceStarts()
        {
            begin();
            auto spec = CoordinatorHarness::job("s", 2);
            spec.steps[0].isService = true;
            spec.steps[0].maxUnavailable = 1;
            fleet.accept(spec);
            fleet.run(Duration(5));
            for (const auto& start : fleet.starts)
                started.push_back({ start.task, start.run, "", 100, 0 });
            fleet.answerPolls();
            fleet.answerStarts(StartAnswer::Unknown);
            fleet.run(Duration(5));
        }

        std::vector<ListedRun> started;
    };

    // Guards against AVAIL violations: the starts had taken effect, and the stops that followed ended tasks at full
    // capacity while more tasks of their step were unavailable than allowed.
    TEST_F(UnansweredServiceStarts, AreNotStoppedIfTheyTookEffect)
    {
        ASSERT_THAT(started, SizeIs(2));
        EXPECT_THAT(fleet.stops, IsEmpty());
        for (int i = 0; i < 10; ++i) {
            fleet.answerPolls(started);
            fleet.run(Duration(200));
        }
        EXPECT_THAT(fleet.stops, IsEmpty());
        EXPECT_THAT(fleet.starts, IsEmpty());
        EXPECT_EQ(fleet.coordinator.workers().find(WorkerId("w0"))->runs.size(), 2u);
    }

    TEST_F(UnansweredServiceStarts, AreStoppedIfThePollAfterThemDoesNotListThem)
    {
        fleet.answerPolls({ started.at(0) });
        fleet.run(Duration(5));
        ASSERT_THAT(fleet.stops, SizeIs(1));
        EXPECT_EQ(fleet.stops[0].task, started.at(1).task);
        EXPECT_THAT(fleet.starts, IsEmpty()) << "the start may still take effect";
    }

    // Guards against AVAIL violations (fleet model, seed 305): the stop was lost, the start took effect after it, and
    // the repeated stop ended the task.
    TEST_F(UnansweredServiceStarts, AreNotStoppedAgainOnceTheyTookEffectLate)
    {
        fleet.answerPolls({ started.at(0) });
        fleet.run(Duration(5));
        ASSERT_THAT(fleet.stops, SizeIs(1));
        fleet.coordinator.stopAnswered(
            fleet.stops[0].worker, fleet.stops[0].task, fleet.stops[0].run, StopAnswer::Unknown, fleet.now);
        fleet.stops.clear();
        fleet.run(Duration(1000));
        EXPECT_THAT(fleet.stops, IsEmpty()) << "no poll has shown yet whether the task runs";
        fleet.answerPolls(started);
        fleet.run(Duration(2000));
        EXPECT_THAT(fleet.stops, IsEmpty());
        EXPECT_THAT(fleet.starts, IsEmpty());
    }

    TEST_F(UnansweredServiceStarts, AreStoppedAgainWhileNoPollListsThem)
    {
        fleet.answerPolls({ started.at(0) });
        fleet.run(Duration(1000));
        fleet.answerPolls({ started.at(0) });
        fleet.run(Duration(5));
        EXPECT_THAT(fleet.stops, SizeIs(2));
        fleet.coordinator.stopAnswered(
            fleet.stops[1].worker, fleet.stops[1].task, fleet.stops[1].run, StopAnswer::Stopping, fleet.now);
        for (int i = 0; i < 3; ++i) {
            fleet.run(Duration(500));
            fleet.answerPolls({ started.at(0) });
        }
        fleet.settle(); // stores the record of the worker, which answers again
        EXPECT_THAT(fleet.starts, SizeIs(1)) << "the start cannot take effect any more";
    }

    TEST_F(Runs, TheSameSubmissionAgainIsOneJob)
    {
        begin();
        fleet.accept(CoordinatorHarness::job("a"));
        fleet.accept(CoordinatorHarness::job("a"));
        fleet.run(Duration(50));
        EXPECT_THAT(fleet.starts, SizeIs(1));
        EXPECT_THAT(fleet.replies, SizeIs(2));
    }

    TEST_F(Runs, CancelStopsWhatRunsAndStartsNothing)
    {
        begin();
        fleet.accept(CoordinatorHarness::job("a", 20));
        fleet.run(Duration(5));
        ASSERT_THAT(fleet.starts, SizeIs(8)) << "the worker has capacity for eight tasks";
        fleet.answerStarts();
        fleet.coordinator.cancel(CallToken(99), JobId("a"), fleet.now);
        fleet.run(Duration(100));
        EXPECT_THAT(fleet.stops, SizeIs(8));
        EXPECT_THAT(fleet.starts, IsEmpty());
        fleet.answerJournal();
        EXPECT_EQ(fleet.coordinator.jobStatus(JobId("a")).state, JobState::Cancelled);
    }

    TEST_F(Runs, AWorkerThatDoesNotAnswerLosesItsTasksWhenItsLeaseHasLapsed)
    {
        begin(2);
        fleet.accept(CoordinatorHarness::job("a"));
        fleet.run(Duration(5));
        ASSERT_THAT(fleet.starts, SizeIs(1));
        const auto worker = fleet.starts[0].worker.id.value();
        fleet.answerStarts();
        const auto startedAt = fleet.now;
        while (fleet.starts.empty() && fleet.now < startedAt + Duration(10000)) {
            fleet.run(Duration(50));
            fleet.failPolls(worker);
            fleet.answerPolls();
        }
        ASSERT_THAT(fleet.starts, SizeIs(1));
        EXPECT_GE(fleet.now - startedAt, Duration(3000)) << "the lease granted with the order";
        EXPECT_LE(fleet.now - startedAt, Duration(4500));
        EXPECT_NE(fleet.starts[0].worker.id.value(), worker);
    }

    // Guards against TWICE and SHORT violations: stops without an answer were repeated every 400 ms each, up to 4,158 a
    // second. The coordinator had no time left for polls, so leases expired and tasks that were done started again.
    TEST(StopsOfSilentWorkers, AreNotRepeatedBeforeTheWorkerAnswers)
    {
        constexpr int tasks = 8;
        CoordinatorHarness fleet;
        fleet.begin({ "w1" });
        fleet.accept(CoordinatorHarness::job("a", tasks));
        fleet.run(Duration(5));
        ASSERT_EQ(fleet.starts.size(), static_cast<std::size_t>(tasks));
        fleet.answerStarts(StartAnswer::Unknown);
        const auto runFor = [&fleet](Duration time) {
            for (const auto end = fleet.now + time; fleet.now < end; fleet.run(Duration(50)))
                fleet.failPolls("w1");
        };
        runFor(Duration(2000));
        EXPECT_EQ(fleet.stops.size(), static_cast<std::size_t>(tasks)) << "one stop for each unanswered start";
        fleet.stops.clear();
        fleet.run(Duration(400));
        fleet.answerPolls({}, {}, "w1");
        fleet.run(Duration(5));
        EXPECT_EQ(fleet.stops.size(), static_cast<std::size_t>(tasks)) << "repeated once the worker answers";
    }

    // Guards against TWICE and AVAIL violations (fleet model, seeds 31, 59 and 1010): an order to an earlier
    // incarnation of a worker arrived after a restart. Its deadline, by the clock of that incarnation, extended the
    // lease beyond what the coordinator had granted, so runs were given up while they went on.
    TEST(RestartedWorkers, AnOrderToAnEarlierIncarnationMayExtendTheLease)
    {
        const CoordinatorSettings settings;
        CoordinatorHarness fleet;
        fleet.begin({ "w1" });
        fleet.accept(CoordinatorHarness::job("a"));
        fleet.run(Duration(5));
        ASSERT_EQ(fleet.starts.size(), 1u); // has no answer before the worker restarts
        fleet.starts.clear();
        fleet.addWorker("w1", 8000, 2);
        const auto restartedAt = fleet.now;
        fleet.failPolls("w1");
        fleet.run(Duration(400));
        fleet.answerPolls();
        fleet.settle();
        fleet.accept(CoordinatorHarness::job("b"));
        fleet.run(Duration(5));
        ASSERT_EQ(fleet.starts.size(), 1u);
        ASSERT_EQ(fleet.starts[0].task, CoordinatorHarness::task("b"));
        fleet.answerStarts();
        fleet.addWorker("w2");
        fleet.settle();
        // The worker does not answer any more.
        const auto isStartedAgain = [&fleet] {
            return std::any_of(fleet.starts.begin(), fleet.starts.end(),
                [](const StartOrder& start) { return start.task == CoordinatorHarness::task("b"); });
        };
        while (!isStartedAgain() && fleet.now < restartedAt + Duration(60000)) {
            fleet.failPolls("w1");
            fleet.answerPolls({}, {}, "w2");
            fleet.run(Duration(50));
            fleet.answerJournal();
        }
        ASSERT_TRUE(isStartedAgain());
        EXPECT_GE(fleet.now - restartedAt, settings.maxLease);
        EXPECT_LE(fleet.now - restartedAt, Duration(15000) + settings.maxLease * 2)
            << "orders are delayed by 15 s at most";
    }

    // A worker whose poll of the first incarnation has no answer, and which then restarts under its id.
    class RestartedWorker : public testing::Test {
    protected:
        RestartedWorker()
        {
            fleet.begin({ "w1" });
            fleet.answerPolls();
            fleet.run(Duration(5));
            unanswered = fleet.polls.at(0);
        }

        CoordinatorHarness fleet;
        PollOrder unanswered;
    };

    // Guards against TWICE violations (review/12): a poll without an answer was carried out after the restart. Its
    // acknowledgement, a number of the earlier incarnation, made the worker forget new ends, and their tasks were
    // started again. Workers refuse orders with a lower fence than they have seen.
    TEST_F(RestartedWorker, RefusesOrdersForItsEarlierIncarnation)
    {
        fleet.failPolls("w1");
        fleet.addWorker("w1", 8000, 2);
        fleet.run(Duration(400));
        ASSERT_EQ(fleet.polls.size(), 1u);
        EXPECT_GT(fleet.polls[0].fence, unanswered.fence);
        fleet.answerPolls();
        fleet.settle();
        fleet.accept(CoordinatorHarness::job("a"));
        fleet.run(Duration(5));
        ASSERT_EQ(fleet.starts.size(), 1u);
        EXPECT_GT(fleet.starts[0].fence, unanswered.fence);
        EXPECT_LT(fleet.starts[0].fence, workerFence({ 11, 2 }, 0)) << "the fences of the next term are higher";
    }

    // The same if only the answer to a poll shows the restart.
    TEST_F(RestartedWorker, RefusesOrdersForItsEarlierIncarnationOnceItsAnswerShowsTheRestart)
    {
        fleet.failPolls("w1");
        fleet.run(Duration(400));
        ASSERT_EQ(fleet.polls.size(), 1u);
        PollAnswer answer;
        answer.status = PollAnswer::Status::Answered;
        answer.startedUnixMs = 2;
        answer.clockMs = 1;
        fleet.coordinator.pollAnswered(fleet.polls[0].worker, answer, fleet.now);
        fleet.polls.clear();
        fleet.run(Duration(5));
        ASSERT_EQ(fleet.polls.size(), 1u);
        EXPECT_GT(fleet.polls[0].fence, unanswered.fence);
    }

    TEST_F(RestartedWorker, RefusesOrdersForItsEarlierIncarnationIfItWasRemovedInBetween)
    {
        fleet.coordinator.workerEntryRemoved(WorkerId("w1"), fleet.now);
        for (int i = 0; i < 120; ++i) {
            fleet.failPolls("w1");
            fleet.run(Duration(100));
        }
        ASSERT_EQ(fleet.coordinator.workers().find(WorkerId("w1")), nullptr);
        fleet.polls.clear();
        fleet.addWorker("w1", 8000, 2);
        fleet.run(Duration(5));
        ASSERT_EQ(fleet.polls.size(), 1u);
        EXPECT_GT(fleet.polls[0].fence, unanswered.fence);
    }

    // Guards against TWICE violations (fleet model, seed 1667 with timed jobs): the worker had restarted unnoticed, and
    // a run that was started and ended since was forgotten for an acknowledgement of the earlier incarnation's ends.
    TEST_F(RestartedWorker, IsNotSentAcknowledgementsBeforeItsAnswerShowsWhetherItRestarted)
    {
        const ListedEnd end { 7, CoordinatorHarness::task("x"), RunNumber(1), RunEnd::Done, "" };
        fleet.answerPolls({}, { end });
        fleet.run(Duration(100));
        ASSERT_EQ(fleet.polls.size(), 1u);
        EXPECT_EQ(fleet.polls[0].acknowledged, 7);
        EXPECT_LE(fleet.polls[0].wait, Duration(1000)) << "given up before it can take effect late";
        fleet.failPolls("w1");
        fleet.run(Duration(400));
        ASSERT_EQ(fleet.polls.size(), 1u);
        EXPECT_EQ(fleet.polls[0].acknowledged, 0);
        EXPECT_EQ(fleet.polls[0].wait, Duration(0));
        fleet.answerPolls({}, { end });
        fleet.run(Duration(100));
        ASSERT_EQ(fleet.polls.size(), 1u);
        EXPECT_EQ(fleet.polls[0].acknowledged, 7);
        fleet.answerPolls();
        fleet.run(Duration(100));
        ASSERT_EQ(fleet.polls.size(), 1u);
        EXPECT_EQ(fleet.polls[0].acknowledged, 0) << "the worker has answered the poll that acknowledged it";
    }

    TEST_F(RestartedWorker, SupersedesTheCoordinatorOnlyIfItRefusesItsPresentFence)
    {
        fleet.addWorker("w1", 8000, 2);
        PollAnswer refusal;
        refusal.status = PollAnswer::Status::StaleFence;
        fleet.coordinator.pollAnswered(unanswered.worker, refusal, fleet.now);
        EXPECT_FALSE(fleet.coordinator.isSuperseded());
        fleet.polls.clear();
        fleet.run(Duration(400));
        ASSERT_EQ(fleet.polls.size(), 1u);
        fleet.coordinator.pollAnswered(fleet.polls[0].worker, refusal, fleet.now);
        EXPECT_TRUE(fleet.coordinator.isSuperseded());
    }

} // namespace
} // namespace marigoldlink
