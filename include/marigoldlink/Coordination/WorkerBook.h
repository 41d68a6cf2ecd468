// The workers as one coordinator knows them: room, leases, and what it can count on after a takeover.
//
// Room is counted from the orders sent, less the ends listed, so what is being stopped and what may have been started
// still counts.
#pragma once

#include "marigoldlink/Coordination/LeaseClock.h"
#include "marigoldlink/State/Fleet.h"

#include <deque>
#include <map>
#include <optional>
#include <set>

namespace marigoldlink {

// A run that takes room on a worker.
struct HeldRun {
    RunNumber number {};
    Resources reserved; // of the worker
    Resources need; // counted against the team's limit
    TeamId team;
    bool isService { false };
};

// What one coordinator knows of one life of a worker.
struct Worker {
    WorkerEntry entry;
    bool isRegistered { false };
    TimePoint missingSince; // of the registry entry
    Resources used; // invariant: what the runs here reserve
    std::map<TaskKey, HeldRun> runs;
    int services { 0 }; // invariant: runs of services among them
    LeaseClock lease;
    // True once an answer to this coordinator's fence arrived. Until then an earlier coordinator's tasks may run here.
    bool isFenced { false };
    TimePoint fencedAt;
    bool isAnswering { false };
    TimePoint lastAnswer;

    // The look at its runs and ends that is under way or comes next.
    bool isLookUnderWay { false };
    TimePoint lookSentAt;
    TimePoint nextLook;

    // Ends are numbered by the worker from 1 on. An end is acknowledged once all that follows from it is stored.
    std::int64_t lastEndSeen { 0 };
    std::int64_t acknowledged { 0 };
    struct PendingEnd {
        std::int64_t number { 0 };
        JobId job;
        std::uint64_t jobVersion { 0 }; // 0: needs no write
    };
    std::deque<PendingEnd> pendingEnds; // by number

    // Starts that failed or did not answer, against those that worked; see WorkerTrust.
    double recentFailures { 0 };
    TimePoint distrustedUntil;

    // True once the store holds the worker's record, by which a successor finds it even if it leaves the registry.
    // Nothing is started on it before.
    bool isRecorded { false };
    // Its record says that no start follows and names the runs that may be there, so that a successor that does not
    // reach it keeps back only these. Set while it does not answer; cleared, and stored, before it is used again.
    bool isClosed { false };
    // An earlier coordinator may have started something here that is not known to this one, until it has answered. On a
    // worker without a record nothing was ever started.
    bool mayHoldEarlierRuns { false };
    std::optional<std::set<TaskKey>> earlierRuns; // if the earlier coordinator's record names them
    bool isDueForMaintenance { false }; // in a wave that has not come to it
    bool isReserved { false }; // kept free for maintenance: nothing is started here
    // Its instance was ordered away for maintenance, and the call was not refused: what it runs may end at any moment.
    bool isBeingMaintained { false };
    bool isMoving { false }; // its instance was ordered to another pool, so it is about to end
    std::map<std::tuple<JobId, int, int>, int> tasksByStep; // of job, occurrence and step

    Resources room() const { return entry.capacity - used; }
};

class WorkerBook {
public:
    // Whether the entry tells of a later life than the one known here.
    bool isLaterLife(const WorkerEntry&) const;
    // Takes a registry entry. An entry of an earlier life changes nothing; one of a later life must follow reborn().
    void entryChanged(const WorkerEntry&);
    void entryRemoved(const WorkerId&, TimePoint now);

    Worker* find(const WorkerId&);
    const Worker* find(const WorkerId&) const;
    std::map<WorkerId, Worker>& workers() { return m_workers; }
    const std::map<WorkerId, Worker>& workers() const { return m_workers; }
    // The workers of a service.
    const std::map<WorkerId, const Worker*>& ofService(const ServiceId&) const;
    void remove(const WorkerId&);

    // Takes and gives back room for a run.
    void occupy(const WorkerId&, const TaskKey&, const HeldRun&);
    void release(const WorkerId&, const TaskKey&, RunNumber);
    // Adds a worker that an earlier coordinator had recorded. The registry may know more of it, or nothing.
    void restore(const WorkerEntry&, std::optional<std::set<TaskKey>> onlyRuns, TimePoint now);

    // Starts another life of a worker under its id. The runs of the life before have to be released already.
    void reborn(Worker&, std::int64_t bornUnixMs);

private:
    void setEntry(Worker&, const WorkerEntry&);

    std::map<WorkerId, Worker> m_workers;
    std::map<ServiceId, std::map<WorkerId, const Worker*>>
        m_byService; // invariant: each of m_workers stands in it once
};

} // namespace marigoldlink
