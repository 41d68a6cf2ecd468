// Coordinator: admission control. Gathers what the decision on a submission needs, and carries it out.
#include "marigoldlink/Entry/Coordinator.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace marigoldlink {

namespace {

    // After a takeover ends of runs must have been observed for this time before anything is refused.
    constexpr Duration s_observationTime { 1000 };
    // Capacity wanted per demand; as in PoolSizer::Limits.
    constexpr double s_headroom = 1.15;
    // A pool donates only what this multiple of its demand leaves; as in PoolSizer::Limits.
    constexpr double s_donorHeadroom = 1.25;

    // Horizon of the metric of expected waits, which does not depend on one job.
    constexpr Duration s_long { 60000 };

    // Number of tasks with this need that fit into the free capacity.
    std::int64_t tasksThatFit(const Resources& need, const Resources& free)
    {
        auto count = static_cast<std::int64_t>(std::numeric_limits<std::int32_t>::max());
        const auto limitBy = [&count](std::int64_t available, std::int64_t wanted) {
            if (wanted > 0)
                count = std::min(count, std::max<std::int64_t>(0, available) / wanted);
        };
        limitBy(free.milliCores, need.milliCores);
        limitBy(free.memoryMegabytes, need.memoryMegabytes);
        limitBy(free.accelerators, need.accelerators);
        return count;
    }

    // The times of the job by the caller's estimates, scaled by the ratio of actual run times to estimates.
    AdmissionRequest requestOf(const JobSpec& spec, const JobQueue& queue, double ratio)
    {
        AdmissionRequest request;
        request.isExempt = spec.schedule.isTimed();
        std::vector<Duration> ends;
        for (const auto& step : spec.steps) {
            Duration begin { 0 };
            for (const int earlier : step.after)
                begin = std::max(begin, ends[static_cast<std::size_t>(earlier)]);
            const Duration time(std::llround(static_cast<double>(step.estimate.count()) * ratio));
            ends.push_back(begin + time);
            request.chain = std::max(request.chain, ends.back());
            request.isExempt |= step.isService;
            const auto milliCores = static_cast<double>(step.tasks * step.reserved().milliCores);
            request.milliCoreMs += milliCores * static_cast<double>(time.count());
            if (step.after.empty())
                request.firstMilliCores += milliCores;
        }
        const auto stretched = static_cast<double>(request.chain.count()) * queue.objectiveFactor;
        request.objective = Duration(std::llround(stretched)) + queue.objectiveAllowance;
        return request;
    }

} // namespace

bool Coordinator::isAdmissionActive(TimePoint now) const
{
    return m_settings.scheduling.admission && isLeaseValid(now) && m_isRestored && !m_poolCapacities.empty()
        && !m_mayHavePredecessorRuns && m_firstEndSeen && now - *m_firstEndSeen >= s_observationTime;
}

TermsByTeam Coordinator::teamTerms() const
{
    TermsByTeam terms;
    for (const auto& [id, team] : m_operators.config.teams)
        terms[id] = { team.weight > 0 ? team.weight : 1, static_cast<double>(team.limit.milliCores) };
    return terms;
}

double Coordinator::batchMilliCores(const ServiceId& pool) const
{
    const auto found = m_poolCapacities.find(pool);
    if (found == m_poolCapacities.end())
        return 0;
    auto milliCores = found->second.usable;
    for (const auto& [priority, teams] : m_jobs.backlog().rows(pool)) {
        for (const auto& [team, row] : teams)
            milliCores -= static_cast<double>(row.urgent.serviceMilliCores + row.yielding.serviceMilliCores);
    }
    return std::max(0.0, milliCores);
}

double Coordinator::obtainableMilliCores(const ServiceId& service) const
{
    double idleElsewhere = 0;
    std::vector<double> lacks;
    for (const auto& [id, other] : m_poolCapacities) {
        if (id == service)
            continue;
        const auto capacity = other.usable + other.joining;
        const auto spared = other.isSpare ? other.idle : capacity - other.need * s_donorHeadroom;
        idleElsewhere += std::min(other.idle, std::max(0.0, spared));
        if (!other.isSpare && other.need * s_headroom > capacity)
            lacks.push_back(other.need * s_headroom - capacity);
    }
    return obtainableShare(idleElsewhere, std::move(lacks));
}

PoolBacklog Coordinator::poolBacklog(const QueueView& view, const ServiceId& service) const
{
    PoolBacklog pool;
    const auto found = m_poolCapacities.find(service);
    if (found == m_poolCapacities.end())
        return pool;
    pool.usableMilliCores = view.milliCores;
    pool.joiningMilliCores = found->second.joining;
    pool.obtainableMilliCores = obtainableMilliCores(service);
    const auto ahead = queueAhead(view);
    pool.aheadMilliCoreMs = ahead.milliCoreMs * m_estimateBias.ratio(service);
    pool.waitingMilliCores = ahead.waitingMilliCores;
    pool.share = ahead.share;
    return pool;
}

double Coordinator::freeRoom(const JobSpec& spec, const ServiceId& service, TimePoint now) const
{
    const StepSpec* largest = nullptr;
    for (const auto& step : spec.steps) {
        if (step.after.empty() && (!largest || step.need.milliCores > largest->need.milliCores))
            largest = &step;
    }
    if (!largest)
        return 0;
    const auto need = largest->reserved();
    std::int64_t tasks = 0;
    for (const auto& [id, worker] : m_workers.ofService(service)) {
        if (!isUsable(*worker, now)
            || (!largest->requiredLabel.empty() && !worker->entry.labels.contains(largest->requiredLabel)))
            continue;
        const auto fit = tasksThatFit(need, worker->freeCapacity());
        tasks += largest->maxPerWorker ? std::min<std::int64_t>(fit, largest->maxPerWorker) : fit;
    }
    return static_cast<double>(tasks) * static_cast<double>(need.milliCores);
}

