// State transitions of jobs and tasks.
#include "marigoldlink/Coordination/JobTable.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace marigoldlink {

namespace {

    // Exponential backoff after a failed run, so that a task that fails immediately does not consume all starts.
    constexpr Duration s_firstRetryDelay { 20 };
    constexpr Duration s_maxRetryDelay { 1000 };
    constexpr int s_maxDoublings = 6;

    // Length of the critical path through the steps. Excluded steps count as taking no time.
    template <typename IsExcluded> Duration criticalPathLength(const JobSpec& spec, IsExcluded isExcluded)
    {
        Duration longest { 0 };
        std::vector<Duration> endTimes;
        endTimes.reserve(spec.steps.size());
        for (std::size_t i = 0; i < spec.steps.size(); ++i) {
            Duration begin { 0 };
            for (const int earlier : spec.steps[i].after)
                begin = std::max(begin, endTimes[static_cast<std::size_t>(earlier)]);
            endTimes.push_back(begin + (isExcluded(i) ? Duration(0) : spec.steps[i].estimate));
            longest = std::max(longest, endTimes.back());
        }
        return longest;
    }

    bool isDone(const Step& step) { return step.done == static_cast<int>(step.tasks.size()); }

    Duration retryDelay(int failures)
    {
        const auto doublings = std::min(failures, s_maxDoublings);
        return std::min(s_maxRetryDelay, s_firstRetryDelay * (1 << doublings));
    }

} // namespace

Job& JobTable::accept(JobSpec spec, const JobQueue& queue, TimePoint now)
{
    auto job = std::make_unique<Job>();
    job->spec = std::move(spec);
    job->queue = queue;
    job->acceptedAt = now;
    job->wasAcceptedHere = true;
    auto& added = *job;
    added.criticalPathLength = criticalPathLength(added.spec, [](std::size_t) { return false; });
    const auto id = added.spec.id;
    if (auto* previous = find(id))
        removeFromIndices(*previous);
    m_jobs[id] = std::move(job);
    m_jobsById[id] = &added;
    m_active[id] = &added;
    for (const auto& step : added.spec.steps) {
        if (step.isGang)
            m_gangs[id] = &added;
        if (!step.requiredLabel.empty())
            m_labelled[id] = &added;
    }
    addRequiredLabels(added, 1);
    if (added.spec.schedule.isTimed())
        m_timed[id] = &added;
    else
        open(added, 0, now);
    updateIndices(added);
    return added;
}

Job& JobTable::restore(
    JobSpec spec, const JobProgress& progress, const JobQueue& queue, TimePoint now, RunNumber firstRun)
{
    auto& job = accept(std::move(spec), queue, now);
    job.wasAcceptedHere = false;
    job.state = progress.state;
    job.storedState = progress.state;
    job.hasStarted = progress.state != JobState::Pending;
    job.finishedOccurrences = progress.finishedOccurrences;
    m_firstRun[job.spec.id] = firstRun;
    for (const int finished : job.finishedOccurrences)
        job.occurrences.erase(finished);
    if (!job.isActive()) {
        job.endedAt = now;
        job.occurrences.clear();
        removeFromIndices(job);
        return job;
    }
    for (const auto& [key, stored] : progress.tasks) {
        if (job.finishedOccurrences.contains(key.occurrence) || key.occurrence >= job.spec.schedule.count()
            || key.step >= static_cast<int>(job.spec.steps.size())
            || key.index >= job.spec.steps[static_cast<std::size_t>(key.step)].tasks)
            continue;
        open(job, key.occurrence, now);
        auto& task = *findTask(key);
        task.isDone = stored.isDone;
        task.failures = stored.failures;
        task.countedRuns = stored.countedRuns;
        task.checkpoint = stored.checkpoint;
        if (task.isDone)
            ++job.occurrences[key.occurrence].steps[static_cast<std::size_t>(key.step)].done;
    }
    for (auto& [number, occurrence] : job.occurrences)
        occurrence.remainingPathLength
            = criticalPathLength(job.spec, [&steps = occurrence.steps](std::size_t i) { return isDone(steps[i]); });
    updateIndices(job);
    return job;
}

void JobTable::removeFromIndices(Job& job)
{
    const auto& id = job.spec.id;
    if (m_active.erase(id))
        addRequiredLabels(job, -1);
    m_schedulable.erase(id);
    m_gangs.erase(id);
    m_labelled.erase(id);
    m_timed.erase(id);
    m_incompleteGangs.erase(id);
    m_ready.remove(job);
    m_demands.remove(job);
    updateCounts(job, false);
}

