// Division of instances between pools that together request more than there is: bursts of all queues in turn, one pool
// that holds nearly all instances, services, and demand that alternates.
#include "marigoldlink/Scheduling/PoolContention.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <cmath>
#include <set>

namespace marigoldlink {

namespace {

    const ServiceId s_gates("gates");
    const ServiceId s_bookings("bookings");
    const TeamId s_team("team");
    constexpr double s_milliCores = 64000;
    const TimePoint s_now { Duration(100000) };

    struct Load {
        ContentionView view;

        // Adds instances to a pool. The runs on them end one after another, 1 ms apart.
        void addInstances(const ServiceId& pool, int count)
        {
            view.pools.try_emplace(pool);
            for (int i = 0; i < count; ++i)
                view.instances.push_back({ pool.value() + '-' + std::to_string(1000 + i), pool, s_milliCores, true,
                    true, s_now + Duration(100 + count - i), {}, std::nullopt });
        }

        // Adds work, counted in instances that it would fill.
        void addWork(const ServiceId& pool, double instances, JobProspect prospect = JobProspect::OnTime,
            int priority = 0, const TeamId& team = s_team)
        {
            view.work.push_back({ pool, team, priority, prospect, instances * s_milliCores });
        }

        double targetOf(const ServiceId& pool) const
        {
            return PoolContention({}).targets(view).at(pool) / s_milliCores;
        }

        ContentionPlan plan() const
        {
            const PoolContention contention({});
            return contention.plan(view, contention.targets(view), s_now);
        }

        ContendedInstance& instance(const std::string& id)
        {
            return *std::find_if(view.instances.begin(), view.instances.end(),
                [&id](const ContendedInstance& instance) { return instance.id == id; });
        }
    };

