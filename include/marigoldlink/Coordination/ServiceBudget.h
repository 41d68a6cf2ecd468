// Availability budgets of services: what a shortage of slots costs, and which pools must not be disrupted any more.
#pragma once

#include "marigoldlink/Coordination/FleetPlanner.h"

#include <map>
#include <set>

namespace marigoldlink {

// Slot seconds that a service may miss in a window by its availability.
double budgetAllowance(const Service&, Duration window);

// Sums up what each service misses, until it is written to the services' records.
class BudgetMeter {
public:
    // Accounts for the time since the last call. A service is as short as its own pool or as the worst service that it
    // depends on, whichever is worse.
    void account(TimePoint now, const FleetText&, const std::vector<PoolState>&);

    // Missed slot seconds that are not in a record yet.
    const std::map<ServiceId, double>& pending() const { return m_pending; }
    // An amount is in the record now.
    void settle(const ServiceId&, double amount);

private:
    bool m_hasStarted { false };
    TimePoint m_accountedAt;
    std::map<ServiceId, double> m_pending;
};

// Pools in which no planned disruption may begin: those of services whose budget is spent, and those of the services
// that they depend on.
std::set<PoolId> frozenPools(const FleetText&, const std::map<ServiceId, double>& spent, Duration window);

} // namespace marigoldlink
