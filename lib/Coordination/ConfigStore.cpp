// Keeps the newest version of each configuration record.
#include "marigoldlink/Coordination/ConfigStore.h"

#include <xxhash.h>

namespace marigoldlink {

namespace {

    std::uint64_t hashOf(const std::string& key, std::uint64_t version)
    {
        return XXH3_64bits_withSeed(key.data(), key.size(), version);
    }

} // namespace

bool ConfigStore::adoptIfNewer(const ConfigRecord& record)
{
    auto [it, isNew] = m_records.try_emplace(record.key);
    auto& held = it->second;
    if (!isNew && record.version <= held.version)
        return false;
    if (!isNew)
        m_digest ^= hashOf(held.key, held.version);
    held = record;
    m_digest ^= hashOf(held.key, held.version);
    return true;
}

const ConfigRecord* ConfigStore::find(const std::string& key) const
{
    const auto found = m_records.find(key);
    return found == m_records.end() ? nullptr : &found->second;
}

ConfigVersions ConfigStore::versions() const
{
    ConfigVersions versions;
    for (const auto& [key, record] : m_records)
        versions.emplace(key, record.version);
    return versions;
}

std::vector<ConfigRecord> ConfigStore::newerThan(const ConfigVersions& other, std::size_t bodyBytes) const
{
    std::vector<ConfigRecord> newer;
    std::size_t bytes = 0;
    for (const auto& [key, record] : m_records) {
        const auto found = other.find(key);
        if (found != other.end() && found->second >= record.version)
            continue;
        if (!newer.empty() && bytes + record.body.size() > bodyBytes)
            break;
        bytes += record.body.size();
        newer.push_back(record);
    }
    return newer;
}

} // namespace marigoldlink
