// Plans respect worker capacity, limits per worker, labels, gangs and team limits for any set of jobs.
#include "marigoldlink/Coordination/Placement.h"
#include "Choices.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace marigoldlink::testing {

namespace {

    const ServiceId s_service("gates");
    const TeamId s_team("team");
    const TimePoint s_now { Duration(100000) };
    const AdviceCache noAdvice { {} };

    JobQueue queue(int priority = 0)
    {
        JobQueue queue;
        queue.id = QueueId("checks");
        queue.service = s_service;
        queue.maxTaskFailures = 2;
        queue.priority = priority;
        return queue;
    }

    StepSpec randomStep(Choices& choices, int index)
    {
        StepSpec step;
        step.tasks = 1 + static_cast<int>(choices.below(8));
        step.need
            = { static_cast<std::int64_t>(choices.below(5000)), static_cast<std::int64_t>(choices.below(500)), 0 };
        step.estimate = Duration(static_cast<std::int64_t>(100 + choices.below(2000)));
        if (index && choices.below(2))
            step.after.push_back(static_cast<int>(choices.below(static_cast<std::size_t>(index))));
        step.maxPerWorker = static_cast<int>(choices.below(3));
        step.isGang = choices.below(5) == 0;
        step.isBestEffort = choices.below(6) == 0;
        if (choices.below(4) == 0)
            step.requiredLabel = "fast";
        return step;
    }

} // namespace

RC_GTEST_PROP(Placement, PlansOnlyStartsThatAreAllowed, ())
{
    auto choices = Choices::generate(60);
    JobTable jobs;
    WorkerTable workers;
    FleetConfig config;
    config.version = 1;
    JobTeam team;
    team.id = s_team;
    team.limit = { static_cast<std::int64_t>(choices.below(30000)), 0, 0 };
    config.teams.emplace(s_team, team);
    const int workerCount = 1 + static_cast<int>(choices.below(5));
    for (int i = 0; i < workerCount; ++i) {
        WorkerEntry entry;
        entry.incarnation.id = WorkerId("w" + std::to_string(i));
        entry.service = s_service;
        entry.capacity = { 8000, 1000, 0 };
        entry.rack = RackId("r" + std::to_string(i / 2));
        if (choices.below(2))
            entry.labels.insert("fast");
        workers.entryChanged(entry);
    }
    const int jobCount = 1 + static_cast<int>(choices.below(6));
    for (int i = 0; i < jobCount; ++i) {
        JobSpec spec;
        spec.id = JobId("job" + std::to_string(i));
        spec.queue = QueueId("checks");
        spec.team = s_team;
        const int steps = 1 + static_cast<int>(choices.below(3));
        for (int k = 0; k < steps; ++k)
            spec.steps.push_back(randomStep(choices, k));
        auto& job = jobs.accept(spec, queue(), s_now);
        job.version = job.storedVersion = 1;
    }
    const TeamUsageTotals use;
    const Placement placement(
        jobs, workers, config, use, noAdvice, [](const Worker&) { return true; }, [](const Job&) { return true; });
    const auto starts = placement.plan(s_now, 100).starts;
    std::map<WorkerId, Resources> usedByWorker;
    std::map<std::tuple<WorkerId, JobId, int>, int> runsByWorkerAndStep;
    std::map<std::pair<JobId, int>, int> gangs;
    std::set<TaskKey> tasks;
    Resources usedByTeam;
    for (const auto& start : starts) {
        const auto& job = *jobs.find(start.task.job);
        const auto& step = job.stepSpec(start.task);
        const auto& worker = *workers.find(start.worker);
        RC_ASSERT(tasks.insert(start.task).second);
        RC_ASSERT(step.after.empty()); // nothing has ended yet
        RC_ASSERT(step.requiredLabel.empty() || worker.entry.labels.contains(step.requiredLabel));
        usedByWorker[start.worker] += step.reserved();
        usedByTeam += step.need;
        ++gangs[{ start.task.job, start.task.step }];
        const int here = ++runsByWorkerAndStep[{ start.worker, start.task.job, start.task.step }];
        RC_ASSERT(!step.maxPerWorker || here <= step.maxPerWorker);
    }
    for (const auto& [id, sum] : usedByWorker)
        RC_ASSERT(sum.fitsInto(workers.find(id)->entry.capacity));
    RC_ASSERT(!team.limit.milliCores || usedByTeam.milliCores <= team.limit.milliCores);
    for (const auto& [key, count] : gangs) {
        const auto& step = jobs.find(key.first)->spec.steps[static_cast<std::size_t>(key.second)];
        RC_ASSERT(!step.isGang || count == step.tasks);
    }
}

