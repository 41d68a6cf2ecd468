// Decides how instances move between pools. Pools with a deficit receive idle instances of other pools, and instances
// that no pool needs go to the spare pool, where they cost nothing.
//
// A pool may lack processors, memory or accelerators, either in total or among the instances with a label that some
// tasks require.
//
// A pool's demand is the larger of what its running and waiting tasks need now, and the load that is forecast from
// recent arrivals for the time when an instance could join. So the pool grows from the first arrivals of a burst on,
// before a long queue has formed.
#pragma once

#include "marigoldlink/State/Fleet.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace marigoldlink {

// Forecasts the processors that will be used by jobs which arrive within the time that an instance needs to join.
//
// Each arrival counts with the work that it can do in that time, and decays exponentially. A few large arrivals say
// little about later ones, so the forecast is a lower estimate: the sum of the recent arrivals less a part of its
// standard deviation, with the arrivals taken as random and independent.
class ArrivalForecast {
public:
    explicit ArrivalForecast(Duration memory)
        : m_timeConstant(memory)
    {
    }

    void add(TimePoint now, double milliCoreMilliseconds);
    double milliCores(TimePoint now) const;

private:
    double decayFactor(TimePoint now) const;

    Duration m_timeConstant;
    TimePoint m_updatedAt;
    double m_sum { 0 };
    double m_sumOfSquares { 0 };
};

// Demand on the instances of a pool, or on those with one label.
struct ResourceDemand {
    Resources need; // of running, waiting and forecast tasks
    int minInstances { 0 }; // so that services can be spread as they require

    friend bool operator==(const ResourceDemand&, const ResourceDemand&) = default;
};

// Tasks that require a label count both in the total and under their label. Tasks that no instance of the fleet can run
// must be excluded, since no move would help them.
struct PoolDemand {
    ResourceDemand total;
    std::map<std::string, ResourceDemand> byLabel;

    friend bool operator==(const PoolDemand&, const PoolDemand&) = default;
};

// State of one instance that decides whether it can move.
struct SizedInstance {
    std::string id;
    ServiceId pool;
    Resources capacity;
    std::set<std::string> labels;
    bool isMovable { false }; // up, idle, and not subject to another plan
    bool isUsable { false }; // tasks can start on it now, or once it has joined
    TimePoint idleSince; // of a movable instance
    std::set<ServiceId> excludedPools; // pools that must not receive it
};

struct PlannedMove {
    std::string instance;
    ServiceId pool;
};

class PoolSizer {
public:
    struct Limits {
        double headroom { 1.15 }; // capacity wanted per demand, since tasks do not pack without gaps
        double donorHeadroom { 1.25 }; // a pool donates an instance only if this multiple of its demand is left
        Duration idleBeforeSpare { 600 }; // half the cost of a move, which the next burst would incur again
    };

    explicit PoolSizer(Limits limits)
        : m_limits(limits)
    {
    }

    // Returns the moves to order now. Instances that are moving to a pool must be passed as usable members of that
    // pool.
    std::vector<PlannedMove> plan(const std::map<ServiceId, PoolDemand>&, const std::vector<SizedInstance>&,
        const ServiceId& spare, TimePoint now) const;

private:
    Limits m_limits;
};

} // namespace marigoldlink
