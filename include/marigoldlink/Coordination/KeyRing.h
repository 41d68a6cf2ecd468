// The keys in force, and the check of a key that came with a request.
#pragma once

#include "marigoldlink/State/Records.h"

#include <optional>
#include <string_view>

namespace marigoldlink {

class KeyRing {
public:
    // Replaces all keys of the team.
    void replace(const TeamId&, const std::vector<KeyGrant>&);

    // The team of a key written "ID.SECRET", or nothing when the key is not in force. Compares in constant time.
    std::optional<TeamId> authenticate(std::string_view presented) const;

    std::size_t size() const { return m_keys.size(); }

private:
    struct Entry {
        TeamId team;
        KeyGrant grant;
    };
    std::map<KeyId, Entry> m_keys;
};

// A new key: the grant to keep, and the text "ID.SECRET" to show once. Throws Error(Internal) without randomness.
struct NewKey {
    KeyGrant grant;
    std::string presented;
};
NewKey createKey();

} // namespace marigoldlink