// Jobs that can no longer meet their objective must be planned after those that still can, and a queue of higher
// priority before both.
TEST(Placement, LateJobsGoLastAndUrgentQueuesFirst)
{
    JobTable jobs;
    WorkerTable workers;
    const auto add = [&jobs](const char* id, int priority, TimePoint acceptedAt) {
        JobSpec spec;
        spec.id = JobId(id);
        StepSpec step;
        step.need = { 1000, 1, 0 };
        step.estimate = Duration(1000);
        spec.steps.push_back(step);
        auto settings = queue(priority);
        settings.objectiveAllowance = Duration(500);
        auto& job = jobs.accept(spec, settings, acceptedAt);
        job.version = job.storedVersion = 1;
    };
    add("late", 0, s_now - Duration(5000));
    add("fresh", 0, s_now);
    add("lessUrgent", 1, s_now);
    const FleetConfig config;
    const TeamUsageTotals use;
    const Placement placement(
        jobs, workers, config, use, noAdvice, [](const Worker&) { return true; }, [](const Job&) { return true; });
    const auto ready = placement.readySteps(s_now);
    ASSERT_EQ(ready.size(), 3u);
    EXPECT_EQ(ready[0].job->spec.id, JobId("fresh"));
    EXPECT_EQ(ready[1].job->spec.id, JobId("late"));
    EXPECT_EQ(ready[2].job->spec.id, JobId("lessUrgent"));
}

// Tasks of a batch step are bin-packed: each goes to the worker with the least free capacity that suffices.
RC_GTEST_PROP(Placement, EachBatchTaskGoesToTheFullestWorkerWithRoom, ())
{
    constexpr std::int64_t capacity = 64000;
    JobTable jobs;
    WorkerTable workers;
    std::map<WorkerId, std::int64_t> freeMilliCores;
    const auto count = *rc::gen::inRange(1, 6);
    for (int i = 0; i < count; ++i) {
        WorkerEntry entry;
        entry.incarnation.id = WorkerId("w" + std::to_string(i));
        entry.service = s_service;
        entry.capacity = { capacity, 1000, 0 };
        workers.entryChanged(entry);
        const auto used = *rc::gen::inRange<std::int64_t>(0, capacity);
        ReservedRun run;
        run.reserved = { used, 0, 0 };
        workers.reserve(entry.incarnation.id, { JobId("other"), 0, 0, i }, run);
        freeMilliCores[entry.incarnation.id] = capacity - used;
    }
    JobSpec spec;
    spec.id = JobId("job");
    StepSpec step;
    step.tasks = *rc::gen::inRange(1, 30);
    step.need = { *rc::gen::inRange<std::int64_t>(1000, 20000), 1, 0 };
    spec.steps.push_back(step);
    auto& job = jobs.accept(spec, queue(), s_now);
    job.version = job.storedVersion = 1;
    const FleetConfig config;
    const TeamUsageTotals use;
    const Placement placement(
        jobs, workers, config, use, noAdvice, [](const Worker&) { return true; }, [](const Job&) { return true; });
    const auto starts = placement.plan(s_now, 100).starts;
    const auto leastWithRoom = [&] {
        std::optional<std::int64_t> least;
        for (const auto& [id, free] : freeMilliCores) {
            if (free >= step.need.milliCores && (!least || free < *least))
                least = free;
        }
        return least;
    };
    for (const auto& start : starts) {
        RC_ASSERT(leastWithRoom() == freeMilliCores.at(start.worker));
        freeMilliCores.at(start.worker) -= step.need.milliCores;
    }
    RC_ASSERT(static_cast<int>(starts.size()) == step.tasks || !leastWithRoom());
}

