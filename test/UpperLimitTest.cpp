// No team has more running than its upper limit, whatever happens to entries and platform.
#include "Cluster.h"

#include <csignal>
#include <gtest/gtest.h>
#include <thread>

namespace marigoldlink::testing {

namespace {

    constexpr Slots s_limit = 12;

    // Load of both teams on another thread, while the test disturbs the fleet.
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

    class Watch {
    public:
        explicit Watch(Cluster& cluster)
            : m_cluster(cluster)
        {
        }

        // Samples the workers for the time. Returns the most that ran at once.
        Slots sample(Duration time)
        {
            Slots most = 0;
            const auto end = m_cluster.loop.now() + time;
            while (m_cluster.loop.now() < end) {
                most = std::max(most, m_cluster.runningAtWorkers("red"));
                EXPECT_LE(most, s_limit);
                m_cluster.sleep(Duration(15));
            }
            return most;
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
    Watch watch(cluster);
    BackgroundLoad load(cluster, { redFlow(120, 300) }, Duration(16000));
    EXPECT_GE(watch.sample(Duration(3000)), s_limit * 3 / 4) << "the limit is usable under load";
    cluster.entries[0].process.kill();
    watch.sample(Duration(2000));
    cluster.entries[2].process.signal(SIGSTOP);
    watch.sample(Duration(6000));
    cluster.entries[2].process.signal(SIGCONT);
    EXPECT_GE(watch.sample(Duration(4000)), s_limit * 3 / 4) << "what the dead held is in use again";
    load.join();
    EXPECT_TRUE(load.isClean()) << load.report();
}

TEST(UpperLimit, HoldsWhileThePlatformIsDownAndLosesAnswers)
{
    Cluster cluster(limitedFleet());
    Watch watch(cluster);
    BackgroundLoad load(cluster, { redFlow(120, 300) }, Duration(14000));
    watch.sample(Duration(2000));
    cluster.platformFault("", "lose-answers");
    watch.sample(Duration(3000));
    cluster.platformFault("", "silent");
    cluster.entries[1].process.kill();
    EXPECT_GT(watch.sample(Duration(3000)), 0) << "work goes on without the platform";
    cluster.platformFault("", "ok", 200);
    watch.sample(Duration(2000));
    cluster.platformFault("", "ok");
    watch.sample(Duration(3000));
    load.join();
    EXPECT_TRUE(load.isClean()) << load.report();
}

TEST(UpperLimit, HoldsInADataCentreThatIsCutOff)
{
    Cluster cluster(limitedFleet());
    Watch watch(cluster);
    BackgroundLoad load(cluster, { redFlow(120, 300) }, Duration(14000));
    watch.sample(Duration(2000));
    cluster.cutOff("two", true);
    watch.sample(Duration(7000));
    cluster.heal();
    watch.sample(Duration(4000));
    load.join();
    EXPECT_TRUE(load.isClean()) << load.report();
}

// Each holder's own amount is below the lowered limit and nothing queues, so no demand asks for the record.
TEST(UpperLimit, LoweredLimitTakesEffectWithoutQueues)
{
    Cluster cluster(limitedFleet());
    const auto heldInAll = [&] {
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
    ASSERT_GT(heldInAll(), 4);
    cluster.apply(defaultText(cluster.options.dataCenters, 2));
    cluster.waitFor(
        "the amounts fit the lowered limits", [&] { return heldInAll() <= 4; }, Duration(6000));
}

TEST(UpperLimit, LoweredLimitTakesEffectWithinSeconds)
{
    Cluster cluster(limitedFleet());
    BackgroundLoad load(cluster, { redFlow(120, 300) }, Duration(9000));
    cluster.sleep(Duration(2000));
    cluster.apply(defaultText(cluster.options.dataCenters, 4));
    cluster.sleep(Duration(5000));
    Slots most = 0;
    for (int i = 0; i < 60; ++i) {
        most = std::max(most, cluster.runningAtWorkers("red"));
        cluster.sleep(Duration(20));
    }
    EXPECT_LE(most, 4) << [&] {
        std::string all;
        for (std::size_t i = 0; i < cluster.entries.size(); ++i)
            all += cluster.status(i).dump() + "\n";
        return all + cluster.get(cluster.platforms.back(), "/kv/escrow/red").dump();
    }();
    EXPECT_GE(most, 3);
    load.join();
}

} // namespace marigoldlink::testing
