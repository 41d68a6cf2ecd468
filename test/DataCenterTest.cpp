// A data centre is taken out of service and back: within seconds no task starts there, the other data centres keep
// serving, and tasks start there again on its return.
#include "Cluster.h"

#include <gtest/gtest.h>
#include <thread>

namespace marigoldlink::testing {

namespace {

    constexpr Duration s_maxDrainDelay { 5000 };

    std::uint64_t startedTasksIn(Cluster& cluster, const std::string& dataCenter)
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

TEST(DataCenter, OutOfServiceStopsStartsAndReturnResumesThem)
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
    cluster.runFor(Duration(1500));
    EXPECT_GT(startedTasksIn(cluster, "two"), 0U);
    // With the platform unreachable, the data centre learns that it is out of service through its peers only.
    cluster.setPlatformFault("two", "silent");
    ASSERT_EQ(cluster.runMarigoldctl({ "dc", "out", "two" }).first, 0);
    cluster.runFor(s_maxDrainDelay);
    const auto before = startedTasksIn(cluster, "two");
    cluster.runFor(Duration(3000));
    EXPECT_EQ(startedTasksIn(cluster, "two"), before);
    cluster.setPlatformFault("two", "ok");
    ASSERT_EQ(cluster.runMarigoldctl({ "dc", "back", "two" }).first, 0);
    cluster.waitUntil("tasks start in the data centre again", [&] { return startedTasksIn(cluster, "two") > before; });
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
    cluster.runFor(s_maxDrainDelay);
    const auto before = cluster.get(leaving, "/stats").value("started", 0);
    for (int i = 0; i < 40; ++i)
        ASSERT_TRUE(cluster.submit(0, "open", "", "").isOk());
    EXPECT_EQ(cluster.get(leaving, "/stats").value("started", 0), before);
}

} // namespace marigoldlink::testing
