// In-memory key-value store of the platform stub: compare-and-swap, and changes by key prefix.
#pragma once

#include "marigoldlink/Protocol/Adapters.h"

#include <functional>
#include <map>

namespace marigoldlink::stub {

class KeyValueStore {
public:
    using Waiter = std::function<void()>;

    const StoredValue* find(const std::string& key) const;

    // Writes the value when the key has the expected revision. Returns the new revision, or noRevision on conflict.
    Revision write(const std::string& key, const std::string& value, Revision expected);

    // Values under the prefix that changed after the revision.
    std::vector<StoredValue> changes(const std::string& prefix, Revision after) const;

    Revision revision() const { return m_revision; }

private:
    std::map<std::string, StoredValue> m_values;
    Revision m_revision { 0 };
};

} // namespace marigoldlink::stub
