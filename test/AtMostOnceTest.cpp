// Non-idempotent requests run at most once, a request refused with "not run" never ran, and each caller gets the
// complete response to its own request.
#include "Cluster.h"

#include <csignal>
#include <gtest/gtest.h>
#include <thread>

namespace marigoldlink::testing {

namespace {

    Flow flow(const std::string& queue, double rate, std::int64_t workMs, const std::string& key = {})
    {
        Flow result;
        result.queue = queue;
        result.key = key;
        result.rate = rate;
        result.workMs = workMs;
        result.deadlineMs = 4000;
        return result;
    }

    struct LoadReport {
        bool isClean { false };
        Json json;
    };

    // Runs the load on a second thread, with retries through other entries, while the function injects faults.
    template <typename Function>
    LoadReport runLoadWithFaults(Cluster& cluster, std::vector<Flow> flows, Duration time, Function injectFaults)
    {
        auto options = cluster.load(std::move(flows), time);
        options.isRetrying = true;
        LoadReport report;
        std::thread thread([&] {
            EventLoop loop;
            Load load(loop, options);
            load.run();
            report.isClean = load.isClean();
            report.json = Json::parse(load.report());
        });
        injectFaults();
        thread.join();
        return report;
    }

    std::size_t answered(const LoadReport& report)
    {
        std::size_t sum = 0;
        for (const auto& item : report.json.at("flows"))
            sum += item.at("answered").get<std::size_t>();
        return sum;
    }

} // namespace

TEST(AtMostOnce, HoldsWhileEntriesCrashAndCallersRetry)
{
    ClusterOptions options;
    options.entriesPerDataCenter = 2;
    options.entrySettings = "[timeouts]\nclaim_window_ms = 5000\n";
    Cluster cluster(options);
    const auto report = runLoadWithFaults(cluster, { flow("open", 60, 40) }, Duration(9000), [&] {
        for (const std::size_t killed : { 0, 3 }) {
            cluster.runFor(Duration(1500));
            cluster.entries[killed].process.kill();
            cluster.runFor(Duration(1000));
            cluster.addEntry(cluster.entries[killed].dataCenter);
        }
        cluster.runFor(Duration(1000));
        cluster.entries[1].process.signal(SIGSTOP);
        cluster.runFor(Duration(5000));
        cluster.entries[1].process.signal(SIGCONT);
    });
    EXPECT_TRUE(report.isClean) << report.json.dump(2) << cluster.describeWorkers();
    EXPECT_GT(answered(report), 300U) << report.json.dump(2);
}

TEST(AtMostOnce, HoldsWhileWorkersLoseRequestsAndAnswers)
{
    Cluster cluster({});
    const auto report = runLoadWithFaults(cluster, { flow("open", 60, 30) }, Duration(7000), [&] {
        const char* faults[] { "drop-start", "drop-answer", "fail" };
        for (std::size_t i = 0; i < 3; ++i) {
            const auto worker = cluster.workers[i].endpoints[0];
            cluster.call(worker, { "POST", std::string("/fault?mode=") + faults[i], {}, {}, Duration(1000) });
        }
        cluster.runFor(Duration(3500));
        for (std::size_t i = 0; i < 3; ++i)
            cluster.call(cluster.workers[i].endpoints[0], { "POST", "/fault?mode=ok", {}, {}, Duration(1000) });
    });
    EXPECT_TRUE(report.isClean) << report.json.dump(2) << cluster.describeWorkers();
    EXPECT_GT(answered(report), 250U) << report.json.dump(2);
}

TEST(AtMostOnce, HoldsWhileWorkersFreeze)
{
    Cluster cluster({});
    const auto report = runLoadWithFaults(cluster, { flow("open", 40, 30) }, Duration(9000), [&] {
        cluster.runFor(Duration(1000));
        cluster.workers[0].process.signal(SIGSTOP);
        cluster.runFor(Duration(5000));
        cluster.workers[0].process.signal(SIGCONT);
    });
    EXPECT_TRUE(report.isClean) << report.json.dump(2) << cluster.describeWorkers();
    EXPECT_GT(answered(report), 200U) << report.json.dump(2);
}

TEST(AtMostOnce, HoldsDuringNetworkPartition)
{
    ClusterOptions options;
    options.entriesPerDataCenter = 2;
    Cluster cluster(options);
    const auto report = runLoadWithFaults(cluster, { flow("open", 60, 30) }, Duration(9000), [&] {
        cluster.runFor(Duration(1500));
        cluster.partition("three", true);
        cluster.runFor(Duration(4000));
        cluster.heal();
    });
    EXPECT_TRUE(report.isClean) << report.json.dump(2) << cluster.describeWorkers();
    EXPECT_GT(answered(report), 300U) << report.json.dump(2);
}

TEST(AtMostOnce, HundredsInFlightGetTheirOwnAnswers)
{
    ClusterOptions options;
    options.slots = 16;
    options.fleetSpec = defaultFleetSpec(options.dataCenters, 1000);
    Cluster cluster(options);
    const auto report
        = runLoadWithFaults(cluster, { flow("open", 400, 300), flow("open", 200, 1) }, Duration(4000), [] {});
    EXPECT_TRUE(report.isClean) << report.json.dump(2) << cluster.describeWorkers();
    EXPECT_GT(answered(report), 1500U) << report.json.dump(2);
}

} // namespace marigoldlink::testing
