// Thrift form of the calls between gateways and the coordinator.
#include "marigoldlink/Entry/PeerCalls.h"

#include "marigoldlink/Protocol/Generated/Fleet_types.h"
#include "marigoldlink/Protocol/JobCodec.h"
#include "marigoldlink/Protocol/PeerCodec.h"
#include "marigoldlink/State/Errors.h"

namespace marigoldlink {

namespace {

    template <typename Enum> Enum checkedEnum(std::int32_t value, Enum last, const char* what)
    {
        if (value < 0 || value > static_cast<std::int32_t>(last))
            throw Error(
                ErrorKind::MalformedRequest, std::string(what) + " has the unknown kind " + std::to_string(value));
        return static_cast<Enum>(value);
    }

} // namespace

std::string encodeCall(const FleetCallRequest& request)
{
    wire::FleetCall call;
    call.kind = static_cast<std::int32_t>(request.kind);
    call.job = request.job.id.value();
    call.queue = request.job.queue.value();
    if (request.kind == FleetCallRequest::Kind::Submit)
        call.record = encodeJob(request.job);
    return encodePeer(call);
}

FleetCallRequest decodeCall(const std::string& bytes)
{
    wire::FleetCall call;
    if (!decodePeer(bytes, call))
        throw Error(ErrorKind::MalformedRequest, "the call of a peer does not parse");
    FleetCallRequest request;
    request.kind = checkedEnum(call.kind, FleetCallRequest::Kind::Waiting, "the call of a peer");
    const JobId id(call.job);
    if (request.kind == FleetCallRequest::Kind::Submit)
        request.job = decodeJob(id, call.record);
    request.job.id = id;
    request.job.queue = QueueId(call.queue);
    return request;
}

std::string encodeReply(const Reply& reply)
{
    wire::FleetReply wireReply;
    wireReply.kind = static_cast<std::int32_t>(reply.kind);
    wireReply.state = static_cast<std::int32_t>(reply.state);
    wireReply.waiting = reply.waiting;
    wireReply.retryAfterMs = reply.retryAfter.count();
    return encodePeer(wireReply);
}

Reply decodeReply(const std::string& bytes)
{
    wire::FleetReply wireReply;
    if (!decodePeer(bytes, wireReply))
        throw Error(ErrorKind::MalformedRequest, "the reply of a peer does not parse");
    return { checkedEnum(wireReply.kind, Reply::Kind::NotCoordinator, "the reply of a peer"),
        checkedEnum(wireReply.state, JobState::Cancelled, "the reply of a peer"), wireReply.waiting,
        Duration(wireReply.retryAfterMs) };
}

} // namespace marigoldlink
