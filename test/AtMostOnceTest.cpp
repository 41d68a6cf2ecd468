// Non-idempotent requests run at most once, refusals "not run" are true, and answers are whole and the caller's own.
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

    struct Report {
        bool isClean { false };
        Json json;
    };

    // Runs the load with retries through other entries, and the disturbance beside it.
    template <typename Function>
    Report runWith(Cluster& cluster, std::vector<Flow> flows, Duration time, Function disturb)
    {
        auto options = cluster.load(std::move(flows), time);
        options.isRetrying = true;
        Report report;
        std::thread thread([&] {
            EventLoop loop;
            Load load(loop, options);
            load.run();
            report.isClean = load.isClean();
            report.json = Json::parse(load.report());
        });
        disturb();
        thread.join();
        return report;
    }

    std::size_t answered(const Report& report)
    {
        std::size_t sum = 0;
        for (const auto& item : report.json.at("flows"))
            sum += item.at("answered").get<std::size_t>();
        return sum;
    }

} // namespace

TEST(AtMostOnce, HoldsWhileEntriesDieAndCallersRetry)
{
    ClusterOptions options;
    options.entriesPerDataCenter = 2;
    options.entrySettings = "[timeouts]\nclaim_window_ms = 5000\n";
    Cluster cluster(options);
    const auto report = runWith(cluster, { flow("open", 60, 40) }, Duration(9000), [&] {
        for (const std::size_t victim : { 0, 3 }) {
            cluster.sleep(Duration(1500));
            cluster.entries[victim].process.kill();
            cluster.sleep(Duration(1000));
            cluster.addEntry(cluster.entries[victim].dataCenter);
        }
        cluster.sleep(Duration(1000));
        cluster.entries[1].process.signal(SIGSTOP);
        cluster.sleep(Duration(5000));
        cluster.entries[1].process.signal(SIGCONT);
    });
    EXPECT_TRUE(report.isClean) << report.json.dump(2);
    EXPECT_GT(answered(report), 300U) << report.json.dump(2);
}

TEST(AtMostOnce, HoldsWhileWorkersLoseRequestsAndAnswers)
{
    Cluster cluster({});
    const auto report = runWith(cluster, { flow("open", 60, 30) }, Duration(7000), [&] {
        const char* faults[] { "drop-start", "drop-answer", "fail" };
        for (std::size_t i = 0; i < 3; ++i) {
            const auto worker = cluster.workers[i].endpoints[0];
            cluster.call(worker, { "POST", std::string("/fault?mode=") + faults[i], {}, {}, Duration(1000) });
        }
        cluster.sleep(Duration(3500));
        for (std::size_t i = 0; i < 3; ++i)
            cluster.call(cluster.workers[i].endpoints[0], { "POST", "/fault?mode=ok", {}, {}, Duration(1000) });
    });
    EXPECT_TRUE(report.isClean) << report.json.dump(2);
    EXPECT_GT(answered(report), 250U) << report.json.dump(2);
}

TEST(AtMostOnce, HoldsWhileWorkersFreeze)
{
    Cluster cluster({});
    const auto report = runWith(cluster, { flow("open", 40, 30) }, Duration(9000), [&] {
        cluster.sleep(Duration(1000));
        cluster.workers[0].process.signal(SIGSTOP);
        cluster.sleep(Duration(5000));
        cluster.workers[0].process.signal(SIGCONT);
    });
    EXPECT_TRUE(report.isClean) << report.json.dump(2);
    EXPECT_GT(answered(report), 200U) << report.json.dump(2);
}

TEST(AtMostOnce, HoldsAcrossACut)
{
    ClusterOptions options;
    options.entriesPerDataCenter = 2;
    Cluster cluster(options);
    const auto report = runWith(cluster, { flow("open", 60, 30) }, Duration(9000), [&] {
        cluster.sleep(Duration(1500));
        cluster.cutOff("three", true);
        cluster.sleep(Duration(4000));
        cluster.heal();
    });
    EXPECT_TRUE(report.isClean) << report.json.dump(2);
    EXPECT_GT(answered(report), 300U) << report.json.dump(2);
}

TEST(AtMostOnce, HundredsInFlightGetTheirOwnAnswers)
{
    ClusterOptions options;
    options.slots = 16;
    options.text = defaultText(options.dataCenters, 1000);
    Cluster cluster(options);
    const auto report = runWith(cluster, { flow("open", 400, 300), flow("open", 200, 1) }, Duration(4000), [] {});
    EXPECT_TRUE(report.isClean) << report.json.dump(2);
    EXPECT_GT(answered(report), 1500U) << report.json.dump(2);
}

} // namespace marigoldlink::testing
