// Accounting of availability budgets.
#include "marigoldlink/Coordination/AvailabilityBudget.h"

#include <algorithm>
#include <functional>

namespace marigoldlink {

namespace {

    double seconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

    // Fraction of the needed slots that each pool lacks, in [0, 1].
    std::map<PoolId, double> missingFractions(const std::vector<PoolState>& states)
    {
        std::map<PoolId, double> fractions;
        for (const auto& state : states) {
            if (state.needed <= 0)
                continue;
            const auto missing = static_cast<double>(state.needed - state.serving) / static_cast<double>(state.needed);
            fractions[state.pool] = std::clamp(missing, 0.0, 1.0);
        }
        return fractions;
    }

    // Calls the function for the service and, recursively, for all services that it depends on. The dependencies of a
    // fleet specification have no cycles.
    void forEachDependency(
        const FleetSpec& spec, const ServiceId& id, const std::function<void(const Service&)>& function)
    {
        const auto found = spec.services.find(id);
        if (found == spec.services.end())
            return;
        function(found->second);
        for (const auto& other : found->second.dependsOn)
            forEachDependency(spec, other, function);
    }

} // namespace

double budgetAllowance(const Service& service, Duration window)
{
    return (1 - service.availability) * static_cast<double>(service.peakSlots) * seconds(window);
}

void BudgetMeter::account(TimePoint now, const FleetSpec& spec, const std::vector<PoolState>& states)
{
    const auto elapsed = m_hasStarted ? seconds(now - m_accountedAt) : 0;
    m_hasStarted = true;
    m_accountedAt = now;
    const auto fractions = missingFractions(states);
    for (const auto& [id, service] : spec.services) {
        double worst = 0;
        forEachDependency(spec, id, [&](const Service& other) {
            const auto fraction = fractions.find(other.pool);
            worst = std::max(worst, fraction == fractions.end() ? 0 : fraction->second);
        });
        if (worst > 0)
            m_pending[id] += worst * static_cast<double>(service.peakSlots) * elapsed;
    }
}

void BudgetMeter::subtractWritten(const ServiceId& id, double amount)
{
    const auto found = m_pending.find(id);
    if (found == m_pending.end())
        return;
    found->second -= amount;
    if (found->second <= 0)
        m_pending.erase(found);
}

std::set<PoolId> frozenPools(const FleetSpec& spec, const std::map<ServiceId, double>& spent, Duration window)
{
    std::set<PoolId> frozen;
    for (const auto& [id, amount] : spent) {
        const auto service = spec.services.find(id);
        if (service == spec.services.end() || amount < budgetAllowance(service->second, window))
            continue;
        forEachDependency(spec, id, [&frozen](const Service& other) { frozen.insert(other.pool); });
    }
    return frozen;
}

} // namespace marigoldlink
