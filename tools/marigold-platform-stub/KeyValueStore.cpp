// In-memory key-value store of the platform stub.
#include "KeyValueStore.h"

namespace marigoldlink::stub {

const StoredValue* KeyValueStore::find(const std::string& key) const
{
    const auto found = m_values.find(key);
    return found == m_values.end() ? nullptr : &found->second;
}

Revision KeyValueStore::write(const std::string& key, const std::string& value, Revision expected)
{
    const auto* current = find(key);
    if ((current ? current->revision : noRevision) != expected)
        return noRevision;
    m_revision = Revision(static_cast<std::uint64_t>(m_revision) + 1);
    m_values[key] = { key, value, m_revision };
    return m_revision;
}

std::vector<StoredValue> KeyValueStore::changes(const std::string& prefix, Revision after) const
{
    std::vector<StoredValue> found;
    for (auto it = m_values.lower_bound(prefix); it != m_values.end() && it->first.starts_with(prefix); ++it) {
        if (it->second.revision > after)
            found.push_back(it->second);
    }
    return found;
}

} // namespace marigoldlink::stub
