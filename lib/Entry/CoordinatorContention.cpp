// Coordinator: division of instances between pools that together request more than there is.
#include "marigoldlink/Entry/Coordinator.h"

#include <algorithm>
#include <tuple>

namespace marigoldlink {

namespace {

    // The pools count as contended until their requests are below this part of the capacity, so that requests about as
    // large as the capacity do not change the rule with each pass.
    constexpr double s_contentionEnd = 0.9;
    // The work of the active jobs is summed up in every second pass at most. It changes little in that time, compared
    // with the 1.8 s until a move takes effect.
    constexpr Duration s_pendingWorkPeriod { 200 };
    // A job that ends later than this multiple of its objective is of no use to its caller.
    constexpr int s_maxLateness = 3;

} // namespace

bool Coordinator::arePoolsContended(
    const std::map<ServiceId, PoolDemand>& demands, const std::vector<SizedInstance>& instances) const
{
    const auto* spare = m_operators.config.sparePool();
    double requested = 0;
    for (const auto& [id, demand] : demands)
        requested += static_cast<double>(demand.total.need.milliCores) * m_contention.limits().headroom;
    double capacity = 0;
    for (const auto& row : instances) {
        const bool isSpare = spare && row.pool == spare->id;
        capacity += row.isUsable || (isSpare && row.isMovable) ? static_cast<double>(row.capacity.milliCores) : 0;
    }
    return PoolContention::isContended(requested, capacity * (m_arePoolsContended ? s_contentionEnd : 1));
}

std::optional<Coordinator::Contention> Coordinator::contention(
    const std::map<ServiceId, PoolDemand>& demands, std::vector<SizedInstance>& instances, TimePoint now)
{
    if (!m_settings.scheduling.contention)
        return std::nullopt;
    const bool isContended = arePoolsContended(demands, instances);
    if (std::exchange(m_arePoolsContended, isContended) != isContended)
        log("instance", "pools", isContended ? "pools request more than there is" : "pools are covered again");
    excludeLeftPools(instances, isContended, now);
    if (!isContended) {
        stopAllLeaving("pools are covered again", now);
        return std::nullopt;
    }
    std::erase_if(m_leaving, [this](const auto& entry) { return !m_instances.contains(entry.first); });
    Contention contention { contentionView(demands, instances, now), {} };
    contention.targets = m_contention.targets(contention.view);
    for (auto& row : instances) {
        if (const auto leaving = m_leaving.find(row.id); leaving != m_leaving.end()) {
            row.pool = leaving->second.receiver;
            row.isMovable = false;
        }
    }
    return contention;
}

void Coordinator::excludeLeftPools(std::vector<SizedInstance>& instances, bool isContended, TimePoint now)
{
    for (auto& [id, left] : m_leftPools)
        std::erase_if(left, [now](const auto& entry) { return entry.second.until <= now; });
    std::erase_if(m_leftPools, [](const auto& entry) { return entry.second.empty(); });
    for (auto& row : instances) {
        const auto found = m_leftPools.find(row.id);
        if (found == m_leftPools.end())
            continue;
        for (const auto& [pool, left] : found->second) {
            if (isContended || left.isContended)
                row.excludedPools.insert(pool);
        }
    }
}

ContentionView Coordinator::contentionView(
    const std::map<ServiceId, PoolDemand>& demands, const std::vector<SizedInstance>& instances, TimePoint now)
{
    updatePendingWork(now);
    ContentionView view;
    view.work = m_pendingWork.work;
    const auto* spare = m_operators.config.sparePool();
    for (const auto& [id, demand] : demands) {
        if (spare && id == spare->id)
            continue;
        auto& pool = view.pools[id];
        pool.minInstances = demand.total.minInstances;
        for (const auto& [label, part] : demand.byLabel)
            pool.minInstances = std::max(pool.minInstances, part.minInstances);
        if (const auto reserved = m_pendingWork.serviceMilliCores.find(id);
            reserved != m_pendingWork.serviceMilliCores.end())
            pool.reservedMilliCores = reserved->second;
        if (const auto arrivals = m_arrivals.find(id); arrivals != m_arrivals.end())
            pool.forecastMilliCores = arrivals->second.milliCores(now);
        if (const auto received = m_receivedAt.find(id); received != m_receivedAt.end())
            pool.receivedAt = received->second;
    }
    for (const auto& [id, team] : m_operators.config.teams)
        view.teamWeights[id] = team.weight;
    for (const auto& row : instances) {
        const auto milliCores = static_cast<double>(row.capacity.milliCores);
        if (spare && row.pool == spare->id) {
            view.spareMilliCores += row.isMovable ? milliCores : 0;
            continue;
        }
        ContendedInstance instance { row.id, row.pool, milliCores, row.isUsable, false, std::nullopt,
            { row.excludedPools.begin(), row.excludedPools.end() }, std::nullopt };
        if (const auto leaving = m_leaving.find(row.id); leaving != m_leaving.end())
            instance.leaving = leaving->second;
        view.instances.push_back(std::move(instance));
    }
    return view;
}

JobProspect Coordinator::prospectOf(const Job& job, const Occurrence& occurrence, TimePoint now)
{
    auto remaining = occurrence.remainingPathLength;
    // A step of which all open tasks run is half done on average.
    for (std::size_t i = 0; i < occurrence.steps.size(); ++i) {
        const auto& step = occurrence.steps[i];
        if (step.active > 0 && step.done + step.active >= static_cast<int>(step.tasks.size())) {
            remaining -= job.spec.steps[i].estimate / 2;
            break;
        }
    }
    const auto objective = job.objective(occurrence);
    if (now + remaining <= objective)
        return JobProspect::OnTime;
    return now + remaining <= occurrence.openedAt + s_maxLateness * (objective - occurrence.openedAt)
        ? JobProspect::Late
        : JobProspect::Lost;
}

void Coordinator::updatePendingWork(TimePoint now)
{
    if (now < m_pendingWork.dueAt)
        return;
    m_pendingWork = { {}, {}, now + s_pendingWorkPeriod };
    std::map<std::tuple<ServiceId, TeamId, int, JobProspect>, double> work;
    for (const auto& [id, active] : m_jobs.activeJobs()) {
        const auto& job = *active;
        const auto& steps = job.spec.steps;
        const bool isService
            = std::any_of(steps.begin(), steps.end(), [](const StepSpec& step) { return step.isService; });
        for (const auto& [number, occurrence] : job.occurrences) {
            if (job.finishedOccurrences.contains(number))
                continue;
            const auto need = PoolDemandIndex::occurrenceNeed(job, occurrence, m_fleetBounds);
            const auto total = need.find({});
            if (total == need.end())
                continue;
            const auto milliCores = static_cast<double>(total->second.milliCores);
            if (isService)
                m_pendingWork.serviceMilliCores[job.queue.service] += milliCores;
            else
                work[{ job.queue.service, job.spec.team, job.queue.priority, prospectOf(job, occurrence, now) }]
                    += milliCores;
        }
    }
    for (const auto& [key, milliCores] : work) {
        const auto& [pool, team, priority, prospect] = key;
        m_pendingWork.work.push_back({ pool, team, priority, prospect, milliCores });
    }
}

std::optional<Duration> Coordinator::remainingTimeOfRuns(const Worker& worker, TimePoint now) const
{
    Duration longest { 0 };
    for (const auto& [key, run] : worker.runs) {
        const auto* job = m_jobs.find(key.job);
        if (!job || run.isService)
            return std::nullopt;
        const auto occurrence = job->occurrences.find(key.occurrence);
        if (occurrence == job->occurrences.end())
            return std::nullopt;
        const auto& task
            = occurrence->second.steps[static_cast<std::size_t>(key.step)].tasks[static_cast<std::size_t>(key.index)];
        if (!task.run || task.run->number != run.number)
            return std::nullopt;
        // A run that exceeds its estimate is expected to last as much longer again.
        const auto left = job->stepSpec(key).estimate - (now - task.run->since);
        longest = std::max(longest, left >= Duration(0) ? left : -left);
    }
    return longest;
}

void Coordinator::addLeavingState(ContendedInstance& contended, const PoolDemand& demand, TimePoint now) const
{
    const auto& instance = m_instances.at(contended.id);
    const auto* worker = m_workers.find(instance.worker);
    const auto refused = m_moveNotBefore.find(contended.id);
    const bool isLabelRequired = std::any_of(demand.byLabel.begin(), demand.byLabel.end(),
        [&instance](const auto& entry) { return instance.labels.contains(entry.first); });
    const bool hasRequiredAccelerators = instance.capacity.accelerators && demand.total.need.accelerators;
    if (instance.state != InstanceState::Up || !worker || !worker->isAnswering || worker->mayHavePredecessorRuns
        || worker->services || worker->hasPendingMaintenance || worker->isBeingMaintained || worker->isCordoned
        || m_moves.contains(contended.id) || m_maintenanceInFlight.contains(contended.id) || isLabelRequired
        || hasRequiredAccelerators || (refused != m_moveNotBefore.end() && now < refused->second))
        return;
    const auto remaining = remainingTimeOfRuns(*worker, now);
    contended.canLeave = remaining.has_value();
    if (remaining && !worker->runs.empty())
        contended.runsEndAt = now + *remaining;
}

void Coordinator::carryOutContention(
    Contention& contention, const std::map<ServiceId, PoolDemand>& demands, TimePoint now)
{
    auto& view = contention.view;
    std::map<ServiceId, double> usable;
    for (auto& instance : view.instances) {
        if (const auto move = m_moves.find(instance.id); move != m_moves.end())
            instance.pool = move->second.pool; // ordered in this pass
        usable[instance.pool] += instance.isUsable ? instance.milliCores : 0;
    }
    const auto* spare = m_operators.config.sparePool();
    for (const auto& [id, move] : m_moves) {
        const auto& instance = m_instances.at(id);
        if (spare && instance.pool == spare->id && move.since == now)
            view.instances.push_back({ id, move.pool, static_cast<double>(instance.capacity.milliCores), true, false,
                std::nullopt, {}, std::nullopt });
    }
    for (auto& instance : view.instances) {
        const auto demand = demands.find(instance.pool);
        const bool isAboveTarget = usable[instance.pool] > contention.targets[instance.pool];
        if (demand != demands.end() && (instance.leaving || isAboveTarget))
            addLeavingState(instance, demand->second, now);
    }
    const auto plan = m_contention.plan(view, contention.targets, now);
    for (const auto& release : plan.releases)
        stopLeaving(release.instance, release.reason, now);
    for (const auto& id : plan.moves) {
        const auto receiver = m_leaving.at(id).receiver;
        measure(ContendedMove { m_instances.at(id).pool, receiver });
        orderMove({ id, receiver },
            ", its last run ended after " + std::to_string((now - m_leaving.at(id).since).count()) + " ms", now);
        m_leaving.erase(id);
        setLeaving(id, false);
    }
    for (const auto& leave : plan.leaves) {
        log("instance", leave.instance,
            "leaving pool " + m_instances.at(leave.instance).pool.value() + ": " + leave.reason);
        m_leaving[leave.instance] = leave.leaving;
    }
    // The worker of an instance may have been replaced since the last pass.
    for (const auto& [id, leaving] : m_leaving)
        setLeaving(id, true);
}

void Coordinator::noteMove(const std::string& instance, const ServiceId& from, const ServiceId& to, TimePoint now)
{
    m_leftPools[instance][from] = { now + m_settings.moveTime + m_contention.limits().minStay, m_arePoolsContended };
    m_receivedAt[to] = now;
}

void Coordinator::setLeaving(const std::string& instance, bool isLeaving)
{
    const auto found = m_instances.find(instance);
    if (auto* worker = found == m_instances.end() ? nullptr : m_workers.find(found->second.worker))
        worker->isLeavingPool = isLeaving;
}

void Coordinator::stopLeaving(const std::string& instance, const std::string& reason, TimePoint now)
{
    log("instance", instance, "stays in its pool: " + reason);
    m_leaving.erase(instance);
    setLeaving(instance, false);
    if (const auto found = m_instances.find(instance); found != m_instances.end())
        schedulePlacement(found->second.pool);
    m_nextTick = now;
}

void Coordinator::stopAllLeaving(const std::string& reason, TimePoint now)
{
    for (const auto& [id, leaving] : std::map(m_leaving))
        stopLeaving(id, reason, now);
}

} // namespace marigoldlink
