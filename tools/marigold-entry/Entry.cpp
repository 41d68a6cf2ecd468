// Wiring and life cycle of an entry instance.
#include "Entry.h"

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
    // A member is removed only after so many exchange periods without an exchange.
    constexpr int s_exchangesPerRemoval = 6;
    constexpr Duration s_baselinePeriod { 100 };
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
    , m_server(loop, { m_settings.bodyBytes, Duration(10000) },
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
        [this] { return m_config.text(); }, [this] { return !m_config.isOut(m_settings.dataCenter); });
    m_callers = std::make_unique<CallerApi>(
        m_loop, m_settings, *m_membership, m_config, m_freshness, *m_dispatcher, *m_peers, m_metrics);

    m_config.onChange([this] { configChanged(); });
    m_membership->onChange([this] { membersChanged(); });
    m_leases->onChange([this] { m_dispatcher->pump(); });
    m_escrow->onChange([this] { m_dispatcher->pump(); });
    m_config.start();
    m_leases->start();
    m_escrow->start();
    m_dispatcher->start();
    m_peers->start({ [this](wire::Heartbeat& beat) { fillHeartbeat(beat); },
        [this](JobRequest request, std::function<void(JobOutcome)> onDone) {
            return m_callers->runForwarded(std::move(request), std::move(onDone));
        },
        [this](const Claim& claim) { return m_callers->attemptOutcome(claim); }, [this] { m_dispatcher->pump(); } });
    m_loop.every(s_baselinePeriod, [this] { wakeNextTeam(); });
    m_loop.every(s_memberCheckPeriod, [this] { watchSilentMembers(); });
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
        m_escrow->wake(team);
    m_dispatcher->pump();
}

void Entry::membersChanged()
{
    m_peers->membersChanged();
    m_dispatcher->setMembers(m_membership->record().members.size());
    const auto self = m_membership->self();
    const auto* member = m_membership->record().find(self);
    const bool isServing = number(self) != 0 && !m_isJoining && m_stage == Stage::Serving;
    if (isServing && !member) {
        s_log.warning("This member was removed. Joining again.");
        join();
    } else if (isServing && member->state == MemberState::Removing && !std::exchange(m_isReviving, true)) {
        s_log.warning("Another member removes this one, which is alive.");
        m_membership->revive([this] { m_isReviving = false; });
    }
    for (const auto& [team, account] : m_escrow->holder().accounts())
        m_escrow->wake(team);
}

