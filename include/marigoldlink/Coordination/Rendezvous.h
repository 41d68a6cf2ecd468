// Rendezvous hashing: all processes that know the same holders choose the same holder for a key.
#pragma once

#include "marigoldlink/State/Types.h"

#include <optional>
#include <string_view>
#include <vector>

namespace marigoldlink {

// Returns the holder with the highest score for the key, or nothing if there are no holders.
std::optional<HolderId> rendezvousOwner(std::string_view key, const std::vector<HolderId>& holders);

} // namespace marigoldlink
