// Wire conversions and helpers shared by the source files of PeerLink.
#pragma once

#include "PeerLink.h"
#include "marigoldlink/Protocol/PeerCodec.h"

namespace marigoldlink {

namespace detail {

    constexpr Duration peerCallTimeout { 800 };
    const std::string peerPathPrefix = "/peer/";

    inline wire::ClaimItem toWire(const Claim& claim)
    {
        wire::ClaimItem item;
        item.request = claim.request.value();
        item.claimant = static_cast<std::int64_t>(number(claim.claimant));
        item.attempt = static_cast<std::int64_t>(claim.attempt);
        item.isFinished = claim.state == ClaimState::Finished;
        return item;
    }

    inline Claim fromWire(const wire::ClaimItem& item)
    {
        return { RequestId(item.request), HolderId(static_cast<std::uint64_t>(item.claimant)),
            static_cast<std::uint64_t>(item.attempt), item.isFinished ? ClaimState::Finished : ClaimState::Running };
    }

    template <typename Message> void reply(HttpResponder& responder, const Message& message)
    {
        responder.send({ 200, encodePeer(message), "application/x-thrift", {} });
    }

    inline void replyMalformed(HttpResponder& responder) { responder.send({ 400, {}, "text/plain", {} }); }

    template <typename Message> std::optional<Message> parse(const HttpResult& result)
    {
        Message message;
        if (!result.isOk() || !decodePeer(result.body, message))
            return std::nullopt;
        return message;
    }

} // namespace detail

template <typename Message>
void PeerLink::send(HolderId to, const std::string& name, const Message& message, Duration timeout,
    std::function<void(HttpResult)> callback)
{
    const auto* member = m_membership.record().find(to);
    if (!member) {
        m_loop.post([callback] { callback({}); });
        return;
    }
    HttpCall call { "POST", detail::peerPathPrefix + name, encodePeer(message), {}, timeout };
    // The receiver rejects messages addressed to an earlier process on the same endpoint.
    call.headers.emplace_back("x-holder", std::to_string(number(to)));
    call.headers.emplace_back("x-data-center", m_membership.selfMember().dataCenter.value());
    m_client.send(member->endpoint, std::move(call), std::move(callback));
}

} // namespace marigoldlink
