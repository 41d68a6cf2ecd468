// Division of instances between pools while all pools together request more than there is.
//
// Pools are sized by what they request (PoolSizer) while the fleet can cover that. Otherwise each pool gets a target:
// its part of the usable capacity, by the teams' weights and by whether the waiting jobs can still be of use. A pool
// above its target gives instances to pools below theirs: idle ones at once, and busy ones once their runs have ended.
// Until then these are leaving: they get no more tasks. All functions here are pure; the caller keeps the leaving
// instances and carries out the plan.
#pragma once

#include "marigoldlink/State/Fleet.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace marigoldlink {

// What a job is still worth to its caller.
enum class JobProspect {
    OnTime, // can end before its objective
    Late, // can end within three times its objective
    Lost, // of no use any more; it still has to run
};

// Unfinished work of the jobs of one team in one pool that have the same priority and prospect.
struct PendingWork {
    ServiceId pool;
    TeamId team;
    int priority { 0 }; // 0 is scheduled first
    JobProspect prospect { JobProspect::OnTime };
    double milliCores { 0 }; // of running and waiting tasks, without those of services
};

struct ContendedPool {
    double reservedMilliCores { 0 }; // what its services need
    int minInstances { 0 }; // so that services can be spread as they require
    double forecastMilliCores { 0 }; // expected soon from recent arrivals, including present work
    std::optional<TimePoint> receivedAt; // when the last move of an instance to the pool was ordered
};

// An instance whose worker gets no more tasks, so that it can be moved once its runs have ended.
struct LeavingInstance {
    ServiceId receiver;
    TimePoint since;
    TimePoint expectedEnd; // of the last run
};

struct ContendedInstance {
    std::string id;
    ServiceId pool; // of an instance that is moving: the one that it moves to
    double milliCores { 0 };
    bool isUsable { false }; // tasks can start on it now, once it has joined, or if it were not leaving
    // Its worker answers, all its runs are known and none belongs to a service, no operator plans to change it, and
    // none of its labels is required by tasks of its pool.
    bool canLeave { false };
    std::optional<TimePoint> runsEndAt; // expected end of the last run; nullopt: no runs
    std::vector<ServiceId> excludedPools; // pools that must not receive it
    std::optional<LeavingInstance> leaving;
};

struct ContentionView {
    std::map<ServiceId, ContendedPool> pools; // without the spare pool
    std::vector<PendingWork> work;
    std::map<TeamId, double> teamWeights; // a team without a weight has 1
    std::vector<ContendedInstance> instances; // without those of the spare pool
    double spareMilliCores { 0 }; // of instances in the spare pool that can be moved
};

// The amount of processors that each pool should have. The sum is at most the usable capacity.
using PoolTargets = std::map<ServiceId, double>;

struct ContentionPlan {
    struct Leave {
        std::string instance;
        LeavingInstance leaving;
        std::string reason;
    };
    struct Release {
        std::string instance;
        std::string reason;
    };
    std::vector<Leave> leaves; // instances that get no more tasks from now on
    std::vector<Release> releases; // leaving instances that are to be used again
    std::vector<std::string> moves; // leaving instances without runs, to move to their receiver now
};

class PoolContention {
public:
    struct Limits {
        double headroom { 1.15 }; // capacity wanted per demand, since tasks do not pack without gaps
        // A pool donates only if its coverage exceeds that of the receiver by this margin afterwards. A move costs
        // about 2.2 s of an instance: 1.5 s moving, 0.3 s joining, and what is left free while its runs end. With a
        // lower gain it would take more than 15 s to pay for itself.
        double coverageMargin { 0.15 };
        double maxLeavingPart { 0.1 }; // of the instances of a pool; at least one instance
        // Longest expected remaining time of the runs of an instance that is chosen. Together with the move (1.8 s)
        // it stays below the length of a burst of demand, which is several seconds.
        Duration maxRemaining { 2000 };
        // An instance is used again if its runs still last this long after the expected end: estimates are off by half
        // and more.
        Duration maxOverrun { 1500 };
        // No instance returns to a pool, and no pool that received gives busy instances, within this time.
        Duration minStay { 5000 };
    };

    explicit PoolContention(Limits limits)
        : m_limits(limits)
    {
    }
    const Limits& limits() const { return m_limits; }

    // Whether the pools request more than the capacity in total.
    static bool isContended(double requestedMilliCores, double milliCores) { return requestedMilliCores > milliCores; }

    // Divides the usable capacity. Services come first, then work that can end on time, then late work, then the rest;
    // each is divided between teams by weighted max-min fairness, and each team's part between its pools likewise, by
    // priority. So no pool gets less for the length of another one's queue alone.
    PoolTargets targets(const ContentionView&) const;

    // Decides which instances leave, which leaving ones are used again, and which are moved.
    ContentionPlan plan(const ContentionView&, const PoolTargets&, TimePoint now) const;

private:
    Limits m_limits;
};

} // namespace marigoldlink