EscrowDemand Entry::demand(const TeamId& team) const
{
    auto demand = m_dispatcher->demand(team);
    demand.upperLimit = limit(team).upperLimit;
    demand.members = static_cast<Slots>(m_membership->record().members.size());
    if (m_config.isOut(m_settings.dataCenter))
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

// Wakes the next team of the text, so that every team gets its baseline without a burst of calls.
void Entry::wakeNextTeam()
{
    const auto* text = m_config.text();
    if (!text || text->teams.empty())
        return;
    auto next = text->teams.upper_bound(m_lastWoken);
    if (next == text->teams.end())
        next = text->teams.begin();
    m_lastWoken = next->first;
    m_escrow->wake(m_lastWoken);
}

TeamLimit Entry::limit(const TeamId& id) const
{
    const auto* text = m_config.text();
    if (!text)
        return {};
    const auto team = text->teams.find(id);
    // A team that left the text runs nothing more.
    return { team == text->teams.end() ? 0 : team->second.upperLimit, m_config.textVersion() };
}

void Entry::handle(const HttpRequest& request, HttpResponderPtr responder)
{
    if (request.path.starts_with("/v1/")) {
        m_callers->handle(request, std::move(responder));
    } else if (request.path.starts_with("/peer/")) {
        m_peers->handle(request, std::move(responder));
    } else if (request.path == "/healthz") {
        const bool isReady = m_stage == Stage::Serving && m_config.text() && m_peers->isAcquainted();
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
    status["data_center_out"] = m_config.isOut(m_settings.dataCenter);
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

void Entry::fillHeartbeat(wire::Heartbeat& beat) const
{
    const auto* text = m_config.text();
    const bool isServing = m_stage == Stage::Serving && text && !m_config.isOut(m_settings.dataCenter);
    if (text) {
        for (const auto& [id, pool] : text->pools) {
            wire::PoolLoad load;
            load.pool = id.value();
            load.freeSlots = isServing ? m_leases->freeSlots(id) : 0;
            load.queued = static_cast<std::int64_t>(m_dispatcher->queued(id));
            if (load.freeSlots > 0 || load.queued > 0)
                beat.pools.push_back(load);
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
            beat.teams.push_back(load);
    }
}

// Dead members.

void Entry::watchSilentMembers()
{
    if (!m_membership->isActive() || m_stage != Stage::Serving)
        return;
    const auto now = m_loop.now();
    const auto& record = m_membership->record();
    const auto silence = std::max(m_settings.memberSilence, s_exchangesPerRemoval * m_peers->exchangePeriod());
    std::set<DataCenterId> liveDataCenters;
    for (const auto& member : record.members) {
        if (now - m_peers->lastAnswer(member.holder) <= silence)
            liveDataCenters.insert(member.dataCenter);
    }
    for (const auto& member : record.members) {
        if (member.holder == m_membership->self() || m_removals.contains(member.holder))
            continue;
        if (now - m_peers->lastAnswer(member.holder) <= silence)
            continue;
        // A live member of the same data centre reaches the workers best. Others act when there is none.
        const bool isNear = member.dataCenter == m_settings.dataCenter;
        if (isNear || !liveDataCenters.contains(member.dataCenter))
            removeMember(member.holder);
    }
}

void Entry::removeMember(HolderId holder)
{
    const auto dataCenter = m_membership->record().find(holder)->dataCenter;
    s_log.warning("A member is silent. Removing it.", { { "holder", std::to_string(number(holder)) } });
    m_removals.insert(holder);
    m_membership->markRemoving(holder, [this, holder, dataCenter] {
        const auto* member = m_membership->record().find(holder);
        if (member && member->state == MemberState::Removing)
            pollLeasesOf(holder, dataCenter, member->stateVersion);
        else
            m_removals.erase(holder);
    });
}

// The member is removed once no worker of its data centre has a valid lease of it. It cannot open another one: a new
// lease is used only after a read of the member record that shows the member as active.
void Entry::pollLeasesOf(HolderId holder, const DataCenterId& dataCenter, std::uint64_t markedAt)
{
    const auto* member = m_membership->record().find(holder);
    if (!member || member->stateVersion != markedAt) {
        m_removals.erase(holder);
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
                m_membership->removeLost(holder, markedAt, [this, holder] { m_removals.erase(holder); });
            else
                m_loop.after(jittered(s_leasePollPeriod),
                    [this, holder, dataCenter, markedAt] { pollLeasesOf(holder, dataCenter, markedAt); });
        };
        for (const auto& value : result.values) {
            const auto record = decodeInstanceRecord(value.value);
            if (record.dataCenter != dataCenter)
                continue;
            ++poll->open;
            m_workers.leasesOf(record.endpoint, holder,
                [done](HolderResult worker) { done(worker.reached && worker.validLeases == 0); });
        }
        done(true);
    });
}

// Planned stop.

void Entry::stop()
{
    if (m_stage == Stage::Draining || m_stage == Stage::HandingOver)
        return;
    s_log.info("Stopping: unready from now on.");
    m_stage = Stage::Draining;
    // The balancer sees the health answer first. Requests that come meanwhile are still served.
    m_loop.after(m_settings.drainNotice, [this] {
        m_callers->refuseNew();
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
    s_log.info("Every request is answered. Handing over.");
    m_membership->markLeaving([this] { m_escrow->giveBack([this] { waitUntilHandedOver(); }); });
}

void Entry::waitUntilHandedOver()
{
    if (m_peers->hasHandedOver()) {
        m_membership->leave([this] {
            s_log.info("Stopped.");
            m_loop.stop();
        });
        return;
    }
    m_loop.after(s_drainPollPeriod, [this] { waitUntilHandedOver(); });
}

} // namespace marigoldlink