void JobTable::addRequiredLabels(const Job& job, int change)
{
    for (const auto& step : job.spec.steps) {
        if (step.requiredLabel.empty())
            continue;
        auto& labels = m_requiredLabels[job.queue.service];
        if (!(labels[step.requiredLabel] += change))
            labels.erase(step.requiredLabel);
    }
}

const std::map<std::string, int>& JobTable::requiredLabels(const ServiceId& service) const
{
    static const std::map<std::string, int> none;
    const auto found = m_requiredLabels.find(service);
    return found == m_requiredLabels.end() ? none : found->second;
}

void JobTable::updateCounts(Job& job, bool isUnstarted)
{
    const bool isWaiting = isUnstarted && job.storedVersion;
    m_unstarted += static_cast<std::size_t>(isUnstarted) - static_cast<std::size_t>(job.isCountedUnstarted);
    job.isCountedUnstarted = isUnstarted;
    if (std::exchange(job.isCountedWaiting, isWaiting) != isWaiting)
        m_waitingByQueue[job.spec.queue] += isWaiting ? 1 : -1;
}

void JobTable::updateIndices(Job& job)
{
    // Ended jobs were removed from all indices.
    if (!job.isActive())
        return;
    std::vector<WaitingStep> waiting;
    bool hasIncompleteGang = false;
    for (const auto& [number, occurrence] : job.occurrences) {
        const bool isFinished = job.finishedOccurrences.contains(number);
        const auto objective = job.objective(occurrence);
        for (std::size_t i = 0; i < occurrence.steps.size(); ++i) {
            const auto& step = occurrence.steps[i];
            const int size = static_cast<int>(step.tasks.size());
            hasIncompleteGang |= job.spec.steps[i].isGang && step.active && step.active < size;
            const int open = size - step.done - step.active;
            if (!isFinished && open > 0 && isStepReady(job, occurrence, static_cast<int>(i)))
                waiting.push_back(
                    { &job, number, static_cast<int>(i), objective, objective - occurrence.remainingPathLength, open });
        }
    }
    const auto setMember = [&job](std::map<JobId, Job*>& index, bool isMember) {
        if (isMember)
            index[job.spec.id] = &job;
        else
            index.erase(job.spec.id);
    };
    setMember(m_schedulable, !waiting.empty());
    setMember(m_incompleteGangs, hasIncompleteGang);
    m_ready.update(job, waiting);
    m_demands.changed(job);
    updateCounts(job, !job.hasStarted);
}

const ReadyIndex& JobTable::readyIndex(TimePoint now) const
{
    m_ready.advance(now);
    return m_ready;
}

std::int64_t JobTable::waitingJobs(const QueueId& queue) const
{
    const auto found = m_waitingByQueue.find(queue);
    return found == m_waitingByQueue.end() ? 0 : found->second;
}

void JobTable::setQueue(const JobId& id, const JobQueue& queue)
{
    auto& job = *find(id);
    if (job.queue == queue)
        return;
    if (job.isActive())
        addRequiredLabels(job, -1);
    job.queue = queue;
    if (job.isActive())
        addRequiredLabels(job, 1);
    updateIndices(job);
}

Job* JobTable::find(const JobId& id)
{
    const auto found = m_jobsById.find(id);
    return found == m_jobsById.end() ? nullptr : found->second;
}

const Job* JobTable::find(const JobId& id) const { return const_cast<JobTable*>(this)->find(id); }

Task* JobTable::findTask(const TaskKey& key)
{
    auto* job = find(key.job);
    if (!job)
        return nullptr;
    const auto occurrence = job->occurrences.find(key.occurrence);
    if (occurrence == job->occurrences.end())
        return nullptr;
    auto& steps = occurrence->second.steps;
    if (key.step < 0 || key.step >= static_cast<int>(steps.size()))
        return nullptr;
    auto& tasks = steps[static_cast<std::size_t>(key.step)].tasks;
    if (key.index < 0 || key.index >= static_cast<int>(tasks.size()))
        return nullptr;
    return &tasks[static_cast<std::size_t>(key.index)];
}

void JobTable::remove(const JobId& id)
{
    if (auto* job = find(id))
        removeFromIndices(*job);
    m_jobsById.erase(id);
    m_jobs.erase(id);
    m_dirty.erase(id);
    m_firstRun.erase(id);
}

