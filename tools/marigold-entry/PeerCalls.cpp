// Calls from PeerLink to peers: claims, handovers, outcomes and forwarded requests.
#include "PeerWire.h"

#include "../common/Jitter.h"

namespace marigoldlink {

using namespace detail;

namespace {

    constexpr Duration s_forwardTimeoutMargin { 500 };
    constexpr Duration s_handoverRetryDelay { 200 };
    constexpr Duration s_cancelRetryDelay { 100 };

} // namespace

void PeerLink::deliver(ClaimHandover handover)
{
    const bool isObsolete = handover.from != m_membership.self() || !m_membership.record().find(handover.to);
    if (isObsolete) {
        --m_pendingHandovers;
        return;
    }
    wire::Handover message;
    message.sender = static_cast<std::int64_t>(number(handover.from));
    message.ownersVersion = static_cast<std::int64_t>(handover.ownersVersion);
    for (const auto& claim : handover.claims)
        message.claims.push_back(toWire(claim));
    send(handover.to, "handover", message, peerCallTimeout, [this, handover](HttpResult result) {
        if (result.isOk()) {
            --m_pendingHandovers;
            return;
        }
        m_loop.after(jittered(s_handoverRetryDelay), [this, handover] { deliver(handover); });
    });
}

ForwardId PeerLink::forward(
    HolderId to, const JobRequest& request, Duration remaining, std::function<void(JobOutcome)> callback)
{
    // Deducted immediately, so that the next selection does not count on the same slot.
    auto& peer = m_peers[to];
    --peer.freeSlots[request.pool];
    --peer.teams[request.team].idleEscrow;
    const ForwardId id { m_nextForward++ };
    m_forwardings[id] = { .sender = m_membership.self(), .receiver = to };
    wire::ForwardCall call;
    call.sender = static_cast<std::int64_t>(number(m_membership.self()));
    call.call = static_cast<std::int64_t>(id);
    call.team = request.team.value();
    call.queue = request.queue.value();
    call.body = request.body;
    call.remainingMs = remaining.count();
    call.isIdempotent = request.isIdempotent;
    call.checkpoint = request.checkpoint;
    const auto onAnswer = [this, id, callback = std::move(callback)](const HttpResult& result) {
        const bool isNotSent = result.kind == HttpResult::Kind::NotSent;
        auto answer = parse<wire::ForwardReply>(result);
        // The peer also answers WorkerLost at the deadline of a request whose task may still run.
        endForward(id, isNotSent || (answer && answer->errorName != errorInfo(ErrorKind::WorkerLost).name));
        if (isNotSent) {
            callback({ ErrorKind::NoCapacity, {} });
            return;
        }
        if (!answer) {
            callback({ ErrorKind::WorkerLost, {} });
            return;
        }
        if (answer->errorName.empty())
            callback({ std::nullopt, std::move(answer->body) });
        else
            callback({ errorKind(answer->errorName).value_or(ErrorKind::Internal), std::move(answer->body) });
    };
    send(to, "forward", call, remaining + s_forwardTimeoutMargin, onAnswer);
    return id;
}

void PeerLink::cancelForwarded(ForwardId id, std::function<void()> onCancelled)
{
    const auto found = m_forwardings.find(id);
    if (found == m_forwardings.end() || found->second.isCancelConfirmed) {
        onCancelled();
        return;
    }
    found->second.onCancelled.push_back(std::move(onCancelled));
    if (!std::exchange(found->second.isCancelling, true))
        sendForwardCancel(id);
}

void PeerLink::releaseForwarded(ForwardId id)
{
    const auto found = m_forwardings.find(id);
    if (found != m_forwardings.end() && found->second.isUnknown && !found->second.isCancelling)
        m_forwardings.erase(found);
}

void PeerLink::endForward(ForwardId id, bool isRequestEnded)
{
    auto& forwarding = m_forwardings.at(id);
    forwarding.isUnknown = true;
    if (!isRequestEnded && !forwarding.isCancelConfirmed)
        return;
    for (const auto& onCancelled : forwarding.onCancelled)
        m_loop.post(onCancelled);
    m_forwardings.erase(id);
}

void PeerLink::sendForwardCancel(ForwardId id)
{
    const auto found = m_forwardings.find(id);
    if (found == m_forwardings.end())
        return;
    // A member is removed only once all its leases on workers have expired.
    if (!m_membership.record().find(found->second.receiver)) {
        confirmForwardCancel(id);
        return;
    }
    wire::ForwardCancel message;
    message.sender = static_cast<std::int64_t>(number(found->second.sender));
    message.call = static_cast<std::int64_t>(id);
    send(found->second.receiver, "forward-cancel", message, peerCallTimeout, [this, id](const HttpResult& result) {
        if (result.isOk())
            confirmForwardCancel(id);
        else
            m_loop.after(jittered(s_cancelRetryDelay), [this, id] { sendForwardCancel(id); });
    });
}

void PeerLink::confirmForwardCancel(ForwardId id)
{
    const auto found = m_forwardings.find(id);
    if (found == m_forwardings.end())
        return;
    found->second.isCancelConfirmed = true;
    const auto callbacks = std::exchange(found->second.onCancelled, {});
    if (found->second.isUnknown)
        m_forwardings.erase(found);
    for (const auto& onCancelled : callbacks)
        onCancelled();
}

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
    send(*ownerId, "claim", call, peerCallTimeout, [callback](HttpResult result) {
        const auto answer = parse<wire::ClaimReply>(result);
        if (!answer)
            callback({});
        else
            callback({ true, { static_cast<ClaimAnswer::Verdict>(answer->verdict), fromWire(answer->claim) } });
    });
}

void PeerLink::reportClaimEnd(const Claim& claim, bool isRelease)
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
    // A lost message is harmless: when the same id is used again, the claimant is asked for the outcome.
    send(*ownerId, "claim-end", message, peerCallTimeout, [](HttpResult) {});
}

void PeerLink::fetchOutcome(const Claim& claim, std::function<void(std::optional<AttemptOutcome>)> callback)
{
    if (claim.claimant == m_membership.self()) {
        m_loop.post([this, claim, callback] { callback(m_hooks.attemptOutcome(claim)); });
        return;
    }
    wire::OutcomeCall call;
    call.claim = toWire(claim);
    send(claim.claimant, "outcome", call, peerCallTimeout, [callback](HttpResult outcome) {
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

} // namespace marigoldlink
