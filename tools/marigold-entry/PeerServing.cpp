// Serves messages from peers.
#include "PeerWire.h"

#include "marigoldlink/Protocol/RecordCodec.h"

#include <algorithm>

namespace marigoldlink {

using namespace detail;

namespace {

    constexpr std::size_t s_configReplyBytes = std::size_t { 512 } * 1024;

} // namespace

void PeerLink::handle(const HttpRequest& request, HttpResponderPtr responder)
{
    const std::string path(request.path.substr(std::min(peerPathPrefix.size(), request.path.size())));
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
    else if (path == "forward-cancel")
        serveForwardCancel(body, responder);
    else
        replyMalformed(*responder);
}

void PeerLink::serveHeartbeat(const std::string& body, HttpResponder& responder)
{
    wire::Heartbeat heartbeat;
    if (!decodePeer(body, heartbeat)) {
        replyMalformed(responder);
        return;
    }
    handleHeartbeat(heartbeat);
    const HolderId sender { static_cast<std::uint64_t>(heartbeat.holder) };
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
    m_ledger.receiveHandover(handover, m_loop.now());
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
        message.errorName = errorInfo(*result.outcome.error).name;
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
    const std::pair id(HolderId(static_cast<std::uint64_t>(call.sender)), ForwardId(call.call));
    const auto answer = [this, id, responder](JobOutcome outcome) {
        if (outcome.error == ErrorKind::WorkerLost)
            m_received[id].answeredAt = m_loop.now();
        else
            m_received.erase(id);
        wire::ForwardReply message;
        if (outcome.error)
            message.errorName = errorInfo(*outcome.error).name;
        message.body = std::move(outcome.body);
        reply(*responder, message);
    };
    if (m_cancelledBeforeArrival.contains(id)) {
        answer({ ErrorKind::Cancelled, {} });
        return;
    }
    const auto result = m_hooks.runForwarded(std::move(request), answer);
    if (const auto* refusal = std::get_if<ErrorKind>(&result))
        answer({ *refusal, {} });
    else
        m_received[id] = { std::get<QueueTicket>(result), std::nullopt };
}

void PeerLink::serveForwardCancel(const std::string& body, const HttpResponderPtr& responder)
{
    wire::ForwardCancel message;
    if (!decodePeer(body, message)) {
        replyMalformed(*responder);
        return;
    }
    const std::pair id(HolderId(static_cast<std::uint64_t>(message.sender)), ForwardId(message.call));
    const auto confirm = [responder] { responder->send({ 200, {}, "text/plain", {} }); };
    const auto found = m_received.find(id);
    if (found != m_received.end()) {
        m_hooks.cancel(found->second.ticket, confirm);
        return;
    }
    // The request has ended, or it has not arrived yet.
    m_cancelledBeforeArrival[id] = m_loop.now();
    confirm();
}

} // namespace marigoldlink
