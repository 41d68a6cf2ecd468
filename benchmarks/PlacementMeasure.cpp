// Measures the processor time of placement passes and of pool demands by the number of waiting steps, on pools that are
// full and on pools in which a few tasks end between two passes.
#include "Measures.h"

#include "marigoldlink/Coordination/Placement.h"

#include <algorithm>
#include <chrono>
#include <cstdio>

namespace marigoldlink::benchmarks {

namespace {

    constexpr int s_poolCount = 4;
    constexpr int s_workersPerPool = 70;
    constexpr int s_teamCount = 20;
    constexpr int s_passes = 300;
    constexpr int s_endsPerPass = 8;
    constexpr Duration s_arrivalInterval { 5 };
    constexpr std::int64_t s_workerMilliCores = 64000;

    struct Model {
        JobTable jobs;
        WorkerTable workers;
        FleetConfig config;
        TeamUsageTotals use;
        AdviceCache advice { {} };
        TimePoint now { Duration(100000) };
        std::uint64_t random { 1 };
        std::vector<std::pair<WorkerId, TaskKey>> running;
        int submitted { 0 };

        std::int64_t below(std::int64_t bound)
        {
            random = random * 6364136223846793005ull + 1442695040888963407ull;
            return static_cast<std::int64_t>((random >> 33) % static_cast<std::uint64_t>(bound));
        }

        static ServiceId service(int pool) { return ServiceId("service-" + std::to_string(pool)); }

        Model()
        {
            for (int i = 0; i < s_teamCount; ++i) {
                const TeamId id("team-" + std::to_string(i));
                config.teams[id] = { id, 1.0 + i % 3, { 4000000, 0, 0 }, {} };
            }
            for (int i = 0; i < s_poolCount * s_workersPerPool; ++i) {
                WorkerEntry entry;
                entry.incarnation.id = WorkerId("w" + std::to_string(1000 + i));
                entry.service = service(i % s_poolCount);
                entry.capacity = { s_workerMilliCores, 256000, 0 };
                entry.rack = RackId("r" + std::to_string(i / 20));
                workers.entryChanged(entry);
            }
        }

        // Needs differ from job to job by half of their mean.
        void submit()
        {
            const int pool = submitted % s_poolCount;
            JobQueue queue;
            queue.id = QueueId("queue-" + std::to_string(pool));
            queue.service = service(pool);
            queue.maxTaskFailures = 3;
            queue.objectiveFactor = 1.6;
            queue.objectiveAllowance = Duration(600);
            JobSpec spec;
            spec.id = JobId("job-" + std::to_string(submitted++));
            spec.queue = queue.id;
            spec.team = TeamId("team-" + std::to_string(below(s_teamCount)));
            StepSpec step;
            step.tasks = 8;
            step.need = { 3100 + below(6200), 1000 + below(2000), 0 };
            step.estimate = Duration(400 + below(800));
            spec.steps = { step, step };
            spec.steps[1].after = { 0 };
            jobs.accept(spec, queue, now);
            jobs.markStored(spec.id, 1, JobState::Pending);
        }

        Placement::Result plan()
        {
            const Placement placement(
                jobs, workers, config, use, advice, [](const Worker&) { return true; },
                [](const Job&) { return true; });
            return placement.plan(now, 64);
        }

        void start(const PlannedStart& start)
        {
            const auto& job = *jobs.find(start.task.job);
            const auto& step = job.stepSpec(start.task);
            jobs.runOrdered(start.task, start.run, start.worker, now);
            workers.reserve(start.worker, start.task,
                { start.run, step.reserved(), step.need, job.spec.team, false, std::nullopt, {} });
            use.add(job.spec.team, step.need);
            running.emplace_back(start.worker, start.task);
        }

        void endOneRun()
        {
            std::swap(
                running[static_cast<std::size_t>(below(static_cast<std::int64_t>(running.size())))], running.back());
            const auto [worker, key] = running.back();
            running.pop_back();
            const auto run = workers.find(worker)->runs.at(key);
            use.subtract(run.team, run.need);
            workers.release(worker, key, run.number);
            jobs.runEnded(key, run.number, RunEnd::Done, {}, now);
        }

        // Fills the pools and the queue, whose jobs arrived one after the other.
        void fill(std::size_t waitingJobs)
        {
            for (std::size_t i = 0; i < waitingJobs; ++i) {
                now += s_arrivalInterval;
                submit();
            }
            for (auto starts = plan().starts; !starts.empty(); starts = plan().starts) {
                for (const auto& planned : starts)
                    start(planned);
            }
            while (jobs.schedulableJobs().size() < waitingJobs)
                submit();
        }
    };

    using Times = std::vector<std::chrono::steady_clock::duration>;

    // The median is little affected by passes during which the process was not scheduled.
    double medianMicroseconds(Times& times)
    {
        const auto middle = times.begin() + static_cast<std::ptrdiff_t>(times.size() / 2);
        std::nth_element(times.begin(), middle, times.end());
        return std::chrono::duration<double, std::micro>(*middle).count();
    }

} // namespace

void measurePlacement()
{
    std::printf(
        "%-8s %12s %12s %12s %12s %12s\n", "waiting", "full us", "room us", "starts", "change us", "demands us");
    for (const std::size_t waiting : { 100u, 1000u, 5000u, 20000u }) {
        Model model;
        model.fill(waiting);
        const PoolDemandIndex::FleetBounds bounds { { "", { s_workerMilliCores, 256000, 0 } } };
        model.jobs.poolDemands(bounds);
        Times full;
        Times withRoom;
        Times changes;
        Times demands;
        std::size_t starts = 0;
        for (int pass = 0; pass < s_passes; ++pass) {
            model.now += Duration(2);
            const auto begin = std::chrono::steady_clock::now();
            model.plan();
            const auto planned = std::chrono::steady_clock::now();
            for (int i = 0; i < s_endsPerPass; ++i)
                model.endOneRun();
            const auto ended = std::chrono::steady_clock::now();
            const auto result = model.plan();
            const auto replanned = std::chrono::steady_clock::now();
            for (const auto& start : result.starts)
                model.start(start);
            while (model.jobs.schedulableJobs().size() < waiting)
                model.submit();
            const auto changed = std::chrono::steady_clock::now();
            model.jobs.poolDemands(bounds);
            demands.push_back(std::chrono::steady_clock::now() - changed);
            full.push_back(planned - begin);
            withRoom.push_back(replanned - ended);
            changes.push_back((ended - planned) + (changed - replanned));
            starts += result.starts.size();
        }
        std::printf("%-8zu %12.1f %12.1f %12.1f %12.1f %12.1f\n", waiting, medianMicroseconds(full),
            medianMicroseconds(withRoom), static_cast<double>(starts) / s_passes, medianMicroseconds(changes),
            medianMicroseconds(demands));
        std::fflush(stdout);
    }
}

} // namespace marigoldlink::benchmarks
