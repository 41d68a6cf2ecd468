// Queues of the pools and the life of each request: queued, started under a lease, answered.
#pragma once

#include "EscrowSync.h"
#include "Job.h"
#include "Metrics.h"
#include "WorkerLeases.h"
#include "marigoldlink/Coordination/ShareCredit.h"
#include "marigoldlink/State/FleetText.h"

#include <algorithm>
#include <unordered_map>

namespace marigoldlink {

// Load of the peers, for shares and for passing requests on. Implemented by the peer link, mocked in tests.
class PeerLoad {
public:
    virtual ~PeerLoad() = default;
    virtual Slots runningElsewhere(const TeamId&) const = 0;
    // Teams that run or queue at some peer, with whether they queue.
    virtual std::map<TeamId, bool> teamsElsewhere() const = 0;
    virtual bool isShortElsewhere(const TeamId&) const = 0;
    // A peer with a free slot of the pool and idle escrow of the team, or one that can get escrow if that may grow.
    virtual std::optional<HolderId> peerFor(const PoolId&, const TeamId&, bool mayGrow) const = 0;
    virtual void forward(HolderId, const JobRequest&, Duration remaining, std::function<void(JobOutcome)>) = 0;
};

class Dispatcher {
public:
    using TextOf = std::function<const FleetText*()>;
    using IsHere = std::function<bool()>; // false while this data centre is out of service

    Dispatcher(EventLoop&, HttpWorkers&, WorkerLeases&, EscrowSync&, PeerLoad&, Metrics&, QueueLimits, TextOf, IsHere);

    void start();

    // Number of entry instances that share the fleet's slots.
    void setMembers(std::size_t members) { m_members = std::max<std::size_t>(1, members); }

    // Queues the request; the callback gets its outcome. Returns the ticket, or nothing when the queue is full.
    std::optional<Ticket> submit(JobRequest, std::function<void(JobOutcome)>);

    // Cancels a request: a queued one is answered "cancelled", a running one is stopped.
    void cancel(Ticket);

    // Starts what can be started.
    void pump();

    // Demand of a team as the requests here make it. The limit and the members are the caller's to fill in.
    EscrowDemand demand(const TeamId&) const;
    std::size_t jobs() const { return m_jobs.size(); }
    std::size_t queued(const PoolId&) const;
    std::size_t queued(const TeamId&) const;
    std::set<TeamId> queuedTeams() const;
    // Teams with requests now or a short time ago. Peers hear of these alone.
    std::set<TeamId> activeTeams();

private:
    using PoolQueue = FairQueue<LeastUsagePolicy>;

    std::optional<Candidate> candidate(const TeamId&) const;
    bool mayGrowElsewhere(const TeamId&) const;
    void pumpPool(const PoolId&, PoolQueue&);
    void forwardFrom(const PoolId&, PoolQueue&);
    void preemptFor(const PoolId&, PoolQueue&);
    void startTask(Ticket, const WorkerLinkPtr&);
    void forwardTask(Ticket, HolderId);
    void returnForwarded(Ticket);
    void takeResult(Ticket, TaskResult);
    void resolve(Ticket, TimePoint since);
    void resolved(Ticket, StopResult);
    void endStart(Job&);
    void requeue(Ticket);
    void retryOrFail(Ticket, ErrorKind);
    void finish(Ticket, JobOutcome);
    void finishQueued(Ticket, ErrorKind ifNotRun);
    void deadlinePassed(Ticket);
    void schedulePump();
    void wakeTeams();
    void accountShares();

    EventLoop& m_loop;
    HttpWorkers& m_workers;
    WorkerLeases& m_leases;
    EscrowSync& m_escrow;
    PeerLoad& m_peers;
    Metrics& m_metrics;
    QueueLimits m_limits;
    TextOf m_textOf;
    IsHere m_isHere;
    std::map<PoolId, PoolQueue> m_queues;
    std::unordered_map<std::uint64_t, Job> m_jobs;

    ShareCredit m_credit { {} };
    std::map<TeamId, TimePoint> m_lastRequest;
    std::uint64_t m_nextTicket { 1 };
    std::uint64_t m_nextTask { 1 };
    std::size_t m_members { 1 };
    bool m_isPumping { false };
    bool m_isPumpScheduled { false };
};

} // namespace marigoldlink
