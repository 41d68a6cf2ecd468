// Availability budgets of services: how a shortage of slots spends them, and which pools must not be disrupted.
#pragma once

#include "marigoldlink/Coordination/FleetPlanner.h"

#include <map>
#include <set>

namespace marigoldlink {

// Slot seconds that a service may lack in a window, by its availability target.
double budgetAllowance(const Service&, Duration window);

// Accumulates the missing slot seconds of each service until they are written to the service's record.
class BudgetMeter {
public:
    // Accounts for the time since the last call. The shortage of a service is the largest relative shortage among its
    // own pool and the pools of all services that it depends on.
    void account(TimePoint now, const FleetSpec&, const std::vector<PoolState>&);

    // Missing slot seconds that are not yet in a record.
    const std::map<ServiceId, double>& pending() const { return m_pending; }
    // Subtracts an amount that has been written to the record.
    void subtractWritten(const ServiceId&, double amount);

private:
    bool m_hasStarted { false };
    TimePoint m_accountedAt;
    std::map<ServiceId, double> m_pending;
};

// Returns the pools in which no planned disruption may begin: those of services whose budget is spent, and of all
// services that these depend on.
std::set<PoolId> frozenPools(const FleetSpec&, const std::map<ServiceId, double>& spent, Duration window);

} // namespace marigoldlink
