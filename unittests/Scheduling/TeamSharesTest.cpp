// Guards the division of scarce capacity between teams.
#include "marigoldlink/Scheduling/TeamShares.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <cmath>

namespace marigoldlink {

namespace {

    double total(const std::map<TeamId, double>& allocations)
    {
        double sum = 0;
        for (const auto& [team, allocation] : allocations)
            sum += allocation;
        return sum;
    }

} // namespace

// Fails if a team that sends eight times its usual load takes more than its weight entitles it to.
TEST(TeamSharesTest, ATeamWithExcessiveDemandGetsItsShare)
{
    const auto allocations = weightedMaxMin(
        { { TeamId("busy"), 1, 8000 }, { TeamId("usual"), 1, 1000 }, { TeamId("large"), 2, 2000 } }, 4000);
    EXPECT_DOUBLE_EQ(allocations.at(TeamId("busy")), 1000);
    EXPECT_DOUBLE_EQ(allocations.at(TeamId("usual")), 1000);
    EXPECT_DOUBLE_EQ(allocations.at(TeamId("large")), 2000);
}

// Fails if capacity is left unused while a team could use it, if a team gets more than it asks for, or if a team with
// unmet demand has a lower allocation per weight than another one.
RC_GTEST_PROP(TeamSharesTest, IsWeightedMaxMinFair, ())
{
    const auto count = *rc::gen::inRange(1, 12);
    const double capacity = *rc::gen::inRange(0, 20000);
    std::vector<TeamDemand> demands;
    double wanted = 0;
    for (int i = 0; i < count; ++i) {
        demands.push_back({ TeamId("team-" + std::to_string(i)), static_cast<double>(*rc::gen::inRange(1, 20)),
            static_cast<double>(*rc::gen::inRange(0, 5000)) });
        wanted += demands.back().milliCores;
    }
    const auto allocations = weightedMaxMin(demands, capacity);
    constexpr double tolerance = 1e-6;
    RC_ASSERT(std::abs(total(allocations) - std::min(capacity, wanted)) < tolerance);
    for (const auto& demand : demands) {
        const auto own = allocations.at(demand.team);
        RC_ASSERT(own <= demand.milliCores + tolerance);
        if (own > demand.milliCores - tolerance)
            continue;
        for (const auto& other : demands)
            RC_ASSERT(allocations.at(other.team) / other.weight <= own / demand.weight + tolerance);
    }
}

// Guards against teams that are held to their shares in the seconds in which more instances join their pool.
TEST(TeamSharesTest, AShortageThatObtainableInstancesCoverIsNotDivided)
{
    const std::map<TeamId, double> demand { { TeamId("large"), 1400 }, { TeamId("small"), 100 } };
    const auto weight = [](const TeamId&) { return 1.0; };
    EXPECT_TRUE(allotShortPools({ { ServiceId("gates"), 1000, demand, 500 } }, weight).shortPools.empty());
    EXPECT_FALSE(allotShortPools({ { ServiceId("gates"), 1000, demand, 400 } }, weight).shortPools.empty());
}

// Only pools with more demand than capacity are divided, all of them together. Guards against a team that is held
// because of its demand on a pool with room, or that counts more of its demand on a pool than the pool has.
TEST(TeamSharesTest, DividesTheShortPoolsTogether)
{
    const TeamId large("large"), small("small"), calm("calm");
    const auto allotments = allotShortPools({ { ServiceId("calm"), 1000, { { large, 400 }, { calm, 500 } }, 0 },
                                                { ServiceId("a"), 1000, { { large, 9000 }, { small, 300 } }, 0 },
                                                { ServiceId("b"), 1000, { { small, 1200 } }, 0 } },
        [](const TeamId&) { return 1.0; });
    EXPECT_EQ(allotments.shortPools, (std::set<ServiceId> { ServiceId("a"), ServiceId("b") }));
    EXPECT_FALSE(allotments.teams.contains(calm));
    EXPECT_DOUBLE_EQ(allotments.teams.at(large).demand, 1000);
    EXPECT_DOUBLE_EQ(allotments.teams.at(large).milliCores, 1000);
    EXPECT_DOUBLE_EQ(allotments.teams.at(small).milliCores, 1000);
    EXPECT_FALSE(allotments.isExceeded(large, 900, 100));
    EXPECT_TRUE(allotments.isExceeded(large, 1000, 100));
    EXPECT_FALSE(allotments.isExceeded(calm, 5000, 100));
}

} // namespace marigoldlink
