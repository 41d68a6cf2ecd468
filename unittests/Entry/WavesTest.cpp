// Tests that maintenance stops a service task only while enough other tasks of its step certainly run at full capacity.
#include "CoordinatorHarness.h"

#include <gmock/gmock.h>

namespace marigoldlink {
namespace {

    using testing::IsEmpty;
    using testing::SizeIs;

    class Waves : public testing::Test {
    protected:
        // A service of two tasks, one per worker, of which one may be unavailable. The instance of the first worker is
        // due for maintenance.
        Waves()
        {
            for (const char* id : { "w1", "w2" }) {
                fleet.addWorker(id);
                FleetInstance instance;
                instance.id = std::string("m-") + id;
                instance.pool = ServiceId("gates");
                instance.worker = WorkerId(id);
                instance.capacity = { 8000, 100000, 0 };
                instances.push_back(instance);
            }
            fleet.run(Duration(5));
            fleet.answerPolls();
            fleet.coordinator.finishRestore(fleet.now);
            fleet.coordinator.instancesListed(instances, fleet.now);
            fleet.settle();
            auto spec = CoordinatorHarness::job("s", 2);
            spec.steps[0].isService = true;
            spec.steps[0].maxPerWorker = 1;
            spec.steps[0].maxUnavailable = 1;
            fleet.accept(spec);
            fleet.run(Duration(5));
            for (const auto& start : fleet.starts)
                running[start.worker.id] = { start.task, start.run, "", 100, 0 };
            fleet.answerStarts();
            answerPoll("w1");
            answerPoll("w2");
            fleet.operators.waves[WaveId("1")] = CoordinatorHarness::wave("1", { "m-w1" });
        }

        void answerPoll(const std::string& worker) { fleet.answerPolls({ running.at(WorkerId(worker)) }, {}, worker); }

        void beginWave() { fleet.coordinator.setOperators(fleet.operators, fleet.now); }

        // Advances time while the given workers answer their polls.
        void pass(Duration time, const std::vector<std::string>& answering)
        {
            for (Duration passed { 0 }; passed < time; passed += Duration(50)) {
                fleet.run(Duration(50));
                for (const auto& worker : answering)
                    answerPoll(worker);
            }
        }

        CoordinatorHarness fleet;
        std::vector<FleetInstance> instances;
        std::map<WorkerId, ListedRun> running;
    };

    TEST_F(Waves, AServiceLeavesADueInstanceWhileTheOtherTaskIsAtWork)
    {
        beginWave();
        pass(Duration(400), { "w1", "w2" });
        ASSERT_THAT(fleet.maintenance, SizeIs(1));
        EXPECT_EQ(fleet.maintenance[0].instance, "m-w1");
    }

    // Guards against AVAIL violations (deployment run with seed 107): after a network partition the coordinator still
    // counted tasks on unreachable workers as running, and stopped other tasks of their steps.
    TEST_F(Waves, ATaskOnAWorkerThatDoesNotAnswerIsNotAtWork)
    {
        pass(Duration(100), { "w1", "w2" });
        fleet.run(Duration(5));
        fleet.failPolls("w2");
        beginWave();
        pass(Duration(2000), { "w1" });
        EXPECT_THAT(fleet.stops, IsEmpty());
        EXPECT_THAT(fleet.maintenance, IsEmpty());
    }

    TEST_F(Waves, StalePollDoesNotCountAsServing)
    {
        // The poll of w2 remains unanswered.
        pass(Duration(2500), { "w1" });
        beginWave();
        pass(Duration(400), { "w1" });
        EXPECT_THAT(fleet.stops, IsEmpty());
        EXPECT_THAT(fleet.maintenance, IsEmpty());
    }

    // Guards against AVAIL violations: while the maintenance call for an instance was in flight, a poll still showed
    // its task at full capacity, so the next instance of the same service was maintained as well.
    TEST_F(Waves, ServiceTaskIsNotServingWhileItsMaintenanceCallIsInFlight)
    {
        fleet.operators.waves[WaveId("1")].instances = { "m-w1", "m-w2" };
        fleet.operators.waves[WaveId("1")].maxConcurrent = 2;
        beginWave();
        pass(Duration(1200), { "w1", "w2" });
        EXPECT_THAT(fleet.maintenance, SizeIs(1));
        EXPECT_THAT(fleet.stops, IsEmpty());
    }

