// Membership, heartbeats and relayed configuration of the peer link.
#include "PeerWire.h"

#include "marigoldlink/Protocol/RecordCodec.h"

#include <algorithm>

namespace marigoldlink {

using namespace detail;

namespace {

    // Members of other data centres with which a process starts an exchange at each heartbeat.
    constexpr std::size_t s_farExchanges = 4;
    // A peer's load counts for so many exchange periods, and it counts as reached for so many.
    constexpr int s_exchangesPerLoad = 4;
    constexpr int s_exchangesPerSilence = 5;
    // A member that does not answer for so long is not waited for by a new one.
    constexpr Duration s_acquaintanceTime { 1500 };

} // namespace

PeerLink::PeerLink(EventLoop& loop, HttpClient& client, Membership& membership, ConfigSync& config,
    Freshness& freshness, Duration heartbeat, Duration claimWindow)
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
    m_loop.every(m_heartbeat, [this] { beat(); });
    m_loop.every(Duration(1000), [this] { m_ledger.expire(m_loop.now()); });
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
    sumLoads();
    if (number(m_membership.self()) == 0)
        return;
    for (auto& handover : m_ledger.adopt(m_membership.record(), now)) {
        ++m_undelivered;
        deliver(std::move(handover));
    }
}

// Heartbeats.

wire::Heartbeat PeerLink::ownHeartbeat(HolderId to)
{
    wire::Heartbeat beat;
    auto& peer = m_peers[to];
    beat.sequence = ++peer.lastSent;
    beat.acknowledged = peer.lastSeen;
    peer.lastSentAt = m_loop.now();
    beat.holder = static_cast<std::int64_t>(number(m_membership.self()));
    beat.dataCenter = m_membership.selfMember().dataCenter.value();
    beat.membersVersion = static_cast<std::int64_t>(m_membership.record().version);
    beat.configDigest = static_cast<std::int64_t>(m_config.store().digest());
    const auto age = m_freshness.age(m_loop.now());
    beat.confirmationAgeMs = age == Duration::max() ? INT64_MAX : age.count();
    if (m_hooks.fillHeartbeat)
        m_hooks.fillHeartbeat(beat);
    return beat;
}

// One member of each pair starts their exchanges, about half of them each.
bool PeerLink::initiatesTo(HolderId other) const
{
    const auto own = number(m_membership.self());
    return (own < number(other)) == ((own + number(other)) % 2 == 0);
}

bool PeerLink::isNear(const Member& member) const { return member.dataCenter == m_membership.selfMember().dataCenter; }

Duration PeerLink::exchangePeriod() const
{
    const auto& members = m_membership.record().members;
    const auto far = static_cast<std::size_t>(
        std::count_if(members.begin(), members.end(), [this](const Member& member) { return !isNear(member); }));
    return m_heartbeat * static_cast<int>(1 + far / s_farExchanges);
}

// Exchanges with every member of the own data centre, and with a few of the others in turn, so that the bytes of one
// process do not grow with the fleet.
void PeerLink::beat()
{
    std::vector<const Member*> far;
    for (const auto& member : m_membership.record().members) {
        if (member.holder == m_membership.self() || !initiatesTo(member.holder))
            continue;
        if (isNear(member))
            beatPeer(member);
        else
            far.push_back(&member);
    }
    for (std::size_t i = 0; i < std::min(far.size(), s_farExchanges); ++i)
        beatPeer(*far[m_rotation++ % far.size()]);
    m_freshness.setPeerSilence(s_exchangesPerSilence * exchangePeriod());
    sumLoads();
}

void PeerLink::beatPeer(const Member& member)
{
    auto& peer = m_peers[member.holder];
    if (peer.isAsked)
        return;
    peer.isAsked = true;
    send(member.holder, "heartbeat", ownHeartbeat(member.holder), peerCallTimeout,
        [this, holder = member.holder](HttpOutcome outcome) {
            const auto found = m_peers.find(holder);
            if (found == m_peers.end())
                return;
            found->second.isAsked = false;
            const auto answer = parse<wire::Heartbeat>(outcome);
            if (!answer || HolderId(static_cast<std::uint64_t>(answer->holder)) != holder)
                return;
            takeHeartbeat(*answer);
        });
}

