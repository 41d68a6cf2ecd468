// Moves between pools under different loads: alternating peaks, single large jobs, idle periods, and labelled or mixed
// instances.
#include "marigoldlink/Coordination/PoolSizer.h"
#include "Choices.h"

#include <cmath>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace marigoldlink::testing {

namespace {

    const ServiceId s_spare("spare");
    const ServiceId s_gates("gates");
    const ServiceId s_bookings("bookings");
    constexpr std::int64_t s_milliCores = 64000;
    constexpr std::int64_t s_memory = 131072;

    SizedInstance instance(int number, const ServiceId& pool, bool isIdle = true)
    {
        return { "i" + std::to_string(number), pool, { s_milliCores, s_memory, 0 }, {}, isIdle, pool != s_spare,
            TimePoint(), {} };
    }

    PoolDemand demand(double milliCores, int minInstances)
    {
        return { { { static_cast<std::int64_t>(milliCores), 0, 0 }, minInstances }, {} };
    }

    const TimePoint s_now { Duration(100000) };

} // namespace

// Two pools peak alternately. The pool without a peak must keep the minimum that its services need.
TEST(PoolSizer, PeakTakesSpareInstancesFirstAndThenIdleOnesOfOtherPools)
{
    std::vector<SizedInstance> instances;
    for (int i = 0; i < 4; ++i)
        instances.push_back(instance(i, s_spare));
    for (int i = 4; i < 10; ++i)
        instances.push_back(instance(i, s_bookings));
    for (int i = 10; i < 14; ++i)
        instances.push_back(instance(i, s_gates, false));
    const PoolSizer sizer({});
    const std::map<ServiceId, PoolDemand> demands { { s_gates, demand(10 * s_milliCores / 1.15, 1) },
        { s_bookings, demand(s_milliCores / 2, 3) } };
    const auto moves = sizer.plan(demands, instances, s_spare, s_now);
    int fromSpare = 0;
    int fromBookings = 0;
    for (const auto& move : moves) {
        const auto number = std::stoi(move.instance.substr(1));
        if (move.pool != s_gates)
            continue;
        fromSpare += number < 4;
        fromBookings += number >= 4;
    }
    EXPECT_EQ(fromSpare, 4);
    EXPECT_EQ(fromBookings, 2);
}

TEST(PoolSizer, LullSendsIdleInstancesToTheSparePool)
{
    std::vector<SizedInstance> instances;
    for (int i = 0; i < 8; ++i)
        instances.push_back(instance(i, s_gates, i >= 3));
    const PoolSizer sizer({});
    const auto moves = sizer.plan({ { s_gates, demand(s_milliCores, 3) } }, instances, s_spare, s_now);
    EXPECT_EQ(moves.size(), 5u);
    for (const auto& move : moves)
        EXPECT_EQ(move.pool, s_spare);
}

// The arrival of a single large job must not pull the whole fleet into its pool.
TEST(PoolSizer, OneLargeArrivalForecastsLessThanManySmallOnes)
{
    ArrivalForecast one(Duration(800));
    one.add(s_now, 400 * s_milliCores);
    ArrivalForecast many(Duration(800));
    for (int i = 0; i < 40; ++i)
        many.add(s_now, 10 * s_milliCores);
    EXPECT_LT(one.milliCores(s_now), 0.6 * many.milliCores(s_now));
    EXPECT_LT(many.milliCores(s_now + Duration(4000)), 0.01 * many.milliCores(s_now));
}

// A pool with enough capacity in total still has a deficit if none of its instances has a label that tasks require.
TEST(PoolSizer, BringsInstancesWithTheLabelThatTasksRequire)
{
    std::vector<SizedInstance> instances;
    for (int i = 0; i < 8; ++i) {
        instances.push_back(instance(i, s_spare));
        instances.back().labels = { i < 6 ? "small" : "large" };
    }
    for (int i = 8; i < 12; ++i)
        instances.push_back(instance(i, s_gates, false));
    auto asked = demand(s_milliCores, 1);
    asked.byLabel["large"] = { { s_milliCores, 0, 0 }, 0 };
    const auto moves = PoolSizer({}).plan({ { s_gates, asked } }, instances, s_spare, s_now);
    ASSERT_EQ(moves.size(), 2u);
    for (const auto& move : moves)
        EXPECT_TRUE(move.instance == "i6" || move.instance == "i7") << move.instance;
}

TEST(PoolSizer, KeepsTheLastInstanceWithALabelThatIsAskedFor)
{
    std::vector<SizedInstance> instances;
    for (int i = 0; i < 4; ++i) {
        instances.push_back(instance(i, s_gates));
        instances.back().labels = { i ? "small" : "large" };
    }
    auto asked = demand(s_milliCores / 2, 1);
    asked.byLabel["large"] = { { s_milliCores / 2, 0, 0 }, 0 };
    const auto moves = PoolSizer({}).plan({ { s_gates, asked } }, instances, s_spare, s_now);
    EXPECT_EQ(moves.size(), 3u);
    for (const auto& move : moves)
        EXPECT_NE(move.instance, "i0");
}