    TEST_F(Waves, ServiceTaskCountsAsServingAfterMaintenanceWasRefused)
    {
        beginWave();
        pass(Duration(400), { "w1", "w2" });
        ASSERT_THAT(fleet.maintenance, SizeIs(1));
        fleet.coordinator.instanceAnswered("m-w1", InstanceAnswer::Refused, fleet.now);
        pass(Duration(1000), { "w1", "w2" });
        EXPECT_THAT(fleet.maintenance, SizeIs(2)) << "the maintenance is retried";
    }

    // Guards against MIXED violations: an instance that one list left out counted as finished for good, so its wave was
    // complete without its maintenance.
    TEST_F(Waves, AnInstanceThatOneListLeavesOutIsMaintained)
    {
        fleet.coordinator.instancesListed({ instances[1] }, fleet.now);
        beginWave();
        pass(Duration(400), { "w1", "w2" });
        ASSERT_THAT(fleet.maintenance, IsEmpty());
        fleet.coordinator.instancesListed(instances, fleet.now);
        pass(Duration(400), { "w1", "w2" });
        ASSERT_THAT(fleet.maintenance, SizeIs(1));
        EXPECT_EQ(fleet.maintenance[0].instance, "m-w1");
    }

    // Guards against LIMIT violations: an instance under maintenance that one list left out no longer counted as down.
    TEST_F(Waves, AnInstanceUnderMaintenanceThatOneListLeavesOutKeepsItsPlace)
    {
        fleet.operators.waves[WaveId("1")].instances = { "m-w1", "m-w3" };
        fleet.operators.waves[WaveId("1")].maxConcurrent = 1;
        FleetInstance idle;
        idle.id = "m-w3";
        idle.pool = ServiceId("gates");
        instances.push_back(idle);
        fleet.coordinator.instancesListed(instances, fleet.now);
        beginWave();
        pass(Duration(400), { "w1", "w2" });
        ASSERT_THAT(fleet.maintenance, SizeIs(1));
        const auto first = fleet.maintenance[0].instance;
        fleet.coordinator.instanceAnswered(first, InstanceAnswer::Done, fleet.now);
        std::erase_if(instances, [&first](const FleetInstance& instance) { return instance.id == first; });
        fleet.coordinator.instancesListed(instances, fleet.now);
        pass(Duration(400), { "w1", "w2" });
        EXPECT_THAT(fleet.maintenance, SizeIs(1)) << "its maintenance takes 2 s";
    }

    // Guards against MIXED violations (review/5): maintenance for one wave ticked its instance off in all waves, so a
    // wave was complete although the instance was never maintained for it.
    TEST_F(Waves, AnInstanceInTwoWavesIsMaintainedForEach)
    {
        fleet.operators.waves[WaveId("2")] = CoordinatorHarness::wave("2", { "m-w1" });
        beginWave();
        pass(Duration(400), { "w1", "w2" });
        ASSERT_THAT(fleet.maintenance, SizeIs(1));
        fleet.coordinator.instanceAnswered("m-w1", InstanceAnswer::Done, fleet.now);
        for (int i = 0; i < 60; ++i) {
            fleet.coordinator.instancesListed(instances, fleet.now);
            pass(Duration(50), { "w1", "w2" });
        }
        ASSERT_THAT(fleet.maintenance, SizeIs(2));
        EXPECT_NE(fleet.maintenance[0].wave, fleet.maintenance[1].wave);
    }

    // The repetition of a call without an answer must name the wave of that call, or the wave would be maintained twice
    // and the other one not at all.
    TEST_F(Waves, ACallWithoutAnAnswerIsRepeatedForItsOwnWave)
    {
        fleet.operators.waves.clear();
        fleet.operators.waves[WaveId("5")] = CoordinatorHarness::wave("5", { "m-w1" });
        beginWave();
        pass(Duration(400), { "w1", "w2" });
        ASSERT_THAT(fleet.maintenance, SizeIs(1));
        fleet.operators.waves[WaveId("4")] = CoordinatorHarness::wave("4", { "m-w1" });
        beginWave();
        fleet.coordinator.instanceAnswered("m-w1", InstanceAnswer::Unknown, fleet.now);
        pass(Duration(800), { "w1", "w2" });
        ASSERT_THAT(fleet.maintenance, SizeIs(2));
        EXPECT_EQ(fleet.maintenance[1].wave, WaveId("5"));
    }

