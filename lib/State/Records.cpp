// Queries on the persisted records.
#include "marigoldlink/State/Records.h"

#include <algorithm>

namespace marigoldlink {

Slots EscrowRecord::total() const
{
    Slots sum = 0;
    for (const auto& [holder, amount] : held)
        sum += amount;
    return sum;
}

const Member* MemberRecord::find(HolderId holder) const
{
    const auto found = std::find_if(
        members.begin(), members.end(), [holder](const Member& member) { return member.holder == holder; });
    return found == members.end() ? nullptr : &*found;
}

} // namespace marigoldlink
