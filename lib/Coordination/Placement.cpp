// Order of the waiting steps and choice of their workers.
#include "marigoldlink/Coordination/Placement.h"

#include <algorithm>
#include <limits>

namespace marigoldlink {

namespace {

    std::size_t index(int value) { return static_cast<std::size_t>(value); }

    bool hasLimit(const Resources& limit) { return limit.milliCores || limit.memoryMegabytes || limit.accelerators; }

    bool within(std::int64_t value, std::int64_t limit) { return !limit || value <= limit; }

} // namespace

void TeamUse::add(const TeamId& team, const Resources& need) { m_used[team] += need; }
void TeamUse::subtract(const TeamId& team, const Resources& need) { m_used[team] -= need; }

double TeamUse::milliCores(const TeamId& team) const
{
    const auto found = m_used.find(team);
    return found == m_used.end() ? 0 : static_cast<double>(found->second.milliCores);
}

bool TeamUse::allows(const JobTeam* team, const TeamId& id, const Resources& more) const
{
    if (!team || !hasLimit(team->limit))
        return true;
    const auto found = m_used.find(id);
    const auto total = found == m_used.end() ? more : found->second + more;
    return within(total.milliCores, team->limit.milliCores)
        && within(total.memoryMegabytes, team->limit.memoryMegabytes)
        && within(total.accelerators, team->limit.accelerators);
}

Duration remainingChain(const Job& job, const Occurrence& occurrence)
{
    Duration longest { 0 };
    std::vector<Duration> endOf(occurrence.steps.size(), Duration(0));
    for (std::size_t i = 0; i < occurrence.steps.size(); ++i) {
        const auto& spec = job.spec.steps[i];
        Duration begin { 0 };
        for (const int earlier : spec.after)
            begin = std::max(begin, endOf[index(earlier)]);
        const bool isDone = occurrence.steps[i].done == static_cast<int>(occurrence.steps[i].tasks.size());
        endOf[i] = begin + (isDone ? Duration(0) : spec.estimate);
        longest = std::max(longest, endOf[i]);
    }
    return longest;
}

TimePoint objective(const Job& job, const Occurrence& occurrence)
{
    Duration longest { 0 };
    std::vector<Duration> endOf(job.spec.steps.size(), Duration(0));
    for (std::size_t i = 0; i < job.spec.steps.size(); ++i) {
        Duration begin { 0 };
        for (const int earlier : job.spec.steps[i].after)
            begin = std::max(begin, endOf[index(earlier)]);
        endOf[i] = begin + job.spec.steps[i].estimate;
        longest = std::max(longest, endOf[i]);
    }
    const auto stretched
        = Duration(static_cast<std::int64_t>(static_cast<double>(longest.count()) * job.queue.stretch));
    return occurrence.readySince + stretched + job.queue.slack;
}

std::vector<ReadyStep> Placement::readySteps(TimePoint now) const
{
    std::vector<ReadyStep> ready;
    for (const auto& id : m_jobs.activeJobs()) {
        const auto& job = *m_jobs.find(id);
        if (!job.storedVersion || !m_isAccountedFor(job))
            continue;
        for (const auto& [number, occurrence] : job.occurrences) {
            if (job.finishedOccurrences.contains(number))
                continue;
            const auto due = objective(job, occurrence);
            const bool isLate = now + remainingChain(job, occurrence) > due;
            for (std::size_t i = 0; i < occurrence.steps.size(); ++i) {
                const auto& step = occurrence.steps[i];
                if (step.done + step.active >= static_cast<int>(step.tasks.size()))
                    continue;
                if (m_jobs.isStepReady(job, occurrence, static_cast<int>(i)))
                    ready.push_back({ &job, number, static_cast<int>(i), due, isLate });
            }
        }
    }
    std::sort(ready.begin(), ready.end(), [](const ReadyStep& left, const ReadyStep& right) {
        const auto rank = [](const ReadyStep& step) {
            const bool isService = step.job->spec.steps[index(step.step)].isService;
            return std::tuple(step.job->queue.priority, !isService, step.isLate, step.objective, step.job->spec.id,
                step.occurrence, step.step);
        };
        return rank(left) < rank(right);
    });
    return ready;
}

// The usable workers of each service with the room that the plan so far leaves.
struct Placement::Candidates {
    struct Row {
        const Worker* worker;
        Resources room;
        std::map<std::tuple<JobId, int, int>, int> planned; // by job, occurrence and step
    };
    std::map<ServiceId, std::vector<Row>> byService;
    TeamUse use;
    std::map<ServiceId, std::set<std::string>> requiredLabels; // by active jobs
    const AdviceBook* advice;
    TimePoint now;

    // Whether a task that could run elsewhere would take the room of tasks that cannot.
    bool isKeptForOthers(const Row& row, const StepSpec& spec, const ReadyStep& step) const
    {
        const auto labels = requiredLabels.find(step.job->queue.service);
        return labels != requiredLabels.end()
            && std::any_of(labels->second.begin(), labels->second.end(), [&](const std::string& label) {
                   return label != spec.requiredLabel && row.worker->entry.labels.contains(label);
               });
    }

