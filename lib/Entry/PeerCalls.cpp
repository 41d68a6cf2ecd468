// Thrift encoding of the messages between entry instances.
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
            throw Error(ErrorKind::MalformedRequest,
                std::string(what) + " has an out-of-range value: " + std::to_string(value));
        return static_cast<Enum>(value);
    }

} // namespace

bool isConclusive(FleetCallRequest::Kind kind, const Reply& reply, bool mayHaveTakenEffect)
{
    if (reply.kind == Reply::Kind::NotStoredHere)
        return false;
    const bool isRefusedSubmission = kind == FleetCallRequest::Kind::Submit && reply.kind == Reply::Kind::Refused;
    return !isRefusedSubmission || !mayHaveTakenEffect;
}

std::string encodeCall(const FleetCallRequest& request)
{
    wire::FleetCall call;
    call.kind = static_cast<std::int32_t>(request.kind);
    call.job = request.job.id.value();
    call.queue = request.job.queue.value();
    if (request.wait)
        call.__set_waitMs(request.wait->count());
    if (!request.origin.team.empty())
        call.__set_team(request.origin.team.value());
    if (!request.origin.entry.empty())
        call.__set_entry(request.origin.entry);
    if (request.origin.age)
        call.__set_ageMs(request.origin.age->count());
    if (request.kind == FleetCallRequest::Kind::Submit)
        call.record = encodeJob(request.job);
    return encodePeer(call);
}

FleetCallRequest decodeCall(const std::string& bytes)
{
    wire::FleetCall call;
    if (!decodePeer(bytes, call))
        throw Error(ErrorKind::MalformedRequest, "call from a peer does not parse");
    FleetCallRequest request;
    request.kind = checkedEnum(call.kind, FleetCallRequest::Kind::Waiting, "call from a peer");
    const JobId id(call.job);
    if (request.kind == FleetCallRequest::Kind::Submit)
        request.job = decodeJob(id, call.record);
    request.job.id = id;
    request.job.queue = QueueId(call.queue);
    if (call.__isset.waitMs)
        request.wait = Duration(call.waitMs);
    request.origin = { TeamId(call.team), call.entry, std::nullopt };
    if (call.__isset.ageMs)
        request.origin.age = Duration(call.ageMs);
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
        throw Error(ErrorKind::MalformedRequest, "reply from a peer does not parse");
    return { checkedEnum(wireReply.kind, Reply::Kind::NotStoredHere, "kind of a reply from a peer"),
        checkedEnum(wireReply.state, JobState::Cancelled, "job state of a reply from a peer"), wireReply.waiting,
        Duration(wireReply.retryAfterMs) };
}

std::string encodeSnapshotRequest(Revision known)
{
    wire::FleetStateCall call;
    call.operatorRevision = static_cast<std::int64_t>(known);
    return encodePeer(call);
}

Revision decodeSnapshotRequest(const std::string& bytes)
{
    wire::FleetStateCall call;
    if (!decodePeer(bytes, call))
        throw Error(ErrorKind::MalformedRequest, "fleet state query from a peer does not parse");
    return Revision(static_cast<std::uint64_t>(call.operatorRevision));
}

std::string encodeSnapshot(const FleetSnapshot& snapshot)
{
    wire::FleetState state;
    state.owner = snapshot.owner ? snapshot.owner->text() : "";
    state.ownerRevision = static_cast<std::int64_t>(snapshot.ownerRevision);
    state.ageMs = snapshot.age.count();
    state.operatorRevision = static_cast<std::int64_t>(snapshot.operatorRevision);
    for (const auto& value : snapshot.operatorRecords) {
        wire::FleetRecord record;
        record.key = value.key;
        record.value = value.value;
        record.revision = static_cast<std::int64_t>(value.revision);
        state.operatorRecords.push_back(record);
    }
    return encodePeer(state);
}

FleetSnapshot decodeSnapshot(const std::string& bytes)
{
    wire::FleetState state;
    if (!decodePeer(bytes, state))
        throw Error(ErrorKind::MalformedRequest, "fleet state from a peer does not parse");
    FleetSnapshot snapshot;
    if (!state.owner.empty())
        snapshot.owner = Endpoint::parse(state.owner);
    snapshot.ownerRevision = Revision(static_cast<std::uint64_t>(state.ownerRevision));
    snapshot.age = Duration(state.ageMs);
    snapshot.operatorRevision = Revision(static_cast<std::uint64_t>(state.operatorRevision));
    for (const auto& record : state.operatorRecords)
        snapshot.operatorRecords.push_back(
            { record.key, record.value, Revision(static_cast<std::uint64_t>(record.revision)) });
    return snapshot;
}

} // namespace marigoldlink
