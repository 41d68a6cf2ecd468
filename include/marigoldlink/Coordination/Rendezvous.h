// Rendezvous hashing: every process that knows the same holders chooses the same one for a key.
#pragma once

#include "marigoldlink/State/Types.h"

#include <optional>
#include <string_view>
#include <vector>

namespace marigoldlink {

// The holder with the highest score for the key, or nothing when there are no holders.
std::optional<HolderId> rendezvousOwner(std::string_view key, const std::vector<HolderId>& holders);

} // namespace marigoldlink
