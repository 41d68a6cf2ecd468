// Dispatches queued requests to workers and peers.
#include "Dispatcher.h"

#include "../common/Jitter.h"
#include "marigoldlink/Support/Log.h"

#include <cassert>
#include <unistd.h>

namespace marigoldlink {

namespace {

    constexpr Log s_log("dispatch");
    constexpr Duration s_dispatchPeriod { 20 };
    // Time for which a team counts as active after its last request.
    constexpr Duration s_activeTeamRetention { 5000 };
    constexpr Duration s_shareUpdatePeriod { 100 };
    constexpr Duration s_refusedStartBackoff { 20 };
    constexpr Duration s_stopRetryDelay { 200 };
    // Added to the timeout of a started task, so that the deadline of the caller expires before the task times out.
    constexpr Duration s_taskTimeoutMargin { 250 };
    // Requests forwarded by a peer are returned to it when they are not started within this time.
    constexpr Duration s_maxForwardedWait { 200 };
    constexpr int s_maxFailures = 3;
    constexpr int s_maxStarts = 8;

    std::uint64_t number(QueueTicket ticket) { return static_cast<std::uint64_t>(ticket); }

} // namespace

Dispatcher::Dispatcher(EventLoop& loop, HttpWorkers& workers, WorkerLeases& leases, EscrowSync& escrow, PeerLoad& peers,
    Metrics& metrics, QueueLimits limits, FleetSpecProvider currentSpec, InServiceCheck isInService)
    : m_loop(loop)
    , m_workers(workers)
    , m_leases(leases)
    , m_escrow(escrow)
    , m_peers(peers)
    , m_metrics(metrics)
    , m_limits(limits)
    , m_currentSpec(std::move(currentSpec))
    , m_isInService(std::move(isInService))
{
}

void Dispatcher::start()
{
    m_loop.every(s_dispatchPeriod, [this] { dispatchQueued(); });
    m_loop.every(s_shareUpdatePeriod, [this] { updateShareUsage(); });
}

std::optional<QueueTicket> Dispatcher::submit(JobRequest request, std::function<void(JobOutcome)> onDone)
{
    auto& queue = m_queues.try_emplace(request.pool, m_limits).first->second;
    const QueueTicket ticket { m_nextTicket };
    if (!queue.push(ticket, request.team, request.urgency))
        return std::nullopt;
    ++m_nextTicket;
    m_lastRequest[request.team] = m_loop.now();
    m_escrow.scheduleSync(request.team);
    if (request.isForwarded)
        m_loop.after(s_maxForwardedWait, [this, ticket] { returnToPeer(ticket); });
    Job job;
    job.submittedAt = m_loop.now();
    job.deadlineTimer = m_loop.after(request.deadline - job.submittedAt, [this, ticket] { handleDeadline(ticket); });
    job.request = std::move(request);
    job.onDone = std::move(onDone);
    m_jobs.emplace(number(ticket), std::move(job));
    // Deferred, because the callback must not run before submit() has returned the ticket.
    schedulePump();
    return ticket;
}

void Dispatcher::schedulePump()
{
    if (std::exchange(m_isPumpScheduled, true))
        return;
    m_loop.post([this] {
        m_isPumpScheduled = false;
        dispatchQueued();
    });
}

std::size_t Dispatcher::queued(const PoolId& pool) const
{
    const auto found = m_queues.find(pool);
    return found == m_queues.end() ? 0 : found->second.size();
}

std::size_t Dispatcher::queued(const TeamId& team) const
{
    std::size_t sum = 0;
    for (const auto& [pool, queue] : m_queues)
        sum += queue.size(team);
    return sum;
}

std::set<TeamId> Dispatcher::queuedTeams() const
{
    std::set<TeamId> teams;
    for (const auto& [pool, queue] : m_queues) {
        for (const auto& [team, count] : queue.sizesByTeam())
            teams.insert(team);
    }
    return teams;
}

std::set<TeamId> Dispatcher::activeTeams()
{
    auto teams = queuedTeams();
    const auto now = m_loop.now();
    std::erase_if(m_lastRequest, [this, now](const auto& item) {
        return now - item.second > s_activeTeamRetention && m_escrow.holder().running(item.first) == 0;
    });
    for (const auto& [team, time] : m_lastRequest)
        teams.insert(team);
    return teams;
}

EscrowDemand Dispatcher::demand(const TeamId& team) const
{
    EscrowDemand demand;
    demand.running = m_escrow.holder().running(team);
    demand.queued = static_cast<Slots>(queued(team));

    demand.hasRemoteDemand = m_peers.lacksEscrowOnPeers(team);
    if (!m_isInService()) {
        // A data centre that is out of service starts nothing, so its escrow is useful only to other members.
        demand.queued = 0;
        demand.hasRemoteDemand = true;
    }
    return demand;
}

std::optional<Candidate> Dispatcher::candidate(const TeamId& id) const
{
    const auto* spec = m_currentSpec();
    const auto team = spec->teams.find(id);
    if (team == spec->teams.end())
        return std::nullopt;
    const auto usage = static_cast<double>(m_escrow.holder().running(id)) + m_credit.correction(id);
    return Candidate { id, team->second.share, usage };
}

// Accounts for an equal fraction of the fleet-wide usage on each member. Fairness is enforced on the fleet-wide usage,
// not on that of a single member.
void Dispatcher::updateShareUsage()
{
    const auto* spec = m_currentSpec();
    if (!spec)
        return;
    auto asking = m_peers.teamsOnPeers();
    for (const auto& [team, account] : m_escrow.holder().accounts()) {
        if (account.running > 0)
            asking.try_emplace(team, false);
    }
    for (const auto& team : queuedTeams())
        asking[team] = true;
    std::vector<TeamUsage> usages;
    for (const auto& [id, hasDemand] : asking) {
        const auto team = spec->teams.find(id);
        if (team == spec->teams.end())
            continue;
        const auto slots = static_cast<double>(m_escrow.holder().running(id) + m_peers.runningOnPeers(id));
        usages.push_back({ id, team->second.share, slots / static_cast<double>(m_members), hasDemand });
    }
    m_credit.account(m_loop.now(), usages);
}

void Dispatcher::dispatchQueued()
{
    if (m_isDispatching || !m_currentSpec())
        return;
    m_isDispatching = true;
    for (auto& [pool, queue] : m_queues) {
        if (m_isInService())
            startLocally(pool, queue);
        if (queue.size() > 0)
            forwardQueued(pool, queue);
        if (queue.size() > 0 && m_isInService())
            preemptDeferrable(pool, queue);
    }
    m_isDispatching = false;
}

void Dispatcher::startLocally(const PoolId& pool, PoolQueue& queue)
{
    while (queue.size() > 0) {
        const auto link = m_leases.choose(pool);
        if (!link)
            return;
        const auto ticket = queue.pop(
            [this](const TeamId& team) { return m_escrow.holder().canStart(team) ? candidate(team) : std::nullopt; });
        if (!ticket) {
            scheduleQueuedTeamSyncs();
            return;
        }
        startTask(*ticket, link);
    }
}

void Dispatcher::scheduleQueuedTeamSyncs()
{
    for (const auto& team : queuedTeams())
        m_escrow.scheduleSync(team);
}

// True when the team runs fewer tasks in the fleet than its limit, so that a peer can acquire escrow for one more.
bool Dispatcher::isBelowFleetLimit(const TeamId& id) const
{
    const auto team = m_currentSpec()->teams.find(id);
    if (team == m_currentSpec()->teams.end())
        return false;
    return m_escrow.holder().running(id) + m_peers.runningOnPeers(id) < team->second.upperLimit;
}

void Dispatcher::forwardQueued(const PoolId& pool, PoolQueue& queue)
{
    while (queue.size() > 0) {
        const auto ticket = queue.pop([&](const TeamId& team) {
            return m_peers.selectPeer(pool, team, isBelowFleetLimit(team)) ? candidate(team) : std::nullopt;
        });
        if (!ticket)
            return;
        const auto& job = m_jobs.at(number(*ticket));
        if (job.request.isForwarded) {
            queue.pushFront(*ticket, job.request.team, job.request.urgency);
            return;
        }
        forwardTask(*ticket, *m_peers.selectPeer(pool, job.request.team, isBelowFleetLimit(job.request.team)));
    }
}

// Requests a checkpoint of one running deferrable task for each urgent request that waits for a slot.
void Dispatcher::preemptDeferrable(const PoolId& pool, PoolQueue& queue)
{
    if (m_leases.choose(pool))
        return;
    auto wanted = queue.size(Urgency::Urgent, [this](const TeamId& team) { return m_escrow.holder().canStart(team); });
    for (auto& [ticket, job] : m_jobs) {
        if (wanted == 0)
            return;
        if (job.request.pool != pool || job.phase != Job::Phase::Running || job.request.urgency != Urgency::Deferrable)
            continue;
        --wanted;
        if (job.isCheckpointRequested)
            continue;
        job.isCheckpointRequested = true;
        m_workers.checkpoint(job.link->record.endpoint, job.task, [](StopResult) {});
    }
}

void Dispatcher::startTask(QueueTicket ticket, const WorkerLinkPtr& link)
{
    auto& job = m_jobs.at(number(ticket));
    job.escrow = m_escrow.sharedHolder();
    const bool mayStart = job.escrow->tryStart(job.request.team);
    assert(mayStart && "pop() must return only tickets of teams that hold idle escrow");
    (void)mayStart;
    job.phase = Job::Phase::Running;
    job.isCheckpointRequested = false;
    job.startedAt = m_loop.now();
    ++job.starts;
    job.task = TaskId(std::to_string(marigoldlink::number(job.escrow->self())) + "-" + std::to_string(m_nextTask++));
    job.link = link;
    job.lease = link->lease;
    m_leases.taskStarted(*link);
    if (job.starts == 1)
        m_metrics.observeQueueWait(job.request.team, job.request.urgency, job.startedAt - job.submittedAt);

    TaskStart start;
    start.task = job.task;
    start.lease = job.lease;
    start.team = job.request.team;
    start.body = job.request.body;
    start.checkpoint = job.request.checkpoint;
    start.timeout = std::max(Duration(1), job.request.deadline - m_loop.now()) + s_taskTimeoutMargin;
    m_workers.start(link->record.endpoint, start, [this, ticket](TaskResult result) {
        handleTaskResult(ticket, std::move(result));
        schedulePump();
    });
}

// Releases the slot and the escrow of a start whose task is known not to run any more.
void Dispatcher::releaseStart(Job& job)
{
    m_leases.taskEnded(*job.link);
    job.escrow->finish(job.request.team);
    m_escrow.scheduleSync(job.request.team);
    job.link = nullptr;
    job.escrow = nullptr;
}

void Dispatcher::handleTaskResult(QueueTicket ticket, TaskResult result)
{
    auto& job = m_jobs.at(number(ticket));
    using Status = TaskResult::Status;
    auto link = job.link;
    if (result.status == Status::NoAnswer) {
        job.phase = Job::Phase::Resolving;
        resolveLostStart(ticket, m_loop.now());
        return;
    }
    releaseStart(job);
    job.mayHaveRun
        |= result.status == Status::Failed || result.status == Status::Checkpointed || result.status == Status::Stopped;
    switch (result.status) {
    case Status::Finished:
        m_leases.taskSucceeded(*link);
        m_metrics.observeRun(job.request.team, job.request.urgency, m_loop.now() - job.startedAt);
        finish(ticket, { std::nullopt, std::move(result.body) });
        return;
    case Status::Failed:
        m_leases.taskFailed(*link);
        ++job.failures;
        if (job.request.isIdempotent && job.failures < s_maxFailures)
            retryOrFail(ticket, ErrorKind::TaskFailed);
        else
            finish(ticket, { ErrorKind::TaskFailed, std::move(result.body) });
        return;
    case Status::Checkpointed:
        job.request.checkpoint = std::move(result.body);
        job.starts = 0;
        requeue(ticket);
        return;
    case Status::Stopped:
        if (job.request.isIdempotent)
            retryOrFail(ticket, ErrorKind::WorkerLost);
        else
            finish(ticket, { ErrorKind::WorkerLost, {} });
        return;
    case Status::Full:
        m_leases.markFull(*link);
        m_metrics.countRejectedStart();
        requeue(ticket);
        return;
    case Status::LeaseExpired:
        m_leases.leaseExpired(*link);
        requeue(ticket);
        return;
    case Status::Refused:
    case Status::NotSent:
        m_leases.backOff(*link, s_refusedStartBackoff);
        requeue(ticket);
        return;
    case Status::NoAnswer:
        return;
    }
}

// Determines the outcome of a start whose response was lost. The escrow stays in use until the outcome is known.
void Dispatcher::resolveLostStart(QueueTicket ticket, TimePoint since)
{
    auto& job = m_jobs.at(number(ticket));
    if (m_leases.hasExpiredAtWorker(*job.link, job.lease)) {
        finishLostStart(ticket, StopResult::Unreachable);
        return;
    }
    m_workers.stop(job.link->record.endpoint, job.task, [this, ticket, since](StopResult result) {
        if (result != StopResult::Unreachable) {
            finishLostStart(ticket, result);
            return;
        }
        m_loop.after(jittered(s_stopRetryDelay), [this, ticket, since] { resolveLostStart(ticket, since); });
    });
}

void Dispatcher::finishLostStart(QueueTicket ticket, StopResult result)
{
    auto& job = m_jobs.at(number(ticket));
    releaseStart(job);
    job.mayHaveRun |= result != StopResult::NeverStarted;
    s_log.info("Resolved a start whose response was lost.", { { "task", job.task.value() } });
    if (result == StopResult::NeverStarted)
        requeue(ticket);
    else if (job.request.isIdempotent)
        retryOrFail(ticket, ErrorKind::WorkerLost);
    else if (result == StopResult::Finished)
        finish(ticket, { ErrorKind::DuplicateFinished, {} });
    else
        finish(ticket, { ErrorKind::WorkerLost, {} });
    dispatchQueued();
}

void Dispatcher::retryOrFail(QueueTicket ticket, ErrorKind kind)
{
    const auto& job = m_jobs.at(number(ticket));
    if (job.starts >= s_maxStarts || m_loop.now() >= job.request.deadline)
        finish(ticket, { kind, {} });
    else
        requeue(ticket);
}

void Dispatcher::requeue(QueueTicket ticket)
{
    auto& job = m_jobs.at(number(ticket));
    if (!job.onDone || job.isCancelled || m_loop.now() >= job.request.deadline) {
        finish(ticket, { terminalError(job), {} });
        return;
    }
    job.phase = Job::Phase::Queued;
    m_queues.at(job.request.pool).pushFront(ticket, job.request.team, job.request.urgency);
}

void Dispatcher::forwardTask(QueueTicket ticket, HolderId peer)
{
    auto& job = m_jobs.at(number(ticket));
    job.phase = Job::Phase::Forwarded;
    const auto remaining = std::max(Duration(1), job.request.deadline - m_loop.now());
    m_metrics.countForward();
    job.forwards.push_back(m_peers.forward(peer, job.request, remaining, [this, ticket](JobOutcome outcome) {
        auto& job = m_jobs.at(number(ticket));
        if (outcome.error != ErrorKind::WorkerLost)
            job.forwards.pop_back();
        job.mayHaveRun |= !outcome.isNotRun();
        const bool mayTryAgain = outcome.isNotRun() || (job.request.isIdempotent && outcome.error);
        if (mayTryAgain && m_loop.now() < job.request.deadline && job.onDone && !job.isCancelled) {
            job.phase = Job::Phase::Queued;
            m_queues.at(job.request.pool).pushFront(ticket, job.request.team, job.request.urgency);
        } else if (job.isCancelled && outcome.isNotRun()) {
            finish(ticket, { terminalError(job), {} });
        } else {
            finish(ticket, std::move(outcome));
        }
        dispatchQueued();
    }));
}

void Dispatcher::returnToPeer(QueueTicket ticket)
{
    const auto found = m_jobs.find(number(ticket));
    if (found == m_jobs.end() || found->second.phase != Job::Phase::Queued || found->second.mayHaveRun)
        return;
    finishQueued(ticket, m_isInService() ? ErrorKind::NoCapacity : ErrorKind::DataCenterOut);
}

// Ends a queued request. If an earlier start may have run, ifNotRun is replaced by an error that does not claim
// "not run".
void Dispatcher::finishQueued(QueueTicket ticket, ErrorKind ifNotRun)
{
    const auto& job = m_jobs.at(number(ticket));
    assert(job.phase == Job::Phase::Queued && "the request must be queued");
    m_queues.at(job.request.pool).remove(ticket, job.request.team, job.request.urgency);
    finish(ticket, { job.mayHaveRun ? terminalError(job) : ifNotRun, {} });
}

void Dispatcher::finish(QueueTicket ticket, JobOutcome outcome)
{
    const auto found = m_jobs.find(number(ticket));
    auto job = std::move(found->second);
    m_jobs.erase(found);
    m_loop.cancel(job.deadlineTimer);
    assert(!job.escrow && "the start must be released before its request finishes");
    if (job.onDone)
        job.onDone(std::move(outcome));
    for (const auto forward : job.forwards)
        m_peers.releaseForwarded(forward);
    confirmStop(job);
}

void Dispatcher::cancel(QueueTicket ticket, const std::function<void()>& onCancelled)
{
    const auto found = m_jobs.find(number(ticket));
    if (found == m_jobs.end()) {
        onCancelled();
        return;
    }
    auto& job = found->second;
    const bool wasCancelled = std::exchange(job.isCancelled, true);
    // One for the start by this process, and one for each forwarding.
    const auto open = std::make_shared<std::size_t>(1 + job.forwards.size());
    const auto release = [open, onCancelled] {
        if (--*open == 0)
            onCancelled();
    };
    for (const auto forward : job.forwards)
        m_peers.cancelForwarded(forward, release);
    if (job.phase == Job::Phase::Forwarded || job.isStopConfirmed) {
        release();
        return;
    }
    job.onStopped.emplace_back(release);
    if (job.phase == Job::Phase::Queued)
        finishQueued(ticket, ErrorKind::Cancelled);
    else if (job.phase == Job::Phase::Running && !wasCancelled)
        repeatStop(ticket);
}

// Stops the running task of a cancelled request until the worker has confirmed it or the lease has expired there. If
// the response to the start is lost meanwhile, resolveLostStart() goes on.
void Dispatcher::repeatStop(QueueTicket ticket)
{
    const auto found = m_jobs.find(number(ticket));
    if (found == m_jobs.end() || found->second.phase != Job::Phase::Running)
        return;
    auto& job = found->second;
    if (m_leases.hasExpiredAtWorker(*job.link, job.lease)) {
        confirmStop(job);
        return;
    }
    m_workers.stop(job.link->record.endpoint, job.task, [this, ticket](StopResult result) {
        if (result == StopResult::Unreachable) {
            m_loop.after(jittered(s_stopRetryDelay), [this, ticket] { repeatStop(ticket); });
            return;
        }
        const auto stopped = m_jobs.find(number(ticket));
        if (stopped != m_jobs.end())
            confirmStop(stopped->second);
    });
}

void Dispatcher::confirmStop(Job& job)
{
    job.isStopConfirmed = true;
    for (const auto& onStopped : std::exchange(job.onStopped, {}))
        onStopped();
}

void Dispatcher::handleDeadline(QueueTicket ticket)
{
    const auto found = m_jobs.find(number(ticket));
    if (found == m_jobs.end())
        return;
    auto& job = found->second;
    if (job.phase == Job::Phase::Queued) {
        finishQueued(ticket, ErrorKind::DeadlinePassed);
    } else if (job.phase == Job::Phase::Resolving && job.onDone) {
        // The deadline has passed and the outcome of the task is still unknown.
        auto onDone = std::exchange(job.onDone, nullptr);
        onDone({ ErrorKind::WorkerLost, {} });
    }
}

} // namespace marigoldlink
