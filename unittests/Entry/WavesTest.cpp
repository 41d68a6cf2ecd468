// Maintenance takes a service's task only while the others are surely at work.
#include "CoordinatorHarness.h"

#include <gmock/gmock.h>

namespace marigoldlink {
namespace {

    using testing::IsEmpty;
    using testing::SizeIs;

    class Waves : public testing::Test {
    protected:
        // A service of two tasks, one a worker, that may miss one; the instance of the first worker is due.
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
            fleet.answerLooks();
            fleet.coordinator.restored(fleet.now);
            fleet.coordinator.instancesListed(instances, fleet.now);
            fleet.settle();
            auto spec = CoordinatorHarness::job("s", 2);
            spec.steps[0].isService = true;
            spec.steps[0].mostPerWorker = 1;
            spec.steps[0].mayMiss = 1;
            fleet.accept(spec);
            fleet.run(Duration(5));
            for (const auto& start : fleet.starts)
                running[start.worker.id] = { start.task, start.run, "", 100, 0 };
            fleet.answerStarts();
            answerLook("w1");
            answerLook("w2");
            MaintenanceWave wave;
            wave.id = WaveId("1");
            wave.number = 1;
            wave.instances = { "m-w1" };
            fleet.operators.waves[wave.id] = wave;
        }

        void answerLook(const std::string& worker) { fleet.answerLooks({ running.at(WorkerId(worker)) }, {}, worker); }

        void beginWave() { fleet.coordinator.setOperators(fleet.operators, fleet.now); }

        // Lets the time pass while the workers named answer their looks.
        void pass(Duration time, const std::vector<std::string>& answering)
        {
            for (Duration passed { 0 }; passed < time; passed += Duration(50)) {
                fleet.run(Duration(50));
                for (const auto& worker : answering)
                    answerLook(worker);
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

    // Seen on fw-sched, trouble-2 with seed 107 (AVAIL): after a cut the coordinator still held the tasks on workers
    // that it did not reach for running, and stopped others of their steps.
    TEST_F(Waves, ATaskOnAWorkerThatDoesNotAnswerIsNotAtWork)
    {
        pass(Duration(100), { "w1", "w2" });
        fleet.run(Duration(5));
        fleet.failLooks("w2");
        beginWave();
        pass(Duration(2000), { "w1" });
        EXPECT_THAT(fleet.stops, IsEmpty());
        EXPECT_THAT(fleet.maintenance, IsEmpty());
    }

    TEST_F(Waves, AnOldLookDoesNotTellThatATaskIsAtWork)
    {
        // The look at w2 is under way and has no answer for long.
        pass(Duration(2500), { "w1" });
        beginWave();
        pass(Duration(400), { "w1" });
        EXPECT_THAT(fleet.stops, IsEmpty());
        EXPECT_THAT(fleet.maintenance, IsEmpty());
    }

    // Seen on the large deployment, scale-1 and trouble-3 (AVAIL): while the call for an instance was under way, a look
    // still showed its task at work, and so the next instance of the same service was taken as well.
    TEST_F(Waves, ATaskWhoseInstanceWasOrderedAwayIsNotAtWorkWhateverALookShows)
    {
        fleet.operators.waves[WaveId("1")].instances = { "m-w1", "m-w2" };
        fleet.operators.waves[WaveId("1")].mostAtOnce = 2;
        beginWave();
        pass(Duration(1200), { "w1", "w2" });
        EXPECT_THAT(fleet.maintenance, SizeIs(1));
        EXPECT_THAT(fleet.stops, IsEmpty());
    }

    TEST_F(Waves, ATaskIsAtWorkAgainWhenItsInstanceWasNotTaken)
    {
        beginWave();
        pass(Duration(400), { "w1", "w2" });
        ASSERT_THAT(fleet.maintenance, SizeIs(1));
        fleet.coordinator.instanceAnswered("m-w1", InstanceAnswer::Refused, fleet.now);
        pass(Duration(1000), { "w1", "w2" });
        EXPECT_THAT(fleet.maintenance, SizeIs(2)) << "it is tried again";
    }

    class AcceptedMaintenance : public Waves {
    protected:
        // The call for the first worker's instance is accepted.
        AcceptedMaintenance()
        {
            beginWave();
            pass(Duration(400), { "w1", "w2" });
            fleet.addWorker("w3");
            fleet.run(Duration(5));
            fleet.answerLooks({}, {}, "w3");
            fleet.settle(); // the wave's record
            fleet.settle(); // the worker's
            fleet.starts.clear();
            fleet.coordinator.instanceAnswered("m-w1", InstanceAnswer::Done, fleet.now);
            fleet.run(Duration(1));
            // A list that was asked for before the call was accepted says nothing of it.
            fleet.coordinator.instancesListed(instances, fleet.now);
            fleet.run(Duration(20));
            EXPECT_THAT(fleet.starts, IsEmpty());
        }
    };

    TEST_F(AcceptedMaintenance, EndsWhatRanThereOnceTheListShowsIt)
    {
        instances[0].state = InstanceState::Upkeep;
        fleet.coordinator.instancesListed(instances, fleet.now);
        fleet.run(Duration(5));
        ASSERT_THAT(fleet.starts, SizeIs(1));
        EXPECT_EQ(fleet.starts[0].worker.id, WorkerId("w3"));
    }

    // Seen in a hunt on celazime-prod, trouble-2 with seed 670273343623 (TWICE): the platform answers "done" as well
    // when an earlier coordinator had the instance maintained, and the worker that came back with it goes on.
    TEST_F(AcceptedMaintenance, LeavesTheWorkerOfAnInstanceThatWasMaintainedBefore)
    {
        fleet.coordinator.instancesListed(instances, fleet.now);
        pass(Duration(300), { "w1", "w2" });
        EXPECT_THAT(fleet.starts, IsEmpty());
        EXPECT_EQ(fleet.coordinator.workers().find(WorkerId("w1"))->runs.size(), 1u);
    }

} // namespace
} // namespace marigoldlink
