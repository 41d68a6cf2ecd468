// Calls of callers on their way from a gateway to the coordinator, and their wire form between entry instances.
#pragma once

#include "marigoldlink/Entry/Orders.h"

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

std::string encodeReply(const Reply&);
// Throws Error(MalformedRequest).
Reply decodeReply(const std::string& bytes);

} // namespace marigoldlink
