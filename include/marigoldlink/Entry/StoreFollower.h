// Mirrors all keys under a prefix of the key-value service: one full read, followed by successive watches.
#pragma once

#include "marigoldlink/Entry/FleetPlatform.h"
#include "marigoldlink/State/Errors.h"
#include "marigoldlink/Support/Log.h"
#include "marigoldlink/Transport/EventLoop.h"

#include <functional>
#include <map>
#include <set>
#include <string>

namespace marigoldlink {

struct FollowerLimits {
    // Long-poll time of a watch without events. Short, so that a dead connection is noticed.
    Duration watchWait { 1500 };
    // Back-off between attempts while the service does not answer.
    Duration retryDelay { 200 };
    // Wait after an answer with events, so that events in the meantime arrive in one answer instead of one each.
    Duration batchDelay { 0 };
};

template <FleetPlatform Platform> class StoreFollower {
public:
    // Called with the keys that were added, changed or removed.
    using OnChange = std::function<void(const std::set<std::string>& changed)>;

    StoreFollower(EventLoop& loop, Platform& platform, std::string prefix, FollowerLimits limits, OnChange onChange)
        : m_loop(loop)
        , m_platform(platform)
        , m_prefix(std::move(prefix))
        , m_limits(limits)
        , m_onChange(std::move(onChange))
    {
    }

    void start() { next(); }
    // Ends the watches. The follower must outlive the call in flight.
    void stop() { m_isStopped = true; }

    // True once a full set of values was received.
    bool isLoaded() const { return m_isLoaded; }
    // The values include every change that the service accepted before this time.
    TimePoint confirmedAt() const { return m_confirmedAt; }
    const std::map<std::string, StoredValue>& values() const { return m_values; }
    Revision revision() const { return m_revision; }
    // False while the last call to the service failed.
    bool isReachable() const { return m_isReachable; }

    // Applies a full snapshot that another process read, unless the local values are at least as new. It includes every
    // change accepted before confirmedAt. An empty snapshot only confirms the local values; it is ignored if its
    // revision is later than theirs.
    void applySnapshot(std::vector<StoredValue> values, Revision revision, TimePoint confirmedAt)
    {
        if (m_isStopped || (revision > m_revision && values.empty()))
            return;
        std::set<std::string> changed;
        if (revision > m_revision) {
            changed = replace(std::move(values));
            m_revision = revision;
        }
        m_confirmedAt = std::max(m_confirmedAt, confirmedAt);
        const bool isFirst = !std::exchange(m_isLoaded, true);
        if (!changed.empty() || isFirst)
            m_onChange(changed);
    }

private:
    void next()
    {
        if (m_isStopped)
            return;
        const auto sentAt = m_loop.now();
        if (m_revision == noRevision)
            m_platform.range(
                m_prefix, [this, sentAt](RangeResult result) { handleRange(std::move(result), true, sentAt); });
        else
            m_platform.watch(m_prefix, m_revision, m_limits.watchWait,
                [this, sentAt](RangeResult result) { handleRange(std::move(result), false, sentAt); });
    }

    void handleRange(RangeResult result, bool isComplete, TimePoint sentAt)
    {
        if (m_isStopped)
            return;
        if (result.status == StoreStatus::Missing) {
            // The service has compacted the history that the watch needs.
            s_log.warning("Watch history is no longer available. Reading all keys again.", { { "prefix", m_prefix } });
            m_revision = noRevision;
            next();
            return;
        }
        if (result.status != StoreStatus::Ok) {
            report(false);
            m_loop.after(m_limits.retryDelay, [this] { next(); });
            return;
        }
        report(true);
        m_confirmedAt = std::max(m_confirmedAt, sentAt);
        // applySnapshot() may have supplied a later state in the meantime.
        std::set<std::string> changed;
        if (result.revision >= m_revision) {
            changed = isComplete ? replace(std::move(result.values)) : apply(std::move(result.values));
            m_revision = result.revision;
        }
        const bool isFirst = !std::exchange(m_isLoaded, true);
        const bool hasEvents = !isComplete && !changed.empty();
        if (!changed.empty() || isFirst)
            m_onChange(changed);
        if (hasEvents && m_limits.batchDelay > Duration(0))
            m_loop.after(m_limits.batchDelay, [this] { next(); });
        else
            next();
    }

    std::set<std::string> replace(std::vector<StoredValue> values)
    {
        std::set<std::string> changed;
        std::map<std::string, StoredValue> whole;
        for (auto& value : values) {
            const auto key = value.key;
            const auto known = m_values.find(key);
            if (known == m_values.end() || known->second.revision != value.revision)
                changed.insert(key);
            whole.emplace(key, std::move(value));
        }
        for (const auto& [key, value] : m_values) {
            if (!whole.contains(key))
                changed.insert(key);
        }
        m_values = std::move(whole);
        return changed;
    }

    std::set<std::string> apply(std::vector<StoredValue> values)
    {
        std::set<std::string> changed;
        for (auto& value : values) {
            changed.insert(value.key);
            if (value.value.empty())
                m_values.erase(value.key);
            else
                m_values.insert_or_assign(value.key, std::move(value));
        }
        return changed;
    }

    void report(bool isReachable)
    {
        if (isReachable == m_isReachable)
            return;
        m_isReachable = isReachable;
        if (isReachable)
            s_log.info("The key-value service answers again.", { { "prefix", m_prefix } });
        else
            s_log.warning("The key-value service does not answer.", { { "prefix", m_prefix } });
    }

    static constexpr Log s_log { "follower" };

    EventLoop& m_loop;
    Platform& m_platform;
    std::string m_prefix;
    FollowerLimits m_limits;
    OnChange m_onChange;
    std::map<std::string, StoredValue> m_values;
    Revision m_revision { noRevision };
    TimePoint m_confirmedAt;
    bool m_isLoaded { false };
    bool m_isReachable { true };
    bool m_isStopped { false };
};

} // namespace marigoldlink
