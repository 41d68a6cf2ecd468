// Division of a short pool between teams, in virtual time: a pool of workers, teams that submit jobs, and placement
// passes as the coordinator makes them.
#include "marigoldlink/Coordination/Placement.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace marigoldlink::testing {

namespace {

    const AdviceCache s_noAdvice { {} };
    const ServiceId s_service("gates");
    constexpr int s_workers = 10;
    constexpr std::int64_t s_workerMilliCores = 8000;
    constexpr Duration s_step { 5 };
    constexpr double s_cores = s_workers * s_workerMilliCores / 1000.0;

    struct Load {
        const char* team;
        double weight { 1 };
        double cores { 0 }; // demand on average
        Duration taskTime { 200 };
        int priority { 0 };
        const char* queue { "queue-" };
    };

    class Pool {
    public:
        explicit Pool(const std::vector<Load>& loads, bool hasShares = true)
            : m_loads(loads)
            , m_hasShares(hasShares)
        {
            jobs.setSeparatesUseless(hasShares);
            for (int i = 0; i < s_workers; ++i) {
                WorkerEntry entry;
                entry.incarnation.id = WorkerId("w" + std::to_string(i));
                entry.service = s_service;
                entry.capacity = { s_workerMilliCores, 100000, 0 };
                workers.entryChanged(entry);
            }
            for (const auto& load : loads) {
                JobTeam team;
                team.id = TeamId(load.team);
                team.weight = load.weight;
                config.teams.emplace(team.id, team);
            }
        }

        void submit(const Load& load)
        {
            JobQueue queue;
            queue.id = QueueId(load.queue + std::to_string(load.priority));
            queue.service = s_service;
            queue.priority = load.priority;
            queue.objectiveFactor = 1.6;
            queue.objectiveAllowance = Duration(600);
            JobSpec spec;
            spec.id = JobId(std::string(load.team) + '-' + std::to_string(++m_submitted));
            spec.queue = queue.id;
            spec.team = TeamId(load.team);
            StepSpec step;
            step.tasks = 4;
            step.need = { 1000, 10, 0 };
            step.estimate = load.taskTime;
            spec.steps = { step };
            jobs.accept(spec, queue, now);
            jobs.markStored(spec.id, 1, JobState::Pending);
        }

        // Plans and carries out the starts. Returns whether more may follow.
        bool place()
        {
            constexpr std::size_t most = 64;
            if (m_hasShares && now >= m_nextAllotment) {
                m_nextAllotment = now + Duration(20);
                allot();
            }
            Placement placement(
                jobs, workers, config, m_use, s_noAdvice, [](const Worker&) { return true; },
                [](const Job&) { return true; });
            placement.setAllotments(m_hasShares ? &allotments : nullptr);
            const auto planned = placement.plan(now, most).starts;
            for (const auto& start : planned) {
                const auto& job = *jobs.find(start.task.job);
                const auto& step = job.stepSpec(start.task);
                jobs.runOrdered(start.task, start.run, start.worker, now);
                workers.reserve(start.worker, start.task,
                    { start.run, step.reserved(), step.need, job.spec.team, false, std::nullopt, {} });
                m_use.add(job.spec.team, step.need);
                m_ends.emplace(now + step.estimate, std::pair(start.worker, start.task));
                starts.push_back(start.task);
            }
            return planned.size() >= most;
        }

        void allot()
        {
            PoolLoad load { s_service, s_cores * 1000, {}, 0 };
            for (const auto& [team, milliCores] : workers.useOf(s_service).milliCores)
                load.demand[team] += static_cast<double>(milliCores);
            for (const auto& [service, groups] : jobs.readyIndex(now).services()) {
                for (const auto& [key, group] : groups)
                    load.demand[key.team] += static_cast<double>(group.waitingMilliCores);
            }
            allotments = allotShortPools({ load }, [this](const TeamId& id) { return config.teams.at(id).weight; });
            m_corrections.apply(allotments);
        }

        void endRuns()
        {
            while (!m_ends.empty() && m_ends.begin()->first <= now) {
                const auto [worker, key] = m_ends.begin()->second;
                m_ends.erase(m_ends.begin());
                const auto run = workers.find(worker)->runs.at(key);
                m_use.subtract(run.team, run.need);
                workers.release(worker, key, run.number);
                jobs.runEnded(key, run.number, RunEnd::Done, {}, now);
                const auto& job = *jobs.find(key.job);
                if (job.isActive())
                    continue;
                auto& team = ended[run.team];
                ++team.all;
                team.inTime += now <= job.objective(job.occurrences.at(0));
            }
        }

        // Runs the load for the given time. A factor scales the arrivals of all teams.
        void run(Duration time, double factor = 1)
        {
            for (const auto end = now + time; now < end; now += s_step) {
                endRuns();
                for (const auto& load : m_loads) {
                    auto& arrivals = m_arrivals[load.team];
                    arrivals += factor * load.cores / 4 * static_cast<double>(s_step.count())
                        / static_cast<double>(load.taskTime.count());
                    for (; arrivals >= 1; arrivals -= 1)
                        submit(load);
                }
                while (place())
                    continue;
                std::map<TeamId, double> used;
                for (const auto& [team, milliCores] : workers.useOf(s_service).milliCores)
                    used[team] = static_cast<double>(milliCores);
                m_corrections.observe(allotments, used, now);
                for (const auto& [team, milliCores] : workers.useOf(s_service).milliCores)
                    coreSeconds[team] += static_cast<double>(milliCores * s_step.count()) / 1e6;
            }
        }

        struct Ended {
            int all { 0 };
            int inTime { 0 };
        };

