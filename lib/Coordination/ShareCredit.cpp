// Exponentially decaying sum of each team's excess over its entitlement.
#include "marigoldlink/Coordination/ShareCredit.h"

#include <algorithm>
#include <cmath>

namespace marigoldlink {

namespace {

    double seconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

} // namespace

void ShareCredit::account(TimePoint now, const std::vector<TeamUsage>& usages)
{
    const auto elapsed = m_hasStarted ? seconds(now - m_accountedAt) : 0;
    m_hasStarted = true;
    m_accountedAt = now;
    const auto decay = std::exp(-elapsed / seconds(m_limits.memory));
    for (auto& [team, excess] : m_excess)
        excess *= decay;
    double totalSlots = 0;
    double totalShares = 0;
    for (const auto& usage : usages) {
        if (!usage.hasDemand)
            continue;
        totalSlots += usage.slots;
        totalShares += usage.share;
    }
    const auto bound = m_limits.maxSlots * seconds(m_limits.gain);
    for (const auto& usage : usages) {
        if (!usage.hasDemand)
            continue;
        auto& excess = m_excess[usage.team];
        const auto entitled = totalSlots * usage.share / totalShares;
        excess = std::clamp(excess + (usage.slots - entitled) * elapsed, -bound, bound);
    }
    std::erase_if(m_excess, [](const auto& item) { return std::abs(item.second) < 1e-3; });
}

double ShareCredit::correction(const TeamId& team) const
{
    const auto found = m_excess.find(team);
    return found == m_excess.end() ? 0 : found->second / seconds(m_limits.gain);
}

} // namespace marigoldlink
