// Availability budgets: shortages count with dependencies, and a spent budget stops planned disruptions.
#include "marigoldlink/Coordination/AvailabilityBudget.h"

#include <gtest/gtest.h>

namespace marigoldlink::testing {

namespace {

    constexpr Duration s_window { 100000 };

    Service service(const char* name, std::vector<ServiceId> dependsOn)
    {
        Service result;
        result.id = ServiceId(name);
        result.pool = PoolId(name);
        result.peakSlots = 10;
        result.availability = 0.9;
        result.dependsOn = std::move(dependsOn);
        return result;
    }

    FleetSpec spec()
    {
        FleetSpec spec;
        for (const auto& item :
            { service("base", {}), service("front", { ServiceId("base") }), service("other", {}) }) {
            spec.services[item.id] = item;
            spec.pools[item.pool] = Pool { item.pool, false };
        }
        return spec;
    }

    PoolState state(const char* pool, Slots serving)
    {
        PoolState state;
        state.pool = PoolId(pool);
        state.needed = 10;
        state.serving = serving;
        return state;
    }

    TimePoint at(std::int64_t seconds) { return TimePoint(std::chrono::seconds(seconds)); }

} // namespace

TEST(AvailabilityBudget, ShortageCountsForTheServiceAndItsDependants)
{
    BudgetMeter meter;
    const std::vector<PoolState> states { state("base", 5), state("front", 12), state("other", 10) };
    meter.account(at(100), spec(), states);
    meter.account(at(110), spec(), states);
    EXPECT_DOUBLE_EQ(meter.pending().at(ServiceId("base")), 50);
    EXPECT_DOUBLE_EQ(meter.pending().at(ServiceId("front")), 50);
    EXPECT_FALSE(meter.pending().contains(ServiceId("other")));
    meter.subtractWritten(ServiceId("front"), 50);
    EXPECT_FALSE(meter.pending().contains(ServiceId("front")));
}

TEST(AvailabilityBudget, SpentBudgetFreezesThePoolAndWhatItDependsOn)
{
    // A service with 10 slots and availability 0.9 may lack 100 slot seconds in 100 s.
    EXPECT_DOUBLE_EQ(budgetAllowance(service("front", {}), s_window), 100);
    EXPECT_TRUE(frozenPools(spec(), { { ServiceId("front"), 99 } }, s_window).empty());
    const std::set<PoolId> frozen { PoolId("base"), PoolId("front") };
    EXPECT_EQ(frozenPools(spec(), { { ServiceId("front"), 101 } }, s_window), frozen);
}

TEST(AvailabilityBudget, FrozenPoolIsNotMaintained)
{
    FleetSpec fleet = spec();
    FleetView view;
    view.spec = &fleet;
    for (int i = 0; i < 90; ++i) {
        const auto name = std::to_string(i);
        const char* pools[] { "base", "front", "other" };
        view.listed[InstanceId(name)].id = InstanceId(name);
        InstanceRecord record;
        record.id = InstanceId(name);
        record.rack = RackId(name);
        record.slots = 4;
        record.pool = PoolId(pools[i % 3]);
        view.records[record.id] = record;
    }
    view.round = 1;
    view.frozenPools = { PoolId("base"), PoolId("front") };
    const FleetPlanner planner { { 4, 0.5, 100 } };
    std::size_t drains = 0;
    for (const auto& change : planner.plan(view)) {
        if (change.reason != ChangeReason::Maintenance)
            continue;
        ++drains;
        EXPECT_EQ(change.next.pool, PoolId("other"));
    }
    EXPECT_GT(drains, 0U);
}

} // namespace marigoldlink::testing
