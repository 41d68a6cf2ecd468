// Needs of all active jobs, summed by service. Only jobs that changed since the last call are read again.
#pragma once

#include "marigoldlink/Coordination/PoolSizer.h"

#include <set>
#include <unordered_map>
#include <unordered_set>

namespace marigoldlink {

struct Job;
struct Occurrence;

class PoolDemandIndex {
public:
    // The largest capacity of each resource over the instances with a label, and over all instances by the empty label.
    // Needs that exceed it are not counted.
    using FleetBounds = std::map<std::string, Resources>;

    // To be called after each change of an active job.
    void changed(const Job&);
    void remove(const Job&);
    // Returns the demand of each service with active jobs.
    const std::map<ServiceId, PoolDemand>& demands(const FleetBounds&);

private:
    using LabelledNeed = std::map<std::string, Resources>;
    struct Contribution {
        ServiceId service;
        LabelledNeed need;
        std::multiset<std::pair<std::string, int>> minInstances; // by label
    };
    struct Sums {
        int jobs { 0 };
        struct Label {
            int parts { 0 }; // number of contributions
            Resources need;
            std::multiset<int> minInstances;
        };
        std::map<std::string, Label> byLabel;
    };

    LabelledNeed occurrenceNeed(const Job&, const Occurrence&) const;
    Contribution contribution(const Job&) const;
    void add(const Contribution&);
    void subtract(const Contribution&);
    void updateDemand(const ServiceId&);

    FleetBounds m_bounds;
    std::unordered_map<const Job*, Contribution> m_contributions;
    std::unordered_set<const Job*> m_changed;
    std::map<ServiceId, Sums> m_sums; // invariant: sums of m_contributions
    std::set<ServiceId> m_changedServices; // invariant: those whose entry in m_demands may differ from m_sums
    std::map<ServiceId, PoolDemand> m_demands;
};

} // namespace marigoldlink
