// A team never has more running tasks than its upper limit, even if entries crash or freeze, the platform fails or the
// network is partitioned.
#include "Cluster.h"

#include <csignal>
#include <gtest/gtest.h>
#include <thread>

namespace marigoldlink::testing {

namespace {

    constexpr Slots s_upperLimit = 12;

    // Runs the load on another thread while the test injects faults.
    class BackgroundLoad {
    public:
        BackgroundLoad(Cluster& cluster, std::vector<Flow> flows, Duration time)
            : m_options(cluster.load(std::move(flows), time))
            , m_thread([this] {
                EventLoop loop;
                Load load(loop, m_options);
                load.run();
                m_isClean = load.isClean();
                m_report = load.report();
            })
        {
        }

        void join() { m_thread.join(); }
        bool isClean() const { return m_isClean; }
        const std::string& report() const { return m_report; }

    private:
        Load::Options m_options;
        bool m_isClean { false };
        std::string m_report;
        std::thread m_thread;
    };

    Flow redFlow(double rate, std::int64_t workMs)
    {
        Flow flow;
        flow.queue = "open";
        flow.rate = rate;
        flow.workMs = workMs;
        flow.deadlineMs = 3000;
        return flow;
    }

    class RunningTasksSampler {
    public:
        explicit RunningTasksSampler(Cluster& cluster)
            : m_cluster(cluster)
        {
        }

        // Samples the number of running tasks of team red for the time and checks it against the limit. Returns the
        // maximum.
        Slots sample(Duration time)
        {
            Slots maxRunning = 0;
            const auto end = m_cluster.loop.now() + time;
            while (m_cluster.loop.now() < end) {
                maxRunning = std::max(maxRunning, m_cluster.countRunningTasks("red"));
                EXPECT_LE(maxRunning, s_upperLimit);
                m_cluster.runFor(Duration(15));
            }
            return maxRunning;
        }

    private:
        Cluster& m_cluster;
    };

    ClusterOptions limitedFleet()
    {
        ClusterOptions options;
        options.entriesPerDataCenter = 2;
        return options;
    }

} // namespace

TEST(UpperLimit, HoldsWhileEntriesDieAndFreeze)
{
    Cluster cluster(limitedFleet());
    RunningTasksSampler sampler(cluster);
    BackgroundLoad load(cluster, { redFlow(120, 300) }, Duration(16000));
    EXPECT_GE(sampler.sample(Duration(3000)), s_upperLimit * 3 / 4)
        << "the team must be able to use most of its limit under load";
    cluster.entries[0].process.kill();
    sampler.sample(Duration(2000));
    cluster.entries[2].process.signal(SIGSTOP);
    sampler.sample(Duration(6000));
    cluster.entries[2].process.signal(SIGCONT);
    EXPECT_GE(sampler.sample(Duration(4000)), s_upperLimit * 3 / 4)
        << "the amounts of the killed entry must be usable again";
    load.join();
    EXPECT_TRUE(load.isClean()) << load.report();
}

TEST(UpperLimit, HoldsWhileThePlatformIsDownAndLosesAnswers)
{
    Cluster cluster(limitedFleet());
    RunningTasksSampler sampler(cluster);
    BackgroundLoad load(cluster, { redFlow(120, 300) }, Duration(14000));
    sampler.sample(Duration(2000));
    cluster.setPlatformFault("", "lose-answers");
    sampler.sample(Duration(3000));
    cluster.setPlatformFault("", "silent");
    cluster.entries[1].process.kill();
    EXPECT_GT(sampler.sample(Duration(3000)), 0) << "tasks must start during the outage of the platform";
    cluster.setPlatformFault("", "ok", 200);
    sampler.sample(Duration(2000));
    cluster.setPlatformFault("", "ok");
    sampler.sample(Duration(3000));
    load.join();
    EXPECT_TRUE(load.isClean()) << load.report();
}

TEST(UpperLimit, HoldsInPartitionedDataCentre)
{
    Cluster cluster(limitedFleet());
    RunningTasksSampler sampler(cluster);
    BackgroundLoad load(cluster, { redFlow(120, 300) }, Duration(14000));
    sampler.sample(Duration(2000));
    cluster.partition("two", true);
    sampler.sample(Duration(7000));
    cluster.heal();
    sampler.sample(Duration(4000));
    load.join();
    EXPECT_TRUE(load.isClean()) << load.report();
}

// Each holder's amount is below the lowered limit and no request is queued, so no holder reads the escrow record to get
// more. The lowered limit must take effect nevertheless.
TEST(UpperLimit, LoweredLimitTakesEffectWithEmptyQueues)
{
    Cluster cluster(limitedFleet());
    const auto totalHeld = [&] {
        Slots sum = 0;
        for (std::size_t i = 0; i < cluster.entries.size(); ++i) {
            const auto status = cluster.status(i);
            for (const auto& account : status.at("escrow"))
                sum += account.value("held", Slots { 0 });
        }
        return sum;
    };
    BackgroundLoad load(cluster, { redFlow(60, 100) }, Duration(2000));
    load.join();
    ASSERT_GT(totalHeld(), 4);
    cluster.applySpec(defaultFleetSpec(cluster.options.dataCenters, 2));
    cluster.waitUntil(
        "the sum of all amounts is within the lowered limit", [&] { return totalHeld() <= 4; }, Duration(6000));
}

TEST(UpperLimit, LoweredLimitTakesEffectWithinSeconds)
{
    Cluster cluster(limitedFleet());
    BackgroundLoad load(cluster, { redFlow(120, 300) }, Duration(9000));
    cluster.runFor(Duration(2000));
    cluster.applySpec(defaultFleetSpec(cluster.options.dataCenters, 4));
    cluster.runFor(Duration(5000));
    Slots maxRunning = 0;
    for (int i = 0; i < 60; ++i) {
        maxRunning = std::max(maxRunning, cluster.countRunningTasks("red"));
        cluster.runFor(Duration(20));
    }
    EXPECT_LE(maxRunning, 4) << [&] {
        std::string all;
        for (std::size_t i = 0; i < cluster.entries.size(); ++i)
            all += cluster.status(i).dump() + "\n";
        return all + cluster.get(cluster.platforms.back(), "/kv/escrow/red").dump();
    }();
    EXPECT_GE(maxRunning, 3);
    load.join();
}

} // namespace marigoldlink::testing
