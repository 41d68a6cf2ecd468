// A lease must never count as expired before the worker's own clock has reached the deadline.
#include "marigoldlink/Coordination/LeaseClock.h"
#include "Choices.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace marigoldlink::testing {

RC_GTEST_PROP(LeaseClock, ExpiryIsCertainOnSlowClocks, ())
{
    auto choices = Choices::generate(10);
    const double rate = 0.98 + static_cast<double>(choices.below(21)) / 1000;
    const auto workerClock = [rate](TimePoint at) {
        return static_cast<std::int64_t>(static_cast<double>(at.time_since_epoch().count()) * rate);
    };
    LeaseClock clock;
    TimePoint now { Duration(1000) };
    std::int64_t latest = 0;
    while (!choices.isOver()) {
        now += Duration(static_cast<std::int64_t>(choices.below(500)));
        // The reading is as old as the answer's network delay.
        const auto delay = Duration(static_cast<std::int64_t>(choices.below(200)));
        if (choices.below(2))
            clock.recordReading(now, workerClock(now - delay));
        else if (clock.hasReading())
            latest = std::max(latest, clock.extend(now, Duration(static_cast<std::int64_t>(choices.below(4000)))));
        if (clock.hasReading() && latest)
            RC_ASSERT(workerClock(clock.expiresBy()) + 1 >= latest);
    }
}

} // namespace marigoldlink::testing