Occurrence& JobTable::open(Job& job, int number, TimePoint now)
{
    const auto [position, isNew] = job.occurrences.try_emplace(number);
    auto& occurrence = position->second;
    if (!isNew)
        return occurrence;
    occurrence.openedAt = now;
    occurrence.steps.resize(job.spec.steps.size());
    for (std::size_t i = 0; i < occurrence.steps.size(); ++i)
        occurrence.steps[i].tasks.resize(static_cast<std::size_t>(job.spec.steps[i].tasks));
    occurrence.remainingPathLength = job.criticalPathLength;
    updateIndices(job);
    return occurrence;
}

void JobTable::openReportedOccurrence(const TaskKey& key, TimePoint now)
{
    auto* job = find(key.job);
    if (!job || !job->isActive() || job->finishedOccurrences.contains(key.occurrence)
        || key.occurrence >= job->spec.schedule.count())
        return;
    open(*job, key.occurrence, now);
}

JobTable::OpenDueResult JobTable::openDueOccurrences(TimePoint now, std::int64_t wallMs)
{
    OpenDueResult result;
    auto& next = result.nextUnixMs;
    for (const auto& [id, timed] : m_timed) {
        auto& job = *timed;
        const auto& schedule = job.spec.schedule;
        for (int number = 0; number < schedule.count(); ++number) {
            if (job.finishedOccurrences.contains(number) || job.occurrences.contains(number))
                continue;
            const auto due = schedule.dueUnixMs(number);
            if (due > wallMs) {
                next = std::min(next.value_or(due), due);
                break;
            }
            open(job, number, now);
            result.hasOpened = true;
        }
    }
    return result;
}

bool isStepReady(const Job& job, const Occurrence& occurrence, int step)
{
    const auto& spec = job.spec.steps[static_cast<std::size_t>(step)];
    return std::all_of(spec.after.begin(), spec.after.end(), [&](int earlier) {
        const auto& before = occurrence.steps[static_cast<std::size_t>(earlier)];
        return before.done == static_cast<int>(before.tasks.size());
    });
}

RunNumber JobTable::nextRun(const Job& job, const TaskKey& key) const
{
    const auto& occurrence = job.occurrences.at(key.occurrence);
    const auto& tasks = occurrence.steps[static_cast<std::size_t>(key.step)].tasks;
    const auto first = m_firstRun.find(key.job);
    std::int64_t last = first == m_firstRun.end() ? 0 : number(first->second);
    if (!job.stepSpec(key).isGang)
        return RunNumber(std::max(last, number(tasks[static_cast<std::size_t>(key.index)].lastRun)) + 1);
    for (const auto& task : tasks)
        last = std::max(last, number(task.lastRun));
    return RunNumber(last + 1);
}

bool JobTable::mayAdopt(const TaskKey& key, RunNumber run) const
{
    const auto* job = find(key.job);
    const auto* task = const_cast<JobTable*>(this)->findTask(key);
    return job && task && job->isActive() && !task->isDone && !task->run && run > task->lastRun;
}

void JobTable::runOrdered(const TaskKey& key, RunNumber run, const WorkerId& worker, TimePoint now)
{
    auto& job = *find(key.job);
    auto& task = *findTask(key);
    assert(!task.run && "a task can have only one current run");
    task.lastRun = std::max(task.lastRun, run);
    task.run = ActiveRun { run, worker, ActiveRun::Phase::Ordered, now, 0, 0 };
    ++job.occurrences[key.occurrence].steps[static_cast<std::size_t>(key.step)].active;
    job.hasStarted = true;
    if (job.state == JobState::Pending)
        job.state = JobState::Running;
    updateIndices(job);
}

void JobTable::adoptRun(const TaskKey& key, RunNumber run, const WorkerId& worker, TimePoint now)
{
    runOrdered(key, run, worker, now);
    findTask(key)->run->phase = ActiveRun::Phase::Running;
}

bool JobTable::runEnded(const TaskKey& key, RunNumber run, RunEnd how, const std::string& checkpoint, TimePoint now)
{
    auto* job = find(key.job);
    auto* task = findTask(key);
    if (!job || !task)
        return false;
    const bool isCurrent = task->run && task->run->number == run;
    if (isCurrent) {
        task->run.reset();
        --job->occurrences[key.occurrence].steps[static_cast<std::size_t>(key.step)].active;
    }
    task->lastRun = std::max(task->lastRun, run);
    if (!job->isActive() || task->isDone) {
        updateIndices(*job);
        return isCurrent;
    }
    if (!checkpoint.empty() && job->stepSpec(key).savesCheckpoints) {
        task->checkpoint = checkpoint;
        markDirty(*job);
    }
    if (how == RunEnd::Done && !job->stepSpec(key).isService)
        taskDone(*job, key, now);
    else if (how == RunEnd::Failed)
        taskFailed(*job, key, run, now);
    updateIndices(*job);
    return true;
}

