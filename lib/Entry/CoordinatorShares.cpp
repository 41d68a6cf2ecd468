// Coordinator: division of the capacity of short pools between teams.
#include "marigoldlink/Entry/Coordinator.h"

#include <cmath>

namespace marigoldlink {

namespace {

    // Allotments follow demand with this delay. Each computation reads all workers, so it is not made in every pass.
    constexpr Duration s_allotmentPeriod { 20 };
    constexpr Duration s_reportPeriod { 1000 };
    constexpr std::size_t s_maxTeamsInLog = 32;

    std::string cores(double milliCores) { return std::to_string(std::lround(milliCores / 1000)); }

} // namespace

void Coordinator::updateAllotments(TimePoint now)
{
    if (now < m_nextAllotment)
        return;
    m_nextAllotment = now + s_allotmentPeriod;
    std::vector<PoolLoad> loads;
    for (const auto& [service, groups] : m_jobs.readyIndex(now).services()) {
        PoolLoad load { service, 0, {}, 0 };
        for (const auto& [id, worker] : m_workers.ofService(service)) {
            if (isUsable(*worker, now))
                load.milliCores += static_cast<double>(worker->entry.capacity.milliCores);
        }
        const auto& use = m_workers.useOf(service);
        load.milliCores = std::max(0.0, load.milliCores - static_cast<double>(use.serviceMilliCores));
        for (const auto& [team, milliCores] : use.milliCores)
            load.demand[team] += static_cast<double>(milliCores);
        for (const auto& [key, group] : groups) {
            if (!key.isService && group.waitingMilliCores)
                load.demand[key.team] += static_cast<double>(group.waitingMilliCores);
        }
        if (const auto capacity = m_poolCapacities.find(service); capacity != m_poolCapacities.end())
            load.obtainableMilliCores = capacity->second.joining + obtainableMilliCores(service);
        loads.push_back(std::move(load));
    }
    m_allotments = allotShortPools(loads, [this](const TeamId& id) {
        const auto team = m_operators.config.teams.find(id);
        return team == m_operators.config.teams.end() || team->second.weight <= 0 ? 1.0 : team->second.weight;
    });
    m_allotmentCorrections.apply(m_allotments);
}

void Coordinator::observeShares(TimePoint now)
{
    if (now < m_nextShareObservation)
        return;
    m_nextShareObservation = now + s_allotmentPeriod;
    std::map<TeamId, double> used;
    for (const auto& pool : m_allotments.shortPools) {
        for (const auto& [team, milliCores] : m_workers.useOf(pool).milliCores)
            used[team] += static_cast<double>(milliCores);
    }
    m_allotmentCorrections.observe(m_allotments, used, now);
    reportAllotments(used, now);
}

void Coordinator::reportAllotments(const std::map<TeamId, double>& usedMilliCores, TimePoint now)
{
    if (now < m_nextAllotmentReport)
        return;
    m_nextAllotmentReport = now + s_reportPeriod;
    TeamsMeasured measured;
    std::string pools;
    std::string held;
    std::string allotments;
    std::size_t teams = 0;
    for (const auto& pool : m_allotments.shortPools)
        pools += ' ' + pool.value();
    for (const auto& [id, team] : m_allotments.teams) {
        const auto found = usedMilliCores.find(id);
        const auto used = found == usedMilliCores.end() ? 0 : found->second;
        measured.teams.push_back({ id, used / 1000, team.demand / 1000, team.milliCores / 1000 });
        if (team.milliCores >= team.demand || ++teams > s_maxTeamsInLog)
            continue;
        held += ' ' + id.value();
        allotments += (allotments.empty() ? "" : ", ") + id.value() + ' ' + cores(team.milliCores) + " of "
            + cores(team.demand) + " requested, " + cores(used) + " used";
    }
    measure(measured);
    if (std::exchange(m_reportedShortage, pools + ';' + held) == pools + ';' + held)
        return;
    log("shares", std::to_string(m_term.fence),
        pools.empty() ? "no pool has more demand than capacity"
                      : "more demand than capacity in" + pools
                + "; teams held to their shares, in cores: " + (allotments.empty() ? "none" : allotments));
}

} // namespace marigoldlink
