// Membership changes, heartbeats and relayed configuration of PeerLink.
#include "PeerWire.h"

#include "marigoldlink/Protocol/RecordCodec.h"

#include <algorithm>

namespace marigoldlink {

using namespace detail;

namespace {

    // Number of members of other data centres with which a process initiates an exchange at each heartbeat.
    constexpr std::size_t s_remoteExchangesPerHeartbeat = 4;
    // Number of exchange periods for which the load of a peer stays valid, and for which a peer counts as reachable.
    constexpr int s_loadValidityPeriods = 4;
    constexpr int s_reachabilityPeriods = 5;
    // A new member waits at most this long for each other member to respond before it serves requests.
    constexpr Duration s_configComparisonTimeout { 1500 };
    // Longer than the longest deadline that the settings allow, after which the sender gives the request up.
    constexpr Duration s_forwardRetention { 660000 };

} // namespace

PeerLink::PeerLink(EventLoop& loop, HttpClient& client, Membership& membership, ConfigSync& config,
    ConfigFreshness& freshness, Duration heartbeat, Duration claimWindow)
    : m_loop(loop)
    , m_client(client)
    , m_membership(membership)
    , m_config(config)
    , m_freshness(freshness)
    , m_heartbeat(heartbeat)
    , m_claimWindow(claimWindow)
    , m_ledger(HolderId {}, claimWindow)
{
}

void PeerLink::start(Hooks hooks)
{
    m_hooks = std::move(hooks);
    m_loop.every(m_heartbeat, [this] { sendHeartbeats(); });
    m_loop.every(Duration(1000), [this] {
        m_ledger.evictExpired(m_loop.now());
        const auto oldest = m_loop.now() - s_forwardRetention;
        std::erase_if(m_received,
            [oldest](const auto& item) { return item.second.answeredAt && *item.second.answeredAt < oldest; });
        std::erase_if(m_cancelledBeforeArrival, [oldest](const auto& item) { return item.second < oldest; });
    });
}

void PeerLink::reset()
{
    m_ledger = ClaimLedger(m_membership.self(), m_claimWindow);
    membersChanged();
}

void PeerLink::membersChanged()
{
    const auto now = m_loop.now();
    std::erase_if(m_peers, [this](const auto& item) {
        return item.first == m_membership.self() || !m_membership.record().find(item.first);
    });
    for (const auto holder : m_membership.otherMembers()) {
        const auto [it, isNew] = m_peers.try_emplace(holder);
        if (!isNew)
            continue;
        it->second.lastAnswerAt = now;
        it->second.knownSince = now;
        it->second.dataCenter = m_membership.record().find(holder)->dataCenter;
    }
    aggregatePeerLoads();
    if (number(m_membership.self()) == 0)
        return;
    for (auto& handover : m_ledger.adopt(m_membership.record(), now)) {
        ++m_pendingHandovers;
        deliver(std::move(handover));
    }
}

// Heartbeats.

wire::Heartbeat PeerLink::ownHeartbeat(HolderId to)
{
    wire::Heartbeat heartbeat;
    auto& peer = m_peers[to];
    heartbeat.sequence = ++peer.lastSentSequence;
    heartbeat.acknowledged = peer.lastReceivedSequence;
    peer.lastSentAt = m_loop.now();
    heartbeat.holder = static_cast<std::int64_t>(number(m_membership.self()));
    heartbeat.dataCenter = m_membership.selfMember().dataCenter.value();
    heartbeat.membersVersion = static_cast<std::int64_t>(m_membership.record().version);
    heartbeat.configDigest = static_cast<std::int64_t>(m_config.store().digest());
    const auto age = m_freshness.age(m_loop.now());
    heartbeat.confirmationAgeMs = age == Duration::max() ? INT64_MAX : age.count();
    if (m_hooks.fillLoad)
        m_hooks.fillLoad(heartbeat);
    return heartbeat;
}

// Exactly one member of each pair initiates their exchanges. Each member initiates about half of its exchanges.
bool PeerLink::initiatesExchangeWith(HolderId other) const
{
    const auto own = number(m_membership.self());
    return (own < number(other)) == ((own + number(other)) % 2 == 0);
}

bool PeerLink::isInOwnDataCenter(const Member& member) const
{
    return member.dataCenter == m_membership.selfMember().dataCenter;
}

Duration PeerLink::exchangePeriod() const
{
    const auto& members = m_membership.record().members;
    const auto far = static_cast<std::size_t>(std::count_if(
        members.begin(), members.end(), [this](const Member& member) { return !isInOwnDataCenter(member); }));
    return m_heartbeat * static_cast<int>(1 + far / s_remoteExchangesPerHeartbeat);
}

// Exchanges heartbeats with every member of the own data centre, and with a few members of other data centres in
// round-robin order. This keeps the traffic of one process independent of the size of the fleet.
void PeerLink::sendHeartbeats()
{
    std::vector<const Member*> far;
    for (const auto& member : m_membership.record().members) {
        if (member.holder == m_membership.self() || !initiatesExchangeWith(member.holder))
            continue;
        if (isInOwnDataCenter(member))
            sendHeartbeatTo(member);
        else
            far.push_back(&member);
    }
    for (std::size_t i = 0; i < std::min(far.size(), s_remoteExchangesPerHeartbeat); ++i)
        sendHeartbeatTo(*far[m_nextRemotePeer++ % far.size()]);
    m_freshness.setPeerSilence(s_reachabilityPeriods * exchangePeriod());
    aggregatePeerLoads();
}

void PeerLink::sendHeartbeatTo(const Member& member)
{
    auto& peer = m_peers[member.holder];
    if (peer.isHeartbeatPending)
        return;
    peer.isHeartbeatPending = true;
    send(member.holder, "heartbeat", ownHeartbeat(member.holder), peerCallTimeout,
        [this, holder = member.holder](HttpResult result) {
            const auto found = m_peers.find(holder);
            if (found == m_peers.end())
                return;
            found->second.isHeartbeatPending = false;
            const auto answer = parse<wire::Heartbeat>(result);
            if (!answer || HolderId(static_cast<std::uint64_t>(answer->holder)) != holder)
                return;
            handleHeartbeat(*answer);
        });
}

void PeerLink::handleHeartbeat(const wire::Heartbeat& heartbeat)
{
    const HolderId holder { static_cast<std::uint64_t>(heartbeat.holder) };
    const bool isSame = static_cast<std::uint64_t>(heartbeat.configDigest) == m_config.store().digest();
    if (static_cast<std::uint64_t>(heartbeat.membersVersion) > m_membership.record().version)
        fetchMembers(holder);
    if (!isSame)
        fetchConfig(holder);
    const auto found = m_peers.find(holder);
    if (found == m_peers.end())
        return;
    auto& peer = found->second;
    peer.lastReceivedSequence = heartbeat.sequence;
    const Duration age { std::min<std::int64_t>(heartbeat.confirmationAgeMs, Duration::max().count() / 2) };
    // An acknowledgement of an earlier heartbeat does not bound the age of this one.
    if (heartbeat.acknowledged == peer.lastSentSequence && peer.lastSentSequence > 0)
        m_freshness.peerAnswered(holder, peer.lastSentAt, age, isSame);
    peer.hasAnswered |= isSame;
    peer.lastAnswerAt = m_loop.now();
    peer.dataCenter = DataCenterId(heartbeat.dataCenter);
    peer.freeSlots.clear();
    for (const auto& load : heartbeat.pools)
        peer.freeSlots[PoolId(load.pool)] = load.freeSlots;
    peer.teams.clear();
    for (const auto& load : heartbeat.teams)
        peer.teams[TeamId(load.team)] = { load.running, load.idleEscrow, load.isShort, load.queued > 0 };
    if (m_hooks.onChange)
        m_hooks.onChange();
}

void PeerLink::fetchConfig(HolderId holder)
{
    wire::ConfigRequest request;
    for (const auto& [key, version] : m_config.store().versions())
        request.versions[key] = static_cast<std::int64_t>(version);
    send(holder, "config", request, peerCallTimeout, [this](HttpResult result) {
        const auto answer = parse<wire::ConfigReply>(result);
        if (!answer)
            return;
        std::vector<ConfigRecord> records;
        for (const auto& item : answer->items)
            records.push_back({ item.key, static_cast<std::uint64_t>(item.version), item.writeId, item.body });
        m_config.adoptIfNewer(records);
    });
}

void PeerLink::fetchMembers(HolderId holder)
{
    send(holder, "members", wire::MembersReply {}, peerCallTimeout, [this](HttpResult result) {
        const auto answer = parse<wire::MembersReply>(result);
        if (answer && !answer->record.empty())
            m_membership.adoptIfNewer(decodeMemberRecord(answer->record));
    });
}

bool PeerLink::isConfigCompared()
{
    // Latched: members that join later compare their configuration with this one.
    m_isConfigCompared
        |= m_membership.isActive() && std::all_of(m_peers.begin(), m_peers.end(), [this](const auto& item) {
               return item.second.hasAnswered || m_loop.now() - item.second.knownSince > s_configComparisonTimeout;
           });
    return m_isConfigCompared;
}

bool PeerLink::isFresh(const Peer& peer) const
{
    return m_loop.now() - peer.lastAnswerAt <= s_loadValidityPeriods * exchangePeriod();
}

void PeerLink::aggregatePeerLoads()
{
    m_runningOnPeers.clear();
    m_teamsLackingEscrow.clear();
    for (const auto& [holder, peer] : m_peers) {
        if (!isFresh(peer))
            continue;
        for (const auto& [team, load] : peer.teams) {
            m_runningOnPeers[team] += load.running;
            if (load.isShort)
                m_teamsLackingEscrow.insert(team);
        }
    }
}

TimePoint PeerLink::lastAnswer(HolderId holder) const
{
    const auto found = m_peers.find(holder);
    return found == m_peers.end() ? m_loop.now() : found->second.lastAnswerAt;
}

Slots PeerLink::runningOnPeers(const TeamId& team) const
{
    const auto found = m_runningOnPeers.find(team);
    return found == m_runningOnPeers.end() ? 0 : found->second;
}

std::map<TeamId, bool> PeerLink::teamsOnPeers() const
{
    std::map<TeamId, bool> teams;
    for (const auto& [holder, peer] : m_peers) {
        if (!isFresh(peer))
            continue;
        for (const auto& [team, load] : peer.teams) {
            if (load.running > 0 || load.isQueued)
                teams[team] |= load.isQueued;
        }
    }
    return teams;
}

bool PeerLink::lacksEscrowOnPeers(const TeamId& team) const { return m_teamsLackingEscrow.contains(team); }

std::optional<HolderId> PeerLink::selectPeer(const PoolId& pool, const TeamId& team, bool isBelowLimit) const
{
    std::optional<HolderId> best;
    bool isBestLocal = false;
    Slots bestFree = 0;
    for (const auto& [holder, peer] : m_peers) {
        const auto* member = m_membership.record().find(holder);
        if (!member || member->state != MemberState::Active || !isFresh(peer)
            || m_config.isOutOfService(peer.dataCenter))
            continue;
        const auto free = peer.freeSlots.find(pool);
        const auto load = peer.teams.find(team);
        if (free == peer.freeSlots.end() || free->second <= 0)
            continue;
        const bool hasEscrow = load != peer.teams.end() && load->second.idleEscrow > 0;
        const bool canGetEscrow = isBelowLimit && (load == peer.teams.end() || !load->second.isShort);
        if (!hasEscrow && !canGetEscrow)
            continue;
        const bool isLocal = peer.dataCenter == m_membership.selfMember().dataCenter;
        if (best && (isBestLocal > isLocal || (isBestLocal == isLocal && bestFree >= free->second)))
            continue;
        best = holder;
        isBestLocal = isLocal;
        bestFree = free->second;
    }
    return best;
}

} // namespace marigoldlink
