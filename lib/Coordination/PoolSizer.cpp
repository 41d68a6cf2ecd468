// Forecast of arrivals and the choice of moves.
#include "marigoldlink/Coordination/PoolSizer.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace marigoldlink {

namespace {

    // Standard deviations that the forecast stays below the sum. An instance that comes in vain costs a few seconds of
    // itself; one that comes late costs the worth of all that waits.
    constexpr double s_caution = 0.5;

} // namespace

double ArrivalForecast::fade(TimePoint now) const
{
    return std::exp(-static_cast<double>((now - m_at).count()) / static_cast<double>(m_memory.count()));
}

void ArrivalForecast::add(TimePoint now, double milliCoreMilliseconds)
{
    const auto remaining = fade(now);
    const auto milliCores = milliCoreMilliseconds / static_cast<double>(m_memory.count());
    m_sum = m_sum * remaining + milliCores;
    m_sumOfSquares = m_sumOfSquares * remaining * remaining + milliCores * milliCores;
    m_at = now;
}

double ArrivalForecast::milliCores(TimePoint now) const
{
    return std::max(0.0, m_sum - s_caution * std::sqrt(m_sumOfSquares)) * fade(now);
}

namespace {

    struct PoolState {
        double capacity { 0 };
        int instances { 0 };
        double wanted { 0 };
        int least { 0 };

        bool isShort() const { return capacity < wanted || instances < least; }
        bool canGive(double milliCores, double factor) const
        {
            return instances > least && capacity - milliCores >= wanted * factor;
        }
    };

} // namespace

std::vector<PlannedMove> PoolSizer::plan(const std::map<ServiceId, PoolDemand>& demands,
    const std::vector<SizedInstance>& instances, const ServiceId& spare, TimePoint now) const
{
    std::map<ServiceId, PoolState> pools;
    for (const auto& [id, demand] : demands) {
        if (id != spare)
            pools[id] = { 0, 0, demand.milliCores * m_limits.headroom, demand.leastInstances };
    }
    for (const auto& instance : instances) {
        const auto pool = pools.find(instance.pool);
        if (pool == pools.end() || !instance.isUsable)
            continue;
        pool->second.capacity += instance.milliCores;
        ++pool->second.instances;
    }
    const auto giveFactor = m_limits.keepAbove / m_limits.headroom;
    std::vector<PlannedMove> moves;
    std::set<std::string> taken;
    const auto donor = [&](const ServiceId& receiver) -> const SizedInstance* {
        const SizedInstance* best = nullptr;
        for (const auto& instance : instances) {
            if (!instance.isMovable || taken.contains(instance.id) || instance.pool == receiver)
                continue;
            if (instance.pool == spare)
                return &instance;
            const auto pool = pools.find(instance.pool);
            if (pool == pools.end() || !pool->second.canGive(instance.milliCores, giveFactor))
                continue;
            if (!best || instance.idleSince < best->idleSince)
                best = &instance;
        }
        return best;
    };
    const auto move = [&](const SizedInstance& instance, const ServiceId& target) {
        taken.insert(instance.id);
        moves.push_back({ instance.id, target });
        if (const auto from = pools.find(instance.pool); from != pools.end() && instance.isUsable) {
            from->second.capacity -= instance.milliCores;
            --from->second.instances;
        }
        if (const auto to = pools.find(target); to != pools.end()) {
            to->second.capacity += instance.milliCores;
            ++to->second.instances;
        }
    };
    // The pool that lacks the largest part of its demand is served first, one instance at a time.
    for (;;) {
        ServiceId neediest;
        double lowest = 1;
        for (const auto& [id, pool] : pools) {
            if (!pool.isShort())
                continue;
            const auto covered = pool.instances < pool.least ? 0 : pool.capacity / std::max(1.0, pool.wanted);
            if (covered < lowest) {
                lowest = covered;
                neediest = id;
            }
        }
        if (neediest.empty())
            break;
        const auto* instance = donor(neediest);
        if (!instance)
            break;
        move(*instance, neediest);
    }
    if (spare.empty())
        return moves;
    for (const auto& instance : instances) {
        if (!instance.isMovable || taken.contains(instance.id) || instance.pool == spare
            || now - instance.idleSince < m_limits.idleBeforeSpare)
            continue;
        const auto pool = pools.find(instance.pool);
        if (pool != pools.end() && pool->second.canGive(instance.milliCores, giveFactor))
            move(instance, spare);
    }
    return moves;
}

} // namespace marigoldlink
