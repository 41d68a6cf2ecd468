// The configuration that one process holds: the newest version of each record, from whatever source it came.
#pragma once

#include "marigoldlink/State/Records.h"

namespace marigoldlink {

using ConfigVersions = std::map<std::string, std::uint64_t>;

class ConfigStore {
public:
    // Takes the record if it is newer than the one held. Returns whether it was taken.
    bool offer(const ConfigRecord&);

    const ConfigRecord* find(const std::string& key) const;
    const std::map<std::string, ConfigRecord>& records() const { return m_records; }
    bool empty() const { return m_records.empty(); }

    // Equal for two stores that hold the same versions.
    std::uint64_t digest() const { return m_digest; }
    ConfigVersions versions() const;

    // Records that are newer here than in the other store, at most so many bytes of bodies but at least one.
    std::vector<ConfigRecord> newerThan(const ConfigVersions& other, std::size_t bodyBytes) const;

private:
    // Invariant: the version of a key never decreases.
    std::map<std::string, ConfigRecord> m_records;
    // Invariant: the exclusive or of a hash of each key and version.
    std::uint64_t m_digest { 0 };
};

} // namespace marigoldlink
