// Configuration of one process: the newest version of each record, independent of its source.
#pragma once

#include "marigoldlink/State/Records.h"

namespace marigoldlink {

using ConfigVersions = std::map<std::string, std::uint64_t>;

class ConfigStore {
public:
    // Stores the record if it is newer than the stored one. Returns whether it was stored.
    bool adoptIfNewer(const ConfigRecord&);

    const ConfigRecord* find(const std::string& key) const;
    const std::map<std::string, ConfigRecord>& records() const { return m_records; }
    bool empty() const { return m_records.empty(); }

    // Two stores with the same versions have equal digests.
    std::uint64_t digest() const { return m_digest; }
    ConfigVersions versions() const;

    // Returns records that are newer here than in the other store: as many as fit into the given size of bodies, but at
    // least one.
    std::vector<ConfigRecord> newerThan(const ConfigVersions& other, std::size_t bodyBytes) const;

private:
    // Invariant: the version of a key never decreases.
    std::map<std::string, ConfigRecord> m_records;
    // Invariant: the exclusive or of the hashes of all pairs of key and version.
    std::uint64_t m_digest { 0 };
};

} // namespace marigoldlink
