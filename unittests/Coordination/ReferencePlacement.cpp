// The rules of Placement without its index and its shortcuts.
#include "ReferencePlacement.h"

#include <algorithm>
#include <limits>
#include <tuple>

namespace marigoldlink::testing {

std::vector<ReadyStep> ReferencePlacement::readySteps(TimePoint now) const
{
    std::vector<ReadyStep> ready;
    for (const auto& [id, job] : jobs.jobs()) {
        if (!job->isActive() || !job->storedVersion || (services && !services->contains(job->queue.service))
            || !isAccountedFor(*job))
            continue;
        for (const auto& [number, occurrence] : job->occurrences) {
            if (job->finishedOccurrences.contains(number))
                continue;
            const auto due = job->objective(occurrence);
            for (int i = 0; i < static_cast<int>(occurrence.steps.size()); ++i) {
                if (jobs.isStepReady(*job, occurrence, i))
                    ready.push_back({ job.get(), number, i, due, now + occurrence.remainingPathLength > due,
                        job->queue.priority, job->spec.steps[static_cast<std::size_t>(i)].isService });
            }
        }
    }
    const auto rank = [](const ReadyStep& step) {
        return std::tuple(step.priority, !step.isService, step.isLate, step.objective.time_since_epoch(), step.key());
    };
    std::sort(ready.begin(), ready.end(),
        [&](const ReadyStep& left, const ReadyStep& right) { return rank(left) < rank(right); });
    return ready;
}

bool ReferencePlacement::canStart(const TaskKey& key, const Task& task, TimePoint now) const
{
    return !blockedTasks.contains(key) && !task.isDone && !task.run && !task.orphanedRuns && task.notBefore <= now
        && (!onlyNeverStarted || task.lastRun == RunNumber());
}

Resources ReferencePlacement::remaining(const Worker& worker) const
{
    auto free = worker.freeCapacity();
    if (const auto planned = m_planned.find(worker.entry.incarnation.id); planned != m_planned.end()) {
        for (const auto& key : planned->second)
            free -= jobs.find(key.job)->stepSpec(key).reserved();
    }
    return free;
}

int ReferencePlacement::tasksOfStep(const ReadyStep& step, const Worker& worker) const
{
    auto count = std::count_if(
        worker.runs.begin(), worker.runs.end(), [&](const auto& run) { return run.first.stepKey() == step.key(); });
    if (const auto planned = m_planned.find(worker.entry.incarnation.id); planned != m_planned.end())
        count += std::count_if(planned->second.begin(), planned->second.end(),
            [&](const TaskKey& key) { return key.stepKey() == step.key(); });
    return static_cast<int>(count);
}

double ReferencePlacement::cost(const ReadyStep& step, const Worker& worker) const
{
    const auto& spec = step.spec();
    double cost = !spec.dataRack.empty() && worker.entry.rack != spec.dataRack ? 100 : 0;
    cost += worker.entry.warmUpRemaining > Duration(0) ? 10 : 0;
    cost += 20 * worker.recentFailures;
    const auto requiresOther = [&](const Job& job) {
        return job.isActive() && job.queue.service == worker.entry.service
            && std::any_of(job.spec.steps.begin(), job.spec.steps.end(), [&](const StepSpec& other) {
                   return other.requiredLabel != spec.requiredLabel
                       && worker.entry.labels.contains(other.requiredLabel);
               });
    };
    cost += std::any_of(
                jobs.jobs().begin(), jobs.jobs().end(), [&](const auto& entry) { return requiresOther(*entry.second); })
        ? 3
        : 0;
    const bool hasPlanned = m_planned.contains(worker.entry.incarnation.id);
    if (spec.isService)
        cost += tasksOfStep(step, worker) * 5 + (worker.services > 0 || hasPlanned ? 0 : 2)
            + (worker.hasPendingMaintenance ? 4 : 0);
    return cost
        + static_cast<double>(remaining(worker).milliCores)
        / static_cast<double>(std::max<std::int64_t>(1, worker.entry.capacity.milliCores));
}

const Worker* ReferencePlacement::bestWorker(const ReadyStep& step, const RackId& rack) const
{
    const Worker* best = nullptr;
    auto lowest = std::numeric_limits<double>::max();
    const auto& spec = step.spec();
    for (const auto& [id, worker] : workers.workers()) {
        if (worker.entry.service != step.job->queue.service || !isUsable(worker)
            || (!rack.empty() && worker.entry.rack != rack) || !spec.reserved().fitsInto(remaining(worker))
            || (!spec.requiredLabel.empty() && !worker.entry.labels.contains(spec.requiredLabel))
            || (spec.maxPerWorker && tasksOfStep(step, worker) >= spec.maxPerWorker))
            continue;
        if (const auto here = cost(step, worker); here < lowest) {
            lowest = here;
            best = &worker;
        }
    }
    return best;
}

const Worker* ReferencePlacement::start(
    const ReadyStep& step, int index, const RackId& rack, std::vector<PlannedStart>& starts)
{
    const auto& team = step.job->spec.team;
    const auto found = config.teams.find(team);
    const auto* worker = bestWorker(step, rack);
    if (!worker || !use.allows(found == config.teams.end() ? nullptr : &found->second, team, step.spec().need))
        return nullptr;
    const TaskKey key { step.job->spec.id, step.occurrence, step.step, index };
    starts.push_back({ key, jobs.nextRun(*step.job, key), worker->entry.incarnation.id });
    m_planned[worker->entry.incarnation.id].push_back(key);
    use.add(team, step.spec().need);
    return worker;
}

std::vector<PlannedStart> ReferencePlacement::plan(TimePoint now, std::size_t most)
{
    std::vector<PlannedStart> starts;
    for (const auto& step : readySteps(now)) {
        if (starts.size() >= most)
            break;
        const auto& spec = step.spec();
        const auto& state = step.job->occurrences.at(step.occurrence).steps[static_cast<std::size_t>(step.step)];
        const auto isStartable = [&](int index) {
            return canStart({ step.job->spec.id, step.occurrence, step.step, index },
                state.tasks[static_cast<std::size_t>(index)], now);
        };
        if (!spec.isGang) {
            RackId rack;
            for (int i = 0; i < spec.tasks && starts.size() < most; ++i) {
                if (!isStartable(i))
                    continue;
                const auto* worker = start(step, i, rack, starts);
                if (!worker && !rack.empty())
                    worker = start(step, i, {}, starts);
                if (!worker)
                    break;
                if (spec.wantsOneRack)
                    rack = worker->entry.rack;
            }
            continue;
        }
        bool isStartableAsAWhole = !state.active && !state.done;
        for (int i = 0; i < spec.tasks; ++i)
            isStartableAsAWhole &= isStartable(i);
        if (!isStartableAsAWhole)
            continue;
        std::set<RackId, std::greater<>> racks { RackId() };
        if (spec.wantsOneRack) {
            for (const auto& [id, worker] : workers.workers()) {
                if (worker.entry.service == step.job->queue.service)
                    racks.insert(worker.entry.rack);
            }
        }
        std::vector<RackId> order(racks.begin(), racks.end());
        std::stable_partition(order.begin(), order.end(),
            [&](const RackId& rack) { return !spec.dataRack.empty() && rack == spec.dataRack; });
        for (const auto& rack : order) {
            const auto earlier = std::tuple(starts, m_planned, use);
            int started = 0;
            while (started < spec.tasks && start(step, started, rack, starts))
                ++started;
            if (started == spec.tasks)
                break;
            std::tie(starts, m_planned, use) = earlier;
        }
    }
    return starts;
}

} // namespace marigoldlink::testing
