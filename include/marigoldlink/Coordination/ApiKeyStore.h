// Valid API keys, and authentication of the key of a request.
#pragma once

#include "marigoldlink/State/Records.h"

#include <optional>
#include <string_view>

namespace marigoldlink {

class ApiKeyStore {
public:
    // Replaces all keys of the team.
    void replace(const TeamId&, const std::vector<ApiKeyRecord>&);

    // Returns the team of a key in the form "ID.SECRET", or nothing if the key is not valid. Compares in constant time.
    std::optional<TeamId> authenticate(std::string_view presented) const;

    std::size_t size() const { return m_keys.size(); }

private:
    struct Entry {
        TeamId team;
        ApiKeyRecord keyRecord;
    };
    std::map<KeyId, Entry> m_keys;
};

// A new key: the record to store, and the text "ID.SECRET" to show once. createKey() throws Error(Internal) if the
// random number generator fails.
struct NewKey {
    ApiKeyRecord record;
    std::string presented;
};
NewKey createKey();

} // namespace marigoldlink
