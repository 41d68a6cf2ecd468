// Order of the waiting steps and choice of their workers.
#include "marigoldlink/Coordination/Placement.h"

#include <algorithm>
#include <limits>
#include <tuple>

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

namespace {

    // The order in which waiting steps are served.
    bool isBefore(const ReadyStep& left, const ReadyStep& right)
    {
        const auto rank = [](const ReadyStep& step) {
            return std::tuple(
                step.job->queue.priority, !step.spec().isService, step.isLate, step.objective.time_since_epoch());
        };
        const auto leftRank = rank(left);
        const auto rightRank = rank(right);
        if (leftRank != rightRank)
            return leftRank < rightRank;
        return std::tie(left.job->spec.id, left.occurrence, left.step)
            < std::tie(right.job->spec.id, right.occurrence, right.step);
    }

} // namespace

std::vector<ReadyStep> Placement::waitingSteps(TimePoint now) const
{
    std::vector<ReadyStep> ready;
    for (const auto& [id, open] : m_jobs.openJobs()) {
        const auto& job = *open;
        if (!job.storedVersion || (m_services && !m_services->contains(job.queue.service)) || !m_isAccountedFor(job))
            continue;
        for (const auto& [number, occurrence] : job.occurrences) {
            if (job.finishedOccurrences.contains(number))
                continue;
            const auto due = job.objective(occurrence);
            const bool isLate = now + occurrence.remainingChain > due;
            for (std::size_t i = 0; i < occurrence.steps.size(); ++i) {
                const auto& step = occurrence.steps[i];
                if (step.done + step.active >= static_cast<int>(step.tasks.size()))
                    continue;
                if (m_jobs.isStepReady(job, occurrence, static_cast<int>(i)))
                    ready.push_back({ &job, number, static_cast<int>(i), due, isLate });
            }
        }
    }
    return ready;
}

std::vector<ReadyStep> Placement::readySteps(TimePoint now) const
{
    auto ready = waitingSteps(now);
    std::sort(ready.begin(), ready.end(), isBefore);
    return ready;
}

// The usable workers of the services that are planned for, with the room that the plan so far leaves.
struct Placement::Candidates {
    struct Row {
        const Worker* worker;
        Resources room;
        struct Planned {
            const Job* job;
            int occurrence;
            int step;
            int tasks;
        };
        std::vector<Planned> planned;
    };
    struct Service {
        std::vector<Row> rows;
        // Needs without conditions for which no row had room. The plan only takes room, so nothing as large fits later.
        std::vector<Resources> tooLarge;
        std::set<std::string> requiredLabels; // by active jobs
    };
    std::map<ServiceId, Service> byService;
    TeamUse use;
    const AdviceBook* advice;
    TimePoint now;
    bool hasTeamAtLimit { false };

    Service& serviceOf(const ReadyStep& step) { return byService.at(step.job->queue.service); }

    bool isTooLarge(const ReadyStep& step, const Resources& need)
    {
        const auto& tooLarge = serviceOf(step).tooLarge;
        return std::any_of(
            tooLarge.begin(), tooLarge.end(), [&need](const Resources& known) { return known.fitsInto(need); });
    }

    // No row has room for a task of the step, wherever its data lies.
    void foundNone(const ReadyStep& step, const Resources& need)
    {
        const auto& spec = step.spec();
        if (spec.requiredLabel.empty() && !spec.mostPerWorker && !step.job->queue.needsAdvice)
            serviceOf(step).tooLarge.push_back(need);
    }

    static void plan(Row& row, const ReadyStep& step, const Resources& need)
    {
        row.room -= need;
        for (auto& planned : row.planned) {
            if (planned.job == step.job && planned.occurrence == step.occurrence && planned.step == step.step) {
                ++planned.tasks;
                return;
            }
        }
        row.planned.push_back({ step.job, step.occurrence, step.step, 1 });
    }

    // Whether a task that could run elsewhere would take the room of tasks that cannot.
    static bool isKeptForOthers(const Service& service, const Row& row, const StepSpec& spec)
    {
        return std::any_of(service.requiredLabels.begin(), service.requiredLabels.end(), [&](const std::string& label) {
            return label != spec.requiredLabel && row.worker->entry.labels.contains(label);
        });
    }

    static int ofStep(const Row& row, const ReadyStep& step)
    {
        const auto running = row.worker->tasksByStep.find({ step.job->spec.id, step.occurrence, step.step });
        int tasks = running == row.worker->tasksByStep.end() ? 0 : running->second;
        for (const auto& planned : row.planned) {
            if (planned.job == step.job && planned.occurrence == step.occurrence && planned.step == step.step)
                tasks += planned.tasks;
        }
        return tasks;
    }

    bool mayRun(const Row& row, const ReadyStep& step) const
    {
        return !step.job->queue.needsAdvice || advice->ticket(step.key(), row.worker->entry.life, now);
    }

    static bool suits(const Row& row, const StepSpec& spec, const ReadyStep& step, const Resources& need)
    {
        if (!need.fitsInto(row.room))
            return false;
        if (!spec.requiredLabel.empty() && !row.worker->entry.labels.contains(spec.requiredLabel))
            return false;
        return !spec.mostPerWorker || ofStep(row, step) < spec.mostPerWorker;
    }

    // How many more tasks of the step a row can take; at least one where it suits.
    static std::size_t tasksThatFit(const Row& row, const StepSpec& spec, const ReadyStep& step)
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
    Row* best(const StepSpec& spec, const ReadyStep& step, const Resources& need, const RackId& rack)
    {
        Row* chosen = nullptr;
        auto lowest = std::numeric_limits<double>::max();
        auto& service = serviceOf(step);
        for (auto& row : service.rows) {
            if (!suits(row, spec, step, need) || (!rack.empty() && row.worker->entry.rack != rack)
                || !mayRun(row, step))
                continue;
            const auto cost = costOf(service, row, spec, step);
            if (cost < lowest) {
                lowest = cost;
                chosen = &row;
            }
        }
        return chosen;
    }

