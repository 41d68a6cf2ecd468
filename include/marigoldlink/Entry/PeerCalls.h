// Messages between entry instances: callers' calls forwarded to the coordinator, and snapshots of the fleet's state.
#pragma once

#include "marigoldlink/Entry/Orders.h"
#include "marigoldlink/Protocol/Adapters.h"

#include <string>

namespace marigoldlink {

struct FleetCallRequest {
    enum class Kind { Submit, Cancel, JobStatus, Waiting };

    Kind kind { Kind::JobStatus };
    JobSpec job; // only id and queue are used unless kind is Submit
    std::optional<Duration> wait {}; // time in which the sender needs the reply; nullopt: not known
    CallOrigin origin {};
};

// Whether the reply tells the outcome of a call of which an earlier attempt may have taken effect, or may still do so.
// A refusal of a submission does not, since the earlier attempt may be accepted. A submission that was not stored by a
// coordinator without a valid election lease has no known outcome at all.
bool isConclusive(FleetCallRequest::Kind, const Reply&, bool mayHaveTakenEffect);

std::string encodeCall(const FleetCallRequest&);
// Throws Error(MalformedRequest).
FleetCallRequest decodeCall(const std::string& bytes);

// An instance's view of the fleet, for peers that cannot reach the key-value service.
struct FleetSnapshot {
    std::optional<Endpoint> owner;
    Revision ownerRevision { noRevision };
    Duration age { 0 }; // time since the key-value service confirmed the view
    Revision operatorRevision { noRevision };
    std::vector<StoredValue> operatorRecords; // empty if the requester already has this revision
};

std::string encodeSnapshotRequest(Revision known);
Revision decodeSnapshotRequest(const std::string& bytes);
std::string encodeSnapshot(const FleetSnapshot&);
// Throws Error(MalformedRequest), as decodeSnapshotRequest does.
FleetSnapshot decodeSnapshot(const std::string& bytes);

std::string encodeReply(const Reply&);
// Throws Error(MalformedRequest).
Reply decodeReply(const std::string& bytes);

} // namespace marigoldlink
