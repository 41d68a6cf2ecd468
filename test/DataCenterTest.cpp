// A data centre leaves and returns: nothing starts there after seconds, work goes on elsewhere, and it fills again.
#include "Cluster.h"

#include <gtest/gtest.h>
#include <thread>

namespace marigoldlink::testing {

namespace {

    constexpr Duration s_outWithin { 5000 };

    std::uint64_t startedIn(Cluster& cluster, const std::string& dataCenter)
    {
        std::uint64_t sum = 0;
        for (const auto& worker : cluster.workers) {
            if (worker.dataCenter != dataCenter)
                continue;
            for (const auto& endpoint : worker.endpoints)
                sum += cluster.get(endpoint, "/stats").value("started", std::uint64_t { 0 });
        }
        return sum;
    }

} // namespace

TEST(DataCenter, OutStartsNothingAfterSecondsAndBackFillsAgain)
{
    Cluster cluster({});
    Flow flow;
    flow.queue = "open";
    flow.rate = 40;
    flow.workMs = 40;
    flow.deadlineMs = 3000;
    const auto options = cluster.load({ flow }, Duration(16000));
    bool isClean = false;
    Json report;
    std::thread thread([&] {
        EventLoop loop;
        Load load(loop, options);
        load.run();
        isClean = load.isClean();
        report = Json::parse(load.report());
    });
    cluster.sleep(Duration(1500));
    EXPECT_GT(startedIn(cluster, "two"), 0U);
    // The data centre hears of it through its peers only.
    cluster.platformFault("two", "silent");
    ASSERT_EQ(cluster.ctl({ "dc", "out", "two" }).first, 0);
    cluster.sleep(s_outWithin);
    const auto before = startedIn(cluster, "two");
    cluster.sleep(Duration(3000));
    EXPECT_EQ(startedIn(cluster, "two"), before);
    cluster.platformFault("two", "ok");
    ASSERT_EQ(cluster.ctl({ "dc", "back", "two" }).first, 0);
    cluster.waitFor("work starts there again", [&] { return startedIn(cluster, "two") > before; });
    thread.join();
    EXPECT_TRUE(isClean) << report.dump(2);
    const auto& result = report.at("flows").at(0);
    EXPECT_GE(result.at("answered").get<double>(), 0.97 * result.at("sent").get<double>()) << report.dump(2);
}

TEST(DataCenter, LeavingWorkerGetsNoNewWorkAfterSeconds)
{
    ClusterOptions options;
    options.dataCenters = { "one" };
    Cluster cluster(options);
    const auto leaving = cluster.workers[0].endpoints[0];
    cluster.call(leaving, { "POST", "/leave", {}, {}, Duration(1000) });
    cluster.sleep(s_outWithin);
    const auto before = cluster.get(leaving, "/stats").value("started", 0);
    for (int i = 0; i < 40; ++i)
        ASSERT_TRUE(cluster.submit(0, "open", "", "").isOk());
    EXPECT_EQ(cluster.get(leaving, "/stats").value("started", 0), before);
}

} // namespace marigoldlink::testing
