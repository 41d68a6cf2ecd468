// When a worker's lease has surely ended, told from the worker's own clock readings.
//
// Lease deadlines are times on the worker's steady clock, which may run slow. The answers of the worker carry its
// clock; a reading is at least as old as the moment of its arrival here, so the clock shows at least that much ever
// after.
#pragma once

#include "marigoldlink/State/Types.h"

#include <algorithm>
#include <optional>

namespace marigoldlink {

class LeaseClock {
public:
    // Workers' clocks may run this much slow (platform's page on running tasks: 2%).
    static constexpr double slowestRate = 0.98;

    // Takes a clock reading that arrived now.
    void reading(TimePoint now, std::int64_t workerClockMs)
    {
        m_readingMs = workerClockMs;
        m_readAt = now;
        m_hasReading = true;
    }

    bool hasReading() const { return m_hasReading; }

    // A deadline for an order that is sent now, so that what runs is held for the duration. Counts as given.
    std::int64_t extend(TimePoint now, Duration held)
    {
        const auto deadline = m_readingMs + (now - m_readAt).count() + held.count();
        m_latestDeadlineMs = std::max(m_latestDeadlineMs, deadline);
        return deadline;
    }

    // From this time on, nothing runs under any deadline that was given.
    TimePoint lapsesBy() const
    {
        const auto left = static_cast<double>(m_latestDeadlineMs - m_readingMs) / slowestRate;
        return m_readAt + Duration(static_cast<std::int64_t>(std::max(0.0, left)) + 1);
    }

    // Another life of the worker: its clock starts anew and no deadline holds.
    void reset() { *this = {}; }

private:
    std::int64_t m_readingMs { 0 };
    TimePoint m_readAt;
    // Invariant: never decreases in one life of the worker.
    std::int64_t m_latestDeadlineMs { 0 };
    bool m_hasReading { false };
};

} // namespace marigoldlink
