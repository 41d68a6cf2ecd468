// Admission control: whether a submitted job can still end within its objective, and when a refused caller should
// return.
//
// The estimate treats a pool as a fluid queue: the work ahead of a job divided by the capacity that clears it, plus the
// job's own critical path. All functions are pure; the classes hold state with a fixed bound.
#pragma once

#include "marigoldlink/Scheduling/Backlog.h"

#include <deque>
#include <string>

namespace marigoldlink {

// What the decision on one job needs to know of its pool. Milli-cores are those for batch tasks.
struct PoolBacklog {
    double usableMilliCores { 0 };
    double joiningMilliCores { 0 }; // of instances that are on their way
    double obtainableMilliCores { 0 }; // of idle instances elsewhere that could be moved here
    double freeMilliCores { 0 }; // in units of the job's tasks, beyond what the tasks that wait before it take
    double waitingMilliCores { 0 }; // of ready tasks that start before the job
    double aheadMilliCoreMs { 0 }; // expected work before the job, at the rate at which all of the capacity clears it
    double share { 1 }; // part of the capacity that is available to the job's team
};

struct AdmissionRequest {
    Duration chain { 0 }; // longest chain of the job's steps
    Duration objective { 0 }; // of the job, from the caller's first attempt
    Duration age { 0 }; // since the caller's first attempt
    double milliCoreMs { 0 }; // work of the job
    double firstMilliCores { 0 }; // of the steps that are ready at once
    // Jobs of services and with a schedule are never refused.
    bool isExempt { false };
};

struct AdmissionDecision {
    bool isAdmitted { true };
    Duration expectedWait { 0 };
    Duration retryAfter { 0 }; // when there is room for the job, at least s_minRetryAfter; only if refused
    std::string reason; // a fixed set of names
};

namespace admission {
    // A job is refused if its expected end lies beyond this multiple of its objective.
    constexpr double boundOfObjective = 1;
    // Up to this multiple of its objective a job is of use to its caller.
    constexpr double useOfObjective = 3;
    // Time until an instance that is moved now starts its first task.
    constexpr Duration joinTime { 1800 };
    // Mean of the time that is left for instances that are on their way.
    constexpr Duration joiningTime { 900 };
    constexpr Duration minRetryAfter { 1000 };
} // namespace admission

// Time in which the pool clears this work, with the instances that join meanwhile.
Duration timeToClear(double milliCoreMs, const PoolBacklog&);

AdmissionDecision decideAdmission(const AdmissionRequest&, const PoolBacklog&);

struct TeamTerms {
    double weight { 1 };
    double limitMilliCores { 0 }; // 0: no limit
};
using TermsByTeam = std::map<TeamId, TeamTerms>;

// Work ahead of a job, and the part of the pool that its team gets.
struct QueueAhead {
    double milliCoreMs { 0 }; // scaled to the rate at which the whole capacity clears it
    double waitingMilliCores { 0 }; // of the ready tasks that start before it
    double share { 1 };
};

struct QueueView {
    const Backlog::Rows& rows;
    const TermsByTeam& terms;
    int priority { 0 };
    TeamId team;
    double milliCores { 0 }; // capacity of the pool
    Duration horizon { 0 }; // teams with a limit use no more than it within this time
    bool hasShares { false }; // the teams' queues are separate
};
QueueAhead queueAhead(const QueueView&);

// Largest amount that a pool can get of capacity that other pools lack as well, by max-min fairness.
double obtainableShare(double milliCores, std::vector<double> lacksOfOthers);

// Ratio of actual run times to the callers' estimates, by pool, weighted by processors.
class EstimateBias {
public:
    void record(const ServiceId&, Duration estimate, Duration actual, std::int64_t milliCores);
    double ratio(const ServiceId&) const;

private:
    struct Sums {
        double estimated { 0 };
        double actual { 0 };
    };
    std::map<ServiceId, Sums> m_sums;
};

// Callers that were refused: when each made its first attempt, and when the next one should return.
class RefusedCallers {
public:
    // Time since the first refused attempt, or 0 if none is known.
    Duration age(const JobId&, TimePoint now) const;
    // Records a refused attempt.
    void note(const JobId&, TimePoint now);
    // Records a refusal by admission. Returns the delay after which the caller should return: when there is room, which
    // is given to one caller after the other at the rate at which their work is cleared, and at most the limit.
    Duration refuse(const JobId&, const ServiceId&, const TeamId&, Duration untilRoom, Duration ownTime, Duration limit,
        TimePoint now);
    // The pool has room again for this team.
    void hasRoom(const ServiceId& pool, const TeamId& team) { m_nextPlace.erase({ pool, team }); }
    std::size_t size() const { return m_firstAttempts.size(); }

private:
    void removeOld(TimePoint now);

    std::unordered_map<JobId, TimePoint> m_firstAttempts;
    std::deque<std::pair<TimePoint, JobId>> m_order; // invariant: of exactly the ids in m_firstAttempts
    std::map<std::pair<ServiceId, TeamId>, TimePoint> m_nextPlace;
};

} // namespace marigoldlink
