// Schedules passes of a periodic plan whose delay hurts nobody for some hundred milliseconds, such as the sizes of
// pools.
#pragma once

#include "marigoldlink/State/Types.h"

#include <algorithm>

namespace marigoldlink {

// A loop that lags has no processor time left. The passes then come less often, so that orders to workers and answers
// to callers take precedence.
class PlanSchedule {
public:
    static constexpr std::int64_t lagFactor = 10; // the interval grows by the lag times this
    static constexpr std::int64_t maxSlowdown = 4; // upper limit of the interval, as a multiple of the regular one

    explicit PlanSchedule(Duration interval)
        : m_interval(interval)
    {
    }

    // Time of the next pass.
    TimePoint next() const { return m_next; }
    // By how much the last pass was late.
    Duration lag() const { return m_lag; }

    // Returns whether a pass is due. The caller has to perform it now.
    bool takeDue(TimePoint now)
    {
        if (now < m_next)
            return false;
        m_lag = m_next == TimePoint() ? Duration(0) : now - m_next;
        m_next = now + std::min(m_interval + m_lag * lagFactor, m_interval * maxSlowdown);
        return true;
    }

private:
    Duration m_interval;
    TimePoint m_next;
    Duration m_lag { 0 };
};

} // namespace marigoldlink
