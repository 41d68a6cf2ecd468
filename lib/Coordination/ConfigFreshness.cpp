// Age of the configuration's last confirmation, forwarded from peer to peer.
#include "marigoldlink/Coordination/ConfigFreshness.h"

#include <algorithm>

namespace marigoldlink {

const char* name(Contact contact)
{
    switch (contact) {
    case Contact::Confirmed:
        return "confirmed";
    case Contact::PlatformOutage:
        return "platform-outage";
    case Contact::Partitioned:
        return "cut-off";
    }
    return "cut-off";
}

void ConfigFreshness::platformAnswered(TimePoint sentAt)
{
    m_confirmedAt = m_isConfirmed ? std::max(m_confirmedAt, sentAt) : sentAt;
    m_isConfirmed = true;
}

void ConfigFreshness::peerAnswered(HolderId peer, TimePoint sentAt, Duration confirmationAge, bool hasSameConfiguration)
{
    m_peerAnsweredAt[peer] = sentAt;
    // The peer determined the age after sentAt, so the confirmation is not older than the difference.
    if (hasSameConfiguration && confirmationAge < m_limits.confirmation)
        platformAnswered(sentAt - confirmationAge);
}

Duration ConfigFreshness::age(TimePoint now) const { return m_isConfirmed ? now - m_confirmedAt : Duration::max(); }

Contact ConfigFreshness::contact(TimePoint now, const std::set<HolderId>& otherMembers) const
{
    if (age(now) <= m_limits.confirmation)
        return Contact::Confirmed;
    const bool areAllReachable = std::all_of(otherMembers.begin(), otherMembers.end(), [&](HolderId member) {
        const auto found = m_peerAnsweredAt.find(member);
        return found != m_peerAnsweredAt.end() && now - found->second <= m_limits.peerSilence;
    });
    return areAllReachable ? Contact::PlatformOutage : Contact::Partitioned;
}

bool ConfigFreshness::allowsAuthenticatedRequests(
    TimePoint now, const std::set<HolderId>& otherMembers, PartitionPolicy policy) const
{
    return policy == PartitionPolicy::Serve || contact(now, otherMembers) != Contact::Partitioned;
}

} // namespace marigoldlink
