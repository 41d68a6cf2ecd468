// Customers' settings, which are kept after a customer is removed from the fleet specification.
#pragma once

#include "marigoldlink/State/FleetSpec.h"
#include "marigoldlink/State/Records.h"

#include <optional>

namespace marigoldlink {

// Returns the new record of a customer that is listed in the fleet specification. If the customer was also listed in
// the previous specification, the listed settings replace the stored ones. A customer that returns keeps all stored
// settings, and the specification only adds missing ones.
CustomerRecord reconcileCustomer(const std::optional<CustomerRecord>& stored, const Customer& listed, bool wasListed);

} // namespace marigoldlink
