// Coordinator: pool sizing. Computes the demand of each pool and moves instances between pools.
#include "marigoldlink/Entry/Coordinator.h"

#include <algorithm>
#include <cmath>

namespace marigoldlink {

namespace {

    constexpr Duration s_reportPeriod { 1000 };
    // The list of instances may lag behind the end of an accepted move by this time.
    constexpr Duration s_listLag { 1500 };
    // Back-off before an instance whose move was refused is moved again.
    constexpr Duration s_refusedMoveDelay { 1000 };

} // namespace

void Coordinator::updateFleetBounds()
{
    m_fleetBounds.clear();
    for (const auto& [id, instance] : m_instances) {
        m_fleetBounds[{}] = elementwiseMax(m_fleetBounds[{}], instance.capacity);
        for (const auto& label : instance.labels)
            m_fleetBounds[label] = elementwiseMax(m_fleetBounds[label], instance.capacity);
    }
}

std::map<ServiceId, PoolDemand> Coordinator::poolDemands(TimePoint now)
{
    auto demands = m_jobs.poolDemands(m_fleetBounds);
    for (const auto& [id, pool] : m_operators.config.pools)
        demands[id];
    for (const auto& [id, rate] : m_arrivals) {
        auto& demand = demands[id].total;
        demand.need.milliCores
            = std::max(demand.need.milliCores, static_cast<std::int64_t>(std::lround(rate.milliCores(now))));
        demand.minInstances = std::max(demand.minInstances, 1);
    }
    return demands;
}

SizedInstance Coordinator::sized(const FleetInstance& instance, TimePoint now) const
{
    SizedInstance row;
    row.id = instance.id;
    row.pool = instance.pool;
    row.capacity = instance.capacity;
    row.labels = instance.labels;
    if (const auto excluded = m_excludedPools.find(instance.id); excluded != m_excludedPools.end())
        row.excludedPools = excluded->second;
    if (const auto move = m_moves.find(instance.id); move != m_moves.end()) {
        row.pool = move->second.pool;
        row.isUsable = true;
        return row;
    }
    const bool isEvacuated = m_operators.evacuatedDataCenters.contains(instance.dataCenter);
    const auto* worker = m_workers.find(instance.worker);
    const auto pool = m_operators.config.pools.find(instance.pool);
    const bool isSpare = pool != m_operators.config.pools.end() && pool->second.isSpare;
    if (instance.state != InstanceState::Up || m_waves.isUnderMaintenance(instance.id)
        || m_waves.reserved().contains(instance.id))
        return row;
    row.isUsable = !isEvacuated && worker && isUsable(*worker, now);
    // A worker that does not answer or is draining is not worth moving.
    const bool isSound = isSpare || (worker && worker->isAnswering && !worker->entry.isDraining);
    const auto idle = m_idleSince.find(instance.id);
    const auto refused = m_moveNotBefore.find(instance.id);
    const bool isWaiting = refused != m_moveNotBefore.end() && now < refused->second;
    row.isMovable = isSound && !isEvacuated && !isWaiting && idle != m_idleSince.end();
    row.idleSince = row.isMovable ? idle->second : now;
    return row;
}

void Coordinator::reportPools(
    const std::map<ServiceId, PoolDemand>& demands, const std::vector<SizedInstance>& instances) const
{
    const auto cores = [](std::int64_t milliCores) { return static_cast<double>(milliCores) / 1000; };
    const auto rounded = [](double cores) { return std::to_string(std::lround(cores)); };
    std::string text;
    for (const auto& [id, demand] : demands) {
        PoolMeasured pool { id, 0, 0, 0, cores(demand.total.need.milliCores) };
        for (const auto& row : instances) {
            if (row.pool != id)
                continue;
            ++pool.instances;
            pool.usableCores += row.isUsable ? cores(row.capacity.milliCores) : 0;
            const auto* worker = m_workers.find(m_instances.at(row.id).worker);
            pool.usedCores += worker ? cores(worker->used.milliCores) : 0;
        }
        measure(pool);
        text += (text.empty() ? "" : "; ") + id.value() + ' ' + std::to_string(pool.instances) + " instances, cores "
            + rounded(pool.usableCores) + " usable, " + rounded(pool.usedCores) + " used, "
            + rounded(pool.requestedCores) + " asked";
        for (const auto& [label, part] : demand.byLabel)
            text += ", " + rounded(cores(part.need.milliCores)) + " with " + label;
    }
    const auto& journal = m_journalStats;
    log("coordinator", std::to_string(m_term.fence),
        text + "; " + std::to_string(m_journal.waiting()) + " records queued, " + std::to_string(journal.records)
            + " in " + std::to_string(journal.stored) + " writes, " + std::to_string(journal.notStored)
            + " not stored, longest " + std::to_string(journal.longest.count()) + " ms; event loop lag up to "
            + std::to_string(m_maxSizingDelay.count()) + " ms");
    measure(JobsMeasured { m_jobs.activeJobs().size(), m_jobs.unstartedJobs() });
}

void Coordinator::sizePools(TimePoint now)
{
    const bool isDue = m_sizingSchedule.takeDue(now);
    m_nextTick = std::min(m_nextTick, std::max(m_sizingSchedule.next(), now + Duration(1)));
    if (!isDue)
        return;
    m_maxSizingDelay = std::max(m_maxSizingDelay, m_sizingSchedule.lag());
    if (!mayChangeInstances(now) || m_instances.empty())
        return;
    for (const auto& [id, move] : std::map(m_moves)) {
        const auto found = m_instances.find(id);
        const bool hasArrived
            = found != m_instances.end() && found->second.pool == move.pool && found->second.state == InstanceState::Up;
        const auto age = now - move.since;
        if (found == m_instances.end() || (hasArrived && age > m_settings.moveTime)
            || age > m_settings.moveTime + s_listLag)
            finishMove(id, now);
    }
    const auto* spare = m_operators.config.sparePool();
    std::vector<SizedInstance> instances;
    for (const auto& [id, instance] : m_instances) {
        const auto* worker = m_workers.find(instance.worker);
        if (worker && !worker->runs.empty())
            m_idleSince.erase(id);
        else
            m_idleSince.try_emplace(id, now);
        instances.push_back(sized(instance, now));
    }
    const auto demands = poolDemands(now);
    if (m_nextPoolReport <= now) {
        m_nextPoolReport = now + s_reportPeriod;
        reportPools(demands, instances);
        m_maxSizingDelay = Duration(0);
        m_journalStats = {};
    }
    for (const auto& move : m_sizer.plan(demands, instances, spare ? spare->id : ServiceId(), now)) {
        log("instance", move.instance,
            "moving from pool " + m_instances.at(move.instance).pool.value() + " to " + move.pool.value());
        m_moves[move.instance] = { move.pool, now };
        if (auto* worker = m_workers.find(m_instances.at(move.instance).worker))
            worker->isChangingPool = true;
        m_orders.emplace_back(MoveOrder { move.instance, move.pool });
    }
}

void Coordinator::handleMoveRefusal(const std::string& instance, InstanceAnswer answer, TimePoint now)
{
    // The call may have taken effect. The move stays in progress until the list of instances shows its result.
    if (answer == InstanceAnswer::Unknown)
        return;
    if (answer == InstanceAnswer::Invalid)
        m_excludedPools[instance].insert(m_moves.at(instance).pool);
    m_moveNotBefore[instance] = now + s_refusedMoveDelay;
    finishMove(instance, now);
}

void Coordinator::finishMove(const std::string& instance, TimePoint now)
{
    m_moves.erase(instance);
    const auto found = m_instances.find(instance);
    auto* worker = found == m_instances.end() ? nullptr : m_workers.find(found->second.worker);
    if (!worker || !std::exchange(worker->isChangingPool, false))
        return;
    schedulePlacement(worker->entry.service);
    m_nextTick = now;
}

void Coordinator::moveAccepted(FleetInstance& instance, const ServiceId& pool, TimePoint now)
{
    workerMayHaveEnded(instance, now);
    instance.state = InstanceState::Moving;
    instance.pool = pool;
    m_moves[instance.id].since = now;
}

} // namespace marigoldlink
