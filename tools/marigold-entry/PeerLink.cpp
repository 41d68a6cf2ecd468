// Peer messages in Thrift's compact form, carried by HTTP.
#include "PeerLink.h"

#include "../common/Jitter.h"
#include "marigoldlink/Protocol/PeerCodec.h"
#include "marigoldlink/Protocol/RecordCodec.h"
#include "marigoldlink/Support/Log.h"

#include <algorithm>

namespace marigoldlink {

namespace {

    constexpr Log s_log("peers");
    constexpr Duration s_callTimeout { 800 };
    constexpr Duration s_forwardGrace { 500 };
    constexpr Duration s_handoverRetry { 200 };
    constexpr std::size_t s_configReplyBytes = 512 * 1024;
    // Members of other data centres with which a process starts an exchange at each heartbeat.
    constexpr std::size_t s_farExchanges = 4;
    // A peer's load counts for so many exchange periods, and it counts as reached for so many.
    constexpr int s_exchangesPerLoad = 4;
    constexpr int s_exchangesPerSilence = 5;
    // A member that does not answer for so long is not waited for by a new one.
    constexpr Duration s_acquaintanceTime { 1500 };
    const std::string s_pathPrefix = "/peer/";

    wire::ClaimItem toWire(const Claim& claim)
    {
        wire::ClaimItem item;
        item.request = claim.request.value();
        item.claimant = static_cast<std::int64_t>(number(claim.claimant));
        item.attempt = static_cast<std::int64_t>(claim.attempt);
        item.isFinished = claim.state == ClaimState::Finished;
        return item;
    }

    Claim fromWire(const wire::ClaimItem& item)
    {
        return { RequestId(item.request), HolderId(static_cast<std::uint64_t>(item.claimant)),
            static_cast<std::uint64_t>(item.attempt), item.isFinished ? ClaimState::Finished : ClaimState::Running };
    }

    template <typename Message> void reply(HttpResponder& responder, const Message& message)
    {
        responder.send({ 200, encodePeer(message), "application/x-thrift", {} });
    }

    void replyMalformed(HttpResponder& responder) { responder.send({ 400, {}, "text/plain", {} }); }