    int ofStep(const Row& row, const ReadyStep& step) const
    {
        const std::tuple key { step.job->spec.id, step.occurrence, step.step };
        const auto running = row.worker->tasksByStep.find(key);
        const auto planned = row.planned.find(key);
        return (running == row.worker->tasksByStep.end() ? 0 : running->second)
            + (planned == row.planned.end() ? 0 : planned->second);
    }

    bool mayRun(const Row& row, const ReadyStep& step) const
    {
        return !step.job->queue.needsAdvice || advice->ticket(step.key(), row.worker->entry.life, now);
    }

    bool suits(const Row& row, const StepSpec& spec, const ReadyStep& step) const
    {
        if (!spec.reserved().fitsInto(row.room))
            return false;
        if (!spec.requiredLabel.empty() && !row.worker->entry.labels.contains(spec.requiredLabel))
            return false;
        return !spec.mostPerWorker || ofStep(row, step) < spec.mostPerWorker;
    }

    // How many more tasks of the step a row can take; at least one where it suits.
    std::size_t tasksThatFit(const Row& row, const StepSpec& spec, const ReadyStep& step) const
    {
        auto fit = std::numeric_limits<std::int64_t>::max();
        const auto bound = [&fit](std::int64_t room, std::int64_t need) {
            if (need > 0)
                fit = std::min(fit, room / need);
        };
        const auto reserved = spec.reserved();
        bound(row.room.milliCores, reserved.milliCores);
        bound(row.room.memoryMegabytes, reserved.memoryMegabytes);
        bound(row.room.accelerators, reserved.accelerators);
        if (spec.mostPerWorker)
            fit = std::min<std::int64_t>(fit, spec.mostPerWorker - ofStep(row, step));
        return static_cast<std::size_t>(std::max<std::int64_t>(1, fit));
    }

    // The best worker for one more task of the step, or null. Smaller cost is better.
    Row* best(const StepSpec& spec, const ReadyStep& step, const RackId& rack)
    {
        Row* chosen = nullptr;
        auto lowest = std::numeric_limits<double>::max();
        for (auto& row : byService[step.job->queue.service]) {
            if (!suits(row, spec, step) || (!rack.empty() && row.worker->entry.rack != rack) || !mayRun(row, step))
                continue;
            const auto cost = costOf(row, spec, step);
            if (cost < lowest) {
                lowest = cost;
                chosen = &row;
            }
        }
        return chosen;
    }

    static bool hasService(const Row& row) { return row.worker->services > 0 || !row.planned.empty(); }

