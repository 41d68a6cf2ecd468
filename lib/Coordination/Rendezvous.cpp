// Rendezvous hashing with xxHash.
#include "marigoldlink/Coordination/Rendezvous.h"

#include <xxhash.h>

namespace marigoldlink {

std::optional<HolderId> rendezvousOwner(std::string_view key, const std::vector<HolderId>& holders)
{
    std::optional<HolderId> best;
    std::uint64_t bestScore = 0;
    for (const auto holder : holders) {
        const auto score = XXH3_64bits_withSeed(key.data(), key.size(), number(holder));
        if (best && (score < bestScore || (score == bestScore && holder < *best)))
            continue;
        best = holder;
        bestScore = score;
    }
    return best;
}

} // namespace marigoldlink
