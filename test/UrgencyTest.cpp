// Urgent tasks start in time while deferrable tasks occupy every slot and while another queue is overloaded.
#include "Cluster.h"

#include <gtest/gtest.h>

namespace marigoldlink::testing {

namespace {

    // Required bound on the time from the submission of an urgent request to its start.
    constexpr std::int64_t s_maxStartWaitMs = 1400;

    Flow flow(
        const std::string& queue, const std::string& key, double rate, std::int64_t workMs, std::int64_t deadlineMs)
    {
        Flow result;
        result.queue = queue;
        result.key = key;
        result.rate = rate;
        result.workMs = workMs;
        result.deadlineMs = deadlineMs;
        result.isIdempotent = true;
        return result;
    }

    ClusterOptions fleet()
    {
        ClusterOptions options;
        options.entriesPerDataCenter = 2;
        options.fleetSpec = defaultFleetSpec(options.dataCenters, 1000);
        return options;
    }

} // namespace

TEST(Urgency, UrgentStartsInTimeWhileDeferrableFillsEverySlot)
{
    Cluster cluster(fleet());
    const auto red = cluster.grantKey("red");
    const auto blue = cluster.grantKey("blue");
    // Deferrable tasks of 5 s occupy all 48 slots. Urgent tasks need 12 slots on average.
    auto options = cluster.load(
        { flow("urgent", red, 120, 100, 4000), flow("deferrable", blue, 15, 5000, 60000) }, Duration(10000));
    EventLoop loop;
    Load load(loop, options);
    load.run();
    EXPECT_TRUE(load.isClean()) << load.report();
    const auto report = Json::parse(load.report());
    const auto& urgent = report.at("flows").at(0);
    EXPECT_EQ(urgent.at("answered"), urgent.at("sent")) << load.report();
    EXPECT_LE(urgent.at("wait_ms").at("p99.9").get<std::int64_t>(), s_maxStartWaitMs) << load.report();
    const auto& deferrable = report.at("flows").at(1);
    EXPECT_EQ(deferrable.at("answered"), deferrable.at("sent")) << "preempted tasks must end before their deadline";
}

TEST(Urgency, UrgentStartsInTimeWhileNormalWorkBursts)
{
    Cluster cluster(fleet());
    const auto red = cluster.grantKey("red");
    const auto blue = cluster.grantKey("blue");
    // The demand of the normal queue is five times the capacity of the pool.
    auto options
        = cluster.load({ flow("urgent", red, 120, 100, 4000), flow("normal", blue, 600, 400, 2000) }, Duration(6000));
    EventLoop loop;
    Load load(loop, options);
    load.run();
    EXPECT_TRUE(load.isClean()) << load.report();
    const auto urgent = Json::parse(load.report()).at("flows").at(0);
    EXPECT_EQ(urgent.at("answered"), urgent.at("sent")) << load.report();
    EXPECT_LE(urgent.at("wait_ms").at("p99.9").get<std::int64_t>(), s_maxStartWaitMs) << load.report();
}

} // namespace marigoldlink::testing
