// A team never has more running tasks than its upper limit, even if entries crash or freeze, the platform fails or the
// network is partitioned.
#include "Cluster.h"

#include <csignal>
#include <gtest/gtest.h>
#include <thread>

namespace marigoldlink::testing {

namespace {

    constexpr Slots s_upperLimit = 12;
    constexpr Duration s_samplePeriod { 20 };

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

    // Splits the run of a test into phases and checks, once it is over, how many tasks of team red ran at the same
    // moment.
    class RunningTasks {
    public:
        struct Phase {
            TimePoint from;
            TimePoint to;
        };

        explicit RunningTasks(Cluster& cluster)
            : m_cluster(cluster)
            , m_start(cluster.loop.now())
        {
        }

        // Lets the cluster run for the time.
        Phase runFor(Duration time)
        {
            const auto from = m_cluster.loop.now();
            m_cluster.runFor(time);
            return { from, m_cluster.loop.now() };
        }

        // Reads the history, and checks the limit from the start of the test until now.
        void checkLimit()
        {
            m_history = m_cluster.taskHistory("red");
            const Phase whole { m_start, m_cluster.loop.now() };
            EXPECT_LE(maxRunning(whole), s_upperLimit) << describe(whole);
        }

        // Of the history that checkLimit() has read:
        Slots maxRunning(const Phase& phase) const { return m_history.maxRunning(phase.from, phase.to); }
        // Largest of samples, so that a short peak does not count as use of the limit.
        Slots maxSampled(const Phase& phase) const
        {
            Slots result = 0;
            for (auto time = phase.from; time < phase.to; time += s_samplePeriod)
                result = std::max(result, m_history.runningAt(time));
            return result;
        }
        std::string describe(const Phase& phase) const { return m_history.describeBusiest(phase.from, phase.to); }

    private:
        Cluster& m_cluster;
        TimePoint m_start;
        TaskHistory m_history { {} };
    };

    ClusterOptions limitedFleet()
    {
        ClusterOptions options;
        options.entriesPerDataCenter = 2;
        return options;
    }

} // namespace

// Guards against counting a task that has ended together with the one that started after it.
TEST(UpperLimit, TasksThatFollowEachOtherAreNotCountedTogether)
{
    using Time = TaskRun::Time;
    const auto at = [](std::int64_t ms) { return TimePoint(Duration(ms)); };
    const auto run = [](const char* task, std::int64_t startMs, std::int64_t endMs) {
        return TaskRun { task, "worker", Duration(startMs), Duration(endMs) };
    };
    const TaskHistory history(
        { run("a", 10, 20), run("b", 20, 30), run("c", 25, 40), TaskRun { "d", "worker", Duration(50), Time::max() } });
    EXPECT_EQ(history.maxRunning(at(0), at(25)), 1);
    EXPECT_EQ(history.maxRunning(at(0), at(60)), 2);
    EXPECT_EQ(history.maxRunning(at(28), at(29)), 2);
    EXPECT_EQ(history.maxRunning(at(40), at(50)), 0);
    EXPECT_EQ(history.maxRunning(at(60), at(70)), 1);
}

TEST(UpperLimit, HoldsWhileEntriesDieAndFreeze)
{
    Cluster cluster(limitedFleet());
    RunningTasks tasks(cluster);
    BackgroundLoad load(cluster, { redFlow(120, 300) }, Duration(16000));
    const auto undisturbed = tasks.runFor(Duration(3000));
    cluster.entries[0].process.kill();
    tasks.runFor(Duration(2000));
    cluster.entries[2].process.signal(SIGSTOP);
    tasks.runFor(Duration(6000));
    cluster.entries[2].process.signal(SIGCONT);
    const auto recovered = tasks.runFor(Duration(4000));
    load.join();
    tasks.checkLimit();
    EXPECT_GE(tasks.maxSampled(undisturbed), s_upperLimit * 3 / 4)
        << "the team must be able to use most of its limit under load";
    EXPECT_GE(tasks.maxSampled(recovered), s_upperLimit * 3 / 4)
        << "the amounts of the killed entry must be usable again";
    EXPECT_TRUE(load.isClean()) << load.report();
}

TEST(UpperLimit, HoldsWhileThePlatformIsDownAndLosesAnswers)
{
    Cluster cluster(limitedFleet());
    RunningTasks tasks(cluster);
    BackgroundLoad load(cluster, { redFlow(120, 300) }, Duration(14000));
    tasks.runFor(Duration(2000));
    cluster.setPlatformFault("", "lose-answers");
    tasks.runFor(Duration(3000));
    cluster.setPlatformFault("", "silent");
    cluster.entries[1].process.kill();
    const auto outage = tasks.runFor(Duration(3000));
    cluster.setPlatformFault("", "ok", 200);
    tasks.runFor(Duration(2000));
    cluster.setPlatformFault("", "ok");
    tasks.runFor(Duration(3000));
    load.join();
    tasks.checkLimit();
    EXPECT_GT(tasks.maxSampled(outage), 0) << "tasks must start during the outage of the platform";
    EXPECT_TRUE(load.isClean()) << load.report();
}

TEST(UpperLimit, HoldsInPartitionedDataCentre)
{
    Cluster cluster(limitedFleet());
    RunningTasks tasks(cluster);
    BackgroundLoad load(cluster, { redFlow(120, 300) }, Duration(14000));
    tasks.runFor(Duration(2000));
    cluster.partition("two", true);
    tasks.runFor(Duration(7000));
    cluster.heal();
    tasks.runFor(Duration(4000));
    load.join();
    tasks.checkLimit();
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
    RunningTasks tasks(cluster);
    BackgroundLoad load(cluster, { redFlow(120, 300) }, Duration(9000));
    tasks.runFor(Duration(2000));
    cluster.applySpec(defaultFleetSpec(cluster.options.dataCenters, 4));
    tasks.runFor(Duration(5000));
    const auto lowered = tasks.runFor(Duration(1600));
    const auto state = [&] {
        std::string all;
        for (std::size_t i = 0; i < cluster.entries.size(); ++i)
            all += cluster.status(i).dump() + "\n";
        return all + cluster.get(cluster.platforms.back(), "/kv/escrow/red").dump();
    }();
    load.join();
    tasks.checkLimit();
    EXPECT_LE(tasks.maxRunning(lowered), 4) << tasks.describe(lowered) << state;
    EXPECT_GE(tasks.maxSampled(lowered), 3);
}

} // namespace marigoldlink::testing
