// Coordinator: starts, stops and ends of runs.
#include "marigoldlink/Entry/Coordinator.h"

#include <algorithm>
#include <cmath>

namespace marigoldlink {

namespace {

    // Interval of placement passes over all services, independent of changes.
    constexpr Duration s_placeAllPeriod { 500 };
    // Back-off before a stop order without an answer is resent.
    constexpr Duration s_stopRetryDelay { 400 };
    // Back-off before a task whose start was rejected is placed again.
    constexpr Duration s_rejectedDelay { 60 };
    // A worker is excluded from placement for this long once its failure score exceeds the threshold. Failed runs and
    // rejected or unanswered starts add 1 to the score.
    constexpr Duration s_exclusionTime { 3000 };
    constexpr double s_exclusionThreshold = 3;
    constexpr double s_failureDecay = 0.7; // factor applied to the score for each run that ended well
    // Running members of an incomplete gang are stopped if their start was ordered less than this time ago.
    constexpr Duration s_gangStartWindow { 2000 };
    // Interval of recounts of what unknown runs of predecessors may use, while no further worker lists its runs.
    constexpr Duration s_possibleUsePeriod { 200 };

    // What runs use that no worker has listed, at most.
    struct UnlistedUse {
        Resources need; // counted against the team's limit
        Resources reserved; // on the workers; less than the need for best-effort tasks

        void add(const StepSpec& step, std::int64_t tasks)
        {
            const auto times = [tasks](const Resources& each) {
                return Resources { each.milliCores * tasks, each.memoryMegabytes * tasks, each.accelerators * tasks };
            };
            need += times(step.need);
            reserved += times(step.reserved());
        }

        // The workers hold no more than their capacity.
        Resources within(const Resources& capacity) const
        {
            return elementwiseMin(reserved, capacity) + (need - reserved);
        }
    };

