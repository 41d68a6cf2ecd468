// A coordinator whose pools together request more than there is. The loads: all queues at five times their mean in
// turn, one pool that holds nearly all instances, demand that alternates each second, services, and a calm day.
#include "ContentionModel.h"

#include <gmock/gmock.h>

namespace marigoldlink {
namespace {

    using testing::Each;
    using testing::Gt;
    using testing::IsEmpty;
    using testing::Not;

    // Load: pool-0 holds 40 of 44 instances and has a little more work than these can do; queue-1 asks for more than
    // the rest of the fleet. A service keeps the instances of pool-1 from being idle before.
    ContentionModel::Load unevenLoad()
    {
        ContentionModel::Load load;
        load.queues = { { 75, 1, 8, Duration(800), 6200, 40 }, { 150, 1, 8, Duration(800), 6200, 4, 4 } };
        load.queues[1].startsAfter = Duration(1500); // when pool-0 is busy
        load.burstFactor = load.lullFactor = 1;
        load.time = Duration(8000);
        return load;
    }

    // Load: a quarter of the first customer's fleet; each queue in turn has five times its mean for 4 s.
    ContentionModel::Load burstsInTurn(double factor)
    {
        ContentionModel::Load load;
        load.queues = { { 6 * factor, 2, 8, Duration(800), 6200, 15, 6, 1 },
            { 5 * factor, 1, 8, Duration(800), 6200, 17, 6, 1 },
            { 1.05 * factor, 2, 8, Duration(1700), 13000, 19, 6, 1 },
            { 0.95 * factor, 2, 8, Duration(1700), 13000, 21, 6, 1 } };
        load.spareInstances = 14;
        load.time = Duration(32000);
        return load;
    }

    // Plays the uneven load until an instance is leaving its pool, and returns that instance.
    std::string leavingInstance(ContentionModel& model)
    {
        model.play(Duration(0));
        for (int i = 0; i < 3000 && model.leavingInstances().empty(); ++i)
            model.run(Duration(1));
        return model.leavingInstances().empty() ? std::string() : model.leavingInstances().front();
    }

    ContentionModel::Load shortUnevenLoad()
    {
        auto load = unevenLoad();
        load.time = Duration(2500);
        return load;
    }

    // Guards against a busy pool that keeps its instances: on the day of capacity shortage a pool kept 287 of 304.
    TEST(Contention, APoolThatHoldsNearlyAllInstancesGivesBusyOnes)
    {
        ContentionModel model(unevenLoad());
        model.play(Duration(0));
        EXPECT_GE(model.instancesOf(ContentionModel::pool(1)), 12);
        EXPECT_GT(model.contendedMoves, 5);
        EXPECT_EQ(model.runsEndedByMoves, 0);
    }

    // Guards against lost runs, services below their limit and instances that go back and forth while each queue in
    // turn asks for five times its mean.
    TEST(Contention, BurstsInTurnEndNoRunsAndTakeNoInstanceBack)
    {
        ContentionModel model(burstsInTurn(3));
        model.play();
        EXPECT_GT(model.contendedMoves, 10);
        EXPECT_EQ(model.runsEndedByMoves, 0);
        EXPECT_EQ(model.returns(Duration(5000)), 0);
        EXPECT_LE(model.unavailableServiceTasks, 0);
        for (const auto& [queue, served] : model.served)
            EXPECT_GT(served.onTime, 0) << "queue " << queue;
    }

    // Guards against needless costs: a fleet that covers its requests must be sized exactly as without contention.
    TEST(Contention, CalmLoadGivesTheSameMoves)
    {
        auto load = burstsInTurn(0.4);
        ContentionModel with(load);
        with.play();
        load.hasContention = false;
        ContentionModel without(load);
        without.play();
        ASSERT_THAT(with.moves, Not(IsEmpty()));
        ASSERT_EQ(with.moves.size(), without.moves.size());
        for (std::size_t i = 0; i < with.moves.size(); ++i) {
            EXPECT_EQ(with.moves[i].instance, without.moves[i].instance);
            EXPECT_EQ(with.moves[i].to, without.moves[i].to);
            EXPECT_EQ(with.moves[i].at, without.moves[i].at);
        }
    }

    // Guards against oscillation: bursts that are shorter than a move must not take the instances back and forth.
    TEST(Contention, AlternatingDemandReturnsNoInstanceWithinFiveSeconds)
    {
        auto load = burstsInTurn(2);
        load.burstTime = Duration(1500);
        load.time = Duration(20000);
        ContentionModel model(load);
        model.play(Duration(0));
        const auto contended = std::count_if(
            model.moves.begin(), model.moves.end(), [](const ContentionModel::Move& move) { return move.isContended; });
        EXPECT_GT(contended, 50);
        // Each of 86 instances visits each of 4 pools at most once in 5 s.
        EXPECT_LE(contended, 86 * 4 * 4);
        EXPECT_EQ(model.returns(Duration(5000)), 0);
    }

    // Guards against the loss of service tasks: each instance of the busy pool runs one, so none may leave.
    TEST(Contention, InstancesWithServiceTasksStay)
    {
        auto load = unevenLoad();
        load.queues[0].serviceTasks = 80; // two on each instance
        load.queues[0].maxUnavailable = 1;
        ContentionModel model(load);
        model.play(Duration(0));
        EXPECT_EQ(model.contendedMoves, 0);
        EXPECT_EQ(model.mostLeaving, 0);
        EXPECT_LE(model.unavailableServiceTasks, 0);
    }