    // A service of six tasks, of which one may be unavailable, on two workers with room for four each.
    class WavesInAFullPool : public testing::Test {
    protected:
        WavesInAFullPool()
        {
            for (const char* id : { "w1", "w2" })
                addInstance(id);
            fleet.run(Duration(5));
            fleet.answerPolls();
            fleet.coordinator.finishRestore(fleet.now);
            fleet.settle();
            fleet.accept(service("s", 6));
            pass(Duration(1000));
        }

        static JobSpec service(const std::string& id, int tasks)
        {
            auto spec = CoordinatorHarness::job(id, tasks);
            spec.steps[0].isService = true;
            spec.steps[0].maxUnavailable = 1;
            return spec;
        }

        void addInstance(const std::string& worker)
        {
            fleet.addWorker(worker, 4000);
            FleetInstance instance;
            instance.id = "m-" + worker;
            instance.pool = ServiceId("gates");
            instance.worker = WorkerId(worker);
            instance.capacity = { 4000, 100000, 0 };
            instances.push_back(instance);
            fleet.coordinator.instancesListed(instances, fleet.now);
        }

        void beginWave(std::vector<std::string> listed)
        {
            fleet.operators.waves[WaveId("1")] = CoordinatorHarness::wave("1", std::move(listed));
            fleet.coordinator.setOperators(fleet.operators, fleet.now);
        }

        // Advances time while the workers carry out all orders. Maintenance calls remain without an answer.
        void pass(Duration time)
        {
            for (Duration passed { 0 }; passed < time; passed += Duration(50)) {
                fleet.run(Duration(50));
                fleet.answerJournal();
                for (const auto& start : fleet.starts)
                    running[start.worker.id][start.task] = { start.task, start.run, "", 100, 0 };
                fleet.answerStarts();
                for (const auto& stop : std::exchange(fleet.stops, {})) {
                    ++stopped;
                    if (running[stop.worker.id].erase(stop.task)) {
                        auto& ended = ends[stop.worker.id];
                        ended.push_back(
                            { static_cast<std::int64_t>(ended.size()) + 1, stop.task, stop.run, RunEnd::Stopped, "" });
                    }
                    fleet.coordinator.stopAnswered(stop.worker, stop.task, stop.run, StopAnswer::Stopping, fleet.now);
                }
                for (const auto& instance : instances) {
                    std::vector<ListedRun> listed;
                    for (const auto& [task, run] : running[instance.worker])
                        listed.push_back(run);
                    fleet.answerPolls(listed, ends[instance.worker], instance.worker.value());
                }
            }
        }

        std::size_t atWork() const
        {
            std::size_t count = 0;
            for (const auto& [worker, runs] : running)
                count += runs.size();
            return count;
        }

        CoordinatorHarness fleet;
        std::vector<FleetInstance> instances;
        std::map<WorkerId, std::map<TaskKey, ListedRun>> running;
        std::map<WorkerId, std::vector<ListedEnd>> ends;
        int stopped { 0 };
    };

    // Guards against LOST violations (review/13): a task was stopped for a wave although no other instance had room for
    // it. It could not return to its own instance, which was reserved, and the maintenance waited for it.
    TEST_F(WavesInAFullPool, StopNoTaskThatCanRunNowhereElse)
    {
        ASSERT_EQ(atWork(), 6u);
        beginWave({ "m-w1", "m-w2" });
        pass(Duration(10000));
        EXPECT_EQ(atWork(), 6u);
        EXPECT_EQ(stopped, 0) << "neither instance can be left by enough tasks";
        EXPECT_THAT(fleet.maintenance, IsEmpty());
    }

    TEST_F(WavesInAFullPool, BeginOnceAnInstanceHasRoomForTheTasks)
    {
        beginWave({ "m-w1", "m-w2" });
        pass(Duration(2000));
        addInstance("w3");
        pass(Duration(5000));
        ASSERT_THAT(fleet.maintenance, SizeIs(1));
        EXPECT_GE(atWork(), 5u) << "one may be unavailable";
    }

    // Guards against LOST violations: an instance stayed reserved, and its room unused, although it could not be left.
    TEST_F(WavesInAFullPool, LeaveTheRoomOfAnInstanceThatCannotBeLeftToOthers)
    {
        beginWave({ "m-w1", "m-w2" });
        pass(Duration(2000));
        fleet.accept(service("t", 2));
        pass(Duration(2000));
        EXPECT_EQ(atWork(), 8u) << "each instance has room for one more";
    }

