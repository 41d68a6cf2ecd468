// Customers' settings, which outlive the operators' text.
#pragma once

#include "marigoldlink/State/FleetText.h"
#include "marigoldlink/State/Records.h"

#include <optional>

namespace marigoldlink {

// The record of a customer that the text lists. A customer that was in the former text follows the text; one that
// returns keeps every setting it left, and the text only adds settings that it did not have.
CustomerRecord reconcileCustomer(const std::optional<CustomerRecord>& stored, const Customer& listed, bool wasListed);

} // namespace marigoldlink
