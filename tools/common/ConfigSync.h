// Keeps a process's configuration in step with the platform: watches it, adopts newer records, restores lost ones.
#pragma once

#include "marigoldlink/Coordination/ConfigStore.h"
#include "marigoldlink/Coordination/Freshness.h"
#include "marigoldlink/Coordination/KeyRing.h"
#include "marigoldlink/State/FleetText.h"
#include "marigoldlink/Transport/HttpPlatform.h"

#include <optional>
#include <set>

namespace marigoldlink {

class ConfigSync {
public:
    ConfigSync(EventLoop&, HttpPlatform&, Freshness&);

    void start();

    // Reads everything again, to find and restore records that the platform lost unnoticed.
    void audit() { m_revision = noRevision; }

    // Called after newer records were adopted.
    void onChange(std::function<void()> callback) { m_onChange = std::move(callback); }

    // Takes records that a peer relayed.
    void offer(const std::vector<ConfigRecord>&);

    const ConfigStore& store() const { return m_store; }
    const KeyRing& keys() const { return m_keys; }
    // The operators' text in force, or null before the first one.
    const FleetText* text() const { return m_text ? &*m_text : nullptr; }
    std::uint64_t textVersion() const;
    bool isOut(const DataCenterId& id) const { return m_out.contains(id); }

private:
    void watch();
    void take(const RangeResult&, bool isWhole);
    bool adopt(const ConfigRecord&);
    void apply(const ConfigRecord&);
    void applyText(const ConfigRecord&);
    void restore(const ConfigRecord&, Revision expected);
    void restoreMissing(const RangeResult&);

    EventLoop& m_loop;
    HttpPlatform& m_platform;
    Freshness& m_freshness;
    ConfigStore m_store;
    KeyRing m_keys;
    std::optional<FleetText> m_text;
    std::set<DataCenterId> m_out;
    // Revision up to which the platform's changes were taken; noRevision asks for everything.
    Revision m_revision { noRevision };
    std::function<void()> m_onChange;
};

// Body of the record that takes a data centre out of service or brings it back.
inline constexpr const char* dataCenterOutBody = "out";
inline constexpr const char* dataCenterInBody = "in";

} // namespace marigoldlink
