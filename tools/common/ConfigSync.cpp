// Watches, adopts and restores configuration records.
#include "ConfigSync.h"

#include "Jitter.h"
#include "marigoldlink/Protocol/RecordCodec.h"
#include "marigoldlink/State/Errors.h"
#include "marigoldlink/Support/Log.h"

namespace marigoldlink {

namespace {

    constexpr Log s_log("config");
    constexpr Duration s_retryDelay { 300 };
    const std::string s_grantsPrefix = "config/key/";
    const std::string s_dataCenterPrefix = "config/dc/";

} // namespace

ConfigSync::ConfigSync(EventLoop& loop, HttpPlatform& platform, ConfigFreshness& freshness)
    : m_loop(loop)
    , m_platform(platform)
    , m_freshness(freshness)
{
}

void ConfigSync::start() { watch(); }

std::uint64_t ConfigSync::specVersion() const
{
    const auto* record = m_store.find(keys::fleetSpec);
    return record ? record->version : 0;
}

void ConfigSync::watch()
{
    const auto sentAt = m_loop.now();
    const bool isComplete = m_revision == noRevision;
    const auto onResult = [this, sentAt, isComplete](RangeResult result) {
        if (result.status != StoreStatus::Ok) {
            m_loop.after(jittered(s_retryDelay), [this] { watch(); });
            return;
        }
        applyRange(result, isComplete);
        m_freshness.platformAnswered(sentAt);
        watch();
    };
    if (m_revision == noRevision)
        m_platform.range(keys::configPrefix, onResult);
    else
        m_platform.watch(keys::configPrefix, m_revision, onResult);
}

void ConfigSync::applyRange(const RangeResult& result, bool isComplete)
{
    const bool isAuditDue = !isComplete && m_revision == noRevision;
    if (result.revision < m_revision) {
        s_log.warning("The platform returned an older revision; reading all records again.");
        m_revision = noRevision;
        return;
    }
    m_revision = isAuditDue ? noRevision : result.revision;
    bool isChanged = false;
    for (const auto& value : result.values) {
        try {
            const auto record = decodeConfigRecord(value.key, value.value);
            isChanged |= adopt(record);
            const auto* held = m_store.find(value.key);
            if (held && held->version > record.version)
                restore(*held, value.revision);
        } catch (const Error& error) {
            s_log.error("Cannot parse a configuration record.", { { "key", value.key }, { "reason", error.what() } });
        }
    }
    if (isComplete)
        restoreMissing(result);
    if (isChanged && m_onChange)
        m_onChange();
}

void ConfigSync::restoreMissing(const RangeResult& result)
{
    std::set<std::string> present;
    for (const auto& value : result.values)
        present.insert(value.key);
    for (const auto& [key, record] : m_store.records()) {
        if (!present.contains(key))
            restore(record, noRevision);
    }
}

void ConfigSync::restore(const ConfigRecord& record, Revision expected)
{
    s_log.warning("Restoring a newer configuration record on the platform.",
        { { "key", record.key }, { "version", std::to_string(record.version) } });
    // A conflict or a lost response needs no handling: the watch reports what the platform stores.
    m_platform.write(record.key, encode(record), expected, [](WriteResult) {});
}

void ConfigSync::adoptIfNewer(const std::vector<ConfigRecord>& records)
{
    bool isChanged = false;
    for (const auto& record : records)
        isChanged |= adopt(record);
    if (isChanged && m_onChange)
        m_onChange();
}

bool ConfigSync::adopt(const ConfigRecord& record)
{
    if (!m_store.adoptIfNewer(record))
        return false;
    apply(record);
    s_log.info(
        "Adopted a configuration record.", { { "key", record.key }, { "version", std::to_string(record.version) } });
    return true;
}

void ConfigSync::apply(const ConfigRecord& record)
{
    try {
        if (record.key == keys::fleetSpec) {
            applySpec(record);
        } else if (record.key.starts_with(s_grantsPrefix)) {
            m_keys.replace(TeamId(record.key.substr(s_grantsPrefix.size())), decodeApiKeyRecords(record.body));
        } else if (record.key.starts_with(s_dataCenterPrefix)) {
            const DataCenterId id(record.key.substr(s_dataCenterPrefix.size()));
            if (record.body == dataCenterOutBody)
                m_outOfService.insert(id);
            else
                m_outOfService.erase(id);
        }
    } catch (const Error& error) {
        s_log.error("Cannot apply a configuration record.", { { "key", record.key }, { "reason", error.what() } });
    }
}

void ConfigSync::applySpec(const ConfigRecord& record) { m_spec = parseFleetSpec(record.body, "fleet specification"); }

} // namespace marigoldlink
