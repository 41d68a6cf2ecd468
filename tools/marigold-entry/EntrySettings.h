// Settings of one entry instance.
#pragma once

#include "marigoldlink/Coordination/ConfigFreshness.h"
#include "marigoldlink/Coordination/FairQueue.h"
#include "marigoldlink/State/Types.h"
#include "marigoldlink/Transport/ConnectionGuard.h"

#include <optional>
#include <string>

namespace marigoldlink {

struct EntrySettings {
    Endpoint listen;
    std::optional<Endpoint> advertise; // endpoint for peers, if it differs from listen
    DataCenterId dataCenter;
    Endpoint platform;
    std::string logLevel;
    PartitionPolicy partitionPolicy { PartitionPolicy::Refuse };
    QueueLimits queueLimits;
    ConnectionLimits limits;
    std::size_t bodyBytes { 0 };
    Duration defaultDeadline { 0 };
    Duration maxDeadline { 0 };
    Duration workerLease { 0 };
    Duration heartbeat { 0 };
    Duration claimWindow { 0 };
    Duration memberSilence { 0 }; // a member without a heartbeat exchange for at least this time is removed
    Duration configAudit { 0 }; // period in which one member compares the complete configuration with the platform
    Duration drainNotice { 0 }; // delay between reporting not ready and refusing requests

    // Throws std::runtime_error that lists all errors of the file.
    static EntrySettings load(const std::string& fileName);
};

} // namespace marigoldlink