std::optional<Reply> Coordinator::admissionRefusal(
    const JobSpec& spec, const JobQueue& queue, TimePoint now, const CallOrigin& origin)
{
    if (!isAdmissionActive(now))
        return std::nullopt;
    m_jobs.advanceBacklog(now);
    auto request = requestOf(spec, queue, m_estimateBias.ratio(queue.service));
    request.age = m_refusedCallers.age(spec.id, now);
    const auto terms = teamTerms();
    auto pool = poolBacklog(
        { m_jobs.backlog().rows(queue.service), terms, queue.priority, spec.team, batchMilliCores(queue.service),
            std::max(Duration(0), request.objective - request.chain), m_settings.scheduling.shares },
        queue.service);
    auto decision = decideAdmission(request, pool);
    if (!decision.isAdmitted) {
        // What other work the instances that join will find is included in the tasks that wait.
        pool.freeMilliCores = std::max(0.0,
            freeRoom(spec, queue.service, now) + pool.joiningMilliCores + pool.obtainableMilliCores
                - pool.waitingMilliCores);
        decision = decideAdmission(request, pool);
    }
    const auto team = m_settings.scheduling.shares ? spec.team : TeamId();
    if (decision.isAdmitted) {
        if (decision.expectedWait == Duration(0))
            m_refusedCallers.hasRoom(queue.service, team);
        return std::nullopt;
    }
    // Refused work is wanted all the same: the pool should grow with it. A caller that returns was counted before.
    if (request.age == Duration(0))
        noteArrival(spec, queue.service, now);
    const auto capacity = (pool.usableMilliCores + pool.joiningMilliCores + pool.obtainableMilliCores) * pool.share;
    const Duration ownTime(capacity > 0 ? std::llround(request.milliCoreMs / capacity) : 0);
    const auto useful
        = Duration(std::llround(admission::useOfObjective * static_cast<double>(request.objective.count())))
        - request.chain - request.age;
    decision.retryAfter
        = m_refusedCallers.refuse(spec.id, queue.service, team, decision.expectedWait, ownTime, useful, now);
    const auto cores = [](double milliCores) { return std::to_string(std::lround(milliCores / 1000)); };
    const auto ms = [](Duration time) { return std::to_string(time.count()) + " ms"; };
    logCall("submission", spec.id,
        "refused, " + decision.reason + ": would wait " + ms(decision.expectedWait) + " and run " + ms(request.chain)
            + " after " + ms(request.age) + ", objective " + ms(request.objective) + "; pool " + queue.service.value()
            + " cores " + cores(pool.usableMilliCores) + " usable, " + cores(pool.joiningMilliCores) + " joining, "
            + cores(pool.obtainableMilliCores) + " obtainable, " + cores(pool.freeMilliCores) + " free of "
            + cores(request.firstMilliCores) + " needed; " + cores(pool.aheadMilliCoreMs / 1000)
            + " core seconds ahead, share " + std::to_string(std::lround(pool.share * 100)) + "%; return in "
            + ms(decision.retryAfter),
        origin, now);
    measure(SubmissionRefused { queue.service, decision.reason });
    return Reply { Reply::Kind::Refused, {}, 0, decision.retryAfter };
}

void Coordinator::updatePoolCapacities(
    const std::map<ServiceId, PoolDemand>& demands, const std::vector<SizedInstance>& instances, TimePoint now)
{
    if (!m_settings.scheduling.admission && !m_settings.scheduling.shares)
        return;
    m_poolCapacities.clear();
    for (const auto& [id, pool] : m_operators.config.pools)
        m_poolCapacities[id].isSpare = pool.isSpare;
    for (const auto& row : instances) {
        const auto milliCores = static_cast<double>(row.capacity.milliCores);
        auto& capacity = m_poolCapacities[row.pool];
        // An instance that is on its way to the spare pool can be moved on from there.
        if (m_moves.contains(row.id))
            (capacity.isSpare ? capacity.idle : capacity.joining) += milliCores;
        else if (row.isUsable)
            capacity.usable += milliCores;
        if (row.isMovable)
            capacity.idle += milliCores;
    }
    for (const auto& [id, demand] : demands)
        m_poolCapacities[id].need = static_cast<double>(demand.total.need.milliCores);
    m_jobs.advanceBacklog(now);
    const auto terms = teamTerms();
    for (const auto& [id, pool] : m_operators.config.pools) {
        if (pool.isSpare)
            continue;
        const auto backlog = poolBacklog({ m_jobs.backlog().rows(id), terms, std::numeric_limits<int>::max(), {},
                                             batchMilliCores(id), s_long, false },
            id);
        measure(WaitMeasured { id, timeToClear(backlog.aheadMilliCoreMs, backlog) });
    }
}

void Coordinator::observeRunEnd(const TaskKey& key, RunNumber run, RunEnd how, TimePoint now)
{
    if (!m_settings.scheduling.admission || how != RunEnd::Done)
        return;
    if (!m_firstEndSeen)
        m_firstEndSeen = now;
    const auto* job = m_jobs.find(key.job);
    const auto* task = m_jobs.findTask(key);
    if (!job || !task || !task->run || task->run->number != run || job->stepSpec(key).isService
        || !job->wasAcceptedHere)
        return;
    const auto& step = job->stepSpec(key);
    m_estimateBias.record(job->queue.service, step.estimate, now - task->run->since, step.reserved().milliCores);
}

} // namespace marigoldlink
