// Accumulated deviation of each team from its share, which corrects the choice of the next task.
//
// Slots are indivisible and tasks run long, so a choice by current usage alone leaves a persistent error. The credit
// integrates each team's excess over its entitlement in slot seconds, decays exponentially, and counts as additional
// usage.
#pragma once

#include "marigoldlink/State/Types.h"

#include <map>
#include <vector>

namespace marigoldlink {

// Known usage of one team in the whole fleet.
struct TeamUsage {
    TeamId team;
    double share { 1 };
    double slots { 0 };
    bool hasDemand { false }; // whether the team has queued requests
};

class ShareCredit {
public:
    struct Limits {
        Duration memory { 20000 }; // time in which an excess decays by a factor of e
        Duration gain { 2000 }; // an excess of one slot for this time counts as one additional slot of usage
        double maxSlots { 64 }; // maximum absolute value of the correction
    };

    explicit ShareCredit(Limits limits)
        : m_limits(limits)
    {
    }

    // Accounts for the time since the last call, given the usage of all teams that run tasks or have queued requests.
    // Teams with queued requests are entitled to parts of the slots that they occupy together, by their shares. Other
    // teams accumulate no excess.
    void account(TimePoint now, const std::vector<TeamUsage>&);

    // Returns the slots to add to a team's usage; positive after an excess.
    double correction(const TeamId&) const;

private:
    Limits m_limits;
    TimePoint m_accountedAt;
    bool m_hasStarted { false };
    // In slot seconds. Invariant: the absolute value is at most maxSlots times the gain.
    std::map<TeamId, double> m_excess;
};

} // namespace marigoldlink
