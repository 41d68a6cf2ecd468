// Division of capacity between teams by weight.
#pragma once

#include "marigoldlink/State/Types.h"

#include <functional>
#include <map>
#include <set>
#include <vector>

namespace marigoldlink {

struct TeamDemand {
    TeamId team;
    double weight { 1 }; // greater than 0
    double milliCores { 0 }; // of running and waiting tasks
};

// Weighted max-min fair allocation of the capacity, by team. No team gets more than its demand, and the sum is the
// smaller of the capacity and the total demand. Teams whose demand is not met get amounts in proportion to their
// weights.
std::map<TeamId, double> weightedMaxMin(const std::vector<TeamDemand>&, double milliCores);

// Capacity of a pool and what each team's running and waiting tasks ask of it. Services are part of neither.
struct PoolLoad {
    ServiceId pool;
    double milliCores { 0 };
    std::map<TeamId, double> demand;
    // Of instances that are joining the pool or could be moved to it. A shortage that they cover ends by itself.
    double obtainableMilliCores { 0 };
};

struct TeamAllotments {
    struct Team {
        double demand { 0 }; // over the short pools; in each at most the pool's capacity
        double milliCores { 0 }; // its allotment in all short pools together
        double correction { 0 }; // added to the allotment, see AllotmentCorrections
    };
    std::set<ServiceId> shortPools; // those with more demand than capacity, even with what is obtainable
    std::map<TeamId, Team> teams; // with demand on a short pool

    // Whether the use, with one more task, would exceed the team's corrected allotment by more than half of the task.
    // A team without demand when the allotments were made is not held.
    bool isExceeded(const TeamId&, double usedMilliCores, double taskMilliCores) const;
};

// Divides the capacity of all short pools together between the teams, by weighted max-min fairness.
TeamAllotments allotShortPools(const std::vector<PoolLoad>&, const std::function<double(const TeamId&)>& weight);

// Corrects the allotments by what teams got too little or too much before. Tasks are indivisible, so without this a
// team with a small allotment could stay a whole task below it.
class AllotmentCorrections {
public:
    // Takes the teams' use in the short pools. To be called after a placement pass: before it, the use of teams with
    // short tasks would appear too small, since their runs have ended and not been replaced yet.
    void observe(const TeamAllotments&, const std::map<TeamId, double>& usedMilliCores, TimePoint now);
    void apply(TeamAllotments&) const;

private:
    std::map<TeamId, double> m_corrections; // of the teams with more demand than allotment
    TimePoint m_observedAt;
};

} // namespace marigoldlink
