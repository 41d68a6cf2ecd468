// Tests of moves of instances between pools.
#include "CoordinatorHarness.h"

#include <gmock/gmock.h>

namespace marigoldlink {
namespace {

    using testing::IsEmpty;
    using testing::SizeIs;

    // One idle instance in a pool, which the coordinator moves to the spare pool.
    class Moves : public testing::Test {
    protected:
        Moves()
        {
            const ServiceId spare("office");
            fleet.operators.config.pools.emplace(spare, WorkerPool { spare, false, true });
            fleet.coordinator.setOperators(fleet.operators, fleet.now);
            fleet.begin({ "w1" });
            instance.id = "m-1";
            instance.pool = ServiceId("gates");
            instance.worker = WorkerId("w1");
            instance.capacity = { 8000, 100000, 0 };
            fleet.coordinator.instancesListed({ instance }, fleet.now);
            for (int i = 0; i < 40 && fleet.moves.empty(); ++i) {
                fleet.run(Duration(50));
                fleet.answerPolls();
            }
        }

        CoordinatorHarness fleet;
        FleetInstance instance;
    };

    // Guards against lost runs (142 in one day on a large deployment): tasks started between the order to move an
    // instance and the list that shows the move end with the worker.
    TEST_F(Moves, NothingIsStartedOnAnInstanceThatMoves)
    {
        ASSERT_THAT(fleet.moves, SizeIs(1));
        fleet.accept(CoordinatorHarness::job("a"));
        fleet.run(Duration(100));
        fleet.answerPolls();
        EXPECT_THAT(fleet.starts, IsEmpty()) << "the order is in flight";
        fleet.coordinator.instanceAnswered("m-1", InstanceAnswer::Done, fleet.now);
        fleet.run(Duration(100));
        EXPECT_THAT(fleet.starts, IsEmpty()) << "the list has not shown it yet";
    }

    TEST_F(Moves, AnInstanceWhoseMoveWasRefusedIsUsedAgain)
    {
        ASSERT_THAT(fleet.moves, SizeIs(1));
        fleet.accept(CoordinatorHarness::job("a"));
        fleet.coordinator.instanceAnswered("m-1", InstanceAnswer::Busy, fleet.now);
        fleet.run(Duration(5));
        EXPECT_THAT(fleet.starts, SizeIs(1));
    }

    // The answer to a move that was over before was taken for one to a maintenance call, so the instance counted as
    // under maintenance, and before waves were named in answers as maintained for each wave.
    TEST_F(Moves, ALateAnswerToAMoveIsNotTakenForMaintenance)
    {
        ASSERT_THAT(fleet.moves, SizeIs(1));
        fleet.operators.config.pools.erase(ServiceId("office")); // no further moves
        fleet.coordinator.setOperators(fleet.operators, fleet.now);
        for (int i = 0; i < 70; ++i) {
            fleet.run(Duration(50));
            fleet.answerPolls();
            fleet.coordinator.instancesListed({ instance }, fleet.now);
        }
        fleet.operators.waves[WaveId("1")] = CoordinatorHarness::wave("1", { instance.id });
        fleet.coordinator.setOperators(fleet.operators, fleet.now);
        fleet.coordinator.instanceAnswered("m-1", InstanceAnswer::Done, fleet.now);
        for (int i = 0; i < 10; ++i) {
            fleet.run(Duration(50));
            fleet.answerPolls();
            fleet.coordinator.instancesListed({ instance }, fleet.now);
        }
        EXPECT_THAT(fleet.maintenance, SizeIs(1)) << "the instance is not under maintenance";
    }

    // Guards against excessive list requests when hundreds of instances change their pool within seconds: each accepted
    // move triggered a full read of the list, 13,900 pages in one day on a large deployment.
    TEST(MovesOfManyInstances, TheListIsReadAFewTimesASecond)
    {
        CoordinatorHarness fleet;
        const ServiceId spare("office");
        fleet.operators.config.pools.emplace(spare, WorkerPool { spare, false, true });
        fleet.coordinator.setOperators(fleet.operators, fleet.now);
        std::vector<std::string> workers;
        std::vector<FleetInstance> instances;
        for (int i = 0; i < 100; ++i) {
            workers.push_back("w" + std::to_string(i));
            FleetInstance instance;
            instance.id = "m-" + std::to_string(i);
            instance.pool = ServiceId("gates");
            instance.worker = WorkerId(workers.back());
            instance.capacity = { 8000, 100000, 0 };
            instances.push_back(instance);
        }
        fleet.begin(workers);
        for (int i = 0; i < 4; ++i)
            fleet.settle(); // a write holds only part of the workers' records
        fleet.coordinator.instancesListed(instances, fleet.now);
        std::size_t accepted = 0;
        const auto passUntil = [&](TimePoint end) {
            while (fleet.now < end) {
                const int listsBefore = fleet.lists;
                fleet.run(Duration(10));
                fleet.answerPolls();
                if (fleet.lists > listsBefore)
                    fleet.coordinator.instancesListed(instances, fleet.now);
                if (accepted < fleet.moves.size())
                    fleet.coordinator.instanceAnswered(
                        fleet.moves[accepted++].instance, InstanceAnswer::Done, fleet.now);
            }
        };
        while (fleet.moves.empty())
            passUntil(fleet.now + Duration(10));
        fleet.lists = 0;
        passUntil(fleet.now + Duration(1000));
        EXPECT_GE(accepted, 90u);
        EXPECT_LE(fleet.lists, 10);
        EXPECT_GE(fleet.lists, 2);
    }

} // namespace
} // namespace marigoldlink
