// Accounting of availability budgets.
#include "marigoldlink/Coordination/ServiceBudget.h"

#include <algorithm>
#include <functional>

namespace marigoldlink {

namespace {

    double seconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

    // Part of its need that each pool misses, in [0, 1].
    std::map<PoolId, double> missingParts(const std::vector<PoolState>& states)
    {
        std::map<PoolId, double> parts;
        for (const auto& state : states) {
            if (state.needed <= 0)
                continue;
            const auto missing = static_cast<double>(state.needed - state.serving) / static_cast<double>(state.needed);
            parts[state.pool] = std::clamp(missing, 0.0, 1.0);
        }
        return parts;
    }

    // Calls the function for the service and for all that it depends on. The text has no cycles.
    void forDependencies(
        const FleetText& text, const ServiceId& id, const std::function<void(const Service&)>& function)
    {
        const auto found = text.services.find(id);
        if (found == text.services.end())
            return;
        function(found->second);
        for (const auto& other : found->second.dependsOn)
            forDependencies(text, other, function);
    }

} // namespace

double budgetAllowance(const Service& service, Duration window)
{
    return (1 - service.availability) * static_cast<double>(service.needSlots) * seconds(window);
}

void BudgetMeter::account(TimePoint now, const FleetText& text, const std::vector<PoolState>& states)
{
    const auto elapsed = m_hasStarted ? seconds(now - m_accountedAt) : 0;
    m_hasStarted = true;
    m_accountedAt = now;
    const auto parts = missingParts(states);
    for (const auto& [id, service] : text.services) {
        double worst = 0;
        forDependencies(text, id, [&](const Service& other) {
            const auto part = parts.find(other.pool);
            worst = std::max(worst, part == parts.end() ? 0 : part->second);
        });
        if (worst > 0)
            m_pending[id] += worst * static_cast<double>(service.needSlots) * elapsed;
    }
}

void BudgetMeter::settle(const ServiceId& id, double amount)
{
    const auto found = m_pending.find(id);
    if (found == m_pending.end())
        return;
    found->second -= amount;
    if (found->second <= 0)
        m_pending.erase(found);
}

std::set<PoolId> frozenPools(const FleetText& text, const std::map<ServiceId, double>& spent, Duration window)
{
    std::set<PoolId> frozen;
    for (const auto& [id, amount] : spent) {
        const auto service = text.services.find(id);
        if (service == text.services.end() || amount < budgetAllowance(service->second, window))
            continue;
        forDependencies(text, id, [&frozen](const Service& other) { frozen.insert(other.pool); });
    }
    return frozen;
}

} // namespace marigoldlink
