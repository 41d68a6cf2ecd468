// Preference for larger instances.
#include "marigoldlink/Coordination/Succession.h"

#include <algorithm>

namespace marigoldlink {

Duration Succession::yield(const std::vector<Contender>& members) const
{
    double largest = m_own;
    for (const auto& member : members)
        largest = std::max(largest, member.processors);
    if (largest <= 0)
        return Duration(0);
    return Duration(
        static_cast<std::int64_t>(static_cast<double>(m_limits.longestYield.count()) * (1 - m_own / largest)));
}

bool Succession::shouldHandOver(const std::vector<Contender>& members)
{
    bool hasLarger = false;
    auto newest = m_triedUpTo;
    for (const auto& member : members) {
        if (member.processors < m_own * m_limits.worthwhile)
            continue;
        hasLarger |= member.registeredAt > m_triedUpTo;
        newest = std::max(newest, member.registeredAt);
    }
    m_triedUpTo = newest;
    return hasLarger;
}

} // namespace marigoldlink