    double costOf(const Row& row, const StepSpec& spec, const ReadyStep& step) const
    {
        double cost = 0;
        if (!spec.dataRack.empty() && row.worker->entry.rack != spec.dataRack)
            cost += 100;
        if (row.worker->entry.coldLeft > Duration(0))
            cost += 10;
        cost += 20 * row.worker->recentFailures;
        cost += isKeptForOthers(row, spec, step) ? 3 : 0;
        const auto capacity = static_cast<double>(std::max<std::int64_t>(1, row.worker->entry.capacity.milliCores));
        const auto free = static_cast<double>(row.room.milliCores) / capacity;
        // Both are packed, which leaves whole workers free for wide tasks and for other pools. Tasks of one service
        // stay apart, so that the loss of one worker takes few of them, and so do its racks.
        if (spec.isService)
            cost += ofStep(row, step) * 5 + (hasService(row) ? 0 : 2) + (row.worker->isDueForMaintenance ? 4 : 0);
        cost += free;
        return cost;
    }
};

Placement::Result Placement::plan(TimePoint now, std::size_t most) const
{
    Result result;
    const auto ready = readySteps(now);
    if (ready.empty())
        return result;
    Candidates candidates { {}, m_use, {}, &m_advice, now };
    for (const auto& id : m_jobs.activeJobs()) {
        const auto& job = *m_jobs.find(id);
        for (const auto& spec : job.spec.steps) {
            if (!spec.requiredLabel.empty())
                candidates.requiredLabels[job.queue.service].insert(spec.requiredLabel);
        }
    }
    for (const auto& [id, worker] : m_workers.workers()) {
        if (m_isUsable(worker))
            candidates.byService[worker.entry.service].push_back({ &worker, worker.room(), {} });
    }
    for (const auto& step : ready) {
        if (result.starts.size() >= most)
            break;
        if (candidates.byService[step.job->queue.service].empty())
            continue;
        const auto left = step.spec().isGang ? planGang(step, now, candidates, result.starts)
                                             : planStep(step, now, candidates, most, result.starts);
        if (left && step.job->queue.needsAdvice)
            result.adviceNeeds.push_back(adviceNeed(step, left, candidates));
    }
    return result;
}

AdviceNeed Placement::adviceNeed(const ReadyStep& ready, std::size_t tasks, const Candidates& candidates) const
{
    AdviceNeed need { ready.key(), {}, 0 };
    const auto& spec = ready.spec();
    std::vector<std::pair<double, const Candidates::Row*>> suitable;
    for (const auto& row : candidates.byService.at(ready.job->queue.service)) {
        if (candidates.suits(row, spec, ready))
            suitable.emplace_back(candidates.costOf(row, spec, ready), &row);
    }
    std::stable_sort(
        suitable.begin(), suitable.end(), [](const auto& left, const auto& right) { return left.first < right.first; });
    std::size_t placed = 0;
    for (const auto& [cost, row] : suitable) {
        need.candidates.push_back(row->worker->entry.life);
        if (placed >= tasks)
            continue;
        ++need.workers;
        placed += candidates.tasksThatFit(*row, spec, ready);
    }
    return need;
}

bool Placement::mayStart(const TaskKey& key, const Task& task, TimePoint now) const
{
    if (m_outOfReach.contains(key) || task.isDone || task.run || task.strays || task.notBefore > now)
        return false;
    return !m_isFirstRunsOnly || task.lastRun == RunNumber();
}

std::size_t Placement::planStep(const ReadyStep& ready, TimePoint now, Candidates& candidates, std::size_t most,
    std::vector<PlannedStart>& starts) const
{
    const auto& job = *ready.job;
    const auto& spec = job.spec.steps[index(ready.step)];
    const auto team = m_config.teams.find(job.spec.team);
    const auto* limits = team == m_config.teams.end() ? nullptr : &team->second;
    const auto& tasks = job.occurrences.at(ready.occurrence).steps[index(ready.step)].tasks;
    RackId rack;
    std::size_t left = 0;
    for (std::size_t i = 0; i < tasks.size() && starts.size() < most; ++i) {
        const TaskKey key { job.spec.id, ready.occurrence, ready.step, static_cast<int>(i) };
        if (!mayStart(key, tasks[i], now))
            continue;
        if (!candidates.use.allows(limits, job.spec.team, spec.need))
            return left;
        auto* row = candidates.best(spec, ready, rack);
        if (!row && !rack.empty())
            row = candidates.best(spec, ready, {});
        if (!row) {
            ++left;
            if (!job.queue.needsAdvice)
                return left;
            continue;
        }
        if (spec.wantsOneRack)
            rack = row->worker->entry.rack;
        starts.push_back({ key, m_jobs.nextRun(job, key), row->worker->entry.life.id });
        row->room -= spec.reserved();
        ++row->planned[{ job.spec.id, ready.occurrence, ready.step }];
        candidates.use.add(job.spec.team, spec.need);
    }
    return left;
}

std::size_t Placement::planGang(
    const ReadyStep& ready, TimePoint now, Candidates& candidates, std::vector<PlannedStart>& starts) const
{
    const auto& job = *ready.job;
    const auto& spec = job.spec.steps[index(ready.step)];
    const auto team = m_config.teams.find(job.spec.team);
    const auto* limits = team == m_config.teams.end() ? nullptr : &team->second;
    const auto& step = job.occurrences.at(ready.occurrence).steps[index(ready.step)];
    // A gang starts anew only when nothing of its last run is left.
    if (step.active || step.done)
        return 0;
    for (std::size_t i = 0; i < step.tasks.size(); ++i) {
        if (!mayStart({ job.spec.id, ready.occurrence, ready.step, static_cast<int>(i) }, step.tasks[i], now))
            return 0;
    }
    std::set<RackId> racks { {} };
    if (spec.wantsOneRack) {
        for (const auto& row : candidates.byService[job.queue.service])
            racks.insert(row.worker->entry.rack);
    }
    // The rack of the data first, then any single rack, then wherever there is room.
    std::vector<RackId> order(racks.rbegin(), racks.rend());
    std::stable_sort(order.begin(), order.end(),
        [&](const RackId& left, const RackId&) { return !spec.dataRack.empty() && left == spec.dataRack; });
    for (const auto& rack : order) {
        auto trial = candidates;
        std::vector<PlannedStart> gang;
        for (std::size_t i = 0; i < step.tasks.size(); ++i) {
            if (!trial.use.allows(limits, job.spec.team, spec.need))
                return 0;
            auto* row = trial.best(spec, ready, rack);
            if (!row)
                break;
            const TaskKey key { job.spec.id, ready.occurrence, ready.step, static_cast<int>(i) };
            gang.push_back({ key, m_jobs.nextRun(job, key), row->worker->entry.life.id });
            row->room -= spec.reserved();
            ++row->planned[{ job.spec.id, ready.occurrence, ready.step }];
            trial.use.add(job.spec.team, spec.need);
        }
        if (gang.size() < step.tasks.size())
            continue;
        candidates = std::move(trial);
        starts.insert(starts.end(), gang.begin(), gang.end());
        return 0;
    }
    return step.tasks.size();
}

} // namespace marigoldlink
