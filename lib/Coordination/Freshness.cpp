// Age of the configuration's last confirmation, forwarded from peer to peer.
#include "marigoldlink/Coordination/Freshness.h"

#include <algorithm>

namespace marigoldlink {

const char* name(Contact contact)
{
    switch (contact) {
    case Contact::Confirmed:
        return "confirmed";
    case Contact::PlatformOutage:
        return "platform-outage";
    case Contact::CutOff:
        return "cut-off";
    }
    return "cut-off";
}

void Freshness::platformAnswered(TimePoint sentAt)
{
    m_confirmedAt = m_isConfirmed ? std::max(m_confirmedAt, sentAt) : sentAt;
    m_isConfirmed = true;
}

void Freshness::peerAnswered(HolderId peer, TimePoint sentAt, Duration confirmationAge, bool hasSameConfiguration)
{
    m_peerAnsweredAt[peer] = sentAt;
    // The peer determined the age after sentAt, so the confirmation is not older than the difference.
    if (hasSameConfiguration && confirmationAge < m_limits.confirmation)
        platformAnswered(sentAt - confirmationAge);
}

Duration Freshness::age(TimePoint now) const { return m_isConfirmed ? now - m_confirmedAt : Duration::max(); }

Contact Freshness::contact(TimePoint now, const std::set<HolderId>& otherMembers) const
{
    if (age(now) <= m_limits.confirmation)
        return Contact::Confirmed;
    const bool areAllReachable = std::all_of(otherMembers.begin(), otherMembers.end(), [&](HolderId member) {
        const auto found = m_peerAnsweredAt.find(member);
        return found != m_peerAnsweredAt.end() && now - found->second <= m_limits.peerSilence;
    });
    return areAllReachable ? Contact::PlatformOutage : Contact::CutOff;
}

bool Freshness::allowsKeyedWork(TimePoint now, const std::set<HolderId>& otherMembers, CutOffPolicy policy) const
{
    return policy == CutOffPolicy::Serve || contact(now, otherMembers) != Contact::CutOff;
}

} // namespace marigoldlink