void PeerLink::takeHeartbeat(const wire::Heartbeat& beat)
{
    const HolderId holder { static_cast<std::uint64_t>(beat.holder) };
    const bool isSame = static_cast<std::uint64_t>(beat.configDigest) == m_config.store().digest();
    if (static_cast<std::uint64_t>(beat.membersVersion) > m_membership.record().version)
        fetchMembers(holder);
    if (!isSame)
        fetchConfig(holder);
    const auto found = m_peers.find(holder);
    if (found == m_peers.end())
        return;
    auto& peer = found->second;
    peer.lastSeen = beat.sequence;
    const Duration age { std::min<std::int64_t>(beat.confirmationAgeMs, Duration::max().count() / 2) };
    // An older acknowledgement says nothing of the message's age.
    if (beat.acknowledged == peer.lastSent && peer.lastSent > 0)
        m_freshness.peerAnswered(holder, peer.lastSentAt, age, isSame);
    peer.hasAnswered |= isSame;
    peer.lastAnswerAt = m_loop.now();
    peer.dataCenter = DataCenterId(beat.dataCenter);
    peer.freeSlots.clear();
    for (const auto& load : beat.pools)
        peer.freeSlots[PoolId(load.pool)] = load.freeSlots;
    peer.teams.clear();
    for (const auto& load : beat.teams)
        peer.teams[TeamId(load.team)] = { load.running, load.idleEscrow, load.isShort, load.queued > 0 };
    if (m_hooks.onChange)
        m_hooks.onChange();
}

void PeerLink::fetchConfig(HolderId holder)
{
    wire::ConfigRequest request;
    for (const auto& [key, version] : m_config.store().versions())
        request.versions[key] = static_cast<std::int64_t>(version);
    send(holder, "config", request, peerCallTimeout, [this](HttpOutcome outcome) {
        const auto answer = parse<wire::ConfigReply>(outcome);
        if (!answer)
            return;
        std::vector<ConfigRecord> records;
        for (const auto& item : answer->items)
            records.push_back({ item.key, static_cast<std::uint64_t>(item.version), item.writeId, item.body });
        m_config.offer(records);
    });
}

void PeerLink::fetchMembers(HolderId holder)
{
    send(holder, "members", wire::MembersReply {}, peerCallTimeout, [this](HttpOutcome outcome) {
        const auto answer = parse<wire::MembersReply>(outcome);
        if (answer && !answer->record.empty())
            m_membership.offer(decodeMemberRecord(answer->record));
    });
}

bool PeerLink::isAcquainted()
{
    // Members that join later compare their configuration with this one, not the other way round.
    m_isAcquainted |= m_membership.isActive() && std::all_of(m_peers.begin(), m_peers.end(), [this](const auto& item) {
        return item.second.hasAnswered || m_loop.now() - item.second.knownSince > s_acquaintanceTime;
    });
    return m_isAcquainted;
}

bool PeerLink::isFresh(const Peer& peer) const
{
    return m_loop.now() - peer.lastAnswerAt <= s_exchangesPerLoad * exchangePeriod();
}

void PeerLink::sumLoads()
{
    m_runningElsewhere.clear();
    m_shortElsewhere.clear();
    for (const auto& [holder, peer] : m_peers) {
        if (!isFresh(peer))
            continue;
        for (const auto& [team, load] : peer.teams) {
            m_runningElsewhere[team] += load.running;
            if (load.isShort)
                m_shortElsewhere.insert(team);
        }
    }
}

TimePoint PeerLink::lastAnswer(HolderId holder) const
{
    const auto found = m_peers.find(holder);
    return found == m_peers.end() ? m_loop.now() : found->second.lastAnswerAt;
}

Slots PeerLink::runningElsewhere(const TeamId& team) const
{
    const auto found = m_runningElsewhere.find(team);
    return found == m_runningElsewhere.end() ? 0 : found->second;
}

std::map<TeamId, bool> PeerLink::teamsElsewhere() const
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

bool PeerLink::isShortElsewhere(const TeamId& team) const { return m_shortElsewhere.contains(team); }

std::optional<HolderId> PeerLink::peerFor(const PoolId& pool, const TeamId& team, bool mayGrow) const
{
    std::optional<HolderId> best;
    bool isBestHere = false;
    Slots bestFree = 0;
    for (const auto& [holder, peer] : m_peers) {
        const auto* member = m_membership.record().find(holder);
        if (!member || member->state != MemberState::Active || !isFresh(peer) || m_config.isOut(peer.dataCenter))
            continue;
        const auto free = peer.freeSlots.find(pool);
        const auto load = peer.teams.find(team);
        if (free == peer.freeSlots.end() || free->second <= 0)
            continue;
        const bool hasEscrow = load != peer.teams.end() && load->second.idleEscrow > 0;
        const bool canGetEscrow = mayGrow && (load == peer.teams.end() || !load->second.isShort);
        if (!hasEscrow && !canGetEscrow)
            continue;
        const bool isHere = peer.dataCenter == m_membership.selfMember().dataCenter;
        if (best && (isBestHere > isHere || (isBestHere == isHere && bestFree >= free->second)))
            continue;
        best = holder;
        isBestHere = isHere;
        bestFree = free->second;
    }
    return best;
}

} // namespace marigoldlink
