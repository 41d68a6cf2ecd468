// How recently a process had its configuration confirmed as current, and whether it may serve authenticated requests.
#pragma once

#include "marigoldlink/State/Types.h"

#include <map>
#include <set>

namespace marigoldlink {

enum class Contact {
    Confirmed, // the configuration was recently confirmed as current
    PlatformOutage, // no confirmation, but all other members are reachable
    Partitioned, // no confirmation, and some member is unreachable
};

const char* name(Contact);

// Whether to serve authenticated requests during a network partition, when a key may have been revoked without this
// process having learned of it.
enum class PartitionPolicy { Refuse, Serve };

class ConfigFreshness {
public:
    struct Limits {
        Duration confirmation { 3000 }; // validity of a confirmation
        Duration peerSilence { 2000 }; // time after an answer for which a member counts as reachable
    };

    explicit ConfigFreshness(Limits limits)
        : m_limits(limits)
    {
    }

    // Adjusts the limit to the interval between two exchanges with a member, which grows with the number of members.
    void setPeerSilence(Duration silence) { m_limits.peerSilence = silence; }

    // The platform answered a read or a watch that was sent at sentAt.
    void platformAnswered(TimePoint sentAt);

    // A peer answered a heartbeat that was sent at sentAt. The age is that of the peer's own confirmation when it
    // answered; it counts only if both have the same configuration.
    void peerAnswered(HolderId, TimePoint sentAt, Duration confirmationAge, bool hasSameConfiguration);

    // Age of the newest confirmation, or Duration::max() if there was none.
    Duration age(TimePoint now) const;

    Contact contact(TimePoint now, const std::set<HolderId>& otherMembers) const;
    bool allowsAuthenticatedRequests(TimePoint now, const std::set<HolderId>& otherMembers, PartitionPolicy) const;

private:
    Limits m_limits;
    bool m_isConfirmed { false };
    TimePoint m_confirmedAt;
    std::map<HolderId, TimePoint> m_peerAnsweredAt;
};

} // namespace marigoldlink
