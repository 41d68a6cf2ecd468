// Capacity and maintenance decisions of one round: which instance records to change, and why.
//
// The planner is pure. Each change goes out as a compare-and-swap on the record of one instance, so two keepers that
// plan from different views do no harm: the slower one loses.
#pragma once

#include "marigoldlink/State/FleetText.h"
#include "marigoldlink/State/Records.h"

#include <set>

namespace marigoldlink {

// One view of the fleet.
struct FleetView {
    const FleetText* text { nullptr };
    std::map<InstanceId, InstanceRecord> records;
    std::map<InstanceId, InstanceInfo> listed; // the platform's lagging list
    std::set<DataCenterId> out; // data centres taken out of service
    std::set<InstanceId> drained; // draining instances that run nothing and get nothing new
    std::set<InstanceId> healthy; // instances that answer
    std::set<PoolId> frozen; // pools whose availability budget is spent
    std::uint64_t round { 0 }; // maintenance round that every instance has to reach
};

enum class ChangeReason {
    Discovered, // a new instance gets its first pool
    Deficit, // taken from the spare pool for a pool that is short
    Surplus, // returned to the spare pool
    Maintenance, // drains for a reboot
    Drained, // ends its drain: joins the next pool or reboots
    Rebooted, // healthy again after a reboot
};

const char* name(ChangeReason);

struct InstanceChange {
    InstanceRecord next;
    ChangeReason reason { ChangeReason::Discovered };
};

struct PlannerLimits {
    // Most instances of one pool that drain or reboot for maintenance at once, and the part of the pool they may be.
    std::size_t waveWidth { 4 };
    double wavePart { 0.1 };
    // The first instances of a maintenance round, in the whole fleet, that go alone. Later waves are as large as what
    // came back healthy before, so that a bad reboot stops the round early.
    std::size_t canaries { 1 };
};

// Slots of a pool and what it should have.
struct PoolState {
    PoolId pool;
    Slots needed { 0 }; // by the services of the text
    Slots buffer { 0 }; // slots in the largest rack of the pool, which may fail at any time
    Slots wave { 0 }; // slots brought in while instances of the pool wait for maintenance
    Slots serving { 0 }; // active and listed instances in data centres in service
    Slots arriving { 0 }; // instances that drain in another pool to join this one
    Slots returning { 0 }; // instances of the pool that drain for a reboot or reboot

    Slots target() const { return needed + buffer + wave; }
    bool isShort() const { return serving < needed; }
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
