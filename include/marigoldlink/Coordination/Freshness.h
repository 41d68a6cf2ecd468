// How sure a process is that its configuration is current, and whether keyed work may go on.
#pragma once

#include "marigoldlink/State/Types.h"

#include <map>
#include <set>

namespace marigoldlink {

enum class Contact {
    Confirmed, // the configuration was confirmed as current a short time ago
    PlatformOutage, // every other member is reached and none has a confirmation
    CutOff, // no confirmation, and some member is not reached
};

const char* name(Contact);

// What to do with keyed work while cut off, when a withdrawal may exist that cannot be heard of.
enum class CutOffPolicy { Refuse, Serve };

class Freshness {
public:
    struct Limits {
        Duration confirmation { 3000 }; // a confirmation counts for so long
        Duration peerSilence { 2000 }; // a member counts as reached for so long after its answer
    };

    explicit Freshness(Limits limits)
        : m_limits(limits)
    {
    }

    // Follows the time between two exchanges with a member, which grows with their number.
    void setPeerSilence(Duration silence) { m_limits.peerSilence = silence; }

    // The platform answered a read or a watch that was sent at the time.
    void platformAnswered(TimePoint sentAt);

    // A peer answered a heartbeat that was sent at the time. The age is that of the peer's own confirmation when it
    // answered; it counts only when both hold the same configuration.
    void peerAnswered(HolderId, TimePoint sentAt, Duration confirmationAge, bool hasSameConfiguration);

    // Age of the newest confirmation. Duration::max() when there was none.
    Duration age(TimePoint now) const;

    Contact contact(TimePoint now, const std::set<HolderId>& otherMembers) const;
    bool allowsKeyedWork(TimePoint now, const std::set<HolderId>& otherMembers, CutOffPolicy) const;

private:
    Limits m_limits;
    bool m_isConfirmed { false };
    TimePoint m_confirmedAt;
    std::map<HolderId, TimePoint> m_peerAnsweredAt;
};

} // namespace marigoldlink