    // A coordinator that takes over a worker with one run of a service; the wave asks for the worker's instance.
    class WavesAfterATakeover : public testing::Test {
    protected:
        WavesAfterATakeover()
            : fleet({ 20, 2 })
        {
            FleetInstance instance;
            instance.id = "m-w1";
            instance.pool = ServiceId("gates");
            instance.worker = WorkerId("w1");
            instance.capacity = { 8000, 100000, 0 };
            fleet.operators.waves[WaveId("1")] = CoordinatorHarness::wave("1", { instance.id });
            fleet.coordinator.setOperators(fleet.operators, fleet.now);
            auto spec = CoordinatorHarness::job("s", 2);
            spec.steps[0].isService = true;
            spec.steps[0].maxUnavailable = 1;
            fleet.coordinator.restoreJob(spec, {}, fleet.now);
            fleet.coordinator.instancesListed({ instance }, fleet.now);
            instances = { instance };
        }

        // Time from now to the maintenance call, while no poll of the worker succeeds.
        Duration timeToMaintenance()
        {
            const auto since = fleet.now;
            fleet.run(Duration(5));
            fleet.failPolls("w1");
            fleet.coordinator.finishRestore(fleet.now);
            while (fleet.maintenance.empty() && fleet.now < since + Duration(15000)) {
                fleet.run(Duration(50));
                fleet.failPolls("w1");
            }
            return fleet.now - since;
        }

        CoordinatorHarness fleet;
        std::vector<FleetInstance> instances;
    };

    // Guards against AVAIL violations: an instance whose worker had not answered the new coordinator counted as idle,
    // so it was maintained first, and the tasks of services on it ended.
    TEST_F(WavesAfterATakeover, AWorkerThatMayHoldRunsOfAPredecessorIsNotIdle)
    {
        fleet.coordinator.restoreWorker(fleet.addWorker("w1"), std::nullopt, fleet.now);
        EXPECT_GE(timeToMaintenance(), CoordinatorHarness::leasesExpireAfter);
        EXPECT_THAT(fleet.maintenance, SizeIs(1)) << "nothing can run there any more";
    }

    TEST_F(WavesAfterATakeover, AWorkerOnWhichNothingWasStartedIsIdle)
    {
        fleet.addWorker("w1"); // registered, but without a record
        EXPECT_LT(timeToMaintenance(), CoordinatorHarness::leasesExpireAfter);
    }

    class AcceptedMaintenance : public Waves {
    protected:
        // The maintenance call for the first worker's instance is accepted.
        AcceptedMaintenance()
        {
            beginWave();
            pass(Duration(400), { "w1", "w2" });
            fleet.addWorker("w3");
            fleet.run(Duration(5));
            fleet.answerPolls({}, {}, "w3");
            fleet.settle(); // stores the wave's record
            fleet.settle(); // stores the worker's record
            fleet.starts.clear();
            fleet.coordinator.instanceAnswered("m-w1", InstanceAnswer::Done, fleet.now);
            fleet.run(Duration(1));
            // A list requested before the call was accepted does not show its effect.
            fleet.coordinator.instancesListed(instances, fleet.now);
            fleet.run(Duration(20));
            EXPECT_THAT(fleet.starts, IsEmpty());
        }
    };

    TEST_F(AcceptedMaintenance, EndsWhatRanThereOnceTheListShowsIt)
    {
        instances[0].state = InstanceState::Maintenance;
        fleet.coordinator.instancesListed(instances, fleet.now);
        fleet.run(Duration(5));
        ASSERT_THAT(fleet.starts, SizeIs(1));
        EXPECT_EQ(fleet.starts[0].worker.id, WorkerId("w3"));
    }

    // Guards against TWICE violations (random run with seed 670273343623): the hosting platform also answers "done" if
    // a predecessor had already had the instance maintained. The worker that came back with it then keeps running.
    TEST_F(AcceptedMaintenance, LeavesTheWorkerOfAnInstanceThatWasMaintainedBefore)
    {
        fleet.coordinator.instancesListed(instances, fleet.now);
        pass(Duration(300), { "w1", "w2" });
        EXPECT_THAT(fleet.starts, IsEmpty());
        EXPECT_EQ(fleet.coordinator.workers().find(WorkerId("w1"))->runs.size(), 1u);
    }

} // namespace
} // namespace marigoldlink
