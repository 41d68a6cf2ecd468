// Synchronizes the configuration of a process with the platform: watches the records, adopts newer versions, and
// restores records that the platform lost.
#pragma once

#include "marigoldlink/Coordination/ApiKeyStore.h"
#include "marigoldlink/Coordination/ConfigFreshness.h"
#include "marigoldlink/Coordination/ConfigStore.h"
#include "marigoldlink/State/FleetSpec.h"
#include "marigoldlink/Transport/HttpPlatform.h"

#include <optional>
#include <set>

namespace marigoldlink {

class ConfigSync {
public:
    ConfigSync(EventLoop&, HttpPlatform&, ConfigFreshness&);

    void start();

    // Reads all records again to detect and restore records that the platform lost without reporting it to the watch.
    void audit() { m_revision = noRevision; }

    // Registers a callback that runs after newer records were adopted.
    void onChange(std::function<void()> callback) { m_onChange = std::move(callback); }

    // Adopts newer records among those relayed by a peer.
    void adoptIfNewer(const std::vector<ConfigRecord>&);

    const ConfigStore& store() const { return m_store; }
    const ApiKeyStore& keys() const { return m_keys; }
    // The current fleet specification, or null before the first one was received.
    const FleetSpec* spec() const { return m_spec ? &*m_spec : nullptr; }
    std::uint64_t specVersion() const;
    bool isOutOfService(const DataCenterId& id) const { return m_outOfService.contains(id); }

private:
    void watch();
    void applyRange(const RangeResult&, bool isComplete);
    bool adopt(const ConfigRecord&);
    void apply(const ConfigRecord&);
    void applySpec(const ConfigRecord&);
    void restore(const ConfigRecord&, Revision expected);
    void restoreMissing(const RangeResult&);

    EventLoop& m_loop;
    HttpPlatform& m_platform;
    ConfigFreshness& m_freshness;
    ConfigStore m_store;
    ApiKeyStore m_keys;
    std::optional<FleetSpec> m_spec;
    std::set<DataCenterId> m_outOfService;
    // Revision up to which the changes of the platform were applied. noRevision requests a full read.
    Revision m_revision { noRevision };
    std::function<void()> m_onChange;
};

// Bodies of the record that takes a data centre out of service or brings it back into service.
inline constexpr const char* dataCenterOutBody = "out";
inline constexpr const char* dataCenterInBody = "in";

} // namespace marigoldlink
