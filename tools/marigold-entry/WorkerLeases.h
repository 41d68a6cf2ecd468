// Leases on the workers of this data centre, and selection of a worker for a task.
#pragma once

#include "Membership.h"
#include "marigoldlink/Transport/HttpPlatform.h"
#include "marigoldlink/Transport/HttpWorkers.h"

#include <memory>
#include <optional>

namespace marigoldlink {

// One worker and this entry instance's lease on it.
struct WorkerLink {
    InstanceRecord record;
    bool isLeaving { false }; // from the platform's instance list
    LeaseId lease; // empty without a lease
    Duration leaseTime { 0 };
    bool isOpening { false };
    TimePoint openedAt;
    TimePoint lastRenewalSentAt;
    TimePoint lastAnswerAt;
    // Renewals sent since the last response. A frozen worker may still process each of them just before its lease
    // expires, so each may extend the lease once.
    int unansweredRenewals { 0 };
    bool isRenewing { false };
    Slots slots { 0 };
    Slots reportedRunning { 0 }; // tasks of all holders, from the last response
    Slots ownRunning { 0 };
    Slots ownDeltaSinceReport { 0 };
    TimePoint backoffUntil;
    int consecutiveFailures { 0 };

    Slots freeSlots() const;
};

using WorkerLinkPtr = std::shared_ptr<WorkerLink>;

class WorkerLeases {
public:
    WorkerLeases(EventLoop&, HttpPlatform&, HttpWorkers&, Membership&, Duration leaseTime);

    void start();
    void onChange(std::function<void()> callback) { m_onChange = std::move(callback); }

    // A worker of the pool with a usable lease and a free slot, or null.
    WorkerLinkPtr choose(const PoolId&) const;
    Slots freeSlots(const PoolId&) const;

    void taskStarted(WorkerLink&);
    void taskEnded(WorkerLink&);
    // The worker rejected a start because it has no free slot.
    void markFull(WorkerLink&);
    void leaseExpired(WorkerLink&);
    void taskFailed(WorkerLink&);
    void taskSucceeded(WorkerLink& link) { link.consecutiveFailures = 0; }
    void backOff(WorkerLink&, Duration);

    // True when tasks may be started under the current lease.
    bool isUsable(const WorkerLink&) const;

    // True when the lease has certainly expired at the worker, so that no task started under it still runs.
    bool hasExpiredAtWorker(const WorkerLink&, const LeaseId&) const;

    const std::map<InstanceId, WorkerLinkPtr>& links() const { return m_links; }
    // All known instance records, of all data centres.
    const std::map<InstanceId, InstanceRecord>& records() const { return m_records; }

    // Drops all leases. Called after a new holder id was assigned.
    void reset();

private:
    void watchRecords();
    void pollInstanceList();
    void applyInstanceRecord(const InstanceRecord&);
    void indexPools();
    void tick();
    void openLease(const WorkerLinkPtr&);
    void renewLease(const WorkerLinkPtr&);
    void applyLeaseReport(WorkerLink&, const LeaseResult&);
    Duration nextLeaseTime() const;

    EventLoop& m_loop;
    HttpPlatform& m_platform;
    HttpWorkers& m_workers;
    Membership& m_membership;
    Duration m_leaseTime;
    Revision m_watchedTo { noRevision };
    std::map<InstanceId, InstanceRecord> m_records;
    std::map<InstanceId, WorkerLinkPtr> m_links;
    // Index of m_links by the pool in their records.
    std::map<PoolId, std::vector<WorkerLinkPtr>> m_byPool;
    std::function<void()> m_onChange;
};

} // namespace marigoldlink
