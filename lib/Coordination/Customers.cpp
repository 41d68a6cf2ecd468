// Merges stored and listed settings of a customer.
#include "marigoldlink/Coordination/Customers.h"

namespace marigoldlink {

CustomerRecord reconcileCustomer(const std::optional<CustomerRecord>& stored, const Customer& listed, bool wasListed)
{
    CustomerRecord next = stored.value_or(CustomerRecord { listed.id, listed.team, false, {} });
    next.team = listed.team;
    const bool isReturning = stored && (!wasListed || stored->isCancelled);
    for (const auto& [key, value] : listed.settings) {
        if (isReturning)
            next.settings.try_emplace(key, value);
        else
            next.settings.insert_or_assign(key, value);
    }
    return next;
}

} // namespace marigoldlink
