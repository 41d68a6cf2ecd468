// Election delay and handover by instance size.
#include "marigoldlink/Coordination/CoordinatorPreference.h"

#include <algorithm>

namespace marigoldlink {

Duration CoordinatorPreference::campaignDelay(const std::vector<ElectionCandidate>& members) const
{
    double largest = m_ownProcessors;
    for (const auto& member : members)
        largest = std::max(largest, member.processors);
    if (largest <= 0)
        return Duration(0);
    return Duration(static_cast<std::int64_t>(
        static_cast<double>(m_limits.maxCampaignDelay.count()) * (1 - m_ownProcessors / largest)));
}

bool CoordinatorPreference::shouldHandOver(const std::vector<ElectionCandidate>& members)
{
    bool hasLarger = false;
    auto newest = m_newestConsidered;
    for (const auto& member : members) {
        if (member.processors < m_ownProcessors * m_limits.minProcessorRatio)
            continue;
        hasLarger |= member.registeredAt > m_newestConsidered;
        newest = std::max(newest, member.registeredAt);
    }
    m_newestConsidered = newest;
    return hasLarger;
}

} // namespace marigoldlink
