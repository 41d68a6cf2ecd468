// Starts and stops of runs.
#include "marigoldlink/Entry/Coordinator.h"

#include <algorithm>

namespace marigoldlink {

namespace {

    // Starts ordered in one tick at the most, so that one tick stays short on a small machine.
    constexpr std::size_t s_startsPerTick = 64;
    // All services are placed again at least this often, whatever changed.
    constexpr Duration s_placeAllPeriod { 500 };
    // Wait before a stop without an answer is sent again.
    constexpr Duration s_stopRetryDelay { 400 };
    // Wait before a task whose start was rejected is placed again.
    constexpr Duration s_rejectedDelay { 60 };
    // A worker is left out for so long after it failed or rejected several starts in a row.
    constexpr Duration s_distrust { 3000 };
    constexpr double s_distrustAbove = 3;
    constexpr double s_failureFade = 0.7; // of earlier failures for each run that ended well
    // Members of a gang that wait for the others longer than this are stopped together.
    constexpr Duration s_gangPatience { 2000 };

} // namespace

bool Coordinator::isUsable(const Worker& worker, TimePoint now) const
{
    const auto pool = m_operators.config.pools.find(worker.entry.service);
    if (pool == m_operators.config.pools.end() || pool->second.isSpare)
        return false;
    // A worker that began its life after another coordinator may have been elected does not know that one's fence yet.
    if (!isSure(now) && worker.fencedAt >= m_sureUntil)
        return false;
    return worker.isRegistered && worker.isFenced && worker.isRecorded && worker.isAnswering && !worker.entry.isDraining
        && !worker.isReserved && !worker.isMoving && worker.distrustedUntil <= now
        && !m_operators.evacuated.contains(worker.entry.dataCenter);
}

TimePoint Coordinator::earlierLeasesLapsedBy() const
{
    // Earlier coordinators gave leases of the same length as this one does.
    const auto lastOrder = m_startedAt + (m_term.hasPredecessorResigned ? Duration(0) : m_settings.earlierOrders);
    return lastOrder
        + Duration(static_cast<std::int64_t>(static_cast<double>(m_settings.lease.count()) / LeaseClock::slowestRate));
}

Coordinator::EarlierRuns Coordinator::earlierRuns() const
{
    EarlierRuns runs;
    for (const auto& [id, worker] : m_workers.workers()) {
        if (!worker.mayHoldEarlierRuns)
            continue;
        runs.areKnown = false;
        if (worker.earlierRuns)
            runs.tasks.insert(worker.earlierRuns->begin(), worker.earlierRuns->end());
        else
            runs.services.insert(worker.entry.service);
    }
    return runs;
}

void Coordinator::placeSoon(const ServiceId& service) { m_mustPlace.insert(service); }

void Coordinator::placeAllSoon() { m_mustPlaceAll = true; }

void Coordinator::placeTasks(TimePoint now)
{
    if (m_nextPlacement <= now) {
        m_nextPlacement = TimePoint::max();
        placeAllSoon();
    }
    m_nextTick = std::min(m_nextTick, m_nextPlacement);
    if ((!m_mustPlaceAll && m_mustPlace.empty()) || !m_operators.hasConfig())
        return;
    auto earlier = m_mayHaveEarlierRuns ? earlierRuns() : EarlierRuns {};
    m_mayHaveEarlierRuns = !earlier.areKnown;
    Placement placement(
        m_jobs, m_workers, m_operators.config, m_use, m_advice,
        [this, now](const Worker& worker) { return isUsable(worker, now); },
        [&earlier](const Job& job) { return job.isOwn || !earlier.services.contains(job.queue.service); });
    placement.setTasksOutOfReach(std::move(earlier.tasks));
    placement.setFirstRunsOnly(!isSure(now));
    if (!m_mustPlaceAll)
        placement.setServices(m_mustPlace);
    const auto [starts, adviceNeeds, hasTeamAtLimit] = placement.plan(now, s_startsPerTick);
    for (const auto& start : starts)
        orderStart(start, now);
    for (const auto& need : adviceNeeds)
        askAdvice(need, now);
    m_hasTeamAtLimit = hasTeamAtLimit || (m_hasTeamAtLimit && !m_mustPlaceAll);
    if (starts.size() == s_startsPerTick) {
        // The rest of the same services is placed in the next tick.
        m_nextTick = now + Duration(1);
        return;
    }
    if (m_mustPlaceAll)
        placeAgainAt(now + s_placeAllPeriod);
    m_mustPlaceAll = false;
    m_mustPlace.clear();
}

void Coordinator::askAdvice(const AdviceNeed& need, TimePoint now)
{
    if (now < m_advice.nextCallAt()) {
        placeAgainAt(m_advice.nextCallAt());
        return;
    }
    auto asked = m_advice.nextCall(need.step, need.candidates, need.workers, now);
    if (asked.empty())
        return;
    m_orders.emplace_back(AdviceOrder { need.step, std::move(asked) });
}

void Coordinator::adviceAnswered(const AdviceOrder& order, const AdviceAnswer& answer, TimePoint now)
{
    if (answer.isAnswered) {
        m_advice.answered(order.step, order.workers, answer.tickets, answer.valid, now);
        log("step", order.step.text(),
            "may run on " + std::to_string(answer.tickets.size()) + " of " + std::to_string(order.workers.size())
                + " workers asked about");
    } else {
        m_advice.failed(order.step, now);
        log("step", order.step.text(), "no advice: the service did not take the call or did not answer");
    }
    placeAllSoon();
    m_nextTick = now;
}

void Coordinator::occupy(const WorkerId& id, const TaskKey& key, RunNumber run)
{
    const auto* job = m_jobs.find(key.job);
    HeldRun held { run, {}, {}, {}, false };
    if (job && key.step < static_cast<int>(job->spec.steps.size())) {
        const auto& step = job->stepSpec(key);
        held = { run, step.reserved(), step.need, job->spec.team, step.isService };
    } else {
        // Nothing is known of its size, so it counts as all that is left.
        held.reserved = m_workers.find(id)->room();
    }
    m_workers.occupy(id, key, held);
    m_use.add(held.team, held.need);
}

void Coordinator::orderStart(const PlannedStart& start, TimePoint now)
{
    auto& worker = *m_workers.find(start.worker);
    const auto& job = *m_jobs.find(start.task.job);
    const auto checkpoint = m_jobs.findTask(start.task)->checkpoint;
    const auto* ticket = m_advice.ticket(start.task.stepKey(), worker.entry.life, now);
    if (!job.hasStarted)
        measure(JobStarted { job.spec.team, job.queue.priority, now - job.acceptedAt });
    m_jobs.runOrdered(start.task, start.run, start.worker, now);
    occupy(start.worker, start.task, start.run);
    m_orders.emplace_back(StartOrder { worker.entry.life, worker.entry.endpoint, start.task, start.run,
        job.spec.payload, checkpoint, ticket ? *ticket : std::string(), worker.lease.extend(now, m_settings.lease) });
}

void Coordinator::startAnswered(
    const WorkerLife& life, const TaskKey& key, RunNumber run, StartAnswer answer, std::int64_t clockMs, TimePoint now)
{
    measure(StartAnswered { answer });
    auto* worker = m_workers.find(life.id);
    if (!worker || worker->entry.life.bornUnixMs != life.bornUnixMs)
        return;
    const auto isCurrent = [&] {
        const auto found = worker->runs.find(key);
        return found != worker->runs.end() && found->second.number == run;
    };
    if (clockMs && answer != StartAnswer::OtherLife)
        worker->lease.reading(now, clockMs);
    if (!isCurrent())
        return;
    switch (answer) {
    case StartAnswer::Started: {
        m_confirmedAt[{ life.id, key }] = now;
        auto* task = m_jobs.findTask(key);
        if (task && task->run && task->run->number == run && task->run->phase == ActiveRun::Phase::Ordered)
            task->run->phase = ActiveRun::Phase::Running;
        return;
    }
    case StartAnswer::StaleFence:
        m_isDeposed = true;
        log("coordinator", std::to_string(m_term.fence), "deposed: worker " + life.id.value() + " has a higher fence");
        return;
    case StartAnswer::Unknown:
        m_doubtfulStarts[life.id][key] = { run, now };
        stoppedAnswering(*worker);
        worker->recentFailures += 1;
        lookAt(*worker, now);
        orderStop(life.id, key, run, now);
        return;
    default:
        break;
    }
    log("task", key.text(), "start on " + life.id.value() + " refused: " + name(answer));
    if (answer == StartAnswer::OtherLife || answer == StartAnswer::NotSent) {
        stoppedAnswering(*worker);
        lookAt(*worker, now);
    }
    if (answer == StartAnswer::Unhealthy || answer == StartAnswer::NotSent)
        worker->recentFailures += 1;
    if (worker->recentFailures > s_distrustAbove) {
        worker->distrustedUntil = now + s_distrust;
        worker->recentFailures = s_distrustAbove - 1;
        placeAgainAt(worker->distrustedUntil);
        log("worker", life.id.value(), "left out for a while: refuses starts");
    }
    runOver(life.id, key, run, RunEnd::Lost, {}, now);
    if (answer == StartAnswer::NoTicket)
        m_advice.rejected(key.stepKey(), life);
    const auto again = now + s_rejectedDelay;
    if (auto* task = m_jobs.findTask(key))
        task->notBefore = again;
    placeAgainAt(again);
}

void Coordinator::orderStop(const WorkerId& id, const TaskKey& key, RunNumber run, TimePoint now)
{
    auto* worker = m_workers.find(id);
    if (!worker)
        return;
    if (auto* task = m_jobs.findTask(key); task && task->run && task->run->number == run)
        task->run->phase = ActiveRun::Phase::Stopping;
    m_stopRetries[{ id, key }] = now + s_stopRetryDelay;
    m_orders.emplace_back(StopOrder { worker->entry.life, worker->entry.endpoint, key, run });
}

void Coordinator::stopAnswered(
    const WorkerLife& life, const TaskKey& key, RunNumber run, StopAnswer answer, TimePoint now)
{
    auto* worker = m_workers.find(life.id);
    if (!worker || worker->entry.life.bornUnixMs != life.bornUnixMs)
        return;
    const auto found = worker->runs.find(key);
    if (found == worker->runs.end() || found->second.number != run)
        return;
    if (answer == StopAnswer::StaleFence) {
        m_isDeposed = true;
        return;
    }
    if (answer != StopAnswer::Stopping)
        return; // sent again by the tick
    // From now on the run cannot start any more; the next look tells whether it still winds down.
    m_stopRetries[{ life.id, key }] = now + m_settings.longestLease;
    m_confirmedAt[{ life.id, key }] = now;
    lookAt(*worker, std::min(worker->nextLook, now));
}

void Coordinator::stopRunsOf(const Job& job, TimePoint now)
{
    std::vector<std::tuple<WorkerId, TaskKey, RunNumber>> runs;
    bool hasStrays = !job.isOwn;
    for (const auto& [number, occurrence] : job.occurrences) {
        for (std::size_t step = 0; step < occurrence.steps.size(); ++step) {
            const auto& tasks = occurrence.steps[step].tasks;
            for (std::size_t index = 0; index < tasks.size(); ++index) {
                const auto& task = tasks[index];
                hasStrays |= task.strays > 0;
                if (task.run)
                    runs.emplace_back(task.run->worker,
                        TaskKey { job.spec.id, number, static_cast<int>(step), static_cast<int>(index) },
                        task.run->number);
            }
        }
    }
    // Where runs that are no task's own are only the workers know.
    if (hasStrays)
        runs.clear();
    for (const auto& [id, worker] : m_workers.workers()) {
        if (!hasStrays)
            break;
        const auto first = worker.runs.lower_bound(TaskKey { job.spec.id, 0, 0, 0 });
        for (auto run = first; run != worker.runs.end() && run->first.job == job.spec.id; ++run)
            runs.emplace_back(id, run->first, run->second.number);
    }
    for (const auto& [id, key, run] : runs)
        orderStop(id, key, run, now);
}

void Coordinator::runOver(
    const WorkerId& id, const TaskKey& key, RunNumber run, RunEnd how, const std::string& checkpoint, TimePoint now)
{
    auto* job = m_jobs.find(key.job);
    auto* worker = m_workers.find(id);
    const auto held = worker ? worker->runs.find(key) : std::map<TaskKey, HeldRun>::iterator {};
    if (worker && held != worker->runs.end() && held->second.number == run) {
        m_use.subtract(held->second.team, held->second.need);
        m_workers.release(id, key, run);
        m_confirmedAt.erase({ id, key });
        m_stopRetries.erase({ id, key });
        auto* task = m_jobs.findTask(key);
        if (task && task->strays && !(task->run && task->run->number == run && task->run->worker == id))
            --task->strays;
    }
    if (worker && how == RunEnd::Done)
        worker->recentFailures *= s_failureFade;
    if (worker && how == RunEnd::Failed) {
        worker->recentFailures += 1;
        if (worker->recentFailures > s_distrustAbove) {
            worker->distrustedUntil = now + s_distrust;
            worker->recentFailures = s_distrustAbove - 1;
            placeAgainAt(worker->distrustedUntil);
            log("worker", id.value(), "left out for a while: its tasks fail");
        }
    }
    measure(RunEnded { how });
    const bool wasActive = job && job->isActive();
    m_jobs.runEnded(key, run, how, checkpoint, now);
    // An earlier run that was given up had ended well after all; the later one is not needed.
    if (const auto* task = m_jobs.findTask(key); task && task->isDone && task->run && task->run->number != run)
        orderStop(task->run->worker, key, task->run->number, now);
    if (how != RunEnd::Done)
        log("task", key.text(), "run " + std::to_string(number(run)) + " on " + id.value() + " ended: " + name(how));
    if (const auto* task = m_jobs.findTask(key); task && task->notBefore > now)
        placeAgainAt(task->notBefore);
    if (wasActive && !job->isActive()) {
        log("job", key.job.value(), std::string("ended: ") + name(job->state));
        measure(JobEnded { job->spec.team, job->queue.priority, job->state, now - job->acceptedAt });
        stopRunsOf(*job, now);
        m_advice.forget(key.job);
        m_nextFlush = std::min(m_nextFlush, now);
    }
    // What a team has running counts in every pool.
    if (m_hasTeamAtLimit)
        placeAllSoon();
    if (worker)
        placeSoon(worker->entry.service);
    if (job)
        placeSoon(job->queue.service);
    m_nextTick = now;
}

void Coordinator::stopLoneGangs(TimePoint now)
{
    for (const auto& [id, gangJob] : m_jobs.gangJobs()) {
        const auto& job = *gangJob;
        for (const auto& [number, occurrence] : job.occurrences) {
            for (std::size_t i = 0; i < occurrence.steps.size(); ++i) {
                const auto& step = occurrence.steps[i];
                if (!job.spec.steps[i].isGang || !step.active || step.active == static_cast<int>(step.tasks.size()))
                    continue;
                for (std::size_t index = 0; index < step.tasks.size(); ++index) {
                    const auto& run = step.tasks[index].run;
                    if (run && run->phase == ActiveRun::Phase::Running && now - run->since < s_gangPatience)
                        orderStop(run->worker, { id, number, static_cast<int>(i), static_cast<int>(index) },
                            run->number, now);
                }
            }
        }
    }
}

} // namespace marigoldlink