// With two kinds of instances, a pool kept idle instances that its waiting tasks cannot use, and received more of them,
// because its demand was compared only in total. Such instances must be donated.
TEST(PoolSizer, DonatesInstancesThatCannotRunWaitingTasks)
{
    std::vector<SizedInstance> instances;
    for (int i = 0; i < 4; ++i) {
        instances.push_back(instance(i, i < 2 ? s_gates : s_spare));
        instances.back().labels = { "small" };
    }
    auto asked = demand(10 * s_milliCores, 0);
    asked.byLabel["large"] = asked.total;
    const std::map<ServiceId, PoolDemand> demands { { s_gates, asked }, { s_bookings, demand(2.4 * s_milliCores, 0) } };
    const auto moves = PoolSizer({}).plan(demands, instances, s_spare, s_now);
    std::map<ServiceId, int> joined;
    for (const auto& move : moves)
        ++joined[move.pool];
    EXPECT_EQ(joined[s_gates], 0);
    EXPECT_EQ(joined[s_bookings], 3);
}

// Tasks may need memory but reserve no processors, as best-effort tasks do.
TEST(PoolSizer, MemoryAloneMakesAPoolShort)
{
    const std::vector<SizedInstance> instances { instance(0, s_gates, false), instance(1, s_spare),
        instance(2, s_spare) };
    PoolDemand asked { { { 0, 2 * s_memory, 0 }, 0 }, {} };
    EXPECT_EQ(PoolSizer({}).plan({ { s_gates, asked } }, instances, s_spare, s_now).size(), 2u);
}

TEST(PoolSizer, UnservablePoolDoesNotBlockOthers)
{
    std::vector<SizedInstance> instances { instance(0, s_spare), instance(1, s_spare) };
    for (auto& row : instances)
        row.excludedPools = { s_gates };
    const std::map<ServiceId, PoolDemand> demands { { s_gates, demand(s_milliCores, 1) },
        { s_bookings, demand(s_milliCores / 2, 0) } };
    const auto moves = PoolSizer({}).plan(demands, instances, s_spare, s_now);
    ASSERT_EQ(moves.size(), 1u);
    EXPECT_EQ(moves[0].pool, s_bookings);
}

// All instances cost the same, so larger ones are moved first.
TEST(PoolSizer, PrefersLargeSpareInstances)
{
    std::vector<SizedInstance> instances { instance(0, s_spare), instance(1, s_spare) };
    instances[0].capacity.milliCores /= 2;
    const auto moves = PoolSizer({}).plan({ { s_gates, demand(s_milliCores / 4, 0) } }, instances, s_spare, s_now);
    ASSERT_EQ(moves.size(), 1u);
    EXPECT_EQ(moves[0].instance, "i1");
}

RC_GTEST_PROP(PoolSizer, MovesOnlyIdleInstancesAndLeavesNoPoolShort, ())
{
    auto choices = Choices::generate(30);
    std::vector<SizedInstance> instances;
    const std::vector<ServiceId> pools { s_gates, s_bookings, ServiceId("plans"), s_spare };
    const int count = 1 + static_cast<int>(choices.below(60));
    for (int i = 0; i < count; ++i) {
        auto row = instance(i, choices.pick(pools), choices.below(2) == 0);
        row.idleSince = s_now - Duration(static_cast<std::int64_t>(choices.below(3000)));
        instances.push_back(row);
    }
    std::map<ServiceId, PoolDemand> demands;
    for (const auto& pool : pools) {
        if (pool != s_spare)
            demands[pool]
                = demand(static_cast<double>(choices.below(30)) * s_milliCores / 2, static_cast<int>(choices.below(6)));
    }
    const PoolSizer sizer({});
    const auto moves = sizer.plan(demands, instances, s_spare, s_now);
    std::map<std::string, ServiceId> poolOf;
    for (const auto& row : instances)
        poolOf[row.id] = row.pool;
    std::set<std::string> moved;
    std::map<ServiceId, int> left;
    for (const auto& move : moves) {
        const auto number = static_cast<std::size_t>(std::stoi(move.instance.substr(1)));
        RC_ASSERT(instances[number].isMovable);
        RC_ASSERT(moved.insert(move.instance).second);
        RC_ASSERT(poolOf[move.instance] != move.pool);
        ++left[poolOf[move.instance]];
        poolOf[move.instance] = move.pool;
    }
    for (const auto& [id, demand] : demands) {
        if (!left[id])
            continue;
        std::int64_t capacity = 0;
        int members = 0;
        for (const auto& [name, pool] : poolOf) {
            capacity += pool == id ? s_milliCores : 0;
            members += pool == id;
        }
        RC_ASSERT(capacity >= demand.total.need.milliCores);
        RC_ASSERT(members >= demand.total.minInstances);
    }
}

} // namespace marigoldlink::testing
