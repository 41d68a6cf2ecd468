// Which instances stand in which pool: pools that fall short take idle instances of others, and what nobody needs goes
// to the spare pool, where it costs nothing.
//
// A pool may fall short of processors, memory or accelerators, as a whole or among the instances with a label that some
// tasks require.
//
// A pool's demand is the larger of what its tasks need now, running and waiting, and what the arrivals let expect by
// the time an instance could join. So a burst is answered from its first arrivals on, before its queue is long.
#pragma once

#include "marigoldlink/State/Fleet.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace marigoldlink {

// Processors that will be in use by jobs that arrive within the time an instance needs to join.
//
// Each arrival counts with the work that it can do in that time. A few large arrivals say little about what follows, so
// the estimate is a lower bound: the sum of the recent arrivals less its standard deviation, as if they came at random.
class ArrivalForecast {
public:
    explicit ArrivalForecast(Duration memory)
        : m_memory(memory)
    {
    }

    void add(TimePoint now, double milliCoreMilliseconds);
    double milliCores(TimePoint now) const;

private:
    double fade(TimePoint now) const;

    Duration m_memory;
    TimePoint m_at;
    double m_sum { 0 };
    double m_sumOfSquares { 0 };
};

// What is asked of the instances of a pool, or of those with one label.
struct Demand {
    Resources need; // running, waiting, or arriving
    int leastInstances { 0 }; // to spread services as they ask
};

// Tasks that require a label count in the whole and under their label. What no instance of the fleet can run must be
// left out: no move would help it.
struct PoolDemand {
    Demand whole;
    std::map<std::string, Demand> byLabel;
};

// One instance as the sizer sees it.
struct SizedInstance {
    std::string id;
    ServiceId pool;
    Resources capacity;
    std::set<std::string> labels;
    bool isMovable { false }; // up, nothing runs on it, and nothing else is planned for it
    bool isUsable { false }; // tasks can start on it, or will once it has joined
    TimePoint idleSince; // of a movable instance
    std::set<ServiceId> barredPools; // pools that do not take it
};

struct PlannedMove {
    std::string instance;
    ServiceId pool;
};

class PoolSizer {
public:
    struct Limits {
        double headroom { 1.15 }; // capacity for demand, as tasks do not pack without gaps
        double keepAbove { 1.25 }; // a pool gives only what leaves it this much of its demand
        Duration idleBeforeSpare { 600 }; // half of what a move costs, which the next burst pays again
    };

    explicit PoolSizer(Limits limits)
        : m_limits(limits)
    {
    }

    // Moves to order now. Instances on their way to a pool are to be given as usable members of it.
    std::vector<PlannedMove> plan(const std::map<ServiceId, PoolDemand>&, const std::vector<SizedInstance>&,
        const ServiceId& spare, TimePoint now) const;

private:
    Limits m_limits;
};

} // namespace marigoldlink
