// Planning cycles: each instance is in one pool, capacity suffices at every step, and moves come to an end.
#include "marigoldlink/Coordination/FleetPlanner.h"
#include "Choices.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace marigoldlink::testing {

namespace {

    constexpr Slots s_slots = 8;

    FleetSpec spec(Slots need)
    {
        FleetSpec spec;
        for (const auto* name : { "one", "two", "spare" }) {
            Pool pool;
            pool.id = PoolId(name);
            pool.isSpare = pool.id == PoolId("spare");
            spec.pools[pool.id] = pool;
        }
        for (const auto* name : { "one", "two" }) {
            Service service;
            service.id = ServiceId(name);
            service.pool = PoolId(name);
            service.peakSlots = need;
            spec.services[service.id] = service;
        }
        return spec;
    }

    // Model of a fleet whose instances drain and reboot as planned.
    struct Fleet {
        FleetSpec fleetText;
        FleetView view;
        FleetPlanner planner { {} };
        std::size_t moves { 0 };

        Fleet(Slots need, std::size_t instances)
            : fleetText(spec(need))
        {
            view.spec = &fleetText;
            for (std::size_t i = 0; i < instances; ++i) {
                ListedInstance info;
                info.id = InstanceId("instance-" + std::to_string(i));
                info.dataCenter = DataCenterId("dc-" + std::to_string(i % 3));
                info.rack = RackId(info.dataCenter.value() + "-" + std::to_string(i / 12));
                info.slots = s_slots;
                view.listed[info.id] = info;
            }
        }

        // Plans one cycle, applies its changes and returns their number.
        std::size_t round()
        {
            const auto changes = planner.plan(view);
            for (const auto& change : changes) {
                view.records[change.next.id] = change.next;
                moves += change.reason == ChangeReason::Deficit || change.reason == ChangeReason::Surplus;
            }
            return changes.size();
        }

        void finishDrainsAndReboots()
        {
            view.drained.clear();
            view.healthy.clear();
            for (const auto& [id, record] : view.records) {
                if (record.phase == InstancePhase::Draining)
                    view.drained.insert(id);
                if (record.phase == InstancePhase::Rebooting)
                    view.healthy.insert(id);
            }
        }

        std::size_t settle()
        {
            std::size_t rounds = 0;
            while (round() > 0 && rounds < 500) {
                finishDrainsAndReboots();
                ++rounds;
            }
            return rounds;
        }

        const PoolState state(const char* pool) const
        {
            for (const auto& state : FleetPlanner::poolStates(view)) {
                if (state.pool == PoolId(pool))
                    return state;
            }
            return {};
        }
    };

} // namespace

TEST(FleetPlanner, NewInstancesCoverNeedAndBuffer)
{
    Fleet fleet(64, 48);
    fleet.settle();
    EXPECT_GE(fleet.state("one").serving, fleet.state("one").target());
    EXPECT_GE(fleet.state("two").serving, fleet.state("two").target());
    EXPECT_EQ(fleet.moves, 0U);
}

TEST(FleetPlanner, SpareInstancesFillALossAndReturn)
{
    Fleet fleet(64, 48);
    fleet.settle();
    fleet.view.outOfService.insert(DataCenterId("dc-0"));
    fleet.settle();
    EXPECT_FALSE(fleet.state("one").isBelowNeed());
    EXPECT_FALSE(fleet.state("two").isBelowNeed());
    fleet.view.outOfService.clear();
    EXPECT_LT(fleet.settle(), 20U) << "planning must converge";
    EXPECT_GT(fleet.state("spare").serving, 0);
}

TEST(FleetPlanner, MaintenanceReachesEveryInstanceAndNeverLeavesAPoolShort)
{
    Fleet fleet(64, 48);
    fleet.settle();
    fleet.view.round = 1;
    for (int i = 0; i < 400 && fleet.round() > 0; ++i) {
        EXPECT_GE(fleet.state("one").serving - fleet.state("one").buffer, fleet.state("one").needed);
        EXPECT_GE(fleet.state("two").serving - fleet.state("two").buffer, fleet.state("two").needed);
        fleet.finishDrainsAndReboots();
    }
    for (const auto& [id, record] : fleet.view.records) {
        EXPECT_EQ(record.maintainedRound, 1U) << id;
        EXPECT_EQ(record.phase, InstancePhase::Active) << id;
    }
}

TEST(FleetPlanner, MaintenanceWaitsWhenNoSpareInstanceIsLeft)
{
    Fleet fleet(64, 20);
    fleet.settle();
    ASSERT_EQ(fleet.state("spare").serving, 0);
    const auto served = fleet.state("one").serving + fleet.state("two").serving;
    fleet.view.round = 1;
    fleet.settle();
    EXPECT_GE(fleet.state("one").serving + fleet.state("two").serving, served) << "no pool may give up its buffer";
}

TEST(FleetPlanner, WaveStopsWhenInstancesDoNotComeBack)
{
    Fleet fleet(32, 60);
    fleet.settle();
    fleet.view.round = 1;
    std::size_t rebooting = 0;
    for (int i = 0; i < 100; ++i) {
        fleet.round();
        fleet.finishDrainsAndReboots();
        fleet.view.healthy.clear();
    }
    for (const auto& [id, record] : fleet.view.records)
        rebooting += record.phase == InstancePhase::Rebooting;
    EXPECT_EQ(rebooting, 1U) << "only the canary may be in maintenance";
}

// From any view: each instance changes at most once in a cycle, has one existing pool, changes pool only after it has
// drained, and its epoch increases by 1.
RC_GTEST_PROP(FleetPlanner, EveryChangeIsOneStepOfOneInstance, ())
{
    auto choices = Choices::generate(60);
    Fleet fleet(static_cast<Slots>(choices.below(100)), choices.below(60));
    for (auto& [id, info] : fleet.view.listed) {
        if (choices.below(4) == 0)
            continue;
        InstanceRecord record { id, info.dataCenter, info.rack, info.endpoint, info.slots,
            PoolId(choices.below(2) ? "one" : "spare"), static_cast<InstancePhase>(choices.below(4)), choices.below(5),
            PoolId(choices.below(2) ? "" : "two"), choices.below(2) };
        fleet.view.records[id] = record;
        if (choices.below(2))
            fleet.view.drained.insert(id);
        if (choices.below(2))
            fleet.view.healthy.insert(id);
    }
    fleet.view.round = choices.below(2);
    std::set<InstanceId> changed;
    for (const auto& change : fleet.planner.plan(fleet.view)) {
        RC_ASSERT(changed.insert(change.next.id).second);
        RC_ASSERT(fleet.fleetText.pools.contains(change.next.pool));
        const auto found = fleet.view.records.find(change.next.id);
        if (found == fleet.view.records.end())
            continue;
        RC_ASSERT(change.next.epoch == found->second.epoch + 1);
        const bool isPoolChange = change.next.pool != found->second.pool;
        RC_ASSERT(!isPoolChange
            || (found->second.phase == InstancePhase::Draining && fleet.view.drained.contains(change.next.id)));
        RC_ASSERT(change.next.phase != InstancePhase::Rebooting || fleet.view.drained.contains(change.next.id));
    }
}

} // namespace marigoldlink::testing