// Tasks that any worker can run must not fill the only worker that has the label which other tasks require.
TEST(Placement, LeavesWorkersWithARequiredLabelToTheTasksThatRequireIt)
{
    JobTable jobs;
    WorkerTable workers;
    for (const char* id : { "w1", "w2" }) {
        WorkerEntry entry;
        entry.incarnation.id = WorkerId(id);
        entry.service = s_service;
        entry.capacity = { 8000, 1000, 0 };
        if (std::string_view(id) == "w1")
            entry.labels.insert("fast");
        workers.entryChanged(entry);
    }
    for (const char* label : { "", "fast" }) {
        JobSpec spec;
        spec.id = JobId(std::string("job") + label);
        StepSpec step;
        step.need = { 8000, 1, 0 };
        step.requiredLabel = label;
        spec.steps.push_back(step);
        auto& job = jobs.accept(spec, queue(), s_now);
        job.version = job.storedVersion = 1;
    }
    const FleetConfig config;
    const TeamUsageTotals use;
    const Placement placement(
        jobs, workers, config, use, noAdvice, [](const Worker&) { return true; }, [](const Job&) { return true; });
    const auto starts = placement.plan(s_now, 100).starts;
    ASSERT_EQ(starts.size(), 2u);
    EXPECT_EQ(starts[0].task.job, JobId("job"));
    EXPECT_EQ(starts[0].worker, WorkerId("w2"));
    EXPECT_EQ(starts[1].worker, WorkerId("w1"));
}

// One queue is far longer than its service's workers can take, while another service has free workers. Tasks that
// cannot start must neither cause a scan of all workers each nor reduce the starts of the other service.
TEST(Placement, ALongQueueWithoutRoomLeavesTheRestOfThePlanAsItIs)
{
    constexpr int waitingJobs = 12500;
    const ServiceId full("full");
    JobTable jobs;
    WorkerTable workers;
    for (int i = 0; i < 600; ++i) {
        WorkerEntry entry;
        entry.incarnation.id = WorkerId("w" + std::to_string(i));
        entry.service = i % 2 ? full : s_service;
        entry.capacity = { i % 2 ? 500 : 8000, 1000, 0 };
        workers.entryChanged(entry);
    }
    const auto add = [&jobs](const std::string& id, const ServiceId& service, int tasks) {
        JobSpec spec;
        spec.id = JobId(id);
        StepSpec step;
        step.tasks = tasks;
        step.need = { 1000, 1, 0 };
        spec.steps.push_back(step);
        auto settings = queue();
        settings.service = service;
        auto& job = jobs.accept(spec, settings, s_now);
        job.version = job.storedVersion = 1;
    };
    for (int i = 0; i < waitingJobs; ++i)
        add("a" + std::to_string(i), full, 8);
    add("b", s_service, 20);
    const FleetConfig config;
    const TeamUsageTotals use;
    std::size_t checkedWorkers = 0;
    Placement placement(
        jobs, workers, config, use, noAdvice,
        [&checkedWorkers](const Worker&) {
            ++checkedWorkers;
            return true;
        },
        [](const Job&) { return true; });
    EXPECT_EQ(placement.plan(s_now, 64).starts.size(), 20u);
    EXPECT_EQ(checkedWorkers, workers.workers().size() / 2) << "workers without room must not be checked";
    checkedWorkers = 0;
    placement.setServices({ s_service });
    EXPECT_EQ(placement.plan(s_now, 64).starts.size(), 20u);
    EXPECT_EQ(checkedWorkers, workers.workers().size() / 2) << "workers of other services must not be checked";
}

} // namespace marigoldlink::testing