    // Guards against a move and a maintenance of the same instance at a time.
    TEST(Contention, AnInstanceThatIsReservedForAWaveIsNotMoved)
    {
        ContentionModel model(shortUnevenLoad());
        const auto instance = leavingInstance(model);
        ASSERT_FALSE(instance.empty());
        model.addWave(instance);
        model.run(Duration(300));
        EXPECT_THAT(model.leavingInstances(), Each(testing::Ne(instance)));
        for (const auto& move : model.moves)
            EXPECT_NE(move.instance, instance);
    }

    // Guards against an instance that stays without work after its move was refused, and against repeated calls.
    TEST(Contention, AnInstanceWhoseMoveIsRefusedIsUsedAgain)
    {
        ContentionModel model(unevenLoad());
        model.answerMove = [](const MoveOrder&) { return InstanceAnswer::Busy; };
        model.play(Duration(0));
        ASSERT_THAT(model.moves, Not(IsEmpty()));
        const auto& first = model.moves.front();
        EXPECT_EQ(model.instancesOf(ContentionModel::pool(0)), 40);
        model.run(Duration(1));
        EXPECT_GT(model.startsOn(first.instance, first.at), 0);
    }

    // Guards against a call each 100 ms for an instance whose move is refused. Here pool-0 has no work.
    TEST(Contention, ARefusedMoveIsNotRepeatedAtOnce)
    {
        auto load = unevenLoad();
        load.queues[0].jobsPerSecond = 0;
        load.queues[1].jobsPerSecond = 300;
        ContentionModel model(load);
        model.answerMove = [](const MoveOrder&) { return InstanceAnswer::Busy; };
        model.play(Duration(0));
        ASSERT_THAT(model.moves, Not(IsEmpty()));
        std::map<std::string, TimePoint> last;
        for (const auto& move : model.moves) {
            if (last.contains(move.instance)) {
                EXPECT_GE(move.at - last[move.instance], Duration(1000));
            }
            last[move.instance] = move.at;
        }
    }

    // Guards against starts on an instance whose move may still take effect, and against an instance that is given up:
    // once the list shows that it did not move, the move is ordered again.
    TEST(Contention, AnInstanceWhoseMoveHasNoAnswerGetsNoTasksUntilTheListShowsIt)
    {
        ContentionModel model(unevenLoad());
        std::set<std::string> ordered;
        model.answerMove = [&ordered](const MoveOrder& order) {
            return ordered.insert(order.instance).second ? InstanceAnswer::Unknown : InstanceAnswer::Done;
        };
        model.play(Duration(0));
        ASSERT_THAT(model.moves, Not(IsEmpty()));
        const auto& first = model.moves.front();
        EXPECT_EQ(model.startsOn(first.instance, first.at, first.at + Duration(2900)), 0);
        const auto again = std::find_if(model.moves.begin() + 1, model.moves.end(),
            [&first](const ContentionModel::Move& move) { return move.instance == first.instance; });
        ASSERT_NE(again, model.moves.end());
        EXPECT_GE(again->at - first.at, Duration(3000));
        EXPECT_EQ(model.runsEndedByMoves, 0);
    }

    // Guards against instances that stay without work after a change of the coordinator, and against runs that a
    // successor does not know of when it moves instances.
    TEST(Contention, ASuccessorBeginsWithoutLeavingInstances)
    {
        ContentionModel model(shortUnevenLoad());
        const auto instance = leavingInstance(model);
        ASSERT_FALSE(instance.empty());
        const auto since = model.now();
        model.takeOver();
        EXPECT_THAT(model.leavingInstances(), IsEmpty());
        model.run(Duration(4000));
        EXPECT_GT(model.startsOn(instance, since), 0);
        EXPECT_EQ(model.runsEndedByMoves, 0);
    }

    // Guards against the move of an instance whose runs are not known any more.
    TEST(Contention, AnInstanceWhoseWorkerGoesSilentIsNotMoved)
    {
        ContentionModel model(shortUnevenLoad());
        const auto instance = leavingInstance(model);
        ASSERT_FALSE(instance.empty());
        model.silence(instance);
        for (int i = 0; i < 1500 && model.isAnswering(instance); ++i)
            model.run(Duration(1));
        model.run(Duration(150));
        EXPECT_THAT(model.leavingInstances(), Each(testing::Ne(instance)));
        model.run(Duration(5000)); // its lease expires, and its runs are lost
        for (const auto& move : model.moves)
            EXPECT_NE(move.instance, instance);
        EXPECT_THAT(model.leavingInstances(), Each(testing::Ne(instance)));
    }

    // Guards against instances that wait for a move which a coordinator without a valid lease cannot order.
    TEST(Contention, WithoutAValidLeaseNoInstanceLeaves)
    {
        ContentionModel model(shortUnevenLoad());
        ASSERT_FALSE(leavingInstance(model).empty());
        model.coordinator().setLeaseValidUntil(model.now());
        model.run(Duration(500));
        EXPECT_THAT(model.leavingInstances(), IsEmpty());
    }

} // namespace
} // namespace marigoldlink
