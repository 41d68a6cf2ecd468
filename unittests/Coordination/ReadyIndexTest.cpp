// The index of waiting steps gives the same plans as a search of all jobs, whatever changes in between.
#include "Choices.h"
#include "ReferencePlacement.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace marigoldlink::testing {

namespace {

    const AdviceCache s_noAdvice { {} };

    std::int64_t below(Choices& choices, std::size_t bound) { return static_cast<std::int64_t>(choices.below(bound)); }

    JobQueue randomQueue(Choices& choices)
    {
        JobQueue queue;
        queue.service = ServiceId(choices.below(3) ? "gates" : "rails");
        queue.maxTaskFailures = 3;
        queue.priority = static_cast<int>(choices.below(2));
        queue.objectiveFactor = 1.5;
        queue.objectiveAllowance = Duration(below(choices, 600));
        return queue;
    }

    StepSpec randomStep(Choices& choices, int index)
    {
        StepSpec step;
        step.tasks = 1 + static_cast<int>(choices.below(4));
        step.need = { 500 * (1 + below(choices, 8)), 50 * below(choices, 8), 0 };
        step.estimate = Duration(100 + below(choices, 1000));
        if (index && choices.below(2))
            step.after.push_back(static_cast<int>(choices.below(static_cast<std::size_t>(index))));
        step.maxPerWorker = static_cast<int>(choices.below(3));
        step.isGang = choices.below(4) == 0;
        step.wantsOneRack = choices.below(4) == 0;
        step.isBestEffort = choices.below(6) == 0;
        step.isService = !step.isGang && choices.below(8) == 0;
        if (choices.below(4) == 0)
            step.requiredLabel = choices.below(2) ? "fast" : "large";
        if (choices.below(4) == 0)
            step.dataRack = RackId("r0");
        return step;
    }

    // Jobs and workers that change at random, as a coordinator would change them.
    struct Fleet {
        explicit Fleet(Choices& choices)
            : choices(choices)
        {
            for (const char* id : { "a", "b", "c" })
                queues.push_back(randomQueue(choices)), queues.back().id = QueueId(id);
            for (const char* id : { "red", "blue" }) {
                JobTeam team;
                team.id = TeamId(id);
                team.limit.milliCores = 2000 * below(choices, 10);
                config.teams.emplace(team.id, team);
            }
            const auto count = 1 + below(choices, 6);
            for (int i = 0; i < count; ++i) {
                WorkerEntry entry;
                entry.incarnation.id = WorkerId("w" + std::to_string(i));
                entry.service = ServiceId(choices.below(3) ? "gates" : "rails");
                entry.capacity = { 4000 * (1 + below(choices, 2)), 600, 0 };
                entry.rack = RackId("r" + std::to_string(i / 2));
                for (const char* label : { "fast", "large" }) {
                    if (choices.below(2))
                        entry.labels.insert(label);
                }
                workers.entryChanged(entry);
            }
        }

        void addJob()
        {
            JobSpec spec;
            auto& queue = choices.pick(queues);
            spec.id = JobId("job" + std::to_string(submitted++));
            spec.queue = queue.id;
            spec.team = TeamId(choices.below(2) ? "red" : "blue");
            const int steps = 1 + static_cast<int>(choices.below(3));
            for (int k = 0; k < steps; ++k)
                spec.steps.push_back(randomStep(choices, k));
            if (choices.below(6) == 0)
                spec.schedule = { 2, 1000, 1000 };
            JobProgress progress;
            if (choices.below(4) == 0)
                jobs.restore(spec, progress, queue, now, RunNumber(1000));
            else
                jobs.accept(spec, queue, now);
            if (choices.below(8))
                jobs.markStored(spec.id, 1, JobState::Pending);
        }

        void start(const PlannedStart& start)
        {
            const auto& job = *jobs.find(start.task.job);
            jobs.runOrdered(start.task, start.run, start.worker, now);
            const auto& step = job.stepSpec(start.task);
            workers.reserve(start.worker, start.task,
                { start.run, step.reserved(), step.need, job.spec.team, step.isService, std::nullopt });
            use.add(job.spec.team, step.need);
        }

        void endRun()
        {
            auto& worker = choices.pick(workers.workers()).second;
            if (worker.runs.empty())
                return;
            const auto [key, run] = *worker.runs.begin();
            use.subtract(run.team, run.need);
            workers.release(worker.entry.incarnation.id, key, run.number);
            constexpr RunEnd ends[] = { RunEnd::Done, RunEnd::Done, RunEnd::Failed, RunEnd::LeaseExpired };
            jobs.runEnded(key, run.number, ends[choices.below(4)], "", now);
        }

        void changeJob()
        {
            if (jobs.jobs().empty())
                return;
            auto& job = *choices.pick(jobs.jobs()).second;
            switch (choices.below(4)) {
            case 0:
                jobs.cancel(job.spec.id, now);
                return;
            case 1:
                if (!job.isActive()
                    && std::none_of(workers.workers().begin(), workers.workers().end(), [&](const auto& worker) {
                           const auto& runs = worker.second.runs;
                           return std::any_of(
                               runs.begin(), runs.end(), [&](const auto& run) { return run.first.job == job.spec.id; });
                       }))
                    jobs.remove(JobId(job.spec.id));
                return;
            case 2: {
                auto& queue = choices.pick(queues);
                const auto id = queue.id;
                queue = randomQueue(choices);
                queue.id = id;
                for (const auto& [jobId, other] : jobs.jobs()) {
                    if (other->spec.queue == id)
                        jobs.setQueue(jobId, queue);
                }
                return;
            }
            default:
                jobs.markStored(job.spec.id, job.version + 1, job.state);
            }
        }

