// Capacity and maintenance decisions of one planning cycle: which instance records to change, and why.
//
// The planner has no side effects. Each change is written by a compare-and-swap on the record of one instance, so two
// keepers that plan from different views cannot overwrite each other's changes: the later write fails.
#pragma once

#include "marigoldlink/State/FleetSpec.h"
#include "marigoldlink/State/Records.h"

#include <set>

namespace marigoldlink {

// State of the fleet, as known to a keeper.
struct FleetView {
    const FleetSpec* spec { nullptr };
    std::map<InstanceId, InstanceRecord> records;
    std::map<InstanceId, ListedInstance> listed; // the platform's list, which lags behind
    std::set<DataCenterId> outOfService;
    std::set<InstanceId> drained; // draining instances that run nothing and get no new tasks
    std::set<InstanceId> healthy; // instances that respond
    std::set<PoolId> frozenPools; // pools that must not be disrupted, as an availability budget is spent
    std::uint64_t round { 0 }; // current maintenance round, which every instance has to complete
};

enum class ChangeReason {
    Discovered, // a new instance is assigned its first pool
    Deficit, // starts to drain, to move from the spare pool to a pool with a deficit
    Surplus, // starts to drain, to return to the spare pool
    Maintenance, // starts to drain for a reboot
    Drained, // has drained: joins the next pool or reboots
    Rebooted, // healthy again after a reboot
};

const char* name(ChangeReason);

struct InstanceChange {
    InstanceRecord next;
    ChangeReason reason { ChangeReason::Discovered };
};

struct PlannerLimits {
    // Maximum number of instances of one pool that drain or reboot for maintenance at once, and maximum fraction of the
    // pool that they may be.
    std::size_t waveWidth { 4 };
    double waveFraction { 0.1 };
    // Number of instances in the whole fleet that a maintenance round starts with. After that, at most as many
    // instances are in maintenance as have come back healthy, so that failing reboots stop the round early.
    std::size_t canaries { 1 };
};

// Actual and required slots of a pool.
struct PoolState {
    PoolId pool;
    Slots needed { 0 }; // by the services of the fleet specification
    Slots buffer { 0 }; // slots in the largest rack of the pool, to tolerate the failure of one rack
    Slots wave { 0 }; // additional slots while instances of the pool wait for maintenance
    Slots serving { 0 }; // of active, listed instances in data centres that are in service
    Slots arriving { 0 }; // of instances that drain in another pool to join this one
    Slots returning { 0 }; // of instances of the pool that drain for a reboot or are rebooting

    Slots target() const { return needed + buffer + wave; }
    bool isBelowNeed() const { return serving < needed; }
};

class FleetPlanner {
public:
    explicit FleetPlanner(PlannerLimits limits)
        : m_limits(limits)
    {
    }

    std::vector<InstanceChange> plan(const FleetView&) const;
    static std::vector<PoolState> poolStates(const FleetView&);

private:
    PlannerLimits m_limits;
};

} // namespace marigoldlink
