// Calls of callers on their way from a gateway to the coordinator, and their wire form between entry instances.
#pragma once

#include "marigoldlink/Entry/Orders.h"
#include "marigoldlink/Protocol/Adapters.h"

#include <string>

namespace marigoldlink {

struct FleetCallRequest {
    enum class Kind { Submit, Cancel, Look, Waiting };

    Kind kind { Kind::Look };
    JobSpec job; // for the kinds other than Submit only its id and queue
};

std::string encodeCall(const FleetCallRequest&);
// Throws Error(MalformedRequest).
FleetCallRequest decodeCall(const std::string& bytes);

// What an instance knows of the fleet, for one that does not reach the key-value service.
struct FleetKnowledge {
    std::optional<Endpoint> owner;
    Revision ownerRevision { noRevision };
    Duration age { 0 }; // since the key-value service confirmed it
    Revision operatorRevision { noRevision };
    std::vector<StoredValue> operatorRecords; // empty when the asker has the newest
};

std::string encodeKnowledgeCall(Revision known);
Revision decodeKnowledgeCall(const std::string& bytes);
std::string encodeKnowledge(const FleetKnowledge&);
// Throws Error(MalformedRequest), as decodeKnowledgeCall does.
FleetKnowledge decodeKnowledge(const std::string& bytes);

std::string encodeReply(const Reply&);
// Throws Error(MalformedRequest).
Reply decodeReply(const std::string& bytes);

} // namespace marigoldlink
