// Tests of the rate of plans while the event loop lags.
#include "marigoldlink/Coordination/PlanSchedule.h"

#include <gtest/gtest.h>

namespace marigoldlink {
namespace {

    constexpr Duration s_interval { 100 };

    // Counts the passes within the given time of a loop whose iterations take that long.
    int countPasses(PlanSchedule& schedule, TimePoint& now, Duration iteration, Duration time)
    {
        int passes = 0;
        for (const auto end = now + time; now < end; now += iteration)
            passes += schedule.takeDue(now);
        return passes;
    }

    TEST(PlanSchedule, PassesComeAtTheirIntervalWhileTheLoopIsFast)
    {
        PlanSchedule schedule(s_interval);
        TimePoint now { Duration(1000) };
        EXPECT_GE(countPasses(schedule, now, Duration(1), Duration(10000)), 90);
    }

    // Guards against SHORT: a saturated coordinator spent a sixth of its time on the sizes of pools and on waves, which
    // came as often as on a calm day, while callers waited for starts.
    TEST(PlanSchedule, PassesComeLessOftenWhileTheLoopLags)
    {
        PlanSchedule schedule(s_interval);
        TimePoint now { Duration(1000) };
        const auto passes = countPasses(schedule, now, Duration(40), Duration(10000));
        EXPECT_LE(passes, 40);
        EXPECT_GE(passes, 10000 / (s_interval.count() * PlanSchedule::maxSlowdown) - 3) << "they are never left out";
    }

    TEST(PlanSchedule, TheIntervalRecoversAfterAPause)
    {
        PlanSchedule schedule(s_interval);
        TimePoint now { Duration(1000) };
        countPasses(schedule, now, Duration(1), Duration(1000));
        now += Duration(5000);
        countPasses(schedule, now, Duration(1), Duration(1000));
        EXPECT_GE(countPasses(schedule, now, Duration(1), Duration(1000)), 9);
    }

} // namespace
} // namespace marigoldlink
