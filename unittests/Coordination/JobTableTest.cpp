// The indices of JobTable stay consistent with its jobs under random sequences of operations.
#include "marigoldlink/Coordination/JobTable.h"
#include "Choices.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace marigoldlink::testing {

namespace {

    const TimePoint s_now { Duration(100000) };
    const WorkerId s_worker("w1");

    bool hasSchedulableTask(const JobTable& jobs, const Job& job)
    {
        for (const auto& [number, occurrence] : job.occurrences) {
            if (job.finishedOccurrences.contains(number))
                continue;
            for (std::size_t i = 0; i < occurrence.steps.size(); ++i) {
                const auto& tasks = occurrence.steps[i].tasks;
                if (jobs.isStepReady(job, occurrence, static_cast<int>(i))
                    && std::any_of(
                        tasks.begin(), tasks.end(), [](const Task& task) { return !task.isDone && !task.run; }))
                    return true;
            }
        }
        return false;
    }

    Duration remainingPathLength(const Job& job, const Occurrence& occurrence)
    {
        Duration longest { 0 };
        std::vector<Duration> endTimes;
        for (std::size_t i = 0; i < job.spec.steps.size(); ++i) {
            Duration begin { 0 };
            for (const int earlier : job.spec.steps[i].after)
                begin = std::max(begin, endTimes[static_cast<std::size_t>(earlier)]);
            const auto& step = occurrence.steps[i];
            const bool isDone = step.done == static_cast<int>(step.tasks.size());
            endTimes.push_back(begin + (isDone ? Duration(0) : job.spec.steps[i].estimate));
            longest = std::max(longest, endTimes.back());
        }
        return longest;
    }

    void checkIndices(const JobTable& jobs)
    {
        for (const auto& [id, job] : jobs.jobs()) {
            RC_ASSERT(jobs.activeJobs().contains(id) == job->isActive());
            RC_ASSERT(jobs.schedulableJobs().contains(id) == (job->isActive() && hasSchedulableTask(jobs, *job)));
            const bool hasGang = std::any_of(
                job->spec.steps.begin(), job->spec.steps.end(), [](const StepSpec& step) { return step.isGang; });
            RC_ASSERT(jobs.gangJobs().contains(id) == (job->isActive() && hasGang));
            for (const auto& [number, occurrence] : job->occurrences) {
                if (job->isActive())
                    RC_ASSERT(occurrence.remainingPathLength == remainingPathLength(*job, occurrence));
            }
        }
        for (const auto* index :
            { &jobs.activeJobs(), &jobs.schedulableJobs(), &jobs.gangJobs(), &jobs.labelledJobs() }) {
            for (const auto& [id, job] : *index)
                RC_ASSERT(jobs.find(id) == job);
        }
    }

    JobSpec randomJob(Choices& choices, int number)
    {
        JobSpec spec;
        spec.id = JobId("job" + std::to_string(number));
        const int steps = 1 + static_cast<int>(choices.below(3));
        for (int i = 0; i < steps; ++i) {
            StepSpec step;
            step.tasks = 1 + static_cast<int>(choices.below(3));
            step.estimate = Duration(static_cast<std::int64_t>(100 + choices.below(900)));
            step.isGang = choices.below(6) == 0;
            step.isService = choices.below(6) == 0;
            if (i && choices.below(2))
                step.after.push_back(static_cast<int>(choices.below(static_cast<std::size_t>(i))));
            spec.steps.push_back(step);
        }
        if (choices.below(4) == 0)
            spec.schedule = { 2, 1000, 1000 };
        return spec;
    }

    TaskKey randomTask(Choices& choices, const Job& job)
    {
        const auto step = choices.below(job.spec.steps.size());
        return { job.spec.id, static_cast<int>(choices.below(static_cast<std::size_t>(job.spec.schedule.count()))),
            static_cast<int>(step),
            static_cast<int>(choices.below(static_cast<std::size_t>(job.spec.steps[step].tasks))) };
    }

} // namespace

RC_GTEST_PROP(JobTable, IndicesAgreeWithTheJobs, ())
{
    auto choices = Choices::generate(60);
    JobTable jobs;
    JobQueue queue;
    queue.maxTaskFailures = 2;
    int submitted = 0;
    std::int64_t wallMs = 0;
    while (!choices.isOver()) {
        const auto operation = choices.below(8);
        if (operation == 0 || jobs.jobs().empty()) {
            jobs.accept(randomJob(choices, submitted++), queue, s_now);
        } else if (operation == 1) {
            jobs.openDueOccurrences(s_now, wallMs += static_cast<std::int64_t>(choices.below(800)));
        } else {
            auto& job = *choices.pick(jobs.jobs()).second;
            const auto key = randomTask(choices, job);
            auto* task = jobs.findTask(key);
            if (operation == 2 && choices.below(6) == 0) {
                jobs.cancel(key.job, s_now);
            } else if (operation == 3 && choices.below(6) == 0 && !job.isActive()) {
                jobs.remove(key.job);
            } else if (task && !task->run && !task->isDone && job.isActive()) {
                jobs.runOrdered(key, jobs.nextRun(job, key), s_worker, s_now);
            } else if (task && task->run) {
                constexpr RunEnd ends[] = { RunEnd::Done, RunEnd::Done, RunEnd::Failed, RunEnd::LeaseExpired };
                jobs.runEnded(key, task->run->number, ends[choices.below(4)], "", s_now);
            }
        }
        checkIndices(jobs);
    }
}

// A coordinator takes over while a job has done some of its steps. The restored job must be open with the critical path
// of the remaining steps, and a restored job that has ended must not be in an index.
TEST(JobTable, RestoredJobIsSchedulableWithRemainingSteps)
{
    JobSpec spec;
    spec.id = JobId("a");
    StepSpec step;
    step.estimate = Duration(400);
    spec.steps = { step, step };
    spec.steps[1].after = { 0 };
    JobProgress progress;
    progress.state = JobState::Running;
    progress.tasks[{ spec.id, 0, 0, 0 }].isDone = true;
    JobTable jobs;
    const auto& job = jobs.restore(spec, progress, {}, s_now, RunNumber(1000));
    EXPECT_TRUE(jobs.schedulableJobs().contains(spec.id));
    EXPECT_EQ(job.occurrences.at(0).remainingPathLength, Duration(400));
    progress.state = JobState::Complete;
    JobTable ended;
    ended.restore(spec, progress, {}, s_now, RunNumber(1000));
    EXPECT_TRUE(ended.activeJobs().empty());
    EXPECT_TRUE(ended.schedulableJobs().empty());
}

// Guards against an ended job that is shown as pending again once its record of before is stored.
TEST(JobTable, AnOlderRecordDoesNotChangeTheStoredState)
{
    JobTable jobs;
    JobSpec spec;
    spec.id = JobId("a");
    spec.steps.emplace_back();
    jobs.accept(spec, {}, s_now);
    jobs.markStored(spec.id, 2, JobState::Cancelled);
    jobs.markStored(spec.id, 1, JobState::Pending);
    EXPECT_EQ(jobs.find(spec.id)->storedVersion, 2u);
    EXPECT_EQ(jobs.find(spec.id)->storedState, JobState::Cancelled);
}

} // namespace marigoldlink::testing