    template <typename Message> std::optional<Message> parse(const HttpOutcome& outcome)
    {
        Message message;
        if (!outcome.isOk() || !decodePeer(outcome.body, message))
            return std::nullopt;
        return message;
    }

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

template <typename Message>
void PeerLink::send(HolderId to, const std::string& name, const Message& message, Duration timeout,
    std::function<void(HttpOutcome)> callback)
{
    const auto* member = m_membership.record().find(to);
    if (!member) {
        m_loop.post([callback] { callback({}); });
        return;
    }
    HttpCall call { "POST", s_pathPrefix + name, encodePeer(message), {}, timeout };
    // The receiver refuses a message for an earlier process at its address.
    call.headers.emplace_back("x-holder", std::to_string(number(to)));
    call.headers.emplace_back("x-data-center", m_membership.selfMember().dataCenter.value());
    m_client.send(member->endpoint, std::move(call), std::move(callback));
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

void PeerLink::deliver(ClaimHandover handover)
{
    const bool isObsolete = handover.from != m_membership.self() || !m_membership.record().find(handover.to);
    if (isObsolete) {
        --m_undelivered;
        return;
    }
    wire::Handover message;
    message.sender = static_cast<std::int64_t>(number(handover.from));
    message.ownersVersion = static_cast<std::int64_t>(handover.ownersVersion);
    for (const auto& claim : handover.claims)
        message.claims.push_back(toWire(claim));
    send(handover.to, "handover", message, s_callTimeout, [this, handover](HttpOutcome outcome) {
        if (outcome.isOk()) {
            --m_undelivered;
            return;
        }
        m_loop.after(jittered(s_handoverRetry), [this, handover] { deliver(handover); });
    });
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
    send(member.holder, "heartbeat", ownHeartbeat(member.holder), s_callTimeout,
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
        peer.teams[TeamId(load.team)] = { load.running, load.idleEscrow, load.isShort };
    if (m_hooks.onChange)
        m_hooks.onChange();
}

void PeerLink::fetchConfig(HolderId holder)
{
    wire::ConfigRequest request;
    for (const auto& [key, version] : m_config.store().versions())
        request.versions[key] = static_cast<std::int64_t>(version);
    send(holder, "config", request, s_callTimeout, [this](HttpOutcome outcome) {
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
    send(holder, "members", wire::MembersReply {}, s_callTimeout, [this](HttpOutcome outcome) {
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

void PeerLink::forward(
    HolderId to, const JobRequest& request, Duration remaining, std::function<void(JobOutcome)> callback)
{
    // Counted at once, so that the next choice does not rely on the same slot.
    auto& peer = m_peers[to];
    --peer.freeSlots[request.pool];
    --peer.teams[request.team].idleEscrow;
    wire::ForwardCall call;
    call.sender = static_cast<std::int64_t>(number(m_membership.self()));
    call.team = request.team.value();
    call.queue = request.queue.value();
    call.body = request.body;
    call.remainingMs = remaining.count();
    call.isIdempotent = request.isIdempotent;
    call.checkpoint = request.checkpoint;
    send(to, "forward", call, remaining + s_forwardGrace, [callback = std::move(callback)](HttpOutcome outcome) {
        if (outcome.kind == HttpOutcome::Kind::NotSent) {
            callback({ ErrorKind::NoCapacity, {} });
            return;
        }
        auto answer = parse<wire::ForwardReply>(outcome);
        if (!answer) {
            callback({ ErrorKind::WorkerLost, {} });
            return;
        }
        if (answer->errorName.empty())
            callback({ std::nullopt, std::move(answer->body) });
        else
            callback({ errorKind(answer->errorName).value_or(ErrorKind::Internal), std::move(answer->body) });
    });
}

// Claims.

void PeerLink::claim(const Claim& claim, std::function<void(ClaimReplyResult)> callback)
{
    const auto ownerId = owner(claim.request);
    if (!ownerId) {
        m_loop.post([callback] { callback({}); });
        return;
    }
    if (*ownerId == m_membership.self()) {
        const auto answer = m_ledger.claim(claim, m_ledger.ownersVersion(), m_loop.now());
        m_loop.post([callback, answer] { callback({ true, answer }); });
        return;
    }
    wire::ClaimCall call;
    call.claim = toWire(claim);
    call.ownersVersion = static_cast<std::int64_t>(m_ledger.ownersVersion());
    send(*ownerId, "claim", call, s_callTimeout, [callback](HttpOutcome outcome) {
        const auto answer = parse<wire::ClaimReply>(outcome);
        if (!answer)
            callback({});
        else
            callback({ true, { static_cast<ClaimAnswer::Verdict>(answer->verdict), fromWire(answer->claim) } });
    });
}

void PeerLink::endClaim(const Claim& claim, bool isRelease)
{
    const auto ownerId = owner(claim.request);
    if (!ownerId)
        return;
    if (*ownerId == m_membership.self()) {
        if (isRelease)
            m_ledger.release(claim);
        else
            m_ledger.finish(claim, m_loop.now());
        return;
    }
    wire::ClaimEnd message;
    message.claim = toWire(claim);
    message.isReleased = isRelease;
    // A lost message does no harm: the owner asks the claimant when the id comes again.
    send(*ownerId, "claim-end", message, s_callTimeout, [](HttpOutcome) {});
}

void PeerLink::askOutcome(const Claim& claim, std::function<void(std::optional<AttemptOutcome>)> callback)
{
    if (claim.claimant == m_membership.self()) {
        m_loop.post([this, claim, callback] { callback(m_hooks.attemptOutcome(claim)); });
        return;
    }
    wire::OutcomeCall call;
    call.claim = toWire(claim);
    send(claim.claimant, "outcome", call, s_callTimeout, [callback](HttpOutcome outcome) {
        const auto answer = parse<wire::OutcomeReply>(outcome);
        if (!answer) {
            callback(std::nullopt);
            return;
        }
        AttemptOutcome result { answer->isKnown, answer->isRunning, answer->hasAnswer, { std::nullopt, answer->body } };
        if (!answer->errorName.empty())
            result.outcome.error = errorKind(answer->errorName).value_or(ErrorKind::Internal);
        callback(result);
    });
}

// Serving.

void PeerLink::handle(const HttpRequest& request, HttpResponderPtr responder)
{
    const std::string path(request.path.substr(std::min(s_pathPrefix.size(), request.path.size())));
    const std::string body(request.body);
    if (request.header("x-holder") != std::to_string(number(m_membership.self()))) {
        replyMalformed(*responder);
        return;
    }
    if (path == "heartbeat")
        serveHeartbeat(body, *responder);
    else if (path == "config")
        serveConfig(body, *responder);
    else if (path == "members")
        responder->send({ 200,
            [this] {
                wire::MembersReply answer;
                answer.record = encode(m_membership.record());
                return encodePeer(answer);
            }(),
            "application/x-thrift", {} });
    else if (path == "claim")
        serveClaim(body, *responder);
    else if (path == "claim-end")
        serveClaimEnd(body, *responder);
    else if (path == "handover")
        serveHandover(body, *responder);
    else if (path == "outcome")
        serveOutcome(body, *responder);
    else if (path == "forward")
        serveForward(body, std::move(responder));
    else
        replyMalformed(*responder);
}

void PeerLink::serveHeartbeat(const std::string& body, HttpResponder& responder)
{
    wire::Heartbeat beat;
    if (!decodePeer(body, beat)) {
        replyMalformed(responder);
        return;
    }
    takeHeartbeat(beat);
    const HolderId sender { static_cast<std::uint64_t>(beat.holder) };
    reply(responder, ownHeartbeat(sender));
}

void PeerLink::serveConfig(const std::string& body, HttpResponder& responder)
{
    wire::ConfigRequest request;
    if (!decodePeer(body, request)) {
        replyMalformed(responder);
        return;
    }
    ConfigVersions versions;
    for (const auto& [key, version] : request.versions)
        versions[key] = static_cast<std::uint64_t>(version);
    wire::ConfigReply answer;
    for (const auto& record : m_config.store().newerThan(versions, s_configReplyBytes)) {
        wire::ConfigItem item;
        item.key = record.key;
        item.version = static_cast<std::int64_t>(record.version);
        item.writeId = record.writeId;
        item.body = record.body;
        answer.items.push_back(std::move(item));
    }
    reply(responder, answer);
}

void PeerLink::serveClaim(const std::string& body, HttpResponder& responder)
{
    wire::ClaimCall call;
    if (!decodePeer(body, call)) {
        replyMalformed(responder);
        return;
    }
    const auto answer
        = m_ledger.claim(fromWire(call.claim), static_cast<std::uint64_t>(call.ownersVersion), m_loop.now());
    wire::ClaimReply message;
    message.verdict = static_cast<std::int32_t>(answer.verdict);
    message.claim = toWire(answer.claim);
    reply(responder, message);
}

void PeerLink::serveClaimEnd(const std::string& body, HttpResponder& responder)
{
    wire::ClaimEnd message;
    if (!decodePeer(body, message)) {
        replyMalformed(responder);
        return;
    }
    if (message.isReleased)
        m_ledger.release(fromWire(message.claim));
    else
        m_ledger.finish(fromWire(message.claim), m_loop.now());
    responder.send({ 200, {}, "text/plain", {} });
}

void PeerLink::serveHandover(const std::string& body, HttpResponder& responder)
{
    wire::Handover message;
    if (!decodePeer(body, message)) {
        replyMalformed(responder);
        return;
    }
    ClaimHandover handover { HolderId(static_cast<std::uint64_t>(message.sender)), m_membership.self(),
        static_cast<std::uint64_t>(message.ownersVersion), {} };
    for (const auto& item : message.claims)
        handover.claims.push_back(fromWire(item));
    m_ledger.receive(handover, m_loop.now());
    responder.send({ 200, {}, "text/plain", {} });
}

void PeerLink::serveOutcome(const std::string& body, HttpResponder& responder)
{
    wire::OutcomeCall call;
    if (!decodePeer(body, call)) {
        replyMalformed(responder);
        return;
    }
    const auto result = m_hooks.attemptOutcome(fromWire(call.claim));
    wire::OutcomeReply message;
    message.isKnown = result.isKnown;
    message.isRunning = result.isRunning;
    message.hasAnswer = result.hasAnswer;
    message.body = result.outcome.body;
    if (result.outcome.error)
        message.errorName = errorRow(*result.outcome.error).name;
    reply(responder, message);
}

void PeerLink::serveForward(const std::string& body, HttpResponderPtr responder)
{
    wire::ForwardCall call;
    if (!decodePeer(body, call)) {
        replyMalformed(*responder);
        return;
    }
    JobRequest request;
    request.team = TeamId(call.team);
    request.queue = QueueId(call.queue);
    request.isIdempotent = call.isIdempotent;
    request.isForwarded = true;
    request.body = std::move(call.body);
    request.checkpoint = std::move(call.checkpoint);
    request.deadline = m_loop.now() + Duration(call.remainingMs);
    const auto answer = [responder](JobOutcome outcome) {
        wire::ForwardReply message;
        if (outcome.error)
            message.errorName = errorRow(*outcome.error).name;
        message.body = std::move(outcome.body);
        reply(*responder, message);
    };
    if (const auto refusal = m_hooks.runForwarded(std::move(request), answer))
        answer({ *refusal, {} });
}

} // namespace marigoldlink
