// Unfinished work by pool, team and priority, maintained incrementally from the loads of the active jobs.
#pragma once

#include "marigoldlink/State/Jobs.h"

#include <map>
#include <set>
#include <unordered_map>

namespace marigoldlink {

// Work that is not finished, by the callers' estimates. Work is in milli-core milliseconds. Integers, so that the sums
// stay exact however often they are updated.
struct WorkSum {
    std::int64_t waitingWork { 0 }; // of tasks that do not run, also of steps that are not ready
    std::int64_t runningWork { 0 }; // of running tasks, over their whole run
    std::int64_t waitingMilliCores { 0 }; // of tasks that are ready and do not run
    std::int64_t runningMilliCores { 0 };
    std::int64_t serviceMilliCores { 0 }; // of service tasks, running or not; not included in the fields above

    WorkSum& operator+=(const WorkSum&);
    WorkSum& operator-=(const WorkSum&);
    friend bool operator==(const WorkSum&, const WorkSum&) = default;

    // Work that is left. On average half of the run of a running task is over.
    double work() const { return static_cast<double>(waitingWork) + static_cast<double>(runningWork) / 2; }
    double milliCores() const { return static_cast<double>(waitingMilliCores + runningMilliCores); }
};

// What one active job adds to the backlog of its pool.
struct JobLoad {
    ServiceId pool;
    TeamId team;
    int priority { 0 };
    WorkSum sum;
    // From this time on placement prefers other jobs of the same priority, because this one can no longer end in time.
    TimePoint yieldsAt { TimePoint::max() };

    friend bool operator==(const JobLoad&, const JobLoad&) = default;
};

// Sums of the loads of all active jobs. An update costs the logarithm of the number of jobs, a query the number of
// teams with work in the pool.
//
// Invariant: the sums equal those of a recount over the current loads, with the jobs whose yieldsAt has passed counted
// separately.
class Backlog {
public:
    struct Row {
        WorkSum urgent; // of jobs that do not yield yet
        WorkSum yielding; // their waiting work runs after all urgent work of the same priority

        friend bool operator==(const Row&, const Row&) = default;
    };
    using Rows = std::map<int, std::map<TeamId, Row>>; // by priority

    // Adds the load of a job or replaces its earlier one.
    void set(const JobId&, JobLoad);
    void remove(const JobId&);
    // Counts the jobs whose yieldsAt has passed as yielding. Time must not go back.
    void advance(TimePoint now);

    // Rows of a pool without those that are zero.
    const Rows& rows(const ServiceId&) const;

private:
    struct Entry {
        JobLoad load;
        bool isYielding { false };
    };
    Row& rowOf(const JobLoad&);
    void subtract(const Entry&);

    std::unordered_map<JobId, Entry> m_entries;
    std::set<std::pair<TimePoint, JobId>> m_yieldTimes; // invariant: of exactly the jobs that do not yield yet
    std::map<ServiceId, Rows> m_rows;
    TimePoint m_now;
};

} // namespace marigoldlink
