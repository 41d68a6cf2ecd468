// Composition and life cycle of an entry instance.
#include "Entry.h"

#include "../common/ConnectionDrain.h"
#include "../common/Jitter.h"
#include "marigoldlink/Coordination/Rendezvous.h"
#include "marigoldlink/Protocol/RecordCodec.h"
#include "marigoldlink/Support/Log.h"

#include <nlohmann/json.hpp>

namespace marigoldlink {

namespace {

    using Json = nlohmann::json;

    constexpr Log s_log("entry");
    constexpr Duration s_memberCheckPeriod { 250 };
    // A member is removed only after at least this many exchange periods without an exchange.
    constexpr int s_removalPeriods = 6;
    constexpr Duration s_baselineSyncPeriod { 100 };
    constexpr Duration s_leasePollPeriod { 300 };
    constexpr Duration s_drainPollPeriod { 20 };

} // namespace

Entry::Entry(EventLoop& loop, EntrySettings settings)
    : m_loop(loop)
    , m_settings(std::move(settings))
    , m_client(loop)
    , m_platform(m_client, m_settings.platform)
    , m_workers(m_client)
    , m_freshness({})
    , m_config(loop, m_platform, m_freshness)
    , m_guard(loop, m_settings.limits, [this](Limit limit) { m_metrics.countLimit(name(limit)); })
    , m_server(loop, { m_settings.bodyBytes, m_settings.limits.idleTime, &m_guard, ListenerKind::Callers },
          [this](const HttpRequest& request, HttpResponderPtr responder) { handle(request, std::move(responder)); })
{
}

Endpoint Entry::start()
{
    m_endpoint = m_server.listen(m_settings.listen);
    m_membership = std::make_unique<Membership>(m_loop, m_platform,
        Member { HolderId {}, m_settings.dataCenter, m_settings.advertise.value_or(m_endpoint), MemberState::Active });
    m_leases = std::make_unique<WorkerLeases>(m_loop, m_platform, m_workers, *m_membership, m_settings.workerLease);
    m_escrow = std::make_unique<EscrowSync>(
        m_loop, m_platform, *m_membership, [this](const TeamId& team) { return demand(team); },
        [this](const TeamId& team) { return limit(team); });
    m_peers = std::make_unique<PeerLink>(
        m_loop, m_client, *m_membership, m_config, m_freshness, m_settings.heartbeat, m_settings.claimWindow);
    m_dispatcher = std::make_unique<Dispatcher>(
        m_loop, m_workers, *m_leases, *m_escrow, *m_peers, m_metrics, m_settings.queueLimits,
        [this] { return m_config.spec(); }, [this] { return !m_config.isOutOfService(m_settings.dataCenter); });
    m_callers = std::make_unique<CallerApi>(
        m_loop, m_settings, *m_membership, m_config, m_freshness, *m_dispatcher, *m_peers, m_metrics);

    m_config.onChange([this] { configChanged(); });
    m_membership->onChange([this] { membersChanged(); });
    m_leases->onChange([this] { m_dispatcher->dispatchQueued(); });
    m_escrow->onChange([this] { m_dispatcher->dispatchQueued(); });
    m_config.start();
    m_leases->start();
    m_escrow->start();
    m_dispatcher->start();
    m_peers->start({ [this](wire::Heartbeat& heartbeat) { fillLoad(heartbeat); },
        [this](JobRequest request, std::function<void(JobOutcome)> onDone) {
            return m_callers->runForwarded(std::move(request), std::move(onDone));
        },
        [this](QueueTicket ticket, const std::function<void()>& onCancelled) {
            m_dispatcher->cancel(ticket, onCancelled);
        },
        [this](const Claim& claim) { return m_callers->attemptOutcome(claim); },
        [this] { m_dispatcher->dispatchQueued(); } });
    m_loop.every(s_baselineSyncPeriod, [this] { syncNextTeam(); });
    m_loop.every(s_memberCheckPeriod, [this] { checkMemberLiveness(); });
    m_loop.every(m_settings.configAudit, [this] {
        if (m_peers->owner(RequestId("config-audit")) == m_membership->self())
            m_config.audit();
    });
    join();
    return m_endpoint;
}

void Entry::join()
{
    m_isJoining = true;
    m_membership->start([this] {
        m_isJoining = false;
        m_leases->reset();
        m_escrow->reset();
        m_peers->reset();
        if (m_stage == Stage::Starting)
            m_stage = Stage::Serving;
    });
}

void Entry::configChanged()
{
    for (const auto& [team, account] : m_escrow->holder().accounts())
        m_escrow->scheduleSync(team);
    m_dispatcher->dispatchQueued();
}

void Entry::membersChanged()
{
    m_peers->membersChanged();
    m_dispatcher->setMembers(m_membership->record().members.size());
    const auto self = m_membership->self();
    const auto* member = m_membership->record().find(self);
    const bool isServing = number(self) != 0 && !m_isJoining && m_stage == Stage::Serving;
    if (isServing && !member) {
        s_log.warning("This member was removed from the member record; joining again.");
        join();
    } else if (isServing && member->state == MemberState::Removing && !std::exchange(m_isCancellingRemoval, true)) {
        s_log.warning("Another member marked this one for removal; cancelling the removal.");
        m_membership->cancelOwnRemoval([this] { m_isCancellingRemoval = false; });
    }
    for (const auto& [team, account] : m_escrow->holder().accounts())
        m_escrow->scheduleSync(team);
}

EscrowDemand Entry::demand(const TeamId& team) const
{
    auto demand = m_dispatcher->demand(team);
    demand.upperLimit = limit(team).upperLimit;
    demand.members = static_cast<Slots>(m_membership->record().members.size());
    if (m_config.isOutOfService(m_settings.dataCenter))
        return demand;
    std::vector<HolderId> near;
    std::set<DataCenterId> dataCenters;
    for (const auto& member : m_membership->record().members) {
        dataCenters.insert(member.dataCenter);
        if (member.dataCenter == m_settings.dataCenter && member.state == MemberState::Active)
            near.push_back(member.holder);
    }
    const bool isChosen = rendezvousOwner(team.value(), near) == m_membership->self();
    demand.baseline
        = baselineAmount(demand.upperLimit, demand.members, static_cast<Slots>(dataCenters.size()), isChosen);
    return demand;
}

// Schedules a sync of the next team of the fleet specification. Syncing one team at a time gives every team its
// baseline without a burst of calls.
void Entry::syncNextTeam()
{
    const auto* spec = m_config.spec();
    if (!spec || spec->teams.empty())
        return;
    auto next = spec->teams.upper_bound(m_lastSyncedTeam);
    if (next == spec->teams.end())
        next = spec->teams.begin();
    m_lastSyncedTeam = next->first;
    m_escrow->scheduleSync(m_lastSyncedTeam);
}

TeamLimit Entry::limit(const TeamId& id) const
{
    const auto* spec = m_config.spec();
    if (!spec)
        return {};
    const auto team = spec->teams.find(id);
    // A team that was removed from the fleet specification must not start tasks.
    return { team == spec->teams.end() ? 0 : team->second.upperLimit, m_config.specVersion() };
}

void Entry::handle(const HttpRequest& request, HttpResponderPtr responder)
{
    if (request.path.starts_with("/v1/")) {
        m_callers->handle(request, std::move(responder));
    } else if (request.path.starts_with("/peer/")) {
        m_peers->handle(request, std::move(responder));
    } else if (request.path == "/healthz") {
        const bool isReady = m_stage == Stage::Serving && m_config.spec() && m_peers->isConfigCompared();
        responder->send({ isReady ? 200 : 503, isReady ? "ready" : "not ready", "text/plain", {} });
    } else if (request.path == "/metrics") {
        responder->send({ 200, m_metrics.text(), "text/plain; version=0.0.4", {} });
    } else if (request.path == "/status") {
        answerStatus(*responder);
    } else {
        responder->send({ 404, "no such path", "text/plain", {} });
    }
}

void Entry::answerStatus(HttpResponder& responder) const
{
    const auto now = m_loop.now();
    Json status;
    status["holder"] = number(m_membership->self());
    status["active"] = m_membership->isActive();
    status["data_center"] = m_settings.dataCenter.value();
    status["data_center_out"] = m_config.isOutOfService(m_settings.dataCenter);
    status["contact"] = name(m_freshness.contact(now, m_membership->otherMembers()));
    status["members_version"] = m_membership->record().version;
    status["members"] = m_membership->record().members.size();
    status["requests"] = m_dispatcher->jobs();
    status["bytes_sent"] = m_client.bytesSent() + m_server.bytesSent();
    status["bytes_received"] = m_client.bytesReceived() + m_server.bytesReceived();
    status["config"] = Json::object();
    for (const auto& [key, version] : m_config.store().versions())
        status["config"][key] = version;
    status["escrow"] = Json::object();
    for (const auto& [team, account] : m_escrow->holder().accounts())
        status["escrow"][team.value()] = { { "held", account.held }, { "running", account.running } };
    status["workers"] = Json::object();
    for (const auto& [id, link] : m_leases->links()) {
        status["workers"][id.value()]
            = { { "pool", link->record.pool.value() }, { "slots", link->slots }, { "own_running", link->ownRunning },
                  { "leased", !link->lease.empty() }, { "usable", m_leases->isUsable(*link) } };
    }
    responder.send({ 200, status.dump(), "application/json", {} });
}

void Entry::fillLoad(wire::Heartbeat& heartbeat) const
{
    const auto* spec = m_config.spec();
    const bool isServing = m_stage == Stage::Serving && spec && !m_config.isOutOfService(m_settings.dataCenter);
    if (spec) {
        for (const auto& [id, pool] : spec->pools) {
            wire::PoolLoad load;
            load.pool = id.value();
            load.freeSlots = isServing ? m_leases->freeSlots(id) : 0;
            load.queued = static_cast<std::int64_t>(m_dispatcher->queued(id));
            if (load.freeSlots > 0 || load.queued > 0)
                heartbeat.pools.push_back(load);
        }
    }
    for (const auto& team : m_dispatcher->activeTeams()) {
        wire::TeamLoad load;
        load.team = team.value();
        load.running = m_escrow->holder().running(team);
        load.queued = static_cast<std::int64_t>(m_dispatcher->queued(team));
        load.idleEscrow = m_escrow->holder().held(team) - load.running;
        load.isShort = load.queued > load.idleEscrow && load.running + load.idleEscrow < limit(team).upperLimit;
        if (load.running > 0 || load.queued > 0 || load.idleEscrow > 0)
            heartbeat.teams.push_back(load);
    }
}

// Removal of dead members.

void Entry::checkMemberLiveness()
{
    if (!m_membership->isActive() || m_stage != Stage::Serving)
        return;
    const auto now = m_loop.now();
    const auto& record = m_membership->record();
    const auto silence = std::max(m_settings.memberSilence, s_removalPeriods * m_peers->exchangePeriod());
    std::set<DataCenterId> liveDataCenters;
    for (const auto& member : record.members) {
        if (now - m_peers->lastAnswer(member.holder) <= silence)
            liveDataCenters.insert(member.dataCenter);
    }
    for (const auto& member : record.members) {
        if (member.holder == m_membership->self() || m_pendingRemovals.contains(member.holder))
            continue;
        if (now - m_peers->lastAnswer(member.holder) <= silence)
            continue;
        // A live member of the same data centre is most likely to reach its workers. Members of other data centres act
        // only if there is none.
        const bool isInOwnDataCenter = member.dataCenter == m_settings.dataCenter;
        if (isInOwnDataCenter || !liveDataCenters.contains(member.dataCenter))
            removeMember(member.holder);
    }
}

void Entry::removeMember(HolderId holder)
{
    const auto dataCenter = m_membership->record().find(holder)->dataCenter;
    s_log.warning(
        "No heartbeat exchange with a member; removing it.", { { "holder", std::to_string(number(holder)) } });
    m_pendingRemovals.insert(holder);
    m_membership->markRemoving(holder, [this, holder, dataCenter] {
        const auto* member = m_membership->record().find(holder);
        if (member && member->state == MemberState::Removing)
            pollLeasesOfMember(holder, dataCenter, member->stateVersion);
        else
            m_pendingRemovals.erase(holder);
    });
}

// Removes the member once no worker of its data centre holds a valid lease of it. The member cannot use a lease that it
// opens later: a new lease is used only after a read of the member record that shows the member as active.
void Entry::pollLeasesOfMember(HolderId holder, const DataCenterId& dataCenter, std::uint64_t markedAt)
{
    const auto* member = m_membership->record().find(holder);
    if (!member || member->stateVersion != markedAt) {
        m_pendingRemovals.erase(holder);
        return;
    }
    m_platform.range(keys::instancePrefix, [this, holder, dataCenter, markedAt](RangeResult result) {
        struct Poll {
            std::size_t open { 1 };
            bool isClear { true };
        };
        auto poll = std::make_shared<Poll>();
        poll->isClear = result.status == StoreStatus::Ok;
        const auto done = [this, poll, holder, dataCenter, markedAt](bool isClear) {
            poll->isClear &= isClear;
            if (--poll->open > 0)
                return;
            if (poll->isClear)
                m_membership->removeUnresponsive(holder, markedAt, [this, holder] { m_pendingRemovals.erase(holder); });
            else
                m_loop.after(jittered(s_leasePollPeriod),
                    [this, holder, dataCenter, markedAt] { pollLeasesOfMember(holder, dataCenter, markedAt); });
        };
        for (const auto& value : result.values) {
            const auto record = decodeInstanceRecord(value.value);
            if (record.dataCenter != dataCenter)
                continue;
            ++poll->open;
            m_workers.queryHolder(record.endpoint, holder,
                [done](HolderResult worker) { done(worker.isReachable && worker.validLeases == 0); });
        }
        done(true);
    });
}

// Graceful shutdown.

void Entry::stop()
{
    if (m_stage == Stage::Draining || m_stage == Stage::HandingOver)
        return;
    s_log.info("Stopping: reporting not ready.");
    m_stage = Stage::Draining;
    // The load balancer needs time to observe the health check. Requests that arrive meanwhile are still served, and
    // the last ones tell their clients to leave. The listener stays open, since peers call this process until it has
    // handed over its claims.
    m_loop.after(m_settings.drainNotice - std::min(drainIdleTime, m_settings.drainNotice / 2),
        [this] { m_guard.drain(ListenerKind::Callers, drainIdleTime); });
    m_loop.after(m_settings.drainNotice, [this] {
        m_callers->stopAccepting();
        waitUntilDrained();
    });
}

void Entry::waitUntilDrained()
{
    if (m_callers->isIdle() && m_dispatcher->jobs() == 0) {
        handOver();
        return;
    }
    m_loop.after(s_drainPollPeriod, [this] { waitUntilDrained(); });
}

void Entry::handOver()
{
    m_stage = Stage::HandingOver;
    s_log.info("All requests are answered; handing over claims and returning escrow.");
    m_membership->markLeaving([this] { m_escrow->releaseAll([this] { waitUntilHandedOver(); }); });
}

void Entry::waitUntilHandedOver()
{
    if (m_peers->hasHandedOver()) {
        m_membership->leave([this] { closeConnections(); });
        return;
    }
    m_loop.after(s_drainPollPeriod, [this] { waitUntilHandedOver(); });
}

void Entry::closeConnections()
{
    m_server.stopListening();
    waitForConnections(m_loop, m_guard, ListenerKind::Callers, [this] {
        s_log.info("Stopped.");
        m_loop.stop();
    });
}

} // namespace marigoldlink