        JobTable jobs;
        WorkerTable workers;
        FleetConfig config;
        TeamAllotments allotments;
        TimePoint now { Duration(100000) };
        std::map<TeamId, double> coreSeconds;
        std::map<TeamId, Ended> ended;
        std::vector<TaskKey> starts;

    private:
        std::vector<Load> m_loads;
        bool m_hasShares;
        TeamUsageTotals m_use;
        TimePoint m_nextAllotment;
        AllotmentCorrections m_corrections;
        std::multimap<TimePoint, std::pair<WorkerId, TaskKey>> m_ends;
        std::map<std::string, double> m_arrivals;
        int m_submitted { 0 };
    };

} // namespace

// Teams of any weight that all ask for half more than their shares, with tasks of different lengths. Guards against
// shares that drift with the length of tasks or the order of submissions.
RC_GTEST_PROP(Shares, AreWithinFivePercentOverTenSecondsOfContention, ())
{
    std::vector<Load> loads;
    static const char* const names[] = { "a", "b", "c", "d" };
    const auto count = *rc::gen::inRange(2, 5);
    double weights = 0;
    for (int i = 0; i < count; ++i) {
        loads.push_back(
            { names[i], static_cast<double>(*rc::gen::inRange(1, 5)), 0, Duration(*rc::gen::inRange(50, 600)), 0 });
        weights += loads.back().weight;
    }
    for (auto& load : loads)
        load.cores = 1.5 * s_cores * load.weight / weights;
    Pool pool(loads);
    pool.run(Duration(1000));
    pool.coreSeconds.clear();
    pool.run(Duration(10000));
    for (const auto& load : loads) {
        const auto expected = 10 * s_cores * load.weight / weights;
        const auto used = pool.coreSeconds[TeamId(load.team)];
        RC_ASSERT(std::abs(used - expected) <= 0.05 * expected);
    }
}

// A team at eight times its usual rate beside others with the same weight. Guards against an order by objective alone,
// in which its jobs delay those of the others.
TEST(Shares, ATeamAtEightTimesItsRateDoesNotDelayOthers)
{
    Pool pool({ { "large", 1, 8 * 15 }, { "b", 1, 15 }, { "c", 1, 15 }, { "d", 1, 15 } });
    pool.run(Duration(10000));
    double used = 0;
    for (const auto& [team, coreSeconds] : pool.coreSeconds)
        used += coreSeconds;
    EXPECT_GT(used, 0.95 * 10 * s_cores) << "the large team takes what the others leave";
    for (const char* team : { "b", "c", "d" }) {
        const auto& ended = pool.ended[TeamId(team)];
        EXPECT_GT(ended.all, 150);
        EXPECT_EQ(ended.inTime, ended.all) << team;
    }
}

// All queues at five times their rate. Guards against a team that gets nothing, and against jobs that are forgotten
// once they are of no use.
TEST(Shares, AllQueuesAtFiveTimesTheirRateStarveNobody)
{
    Pool pool({ { "a", 1, 16 }, { "b", 1, 16 }, { "c", 1, 16, Duration(600) }, { "d", 1, 16 } });
    pool.run(Duration(5000), 5);
    for (const char* team : { "a", "b", "c", "d" })
        EXPECT_NEAR(pool.coreSeconds[TeamId(team)], 5 * s_cores / 4, 0.05 * 5 * s_cores / 4) << team;
    pool.run(Duration(40000), 0);
    EXPECT_TRUE(pool.jobs.activeJobs().empty());
}

// Guards against a change of the order of starts on calm days, also of jobs that are past their use.
TEST(Shares, CalmLoadIsPlannedAsWithoutShares)
{
    const std::vector<Load> loads { { "a", 1, 30, Duration(300) }, { "b", 3, 20, Duration(500) },
        { "c", 2, 15, Duration(80), 1 } };
    Pool with(loads);
    Pool without(loads, false);
    for (auto* pool : { &with, &without })
        pool->run(Duration(5000));
    EXPECT_GT(with.starts.size(), 1000u);
    EXPECT_EQ(with.starts, without.starts);
}

// Guards against a job of no more use that takes the room of late ones that still are.
TEST(Shares, JobsPastThreeTimesTheirObjectiveGoLastOfTheirTeam)
{
    Pool pool({ { "a" }, { "b" } });
    pool.submit({ "a" });
    pool.submit({ "a", 1, 0, Duration(200), 0, "other-" });
    constexpr Duration objective { 320 + 600 };
    pool.now += 2 * objective;
    for (int i = 0; i < 30; ++i)
        pool.submit({ "a" });
    pool.now += objective + Duration(1);
    pool.place();
    ASSERT_EQ(pool.starts.size(), 64u);
    pool.place();
    ASSERT_EQ(pool.starts.size(), 80u);
    for (const auto& start : pool.starts)
        EXPECT_TRUE(start.job != JobId("a-1") && start.job != JobId("a-2"));
}

// A team far over its share asks with priority 0, another one with priority 1. Guards against shares that override
// priorities, and against a share of one team that leaves room unused.
TEST(Shares, PriorityGoesBeforeShares)
{
    Pool pool({ { "a" }, { "b" } });
    for (int i = 0; i < 15; ++i)
        pool.submit({ "a" });
    for (int i = 0; i < 30; ++i)
        pool.submit({ "b", 1, 0, Duration(200), 1 });
    pool.place();
    pool.place();
    ASSERT_EQ(pool.starts.size(), 80u);
    std::map<char, int> byTeam;
    for (const auto& start : pool.starts)
        ++byTeam[start.job.value().front()];
    EXPECT_EQ(byTeam['a'], 60);
    EXPECT_EQ(byTeam['b'], 20);
}

} // namespace marigoldlink::testing
