// Per-pool queues and the request state machine: queued, started under a lease, answered.
#pragma once

#include "EscrowSync.h"
#include "Job.h"
#include "Metrics.h"
#include "WorkerLeases.h"
#include "marigoldlink/Coordination/ShareCredit.h"
#include "marigoldlink/State/FleetSpec.h"

#include <algorithm>
#include <unordered_map>

namespace marigoldlink {

// Load of the peers, used for share accounting and for forwarding requests. Implemented by PeerLink.
class PeerLoad {
public:
    virtual ~PeerLoad() = default;
    virtual Slots runningOnPeers(const TeamId&) const = 0;
    // Teams with running or queued requests on any peer. The value is true if requests are queued.
    virtual std::map<TeamId, bool> teamsOnPeers() const = 0;
    virtual bool lacksEscrowOnPeers(const TeamId&) const = 0;
    // Selects a peer that has a free slot in the pool and either holds idle escrow of the team or can acquire escrow.
    // The latter is considered only if the team runs below its limit.
    virtual std::optional<HolderId> selectPeer(const PoolId&, const TeamId&, bool isBelowLimit) const = 0;
    virtual ForwardId forward(HolderId, const JobRequest&, Duration remaining, std::function<void(JobOutcome)>) = 0;
    // Tells the peer that the request is cancelled, until the peer has confirmed it, has answered the request or is no
    // member any more. Calls back then: the peer neither runs nor starts the request any more.
    virtual void cancelForwarded(ForwardId, std::function<void()>) = 0;
    // The request has ended here and is not cancelled any more.
    virtual void releaseForwarded(ForwardId) = 0;
};

class Dispatcher {
public:
    using FleetSpecProvider = std::function<const FleetSpec*()>;
    using InServiceCheck = std::function<bool()>; // false while this data centre is out of service

    Dispatcher(EventLoop&, HttpWorkers&, WorkerLeases&, EscrowSync&, PeerLoad&, Metrics&, QueueLimits,
        FleetSpecProvider, InServiceCheck);

    void start();

    // Sets the number of entry instances that share the slots of the fleet.
    void setMembers(std::size_t members) { m_members = std::max<std::size_t>(1, members); }

    // Queues the request and passes its outcome to the callback. Returns the ticket, or nothing when the queue is full.
    std::optional<QueueTicket> submit(JobRequest, std::function<void(JobOutcome)>);

    // Cancels a request, which is not started again: a queued request is answered with "cancelled", a running task is
    // stopped, and each peer that may have it is told to do the same. What is lost is repeated.
    // Calls back once no task of the request runs or is started any more, which may be within the call.
    void cancel(QueueTicket, const std::function<void()>& onCancelled);

    // Starts or forwards queued requests as far as slots and escrow allow, and preempts deferrable tasks for urgent
    // ones.
    void dispatchQueued();

    // Escrow demand of a team from the local requests. The caller fills in the limit and the member count.
    EscrowDemand demand(const TeamId&) const;
    std::size_t jobs() const { return m_jobs.size(); }
    std::size_t queued(const PoolId&) const;
    std::size_t queued(const TeamId&) const;
    std::set<TeamId> queuedTeams() const;
    // Teams with current or recent requests. Heartbeats to peers contain only these.
    std::set<TeamId> activeTeams();

private:
    using PoolQueue = FairQueue<LeastUsagePolicy>;

    std::optional<Candidate> candidate(const TeamId&) const;
    bool isBelowFleetLimit(const TeamId&) const;
    void startLocally(const PoolId&, PoolQueue&);
    void forwardQueued(const PoolId&, PoolQueue&);
    void preemptDeferrable(const PoolId&, PoolQueue&);
    void startTask(QueueTicket, const WorkerLinkPtr&);
    void forwardTask(QueueTicket, HolderId);
    void returnToPeer(QueueTicket);
    void handleTaskResult(QueueTicket, TaskResult);
    void resolveLostStart(QueueTicket, TimePoint since);
    void finishLostStart(QueueTicket, StopResult);
    void repeatStop(QueueTicket);
    static void confirmStop(Job&);
    void releaseStart(Job&);
    void requeue(QueueTicket);
    void retryOrFail(QueueTicket, ErrorKind);
    void finish(QueueTicket, JobOutcome);
    void finishQueued(QueueTicket, ErrorKind ifNotRun);
    void handleDeadline(QueueTicket);
    void schedulePump();
    void scheduleQueuedTeamSyncs();
    void updateShareUsage();

    EventLoop& m_loop;
    HttpWorkers& m_workers;
    WorkerLeases& m_leases;
    EscrowSync& m_escrow;
    PeerLoad& m_peers;
    Metrics& m_metrics;
    QueueLimits m_limits;
    FleetSpecProvider m_currentSpec;
    InServiceCheck m_isInService;
    std::map<PoolId, PoolQueue> m_queues;
    std::unordered_map<std::uint64_t, Job> m_jobs;

    ShareCredit m_credit { {} };
    std::map<TeamId, TimePoint> m_lastRequest;
    std::uint64_t m_nextTicket { 1 };
    std::uint64_t m_nextTask { 1 };
    std::size_t m_members { 1 };
    bool m_isDispatching { false };
    bool m_isPumpScheduled { false };
};

} // namespace marigoldlink
