// Computes when a worker's lease has certainly expired, from readings of the worker's own clock.
//
// Lease deadlines are times on the worker's steady clock, which may run slow. The answers of the worker carry a reading
// of that clock. A reading was taken before it arrived here, so from its arrival on the worker's clock shows at least
// that value.
#pragma once

#include "marigoldlink/State/Types.h"

#include <algorithm>
#include <optional>

namespace marigoldlink {

class LeaseClock {
public:
    // Minimum rate of a worker's clock; it may be up to 2% slow (see the platform's documentation of running tasks).
    static constexpr double minClockRate = 0.98;

    // Records a clock reading that arrived now.
    void recordReading(TimePoint now, std::int64_t workerClockMs)
    {
        m_readingMs = workerClockMs;
        m_readAt = now;
        m_hasReading = true;
    }

    bool hasReading() const { return m_hasReading; }

    // Returns the deadline to send with an order now, so that the lease is held for the duration. The deadline counts
    // as granted even if the order gets lost.
    std::int64_t extend(TimePoint now, Duration held)
    {
        const auto deadline = m_readingMs + (now - m_readAt).count() + held.count();
        m_latestDeadlineMs = std::max(m_latestDeadlineMs, deadline);
        return deadline;
    }

    // Orders to an earlier incarnation of the worker may arrive until the given time. Their deadlines refer to another
    // clock, so each of them may extend the lease to its maximum.
    void expectOrdersToEarlierIncarnation(TimePoint until, Duration maxLease)
    {
        m_minExpiry = std::max(m_minExpiry, until + longestLocalTime(static_cast<double>(maxLease.count())));
    }

    // Local time from which on every granted deadline has passed on the worker's clock.
    TimePoint expiresBy() const
    {
        const auto left = static_cast<double>(m_latestDeadlineMs - m_readingMs);
        return std::max(m_minExpiry, m_readAt + longestLocalTime(left));
    }

    // Resets the state for a new incarnation of the worker: its clock restarts, and no earlier deadline applies.
    void reset() { *this = {}; }

private:
    // Local time in which the worker's clock certainly advances by the given time.
    static Duration longestLocalTime(double workerMs)
    {
        return Duration(static_cast<std::int64_t>(std::max(0.0, workerMs) / minClockRate) + 1);
    }

    std::int64_t m_readingMs { 0 };
    TimePoint m_readAt;
    // Invariant: never decreases within one incarnation of the worker.
    std::int64_t m_latestDeadlineMs { 0 };
    bool m_hasReading { false };
    TimePoint m_minExpiry; // by orders to earlier incarnations
};

} // namespace marigoldlink