    static bool hasService(const Row& row) { return row.worker->services > 0 || !row.planned.empty(); }

    static double costOf(const Service& service, const Row& row, const StepSpec& spec, const ReadyStep& step)
    {
        double cost = 0;
        if (!spec.dataRack.empty() && row.worker->entry.rack != spec.dataRack)
            cost += 100;
        if (row.worker->entry.coldLeft > Duration(0))
            cost += 10;
        cost += 20 * row.worker->recentFailures;
        cost += isKeptForOthers(service, row, spec) ? 3 : 0;
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
    auto waiting = waitingSteps(now);
    if (waiting.empty())
        return result;
    Candidates candidates { {}, m_use, &m_advice, now };
    for (const auto& step : waiting)
        candidates.byService[step.job->queue.service];
    for (auto& [id, service] : candidates.byService) {
        for (const auto& [workerId, worker] : m_workers.ofService(id)) {
            if (m_isUsable(*worker))
                service.rows.push_back({ worker, worker->room(), {} });
        }
    }
    for (const auto& [id, job] : m_jobs.labelledJobs()) {
        const auto service = candidates.byService.find(job->queue.service);
        for (const auto& spec : job->spec.steps) {
            if (service != candidates.byService.end() && !spec.requiredLabel.empty())
                service->second.requiredLabels.insert(spec.requiredLabel);
        }
    }
    // A heap, as a plan mostly ends long before the last step.
    const auto isAfter = [](const ReadyStep& left, const ReadyStep& right) { return isBefore(right, left); };
    std::make_heap(waiting.begin(), waiting.end(), isAfter);
    while (!waiting.empty() && result.starts.size() < most) {
        std::pop_heap(waiting.begin(), waiting.end(), isAfter);
        const auto step = waiting.back();
        waiting.pop_back();
        if (candidates.serviceOf(step).rows.empty())
            continue;
        const auto left = step.spec().isGang ? planGang(step, now, candidates, result.starts)
                                             : planStep(step, now, candidates, most, result.starts);
        if (left && step.job->queue.needsAdvice)
            result.adviceNeeds.push_back(adviceNeed(step, left, candidates));
    }
    result.hasTeamAtLimit = candidates.hasTeamAtLimit;
    return result;
}

AdviceNeed Placement::adviceNeed(const ReadyStep& ready, std::size_t tasks, const Candidates& candidates) const
{
    AdviceNeed need { ready.key(), {}, 0 };
    const auto& spec = ready.spec();
    const auto reserved = spec.reserved();
    const auto& service = candidates.byService.at(ready.job->queue.service);
    std::vector<std::pair<double, const Candidates::Row*>> suitable;
    for (const auto& row : service.rows) {
        if (Candidates::suits(row, spec, ready, reserved))
            suitable.emplace_back(Candidates::costOf(service, row, spec, ready), &row);
    }
    std::stable_sort(
        suitable.begin(), suitable.end(), [](const auto& left, const auto& right) { return left.first < right.first; });
    std::size_t placed = 0;
    for (const auto& [cost, row] : suitable) {
        need.candidates.push_back(row->worker->entry.life);
        if (placed >= tasks)
            continue;
        ++need.workers;
        placed += Candidates::tasksThatFit(*row, spec, ready);
    }
    return need;
}

bool Placement::mayStart(const TaskKey& key, const Task& task, TimePoint now) const
{
    if ((!m_outOfReach.empty() && m_outOfReach.contains(key)) || task.isDone || task.run || task.strays
        || task.notBefore > now)
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
    const auto need = spec.reserved();
    if (candidates.isTooLarge(ready, need))
        return job.queue.needsAdvice ? tasks.size() : 1;
    RackId rack;
    std::size_t left = 0;
    for (std::size_t i = 0; i < tasks.size() && starts.size() < most; ++i) {
        const TaskKey key { job.spec.id, ready.occurrence, ready.step, static_cast<int>(i) };
        if (!mayStart(key, tasks[i], now))
            continue;
        if (!candidates.use.allows(limits, job.spec.team, spec.need)) {
            candidates.hasTeamAtLimit = true;
            return left;
        }
        auto* row = candidates.best(spec, ready, need, rack);
        if (!row && !rack.empty())
            row = candidates.best(spec, ready, need, {});
        if (!row) {
            ++left;
            if (!job.queue.needsAdvice) {
                candidates.foundNone(ready, need);
                return left;
            }
            continue;
        }
        if (spec.wantsOneRack)
            rack = row->worker->entry.rack;
        starts.push_back({ key, m_jobs.nextRun(job, key), row->worker->entry.life.id });
        Candidates::plan(*row, ready, need);
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
    const auto need = spec.reserved();
    std::set<RackId> racks { {} };
    if (spec.wantsOneRack) {
        for (const auto& row : candidates.serviceOf(ready).rows)
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
            if (!trial.use.allows(limits, job.spec.team, spec.need)) {
                candidates.hasTeamAtLimit = true;
                return 0;
            }
            auto* row = trial.best(spec, ready, need, rack);
            if (!row)
                break;
            const TaskKey key { job.spec.id, ready.occurrence, ready.step, static_cast<int>(i) };
            gang.push_back({ key, m_jobs.nextRun(job, key), row->worker->entry.life.id });
            Candidates::plan(*row, ready, need);
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
