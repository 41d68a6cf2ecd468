// Weighted max-min fairness by progressive filling.
#include "marigoldlink/Scheduling/TeamShares.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace marigoldlink {

namespace {

    // Time in which a deviation is made up for. Longer than the tasks that have to end first, or use would oscillate.
    constexpr Duration s_correctionTime { 1000 };
    // Most that an allotment is corrected, as a part of it. With the time above, a team makes up for a quarter of a
    // second of its allotment at most, which is 2.5% of it over 10 s.
    constexpr double s_maxCorrection = 0.25;
    // Longest time between two calls that counts, so that a deviation in a pause does not.
    constexpr Duration s_maxStep { 100 };

} // namespace

std::map<TeamId, double> weightedMaxMin(const std::vector<TeamDemand>& demands, double milliCores)
{
    std::vector<const TeamDemand*> byLevel;
    double weights = 0;
    for (const auto& demand : demands) {
        assert(demand.weight > 0 && "the weight of a team is positive");
        byLevel.push_back(&demand);
        weights += demand.weight;
    }
    // Teams in the order in which a rising level of capacity per weight meets their demand.
    std::sort(byLevel.begin(), byLevel.end(), [](const TeamDemand* left, const TeamDemand* right) {
        return left->milliCores / left->weight < right->milliCores / right->weight;
    });
    std::map<TeamId, double> allocations;
    double left = std::max(0.0, milliCores);
    for (const auto* demand : byLevel) {
        const auto allocation = std::min(demand->milliCores, left * demand->weight / weights);
        allocations[demand->team] = allocation;
        left -= allocation;
        weights -= demand->weight;
    }
    return allocations;
}

bool TeamAllotments::isExceeded(const TeamId& team, double usedMilliCores, double taskMilliCores) const
{
    const auto found = teams.find(team);
    return found != teams.end()
        && usedMilliCores + taskMilliCores / 2 > found->second.milliCores + found->second.correction;
}

TeamAllotments allotShortPools(const std::vector<PoolLoad>& loads, const std::function<double(const TeamId&)>& weight)
{
    TeamAllotments allotments;
    double capacity = 0;
    for (const auto& load : loads) {
        double total = 0;
        for (const auto& [team, demand] : load.demand)
            total += demand;
        if (total <= load.milliCores + load.obtainableMilliCores)
            continue;
        allotments.shortPools.insert(load.pool);
        capacity += load.milliCores;
        for (const auto& [team, demand] : load.demand)
            allotments.teams[team].demand += std::min(demand, load.milliCores);
    }
    std::vector<TeamDemand> demands;
    for (const auto& [id, team] : allotments.teams)
        demands.push_back({ id, weight(id), team.demand });
    for (const auto& [id, milliCores] : weightedMaxMin(demands, capacity))
        allotments.teams.at(id).milliCores = milliCores;
    return allotments;
}

void AllotmentCorrections::observe(
    const TeamAllotments& allotments, const std::map<TeamId, double>& usedMilliCores, TimePoint now)
{
    const auto elapsed = std::min(now - m_observedAt, s_maxStep);
    m_observedAt = now;
    const auto part = static_cast<double>(elapsed.count()) / static_cast<double>(s_correctionTime.count());
    auto previous = std::exchange(m_corrections, {});
    for (const auto& [id, team] : allotments.teams) {
        if (team.milliCores >= team.demand)
            continue;
        const auto used = usedMilliCores.find(id);
        const auto deviation = team.milliCores - (used == usedMilliCores.end() ? 0 : used->second);
        const auto limit = s_maxCorrection * team.milliCores;
        m_corrections[id] = std::clamp(previous[id] + part * deviation, -limit, limit);
    }
}

void AllotmentCorrections::apply(TeamAllotments& allotments) const
{
    for (auto& [id, team] : allotments.teams) {
        const auto correction = m_corrections.find(id);
        team.correction = correction == m_corrections.end() ? 0 : correction->second;
    }
}

} // namespace marigoldlink
