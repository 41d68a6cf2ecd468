// Guards the backlog that the job table keeps against a recount over all jobs.
#include "marigoldlink/Coordination/JobLoads.h"

#include "Choices.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace marigoldlink {

namespace {

    using Rows = std::map<std::pair<ServiceId, int>, std::map<TeamId, Backlog::Row>>;

    Rows kept(const JobTable& jobs)
    {
        Rows rows;
        for (const auto* pool : { "pool-0", "pool-1" }) {
            for (const auto& [priority, teams] : jobs.backlog().rows(ServiceId(pool)))
                rows[{ ServiceId(pool), priority }] = teams;
        }
        return rows;
    }

    Rows recounted(const JobTable& jobs, TimePoint now)
    {
        Rows rows;
        for (const auto& [id, job] : jobs.activeJobs()) {
            const auto load = loadOf(jobs, *job);
            if (load.sum == WorkSum {})
                continue;
            auto& row = rows[{ load.pool, load.priority }][load.team];
            (load.yieldsAt <= now ? row.yielding : row.urgent) += load.sum;
        }
        return rows;
    }

    JobSpec randomSpec(const JobId& id, testing::Choices& choices)
    {
        JobSpec spec;
        spec.id = id;
        spec.team = TeamId("team-" + std::to_string(choices.below(2)));
        for (int i = 0; i < 2; ++i) {
            StepSpec step;
            step.tasks = 1 + static_cast<int>(choices.below(3));
            step.need = { 1000 + static_cast<std::int64_t>(choices.below(3)), 1, 0 };
            step.estimate = Duration(10 + static_cast<int>(choices.below(40)));
            step.isGang = choices.below(5) == 0;
            step.isService = choices.below(5) == 0;
            if (i)
                step.after.push_back(0);
            spec.steps.push_back(step);
        }
        return spec;
    }

    JobQueue randomQueue(testing::Choices& choices)
    {
        JobQueue queue;
        queue.service = ServiceId("pool-" + std::to_string(choices.below(2)));
        queue.priority = static_cast<int>(choices.below(2));
        queue.maxTaskFailures = 2;
        queue.objectiveAllowance = Duration(static_cast<int>(choices.below(60)));
        return queue;
    }

} // namespace

// Fails if a start, an end, a failure, a cancelling, a restore, a removal or a new configuration of the queue leaves
// the backlog different from that of the jobs: admission would then refuse jobs for work that does not exist.
RC_GTEST_PROP(JobLoadsTest, TheBacklogEqualsARecountAfterEveryChange, ())
{
    auto choices = testing::Choices::generate();
    JobTable jobs;
    TimePoint now;
    while (!choices.isOver()) {
        now += Duration(static_cast<int>(choices.below(8)));
        jobs.advanceBacklog(now);
        const JobId id("job-" + std::to_string(choices.below(5)));
        const TaskKey key { id, 0, static_cast<int>(choices.below(2)), static_cast<int>(choices.below(3)) };
        auto* job = jobs.find(id);
        auto* task = jobs.findTask(key);
        switch (choices.below(9)) {
        case 0:
            if (!job)
                jobs.accept(randomSpec(id, choices), randomQueue(choices), now);
            break;
        case 1:
            jobs.cancel(id, now);
            break;
        case 2:
            if (job && !job->isActive())
                jobs.remove(id);
            break;
        case 3:
            if (job)
                jobs.setQueue(id, randomQueue(choices));
            break;
        case 4:
            if (job && job->isActive()) {
                const auto spec = job->spec;
                const auto queue = job->queue;
                const auto progress = jobs.progress(*job);
                jobs.remove(id);
                jobs.restore(spec, progress, queue, now, RunNumber(1000));
            }
            break;
        case 5:
        case 6:
            if (job && job->isActive() && task && !task->run && !task->isDone
                && jobs.isStepReady(*job, job->occurrences.at(0), key.step))
                jobs.runOrdered(key, jobs.nextRun(*job, key), WorkerId("w"), now);
            break;
        default:
            if (task && task->run)
                jobs.runEnded(key, task->run->number, choices.below(4) ? RunEnd::Done : RunEnd::Failed, {}, now);
        }
        RC_ASSERT(kept(jobs) == recounted(jobs, now));
    }
}

// Fails if the work of running or finished tasks, of later steps or of services is counted wrongly.
TEST(JobLoadsTest, CountsWorkByState)
{
    JobTable jobs;
    JobSpec spec;
    spec.id = JobId("a");
    for (int i = 0; i < 2; ++i) {
        StepSpec step;
        step.tasks = 4;
        step.need = { 1000, 1, 0 };
        step.estimate = Duration(100);
        if (i)
            step.after.push_back(0);
        spec.steps.push_back(step);
    }
    jobs.accept(spec, {}, TimePoint());
    const auto sum = [&] { return loadOf(jobs, *jobs.find(JobId("a"))).sum; };
    EXPECT_EQ(sum(), (WorkSum { 800000, 0, 4000, 0, 0 }));
    const TaskKey key { JobId("a"), 0, 0, 0 };
    jobs.runOrdered(key, RunNumber(1), WorkerId("w"), TimePoint());
    EXPECT_EQ(sum(), (WorkSum { 700000, 100000, 3000, 1000, 0 }));
    jobs.runEnded(key, RunNumber(1), RunEnd::Done, {}, TimePoint());
    EXPECT_EQ(sum(), (WorkSum { 700000, 0, 3000, 0, 0 }));
}

} // namespace marigoldlink
