// Which entry instance should be the coordinator, where instances differ in size: one with more processor time stands
// first, and a coordinator on a small instance hands over to a larger one that has come.
//
// It is a preference only. The election decides, and a member may be gone: its record outlives it.
#pragma once

#include "marigoldlink/State/Records.h"

#include <optional>
#include <vector>

namespace marigoldlink {

// An entry instance as it registered when it started.
struct Contender {
    double processors { 1 }; // share of a core that it has
    Revision registeredAt { noRevision };
};

class Succession {
public:
    struct Limits {
        // The smallest instance stands this much later. Longer than a larger one takes to be elected (a read and two
        // writes), short against the time that a dead coordinator is missed.
        Duration longestYield { 400 };
        double worthwhile { 1.5 }; // a handover stops starts for a moment; it must gain this many times the processors
    };

    Succession(double ownProcessors, Limits limits)
        : m_own(ownProcessors)
        , m_limits(limits)
    {
    }

    // How long to wait before standing for election.
    Duration yield(const std::vector<Contender>&) const;

    // Whether a coordinator here should resign in favour of a larger member. True once for each registration: if that
    // one is not elected, it is gone or out of reach.
    bool shouldHandOver(const std::vector<Contender>&);

private:
    double m_own;
    Limits m_limits;
    Revision m_triedUpTo { noRevision }; // registrations up to this one were given their chance
};

} // namespace marigoldlink
