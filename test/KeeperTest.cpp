// Several keepers run while some freeze or crash: each instance is in exactly one pool, and the capacity of the pools
// follows the fleet specification.
#include "Cluster.h"

#include <csignal>
#include <gtest/gtest.h>
#include <set>

namespace marigoldlink::testing {

namespace {

    std::string fleetSpecWithNeed(const std::vector<std::string>& dataCenters, int need)
    {
        auto text = defaultFleetSpec(dataCenters);
        const std::string from = "need_slots = 1000";
        for (auto at = text.find(from); at != std::string::npos; at = text.find(from))
            text.replace(at, from.size(), "need_slots = " + std::to_string(need));
        return text;
    }

    struct Pools {
        Slots main { 0 };
        Slots spare { 0 };
        std::set<std::string> phases;
        std::uint64_t minMaintainedRound { 1000 };
    };

    Pools readPools(Cluster& cluster)
    {
        Pools pools;
        const auto range = cluster.get(cluster.platforms.back(), "/range?prefix=instance/");
        for (const auto& item : range.at("items")) {
            const auto record = Json::parse(item.at("value").get<std::string>());
            const bool isActive = record.at("phase") == "active";
            pools.phases.insert(record.at("phase"));
            pools.minMaintainedRound
                = std::min(pools.minMaintainedRound, record.at("maintained_round").get<std::uint64_t>());
            (record.at("pool") == "main" ? pools.main : pools.spare) += isActive ? record.at("slots").get<Slots>() : 0;
        }
        return pools;
    }

    ClusterOptions fleet(int need)
    {
        ClusterOptions options;
        options.keepers = 3;
        options.fleetSpec = fleetSpecWithNeed(options.dataCenters, need);
        options.keeperSettings = "[timeouts]\nround_ms = 200\nturn_ms = 1500\ndrain_settle_ms = 800\n";
        return options;
    }

} // namespace

// The fleet has 12 instances of 4 slots in 3 racks, one for each data centre. Three services share the pool.
TEST(Keeper, CapacityFollowsSpecificationWhileKeepersFreezeAndCrash)
{
    Cluster cluster(fleet(2));
    EXPECT_LT(readPools(cluster).main, 33) << "instances beyond the need must stay in the spare pool";
    cluster.keepers[0].signal(SIGSTOP);
    cluster.applySpec(fleetSpecWithNeed(cluster.options.dataCenters, 11));
    cluster.waitUntil(
        "the pool has the slots that the fleet specification needs", [&] { return readPools(cluster).main >= 33; },
        Duration(30000));
    cluster.keepers[0].signal(SIGCONT);
    cluster.keepers[1].kill();
    cluster.applySpec(fleetSpecWithNeed(cluster.options.dataCenters, 1));
    cluster.waitUntil(
        "the surplus instances are active in the spare pool",
        [&] {
            return readPools(cluster).spare >= 28 && readPools(cluster).phases == std::set<std::string> { "active" };
        },
        Duration(30000));
    EXPECT_GE(readPools(cluster).main, 3) << "the need must stay covered";
}

TEST(Keeper, MaintenanceRebootsEveryInstanceWithoutInterruptingRequests)
{
    auto options = fleet(4);
    options.keeperSettings = "[timeouts]\nround_ms = 100\ndrain_settle_ms = 500\n[maintenance]\nround = 1\n";
    // Newly discovered instances count as maintained in the current maintenance round. So the first keeper discovers
    // them in round 0, and a second keeper starts round 1.
    options.keepers = 1;
    auto first = options;
    first.keeperSettings = "[timeouts]\nround_ms = 100\ndrain_settle_ms = 500\n";
    Cluster cluster(first);
    ASSERT_EQ(readPools(cluster).minMaintainedRound, 0U);
    cluster.keepers[0].kill();
    cluster.startKeeper(options.keeperSettings);
    Flow flow;
    flow.queue = "open";
    flow.rate = 30;
    flow.workMs = 60;
    flow.deadlineMs = 3000;
    auto load = cluster.load({ flow }, Duration(12000));
    EventLoop loop;
    Load run(loop, load);
    run.run();
    EXPECT_TRUE(run.isClean()) << run.report();
    const auto result = Json::parse(run.report()).at("flows").at(0);
    EXPECT_EQ(result.at("answered"), result.at("sent")) << run.report();
    cluster.waitUntil(
        "every instance is maintained in maintenance round 1",
        [&] { return readPools(cluster).minMaintainedRound == 1; }, Duration(60000));
    for (const auto& worker : cluster.workerEndpoints())
        EXPECT_EQ(cluster.get(worker, "/stats").value("reboots", 0), 1);
}

} // namespace marigoldlink::testing