    void addUnlistedTasks(UnlistedUse& use, const Job& job)
    {
        if (job.state == JobState::Complete)
            return;
        // The progress of an ended job is not stored, and its runs may not have been stopped yet.
        if (!job.isActive()) {
            for (const auto& step : job.spec.steps)
                use.add(step, std::int64_t { step.tasks } * job.spec.schedule.count());
            return;
        }
        for (const auto& [number, occurrence] : job.occurrences) {
            for (std::size_t i = 0; i < occurrence.steps.size(); ++i) {
                const auto& tasks = occurrence.steps[i].tasks;
                const auto isUnlisted
                    = [](const Task& task) { return !task.isDone && !task.run && !task.orphanedRuns; };
                use.add(job.spec.steps[i], std::count_if(tasks.begin(), tasks.end(), isUnlisted));
            }
        }
    }

} // namespace

bool Coordinator::isUsable(const Worker& worker, TimePoint now) const
{
    return !worker.isLeavingPool && isUsableUnlessLeaving(worker, now);
}

bool Coordinator::isUsableUnlessLeaving(const Worker& worker, TimePoint now) const
{
    if (!worker.isRegistered || !worker.hasSeenFence || !worker.isRecordStored || !worker.isAnswering
        || worker.entry.isDraining || worker.isCordoned || worker.isChangingPool || worker.excludedUntil > now
        || m_operators.evacuatedDataCenters.contains(worker.entry.dataCenter))
        return false;
    // A worker that first answered after another coordinator may have been elected may not have seen the other's fence
    // yet, and would accept stale orders.
    if (!isLeaseValid(now) && worker.fencedAt >= m_leaseValidUntil)
        return false;
    const auto pool = m_operators.config.pools.find(worker.entry.service);
    return pool != m_operators.config.pools.end() && !pool->second.isSpare;
}

TimePoint Coordinator::predecessorLeasesExpiredBy() const
{
    // Predecessors granted leases of the same length.
    const auto lastOrder
        = m_startedAt + (m_term.hasPredecessorResigned ? Duration(0) : m_settings.predecessorGracePeriod);
    return lastOrder
        + Duration(static_cast<std::int64_t>(static_cast<double>(m_settings.lease.count()) / LeaseClock::minClockRate));
}

Coordinator::PredecessorRuns Coordinator::predecessorRuns() const
{
    PredecessorRuns runs;
    for (const auto& [id, worker] : m_workers.workers()) {
        if (!worker.mayHavePredecessorRuns)
            continue;
        ++runs.workers;
        if (worker.predecessorRuns)
            runs.tasks.insert(worker.predecessorRuns->begin(), worker.predecessorRuns->end());
        else
            runs.services.insert(worker.entry.service);
    }
    return runs;
}

std::map<TeamId, Resources> Coordinator::possibleUse(const PredecessorRuns& earlier) const
{
    const auto isLimited = [this](const TeamId& id) {
        const auto team = m_operators.config.teams.find(id);
        return team != m_operators.config.teams.end() && team->second.isLimited();
    };
    std::map<ServiceId, Resources> capacities;
    for (const auto& [id, worker] : m_workers.workers()) {
        if (worker.mayHavePredecessorRuns && !worker.predecessorRuns)
            capacities[worker.entry.service] += worker.freeCapacity();
    }
    std::map<std::pair<TeamId, ServiceId>, UnlistedUse> unlisted;
    for (const auto& [id, job] : m_jobs.jobs()) {
        if (!isLimited(job->spec.team))
            continue;
        for (const auto& service : earlier.services) {
            if (mayHaveRunsOn(*job, service))
                addUnlistedTasks(unlisted[{ job->spec.team, service }], *job);
        }
    }
    std::map<TeamId, Resources> use;
    for (const auto& [key, runs] : unlisted)
        use[key.first] += runs.within(capacities[key.second]);
    for (const auto& key : earlier.tasks) {
        const auto* job = m_jobs.find(key.job);
        if (job && isLimited(job->spec.team) && key.step < static_cast<int>(job->spec.steps.size()))
            use[job->spec.team] += job->stepSpec(key).need;
    }
    return use;
}

TeamUsageTotals Coordinator::useWithPredecessorRuns(const PredecessorRuns& earlier, TimePoint now)
{
    auto use = m_use;
    if (earlier.areAllKnown()) {
        m_possibleUse = {};
        return use;
    }
    if (m_possibleUse.workers != earlier.workers || m_possibleUse.validUntil <= now) {
        m_possibleUse = { earlier.workers, now + s_possibleUsePeriod, possibleUse(earlier) };
        for (const auto& [team, possible] : m_possibleUse.byTeam)
            log("team", team.value(),
                std::to_string(earlier.workers) + " workers may hold unknown runs of it, of up to "
                    + std::to_string(possible.milliCores) + " milli-cores; known use "
                    + std::to_string(std::llround(m_use.milliCores(team))) + " milli-cores");
    }
    for (const auto& [team, possible] : m_possibleUse.byTeam)
        use.add(team, possible);
    return use;
}

void Coordinator::schedulePlacement(const ServiceId& service) { m_servicesToPlace.insert(service); }

void Coordinator::scheduleFullPlacement() { m_mustPlaceAllServices = true; }

void Coordinator::placeTasks(TimePoint now)
{
    if (m_nextPlacementAt <= now) {
        m_nextPlacementAt = TimePoint::max();
        scheduleFullPlacement();
    }
    m_nextTick = std::min(m_nextTick, m_nextPlacementAt);
    if ((!m_mustPlaceAllServices && m_servicesToPlace.empty()) || !m_operators.hasConfig())
        return;
    auto earlier = m_mayHavePredecessorRuns ? predecessorRuns() : PredecessorRuns {};
    m_mayHavePredecessorRuns = !earlier.areAllKnown();
    const auto use = useWithPredecessorRuns(earlier, now);
    Placement placement(
        m_jobs, m_workers, m_operators.config, use, m_advice,
        [this, now](const Worker& worker) { return isUsable(worker, now); },
        [this, &earlier](const Job& job) { return isServiceRecorded(job) && !mayHaveRunsOn(job, earlier.services); });
    placement.setBlockedTasks(std::move(earlier.tasks));
    placement.setOnlyNeverStarted(!isLeaseValid(now));
    if (!m_mustPlaceAllServices)
        placement.setServices(m_servicesToPlace);
    if (m_settings.scheduling.shares) {
        updateAllotments(now);
        placement.setAllotments(&m_allotments);
    }
    if (m_settings.scheduling.reservations) {
        refreshReservations(placement, now);
        placement.setReservations(m_reservations, m_runTimes);
    }
    const auto plan = placement.plan(now, s_maxStartsPerTick);
    const auto& starts = plan.starts;
    for (const auto& start : starts)
        orderStart(start, now);
    if (m_settings.scheduling.shares)
        observeShares(now);
    for (const auto& request : plan.adviceRequests)
        requestAdvice(request, now);
    if (m_settings.scheduling.reservations)
        makeReservations(placement, plan, now);
    m_hasTeamAtLimit = plan.hasTeamAtLimit || (m_hasTeamAtLimit && !m_mustPlaceAllServices);
    if (starts.size() == s_maxStartsPerTick) {
        // The limit was reached: continue with the same services in the next tick.
        m_nextTick = now + Duration(1);
        return;
    }
    if (m_mustPlaceAllServices)
        schedulePlacementAt(now + s_placeAllPeriod);
    m_mustPlaceAllServices = false;
    m_servicesToPlace.clear();
}

void Coordinator::requestAdvice(const AdviceRequest& request, TimePoint now)
{
    if (now < m_advice.nextCallAt()) {
        schedulePlacementAt(m_advice.nextCallAt());
        return;
    }
    auto asked = m_advice.nextCall(request.step, request.candidates, request.workers, now);
    if (asked.empty())
        return;
    m_orders.emplace_back(AdviceOrder { request.step, std::move(asked) });
}

void Coordinator::adviceAnswered(const AdviceOrder& order, const AdviceAnswer& answer, TimePoint now)
{
    if (answer.isAnswered) {
        m_advice.answered(order.step, order.workers, answer.tickets, answer.valid, now);
        log("step", order.step.text(),
            "may run on " + std::to_string(answer.tickets.size()) + " of " + std::to_string(order.workers.size())
                + " workers queried");
    } else {
        m_advice.failed(order.step, now);
        log("step", order.step.text(), "no advice: the advice service refused the call or did not answer");
    }
    scheduleFullPlacement();
    m_nextTick = now;
}

void Coordinator::reserveRun(const WorkerId& id, const TaskKey& key, RunNumber run, TimePoint now)
{
    const auto* job = m_jobs.find(key.job);
    ReservedRun held;
    held.number = run;
    held.since = now;
    if (job && key.step < static_cast<int>(job->spec.steps.size())) {
        const auto& step = job->stepSpec(key);
        held.reserved = step.reserved();
        held.need = step.need;
        held.team = job->spec.team;
        held.isService = step.isService;
        if (m_settings.scheduling.reservations && !step.isService) {
            held.expectedEnd = now + m_runTimes.expected(job->queue.id, step.image, step.estimate);
            held.upperEnd = now + m_runTimes.upper(job->queue.id, step.image, step.estimate);
        }
    } else {
        // The job is unknown, so the run is assumed to use all remaining capacity.
        held.reserved = m_workers.find(id)->freeCapacity();
    }
    m_workers.reserve(id, key, held);
    m_use.add(held.team, held.need);
}

void Coordinator::orderStart(const PlannedStart& start, TimePoint now)
{
    auto& worker = *m_workers.find(start.worker);
    const auto& job = *m_jobs.find(start.task.job);
    const auto checkpoint = m_jobs.findTask(start.task)->checkpoint;
    const auto* ticket = m_advice.ticket(start.task.stepKey(), worker.entry.incarnation, now);
    if (!job.hasStarted)
        measure(JobStarted { job.spec.team, job.queue.priority, now - job.acceptedAt });
    m_jobs.runOrdered(start.task, start.run, start.worker, now);
    reserveRun(start.worker, start.task, start.run, now);
    // A run that goes on from a checkpoint takes less than the whole time.
    worker.runs.at(start.task).isTimed = checkpoint.empty();
    m_orders.emplace_back(StartOrder { worker.entry.incarnation, worker.entry.endpoint, fenceFor(worker), start.task,
        start.run, job.spec.payload, checkpoint, ticket ? *ticket : std::string(),
        worker.lease.extend(now, m_settings.lease) });
}

void Coordinator::startAnswered(const WorkerIncarnation& incarnation, const TaskKey& key, RunNumber run,
    StartAnswer answer, std::int64_t clockMs, TimePoint now)
{
    measure(StartAnswered { answer });
    auto* worker = m_workers.find(incarnation.id);
    if (!worker || worker->entry.incarnation.startedUnixMs != incarnation.startedUnixMs)
        return;
    const auto isCurrent = [&] {
        const auto found = worker->runs.find(key);
        return found != worker->runs.end() && found->second.number == run;
    };
    if (clockMs && answer != StartAnswer::OtherIncarnation)
        worker->lease.recordReading(now, clockMs);
    if (!isCurrent())
        return;
    switch (answer) {
    case StartAnswer::Started: {
        worker->runs.at(key).confirmedAt = now;
        auto* task = m_jobs.findTask(key);
        if (task && task->run && task->run->number == run && task->run->phase == ActiveRun::Phase::Ordered)
            task->run->phase = ActiveRun::Phase::Running;
        return;
    }
    case StartAnswer::StaleFence:
        fenceRefused(*worker, incarnation);
        return;
    case StartAnswer::Unknown:
        m_unconfirmedStarts[incarnation.id][key] = { run, now };
        stoppedAnswering(*worker);
        worker->lastUnansweredOrder = now;
        worker->recentFailures += 1;
        schedulePoll(*worker, now);
        // A stop would end a service task that did start, whatever the number of others that are unavailable.
        // resolveUnconfirmedStarts() decides by the next poll.
        if (!worker->runs.at(key).isService)
            orderStop(incarnation.id, key, run, StopReason::StartUnanswered, now);
        return;
    default:
        break;
    }
    log("task", key.text(), "start on " + incarnation.id.value() + " refused: " + name(answer));
    if (answer == StartAnswer::OtherIncarnation || answer == StartAnswer::NotSent) {
        stoppedAnswering(*worker);
        schedulePoll(*worker, now);
    }
    if (answer == StartAnswer::Unhealthy || answer == StartAnswer::NotSent)
        worker->recentFailures += 1;
    if (worker->recentFailures > s_exclusionThreshold) {
        worker->excludedUntil = now + s_exclusionTime;
        worker->recentFailures = s_exclusionThreshold - 1;
        schedulePlacementAt(worker->excludedUntil);
        log("worker", incarnation.id.value(), "temporarily excluded from placement: too many rejected starts");
    }
    handleRunEnd(incarnation.id, key, run, RunEnd::Lost, {}, now);
    if (answer == StartAnswer::NoTicket)
        m_advice.rejected(key.stepKey(), incarnation);
    const auto again = now + s_rejectedDelay;
    if (auto* task = m_jobs.findTask(key))
        task->notBefore = again;
    schedulePlacementAt(again);
}

void Coordinator::orderStop(const WorkerId& id, const TaskKey& key, RunNumber run, StopReason reason, TimePoint now)
{
    auto* worker = m_workers.find(id);
    if (!worker)
        return;
    if (const auto* job = m_jobs.find(key.job); job && job->isActive() && job->stepSpec(key).isService)
        logServiceStop(*worker, key, reason, now);
    if (auto* task = m_jobs.findTask(key); task && task->run && task->run->number == run)
        task->run->phase = ActiveRun::Phase::Stopping;
    sendStop(*worker, key, run, reason, now);
}

void Coordinator::sendStop(const Worker& worker, const TaskKey& key, RunNumber run, StopReason reason, TimePoint now)
{
    const auto held = worker.runs.find(key);
    const auto* task = m_jobs.findTask(key);
    const bool awaitsPoll = reason == StopReason::StartUnanswered && held != worker.runs.end() && held->second.isService
        && task && task->run && task->run->number == run;
    m_pendingStops[{ worker.entry.incarnation.id, key }] = { now + s_stopRetryDelay, reason, awaitsPoll };
    m_orders.emplace_back(StopOrder { worker.entry.incarnation, worker.entry.endpoint, fenceFor(worker), key, run });
}

void Coordinator::logServiceStop(const Worker& worker, const TaskKey& key, StopReason reason, TimePoint now) const
{
    const auto& job = *m_jobs.find(key.job);
    const auto occurrence = job.occurrences.find(key.occurrence);
    const int unavailable
        = occurrence == job.occurrences.end() ? 0 : unavailableTasks(occurrence->second, key.step, now);
    log("service", key.text(),
        std::string("stopping: ") + name(reason) + "; " + std::to_string(unavailable)
            + " tasks of its step unavailable, limit " + std::to_string(job.stepSpec(key).maxUnavailable) + "; worker "
            + worker.entry.incarnation.id.value() + lastAnswerText(worker, now));
}

std::string Coordinator::lastAnswerText(const Worker& worker, TimePoint now)
{
    if (!worker.hasSeenFence)
        return " has not answered yet";
    return std::string(worker.isAnswering ? " answered " : " does not answer, last answer ")
        + std::to_string((now - worker.lastAnswer).count()) + " ms ago";
}

void Coordinator::stopAnswered(
    const WorkerIncarnation& incarnation, const TaskKey& key, RunNumber run, StopAnswer answer, TimePoint now)
{
    auto* worker = m_workers.find(incarnation.id);
    if (!worker || worker->entry.incarnation.startedUnixMs != incarnation.startedUnixMs)
        return;
    const auto found = worker->runs.find(key);
    if (found == worker->runs.end() || found->second.number != run)
        return;
    if (answer == StopAnswer::StaleFence) {
        fenceRefused(*worker, incarnation);
        return;
    }
    if (answer != StopAnswer::Stopping)
        return; // resent by tick()
    // The run can no longer start. The next poll shows whether it is still shutting down.
    auto& stop = m_pendingStops[{ incarnation.id, key }];
    stop.resendAt = now + m_settings.maxLease;
    stop.awaitsPoll = false;
    found->second.confirmedAt = now;
    schedulePoll(*worker, std::min(worker->nextPollAt, now));
}

void Coordinator::stopRunsOf(const Job& job, TimePoint now)
{
    std::vector<std::tuple<WorkerId, TaskKey, RunNumber>> runs;
    bool hasOrphanedRuns = !job.wasAcceptedHere;
    for (const auto& [number, occurrence] : job.occurrences) {
        for (std::size_t step = 0; step < occurrence.steps.size(); ++step) {
            const auto& tasks = occurrence.steps[step].tasks;
            for (std::size_t index = 0; index < tasks.size(); ++index) {
                const auto& task = tasks[index];
                hasOrphanedRuns |= task.orphanedRuns > 0;
                if (task.run)
                    runs.emplace_back(task.run->worker,
                        TaskKey { job.spec.id, number, static_cast<int>(step), static_cast<int>(index) },
                        task.run->number);
            }
        }
    }
    // Orphaned runs are recorded only with the workers, so all workers have to be searched.
    if (hasOrphanedRuns)
        runs.clear();
    for (const auto& [id, worker] : m_workers.workers()) {
        if (!hasOrphanedRuns)
            break;
        const auto first = worker.runs.lower_bound(TaskKey { job.spec.id, 0, 0, 0 });
        for (auto run = first; run != worker.runs.end() && run->first.job == job.spec.id; ++run)
            runs.emplace_back(id, run->first, run->second.number);
    }
    for (const auto& [id, key, run] : runs)
        orderStop(id, key, run, StopReason::JobEnded, now);
}

void Coordinator::handleRunEnd(
    const WorkerId& id, const TaskKey& key, RunNumber run, RunEnd how, const std::string& checkpoint, TimePoint now)
{
    auto* job = m_jobs.find(key.job);
    auto* worker = m_workers.find(id);
    const auto held = worker ? worker->runs.find(key) : std::map<TaskKey, ReservedRun>::iterator {};
    if (worker && held != worker->runs.end() && held->second.number == run) {
        if (job && how == RunEnd::Done)
            recordRunTime(*job, key, held->second, now);
        m_use.subtract(held->second.team, held->second.need);
        m_workers.release(id, key, run);
        m_pendingStops.erase({ id, key });
        auto* task = m_jobs.findTask(key);
        if (task && task->orphanedRuns && !(task->run && task->run->number == run && task->run->worker == id))
            --task->orphanedRuns;
    }
    if (worker && how == RunEnd::Done)
        worker->recentFailures *= s_failureDecay;
    if (worker && how == RunEnd::Failed) {
        worker->recentFailures += 1;
        if (worker->recentFailures > s_exclusionThreshold) {
            worker->excludedUntil = now + s_exclusionTime;
            worker->recentFailures = s_exclusionThreshold - 1;
            schedulePlacementAt(worker->excludedUntil);
            log("worker", id.value(), "temporarily excluded from placement: too many failed tasks");
        }
    }
    measure(RunEnded { how });
    observeRunEnd(key, run, how, now);
    const bool wasActive = job && job->isActive();
    m_jobs.runEnded(key, run, how, checkpoint, now);
    // An earlier run that was presumed lost has completed after all, so the later run is superfluous.
    if (const auto* task = m_jobs.findTask(key); task && task->isDone && task->run && task->run->number != run) {
        log("repeated_task", key.text(),
            "run " + std::to_string(number(run)) + " on " + id.value() + " ended: " + name(how) + ", but run "
                + std::to_string(number(task->run->number)) + " was started on " + task->run->worker.value());
        orderStop(task->run->worker, key, task->run->number, StopReason::NotCurrent, now);
    }
    if (how != RunEnd::Done)
        log("task", key.text(), "run " + std::to_string(number(run)) + " on " + id.value() + " ended: " + name(how));
    if (const auto* task = m_jobs.findTask(key); task && task->notBefore > now)
        schedulePlacementAt(task->notBefore);
    if (wasActive && !job->isActive()) {
        log("job_end", key.job.value(), std::string("ended: ") + name(job->state));
        measure(JobEnded { job->spec.team, job->queue.priority, job->state, now - job->acceptedAt });
        stopRunsOf(*job, now);
        m_advice.forget(key.job);
        m_nextFlush = std::min(m_nextFlush, now);
    }
    // A team's limit covers its runs in all pools.
    if (m_hasTeamAtLimit)
        scheduleFullPlacement();
    if (worker)
        schedulePlacement(worker->entry.service);
    if (job)
        schedulePlacement(job->queue.service);
    m_nextTick = now;
}

void Coordinator::stopIncompleteGangs(TimePoint now)
{
    for (const auto& [id, gangJob] : m_jobs.incompleteGangJobs()) {
        const auto& job = *gangJob;
        for (const auto& [number, occurrence] : job.occurrences) {
            for (std::size_t i = 0; i < occurrence.steps.size(); ++i) {
                const auto& step = occurrence.steps[i];
                if (!job.spec.steps[i].isGang || !step.active || step.active == static_cast<int>(step.tasks.size()))
                    continue;
                for (std::size_t index = 0; index < step.tasks.size(); ++index) {
                    const auto& run = step.tasks[index].run;
                    if (run && run->phase == ActiveRun::Phase::Running && now - run->since < s_gangStartWindow)
                        orderStop(run->worker, { id, number, static_cast<int>(i), static_cast<int>(index) },
                            run->number, StopReason::IncompleteGang, now);
                }
            }
        }
    }
}

} // namespace marigoldlink
