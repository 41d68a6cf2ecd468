// Memory of how far each team has been from its share, which corrects the choice of the next task.
//
// Slots come whole and tasks run long, so a choice by present usage alone leaves a lasting error. The credit sums up
// each team's excess over its entitlement in slot seconds, fades with time, and counts as additional usage.
#pragma once

#include "marigoldlink/State/Types.h"

#include <map>
#include <vector>

namespace marigoldlink {

// Usage of one team in the whole fleet, as far as known.
struct TeamUsage {
    TeamId team;
    double share { 1 };
    double slots { 0 };
    bool isAsking { false }; // the team has requests in some queue
};

class ShareCredit {
public:
    struct Limits {
        Duration memory { 20000 }; // an excess fades by a factor of e in this time
        Duration gain { 2000 }; // an excess of one slot for this time counts as one more slot of usage
        double mostSlots { 64 }; // bound of the correction
    };

    explicit ShareCredit(Limits limits)
        : m_limits(limits)
    {
    }

    // Accounts for the time since the last call with the usage of all teams that run or ask. The teams that ask share
    // the slots that they occupy by their shares; teams that do not ask have no excess.
    void account(TimePoint now, const std::vector<TeamUsage>&);

    // Slots to add to a team's usage: positive after an excess.
    double correction(const TeamId&) const;

private:
    Limits m_limits;
    TimePoint m_accountedAt;
    bool m_hasStarted { false };
    // Invariant: slot seconds, between minus and plus the bound times the gain.
    std::map<TeamId, double> m_excess;
};

} // namespace marigoldlink
