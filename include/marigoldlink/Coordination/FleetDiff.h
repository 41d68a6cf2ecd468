// Describes to operators how a new fleet specification differs from the current one.
#pragma once

#include "marigoldlink/State/FleetSpec.h"
#include "marigoldlink/State/Records.h"

namespace marigoldlink {

struct FleetChange {
    char sign { '~' }; // '+' added, '-' removed, '~' changed
    std::string sentence;
};

std::vector<FleetChange> describeChanges(const FleetSpec& before, const FleetSpec& after);

// Slots that each pool needs by the fleet specification, and has by the records of its instances.
struct PoolCapacity {
    PoolId pool;
    Slots needed { 0 };
    Slots present { 0 };
};

std::vector<PoolCapacity> poolCapacities(const FleetSpec&, const std::vector<InstanceRecord>&);

} // namespace marigoldlink