void JobTable::taskDone(Job& job, const TaskKey& key, TimePoint now)
{
    auto& occurrence = job.occurrences[key.occurrence];
    auto& step = occurrence.steps[static_cast<std::size_t>(key.step)];
    if (job.stepSpec(key).isGang) {
        // The whole gang is done as soon as one member reports that it is done.
        for (auto& task : step.tasks)
            task.isDone = true;
        step.done = static_cast<int>(step.tasks.size());
    } else {
        step.tasks[static_cast<std::size_t>(key.index)].isDone = true;
        ++step.done;
    }
    markDirty(job);
    if (isDone(step))
        occurrence.remainingPathLength
            = criticalPathLength(job.spec, [&](std::size_t i) { return isDone(occurrence.steps[i]); });
    if (std::all_of(occurrence.steps.begin(), occurrence.steps.end(), isDone))
        finishOccurrence(job, key.occurrence, now);
}

void JobTable::finishOccurrence(Job& job, int number, TimePoint now)
{
    job.finishedOccurrences.insert(number);
    if (static_cast<int>(job.finishedOccurrences.size()) == job.spec.schedule.count())
        end(job, JobState::Complete, now);
}

void JobTable::taskFailed(Job& job, const TaskKey& key, RunNumber run, TimePoint now)
{
    auto& step = job.occurrences[key.occurrence].steps[static_cast<std::size_t>(key.step)];
    const auto& spec = job.stepSpec(key);
    // A gang fails as a unit; the failures are counted at its first member.
    auto& counted = step.tasks[spec.isGang ? 0 : static_cast<std::size_t>(key.index)];
    // Services may fail any number of times, so their failed runs are not recorded.
    if (!spec.isService && !counted.countedRuns.insert(run).second)
        return;
    ++counted.failures;
    for (auto& task : step.tasks) {
        if (spec.isGang || &task == &counted)
            task.notBefore = now + retryDelay(counted.failures);
    }
    if (spec.isService)
        return;
    markDirty(job);
    if (counted.failures >= job.queue.maxTaskFailures)
        end(job, JobState::Failed, now);
}

void JobTable::end(Job& job, JobState state, TimePoint now)
{
    job.state = state;
    job.endedAt = now;
    removeFromIndices(job);
    markDirty(job);
}

bool JobTable::cancel(const JobId& id, TimePoint now)
{
    auto* job = find(id);
    if (!job || !job->isActive())
        return false;
    end(*job, JobState::Cancelled, now);
    return true;
}

JobProgress JobTable::progress(const Job& job) const
{
    JobProgress progress;
    progress.state = job.state;
    progress.finishedOccurrences = job.finishedOccurrences;
    if (!job.isActive())
        return progress;
    for (const auto& [number, occurrence] : job.occurrences) {
        if (job.finishedOccurrences.contains(number))
            continue;
        for (std::size_t step = 0; step < occurrence.steps.size(); ++step) {
            const auto& tasks = occurrence.steps[step].tasks;
            for (std::size_t index = 0; index < tasks.size(); ++index) {
                const auto& task = tasks[index];
                if (!task.isDone && !task.failures && task.checkpoint.empty())
                    continue;
                const TaskKey key { job.spec.id, number, static_cast<int>(step), static_cast<int>(index) };
                progress.tasks[key]
                    = { task.isDone, task.failures, task.isDone ? "" : task.checkpoint, task.countedRuns };
            }
        }
    }
    return progress;
}

void JobTable::markDirty(Job& job)
{
    ++job.version;
    m_dirty.insert(job.spec.id);
}

std::vector<JobId> JobTable::takeDirty()
{
    std::vector<JobId> dirty(m_dirty.begin(), m_dirty.end());
    m_dirty.clear();
    return dirty;
}

void JobTable::markStored(const JobId& id, std::uint64_t version, JobState state)
{
    auto* job = find(id);
    if (!job || version < job->storedVersion)
        return;
    job->storedVersion = version;
    job->storedState = state;
    updateCounts(*job, job->isCountedUnstarted);
}

} // namespace marigoldlink