        Choices& choices;
        JobTable jobs;
        WorkerTable workers;
        FleetConfig config;
        TeamUsageTotals use;
        std::vector<JobQueue> queues;
        TimePoint now { Duration(100000) };
        int submitted { 0 };
    };

    std::vector<std::tuple<TaskKey, RunNumber, WorkerId>> tuples(const std::vector<PlannedStart>& starts)
    {
        std::vector<std::tuple<TaskKey, RunNumber, WorkerId>> tuples;
        for (const auto& start : starts)
            tuples.emplace_back(start.task, start.run, start.worker);
        return tuples;
    }

    // Plans in both ways, compares, and returns the starts.
    std::vector<PlannedStart> planInBothWays(Fleet& fleet)
    {
        const auto isUsable = [excluded = fleet.choices.below(8)](const Worker& worker) {
            return worker.entry.incarnation.id != WorkerId("w" + std::to_string(excluded));
        };
        const bool areRestoredUnknown = fleet.choices.below(8) == 0;
        const auto isAccountedFor
            = [areRestoredUnknown](const Job& job) { return job.wasAcceptedHere || !areRestoredUnknown; };
        Placement placement(fleet.jobs, fleet.workers, fleet.config, fleet.use, s_noAdvice, isUsable, isAccountedFor);
        ReferencePlacement reference(fleet.jobs, fleet.workers, fleet.config, fleet.use, isUsable, isAccountedFor);
        reference.onlyNeverStarted = fleet.choices.below(8) == 0;
        placement.setOnlyNeverStarted(reference.onlyNeverStarted);
        reference.blockedTasks = { { JobId("job0"), 0, 0, 0 }, { JobId("job1"), 0, 0, 1 } };
        placement.setBlockedTasks(reference.blockedTasks);
        if (fleet.choices.below(4) == 0) {
            reference.services.emplace({ ServiceId("rails") });
            placement.setServices(*reference.services);
        }
        const std::size_t most = fleet.choices.below(2) ? 64 : 1 + fleet.choices.below(6);
        const auto starts = placement.plan(fleet.now, most).starts;
        RC_ASSERT(tuples(starts) == tuples(reference.plan(fleet.now, most)));
        return starts;
    }

} // namespace

// Guards against a start that the index delays, drops or puts in another order, after any history of changes.
RC_GTEST_PROP(ReadyIndex, PlansEqualThoseOfASearchOfAllJobs, ())
{
    auto choices = Choices::generate(200);
    Fleet fleet(choices);
    std::int64_t wallMs = 0;
    while (!choices.isOver()) {
        switch (choices.below(6)) {
        case 0:
        case 1:
            fleet.addJob();
            break;
        case 2:
            fleet.endRun();
            break;
        case 3:
            fleet.changeJob();
            break;
        case 4:
            fleet.now += Duration(below(choices, 400));
            fleet.jobs.openDueOccurrences(fleet.now, wallMs += below(choices, 400));
            break;
        default:
            const auto starts = planInBothWays(fleet);
            if (choices.below(2)) {
                for (const auto& start : starts)
                    fleet.start(start);
            }
        }
    }
    planInBothWays(fleet);
}

// Guards against counts and demands that drift from the jobs as these change.
RC_GTEST_PROP(ReadyIndex, CountsAndDemandsEqualThoseOfAllJobs, ())
{
    auto choices = Choices::generate(200);
    Fleet fleet(choices);
    PoolDemandIndex::FleetBounds bounds { { "", { 8000, 600, 0 } }, { "fast", { 4000, 600, 0 } } };
    while (!choices.isOver()) {
        fleet.addJob();
        fleet.endRun();
        fleet.changeJob();
        if (choices.below(8) == 0)
            bounds[{}].milliCores = 1000 * (1 + below(choices, 8));
        const Placement placement(
            fleet.jobs, fleet.workers, fleet.config, fleet.use, s_noAdvice, [](const Worker&) { return true; },
            [](const Job&) { return true; });
        for (const auto& start : placement.plan(fleet.now, 4).starts)
            fleet.start(start);
        PoolDemandIndex fresh;
        std::size_t unstarted = 0;
        std::map<QueueId, std::int64_t> waiting;
        for (const auto& [id, job] : fleet.jobs.activeJobs()) {
            fresh.changed(*job);
            unstarted += !job->hasStarted;
            waiting[job->spec.queue] += !job->hasStarted && job->storedVersion;
        }
        RC_ASSERT(fleet.jobs.poolDemands(bounds) == fresh.demands(bounds));
        RC_ASSERT(fleet.jobs.unstartedJobs() == unstarted);
        for (const auto& queue : fleet.queues)
            RC_ASSERT(fleet.jobs.waitingJobs(queue.id) == waiting[queue.id]);
    }
}

} // namespace marigoldlink::testing
