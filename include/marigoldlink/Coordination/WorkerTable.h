// Workers as this coordinator knows them: used resources, leases, and which runs of predecessors they may hold.
//
// A run counts as using resources from the moment its start is sent until the worker reports its end. So runs that are
// being stopped, and runs whose start has no answer, are included.
#pragma once

#include "marigoldlink/Coordination/LeaseClock.h"
#include "marigoldlink/State/Fleet.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>

namespace marigoldlink {

// A run that reserves resources on a worker.
struct ReservedRun {
    RunNumber number {};
    Resources reserved; // on the worker
    Resources need; // counted against the team's limit
    TeamId team;
    bool isService { false };
    std::optional<TimePoint> confirmedAt; // since when the worker is known to hold the run
    TimePoint since; // when it was ordered or found
    // By the estimates, without and with their spread. TimePoint::max(): not known, or a service.
    TimePoint expectedEnd { TimePoint::max() };
    TimePoint upperEnd { TimePoint::max() };
    bool isTimed { false }; // ordered here from the beginning, so that its end shows how long the task takes
};

// What this coordinator knows about one incarnation of a worker.
struct Worker {
    WorkerEntry entry;
    std::uint64_t incarnationNumber { 0 }; // rises with each incarnation of any worker that became known
    bool isRegistered { false };
    TimePoint missingSince; // when its registry entry disappeared
    Resources used; // invariant: sum of what the runs here reserve
    std::map<TaskKey, ReservedRun> runs;
    int services { 0 }; // invariant: number of runs that belong to services
    LeaseClock lease;
    // True once the worker has answered this coordinator's fence request. Until then runs that a predecessor started
    // may be active here.
    bool hasSeenFence { false };
    TimePoint fencedAt;
    bool isAnswering { false };
    TimePoint lastAnswer;
    std::optional<TimePoint> lastUnansweredOrder; // when the last start or poll without an answer was given up

    // Polling of its runs and ends.
    bool isPollInFlight { false };
    TimePoint pollSentAt;
    TimePoint nextPollAt;

    // The worker numbers ended runs from 1. An end is acknowledged once all changes that result from it are stored.
    std::int64_t lastEndSeen { 0 };
    std::int64_t acknowledged { 0 };
    std::int64_t acknowledgedInPoll { 0 }; // by the poll in flight
    std::int64_t acknowledgementAnswered { 0 }; // by polls that were answered; not sent again
    struct PendingEnd {
        std::int64_t number { 0 };
        TaskKey task;
        std::uint64_t jobVersion { 0 }; // version of the job that has to be stored first; 0: none
    };
    std::deque<PendingEnd> pendingEnds; // by number

    // Score of starts that failed or had no answer against those that succeeded; see WorkerTrust.
    double recentFailures { 0 };
    TimePoint excludedUntil;

    // True once the worker's record is stored. A successor finds the worker by this record even if the worker is no
    // longer in the registry, so nothing is started on the worker before.
    bool isRecordStored { false };
    // True if the stored record says that no more starts follow and lists the runs that may be active. A successor that
    // cannot reach the worker then holds back only these tasks. Set while the worker does not answer; cleared, and the
    // cleared state stored, before the worker is used again.
    bool isSealed { false };
    // True while a predecessor may have started runs here that are unknown to this coordinator, that is until the
    // worker has listed all its runs and ends. Nothing was ever started on a worker without a record.
    bool mayHavePredecessorRuns { false };
    std::optional<std::set<TaskKey>> predecessorRuns; // set if the predecessor's record lists them
    bool hasPendingMaintenance { false }; // in a maintenance wave that has not reached it yet
    bool isCordoned { false }; // reserved for maintenance: nothing is started here
    // Maintenance of its instance was requested and not rejected, so its runs may end at any moment.
    bool isBeingMaintained { false };
    bool isChangingPool { false }; // its instance was requested to move to another pool, so the worker is about to end
    bool isLeavingPool { false }; // its instance is to move once its runs have ended: nothing is started here
    std::map<std::tuple<JobId, int, int>, int> tasksByStep; // number of runs by job, occurrence and step

    Resources freeCapacity() const { return entry.capacity - used; }
};

class WorkerTable {
public:
    // Whether the entry belongs to a later incarnation than the known one.
    bool isLaterIncarnation(const WorkerEntry&) const;
    // Applies a registry entry. An entry of an earlier incarnation is ignored; before one of a later one, call
    // startIncarnation().
    void entryChanged(const WorkerEntry&);
    void entryRemoved(const WorkerId&, TimePoint now);

    Worker* find(const WorkerId&);
    const Worker* find(const WorkerId&) const;
    std::map<WorkerId, Worker>& workers() { return m_workers; }
    const std::map<WorkerId, Worker>& workers() const { return m_workers; }
    // Workers of a service.
    const std::map<WorkerId, const Worker*>& ofService(const ServiceId&) const;
    // What the runs on the workers of a service reserve: those of services, and the others by team.
    struct Use {
        std::int64_t serviceMilliCores { 0 };
        std::map<TeamId, std::int64_t> milliCores;
    };
    const Use& useOf(const ServiceId&) const;
    void remove(const WorkerId&);

    // Reserves and releases the resources of a run.
    void reserve(const WorkerId&, const TaskKey&, const ReservedRun&);
    void release(const WorkerId&, const TaskKey&, RunNumber);
    // Adds a worker from the record of a predecessor. A registry entry that is already known takes precedence.
    void restore(const WorkerEntry&, std::optional<std::set<TaskKey>> onlyRuns, TimePoint now);

    // Resets the state for a new incarnation of the worker. The runs of the previous one must have been released.
    void startIncarnation(Worker&, std::int64_t startedUnixMs);

private:
    // Returns the worker, which is added if it is not known.
    Worker& findOrAdd(const WorkerId&);
    void setEntry(Worker&, const WorkerEntry&);
    // Adds the run to the use of the service, or subtracts it.
    void countUse(const ServiceId&, const ReservedRun&, int sign);

    std::uint64_t m_lastIncarnationNumber { 0 };
    std::map<WorkerId, Worker> m_workers;
    std::unordered_map<WorkerId, Worker*> m_workersById; // invariant: exactly the workers of m_workers
    // Invariant: contains each of m_workers exactly once.
    std::map<ServiceId, std::map<WorkerId, const Worker*>> m_byService;
    std::map<ServiceId, Use> m_useByService; // invariant: sums over the runs of the workers of each service
};

} // namespace marigoldlink
