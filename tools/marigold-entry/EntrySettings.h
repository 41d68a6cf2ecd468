// Settings of one entry instance.
#pragma once

#include "marigoldlink/Coordination/FairQueue.h"
#include "marigoldlink/Coordination/Freshness.h"
#include "marigoldlink/State/Types.h"

#include <optional>
#include <string>

namespace marigoldlink {

struct EntrySettings {
    Endpoint listen;
    std::optional<Endpoint> advertise; // where peers reach this instance, if not where it listens
    DataCenterId dataCenter;
    Endpoint platform;
    std::string logLevel;
    CutOffPolicy whenCutOff { CutOffPolicy::Refuse };
    QueueLimits queueLimits;
    std::size_t bodyBytes { 0 };
    Duration defaultDeadline { 0 };
    Duration longestDeadline { 0 };
    Duration workerLease { 0 };
    Duration heartbeat { 0 };
    Duration claimWindow { 0 };
    Duration memberSilence { 0 }; // a member that is silent for so long is removed
    Duration configAudit { 0 }; // one member compares the whole configuration with the platform so often
    Duration drainNotice { 0 }; // between turning unready and refusing requests

    // Throws std::runtime_error with every fault of the file.
    static EntrySettings load(const std::string& fileName);
};

} // namespace marigoldlink