    // Load: one pool holds nearly all instances, while the other one asks for four times more. Both have more work than
    // the fleet can do.
    Load unevenLoad()
    {
        Load load;
        load.addInstances(s_gates, 287);
        load.addInstances(s_bookings, 17);
        load.addWork(s_gates, 310);
        load.addWork(s_bookings, 1240);
        return load;
    }

} // namespace

// Fails if a busy pool keeps its instances while another one has hardly any: on the day of capacity shortage a pool
// kept 287 instances while another requested 80,710 cores with 17.
TEST(PoolContentionTest, ABusyPoolGivesInstancesToOneThatHasHardlyAny)
{
    auto load = unevenLoad();
    const auto plan = load.plan();
    ASSERT_EQ(plan.leaves.size(), 28u) << "a tenth of the donor";
    TimePoint latest;
    for (const auto& leave : plan.leaves) {
        EXPECT_EQ(leave.leaving.receiver, s_bookings);
        EXPECT_EQ(load.instance(leave.instance).pool, s_gates);
        latest = std::max(latest, leave.leaving.expectedEnd);
    }
    EXPECT_EQ(latest, s_now + Duration(128)) << "those whose runs end first";
    EXPECT_TRUE(plan.moves.empty()) << "they have runs";
}

// Fails if a pool loses instances to a longer queue alone: both have more work than the fleet can do, so each gets
// half.
TEST(PoolContentionTest, ALongerQueueGetsNoMoreThanItsHalf)
{
    const auto load = unevenLoad();
    EXPECT_NEAR(load.targetOf(s_gates), 152, 0.1);
    EXPECT_NEAR(load.targetOf(s_bookings), 152, 0.1);
}

// Fails if instances stay with work that is of no use any more, or with late work, while other work could end on time.
TEST(PoolContentionTest, WorkThatCanEndOnTimeComesFirst)
{
    Load load;
    load.addInstances(s_gates, 90);
    load.addInstances(s_bookings, 10);
    load.addWork(s_gates, 500, JobProspect::Lost);
    load.addWork(s_gates, 20, JobProspect::Late);
    load.addWork(s_bookings, 70);
    EXPECT_NEAR(load.targetOf(s_bookings), 70 * 1.15, 0.1);
    EXPECT_NEAR(load.targetOf(s_gates), 100 - 70 * 1.15, 0.1) << "what is left goes to the other work";
}

// Fails if a team that sends many times its usual load in one pool takes the capacity of others in another pool.
TEST(PoolContentionTest, ATeamBeyondItsShareCountsLess)
{
    Load load;
    load.addInstances(s_gates, 50);
    load.addInstances(s_bookings, 50);
    load.addWork(s_gates, 800, JobProspect::OnTime, 0, TeamId("busy"));
    load.addWork(s_bookings, 60, JobProspect::OnTime, 0, TeamId("usual"));
    load.view.teamWeights[TeamId("usual")] = 2;
    EXPECT_NEAR(load.targetOf(s_bookings), 200.0 / 3, 0.1);
    EXPECT_NEAR(load.targetOf(s_gates), 100.0 / 3, 0.1);
}

// Fails if the work of a lower priority counts as much as that of a higher one of the same team.
TEST(PoolContentionTest, AHigherPriorityWeighsMore)
{
    Load load;
    load.addInstances(s_gates, 50);
    load.addInstances(s_bookings, 40);
    load.addWork(s_gates, 500, JobProspect::OnTime, 0);
    load.addWork(s_bookings, 500, JobProspect::OnTime, 1);
    EXPECT_NEAR(load.targetOf(s_gates), 60, 0.1);
    EXPECT_NEAR(load.targetOf(s_bookings), 30, 0.1);
}

// Fails if a pool gives instances that its services need, or that run one of their tasks.
TEST(PoolContentionTest, ServicesKeepWhatTheyNeed)
{
    auto load = unevenLoad();
    load.view.pools[s_gates].minInstances = 280;
    for (auto& instance : load.view.instances)
        instance.canLeave = instance.id >= "gates-1010";
    const auto plan = load.plan();
    EXPECT_EQ(plan.leaves.size(), 7u);
    for (const auto& leave : plan.leaves)
        EXPECT_GE(leave.instance, "gates-1010");
    load.view.pools[s_gates] = { 270 * s_milliCores, 0, 0, std::nullopt };
    EXPECT_TRUE(load.plan().leaves.empty()) << "their processors with headroom exceed what the pool has";
}

// Fails if instances that just arrived, or whose runs last long, are taken.
TEST(PoolContentionTest, APoolThatReceivedGivesOnlyIdleInstances)
{
    auto load = unevenLoad();
    load.view.pools[s_gates].receivedAt = s_now - Duration(4900);
    EXPECT_TRUE(load.plan().leaves.empty());
    load.instance("gates-1003").runsEndAt = std::nullopt;
    ASSERT_EQ(load.plan().leaves.size(), 1u);
    EXPECT_EQ(load.plan().leaves[0].instance, "gates-1003");
    load.view.pools[s_gates].receivedAt = s_now - Duration(5000);
    EXPECT_EQ(load.plan().leaves.size(), 28u);
    for (auto& instance : load.view.instances)
        instance.runsEndAt = s_now + Duration(2100);
    EXPECT_TRUE(load.plan().leaves.empty()) << "the move would come too late";
}

// Fails if an instance returns to a pool that it has just left, or goes to one whose kind does not fit it.
TEST(PoolContentionTest, AnExcludedPoolReceivesNothing)
{
    auto load = unevenLoad();
    for (auto& instance : load.view.instances)
        instance.excludedPools = { s_bookings };
    EXPECT_TRUE(load.plan().leaves.empty());
    auto& leaving = load.instance("gates-1050");
    leaving.leaving = LeavingInstance { s_bookings, s_now, *leaving.runsEndAt };
    EXPECT_EQ(load.plan().releases.size(), 1u) << "excluded meanwhile";
}

// Fails if instances go back and forth around equal coverage, or if a small change undoes a decision.
TEST(PoolContentionTest, CoverageMustDifferByTheMargin)
{
    Load load;
    load.addInstances(s_gates, 104);
    load.addInstances(s_bookings, 96);
    load.addWork(s_gates, 400);
    load.addWork(s_bookings, 400);
    EXPECT_TRUE(load.plan().leaves.empty()) << "104% and 96%";
    auto& leaving = load.instance("gates-1050");
    leaving.leaving = LeavingInstance { s_bookings, s_now, *leaving.runsEndAt };
    EXPECT_TRUE(load.plan().releases.empty()) << "one that leaves already goes on";
    load.view.work[0].milliCores = 100 * s_milliCores;
    load.view.work[1].milliCores = 40 * s_milliCores;
    EXPECT_EQ(load.plan().releases.size(), 1u) << "the need has gone";
}

// Fails if an instance stays without work for a run that lasts, or if it is moved while it has runs.
TEST(PoolContentionTest, ALeavingInstanceIsMovedOrUsedAgain)
{
    auto load = unevenLoad();
    auto& leaving = load.instance("gates-1050");
    leaving.leaving = LeavingInstance { s_bookings, s_now - Duration(1000), s_now - Duration(500) };
    EXPECT_TRUE(load.plan().moves.empty());
    EXPECT_TRUE(load.plan().releases.empty());
    leaving.runsEndAt = std::nullopt;
    EXPECT_EQ(load.plan().moves, std::vector<std::string> { "gates-1050" });
    leaving.canLeave = false; // its worker does not answer, or a wave has reserved it
    EXPECT_TRUE(load.plan().moves.empty());
    EXPECT_EQ(load.plan().releases.size(), 1u);
    leaving.canLeave = true;
    leaving.runsEndAt = s_now + Duration(100);
    leaving.leaving->expectedEnd = s_now - Duration(1600);
    EXPECT_EQ(load.plan().releases.size(), 1u) << "its run lasts much longer than expected";
}

// Load: the demand of two to four pools changes at random between nothing and five times what the fleet has. Fails if
// the targets exceed the capacity, if too many instances of a pool leave at a time, if a pool falls below its minimum,
// if an instance moves back within 5 s, or if more instances move than that allows.
RC_GTEST_PROP(PoolContentionTest, BoundsHoldUnderChangingDemand, ())
{
    const auto pools = *rc::gen::inRange(2, 5);
    const auto changes = *rc::gen::container<std::vector<int>>(24, rc::gen::inRange(0, 100));
    const auto period = *rc::gen::inRange(3, 40); // passes between two changes of demand
    const PoolContention contention({});
    Load load;
    for (int i = 0; i < pools; ++i) {
        const ServiceId pool("pool-" + std::to_string(i));
        load.addInstances(pool, *rc::gen::inRange(1, 40));
        load.view.pools[pool].minInstances = *rc::gen::inRange(0, 5);
    }
    std::map<std::string, std::map<ServiceId, TimePoint>> left;
    const int passes = 400;
    std::size_t moves = 0;
    for (int pass = 0; pass < passes; ++pass) {
        const auto now = s_now + Duration(100) * pass;
        const auto index = static_cast<std::size_t>(pass / period * pools);
        load.view.work.clear();
        for (int i = 0; i < pools; ++i) {
            const auto change = changes[(index + static_cast<std::size_t>(i)) % changes.size()];
            load.addWork(ServiceId("pool-" + std::to_string(i)), change * 2, static_cast<JobProspect>(change % 3));
        }
        std::map<ServiceId, int> members;
        std::map<ServiceId, int> leaving;
        double capacity = 0;
        for (auto& instance : load.view.instances) {
            if (instance.leaving && instance.runsEndAt && *instance.runsEndAt <= now)
                instance.runsEndAt = std::nullopt;
            else if (!instance.leaving && (pass + std::stoi(instance.id.substr(7))) % 7 == 0)
                instance.runsEndAt = std::nullopt;
            else if (!instance.leaving)
                instance.runsEndAt = now + Duration(100 + 97 * (pass + std::stoi(instance.id.substr(7))) % 1700);
            std::erase_if(left[instance.id], [now](const auto& entry) { return now - entry.second >= Duration(5000); });
            instance.excludedPools.clear();
            for (const auto& [pool, at] : left[instance.id])
                instance.excludedPools.push_back(pool);
            ++members[instance.pool];
            leaving[instance.pool] += instance.leaving.has_value();
            capacity += instance.milliCores;
        }
        const auto targets = contention.targets(load.view);
        double total = 0;
        for (const auto& [pool, target] : targets)
            total += target;
        RC_ASSERT(total <= capacity + 1);
        const auto plan = contention.plan(load.view, targets, now);
        for (const auto& release : plan.releases) {
            auto& instance = load.instance(release.instance);
            --leaving[instance.pool];
            instance.leaving.reset();
        }
        for (const auto& leave : plan.leaves) {
            auto& instance = load.instance(leave.instance);
            RC_ASSERT(!instance.leaving);
            instance.leaving = leave.leaving;
            ++leaving[instance.pool];
            RC_ASSERT(leaving[instance.pool] <= std::max(1, members[instance.pool] / 10));
            RC_ASSERT(members[instance.pool] - leaving[instance.pool] >= load.view.pools[instance.pool].minInstances);
        }
        for (const auto& id : plan.moves) {
            auto& instance = load.instance(id);
            RC_ASSERT(!instance.runsEndAt);
            const auto receiver = instance.leaving->receiver;
            RC_ASSERT(!left[id].contains(receiver));
            left[id][instance.pool] = now;
            load.view.pools[receiver].receivedAt = now;
            instance.pool = receiver;
            instance.leaving.reset();
            ++moves;
        }
    }
    // An instance that does not return within 5 s (50 passes) visits the other pools at most once in that time.
    RC_ASSERT(moves <= load.view.instances.size() * static_cast<std::size_t>(pools) * (passes / 50 + 1));
}

} // namespace marigoldlink
