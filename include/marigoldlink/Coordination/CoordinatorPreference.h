// Preference among entry instances of different size for the role of coordinator. An instance with more processor time
// campaigns earlier, and a coordinator on a small instance hands over to a larger one that has registered.
//
// This is only a preference: the election decides. A member may no longer exist: the record of a process that was
// killed outlives it.
#pragma once

#include "marigoldlink/State/Records.h"

#include <optional>
#include <vector>

namespace marigoldlink {

// An entry instance, as registered at its start.
struct ElectionCandidate {
    double processors { 1 }; // processor time in cores
    Revision registeredAt { noRevision };
};

class CoordinatorPreference {
public:
    struct Limits {
        // Upper bound of the delay of small instances. Longer than the election of a larger one takes (a read and two
        // writes), but short compared with the time to detect a dead coordinator.
        Duration maxCampaignDelay { 400 };
        double minProcessorRatio { 1.5 }; // minimum ratio of processors for a handover, which briefly stops task starts
    };

    CoordinatorPreference(double ownProcessors, Limits limits)
        : m_ownProcessors(ownProcessors)
        , m_limits(limits)
    {
    }

    // Returns how long to wait before campaigning.
    Duration campaignDelay(const std::vector<ElectionCandidate>&) const;

    // Whether a coordinator here should resign in favour of a larger member. Returns true only once for each
    // registration: if that member is not elected then, it no longer exists or is unreachable.
    bool shouldHandOver(const std::vector<ElectionCandidate>&);

private:
    double m_ownProcessors;
    Limits m_limits;
    Revision m_newestConsidered { noRevision }; // registrations up to this revision have been considered
};

} // namespace marigoldlink
