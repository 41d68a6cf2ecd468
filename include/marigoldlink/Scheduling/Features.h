// Switches of the scheduling decisions that a deployment may ask for.
#pragma once

namespace marigoldlink {

// With all switches off, jobs are accepted and placed in order of priority and objective, and pools are sized by
// coverage.
struct SchedulingFeatures {
    bool admission { false }; // refuse submissions that cannot meet their objective
    bool shares { false }; // divide the capacity of overloaded pools between teams by weight
    bool contention { false }; // move instances between busy pools
    bool reservations { false }; // reserve capacity for tasks that fit on no worker now
};

} // namespace marigoldlink
