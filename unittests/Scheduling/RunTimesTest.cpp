// Guards the estimates of run times against wrong estimates of callers, heavy tails and unbounded growth.
#include "marigoldlink/Scheduling/RunTimes.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace marigoldlink {

namespace {

    const QueueId s_queue("checks");
    const ImageId s_image("resize");

} // namespace

// Fails if a task of an unknown kind counts as exact.
TEST(RunTimesTest, WithoutHistoryTheSpreadIsHalfOfTheEstimate)
{
    const RunTimes times;
    EXPECT_EQ(times.expected(s_queue, s_image, Duration(800)), Duration(800));
    EXPECT_EQ(times.upper(s_queue, s_image, Duration(800)), Duration(1200));
}

// Fails if the estimates of a queue whose callers are wrong by half stay wrong, or if another queue takes them over.
TEST(RunTimesTest, LearnsTheRatioOfAQueueWhoseEstimatesAreWrongByHalf)
{
    RunTimes times;
    for (int i = 0; i < 100; ++i)
        times.record(s_queue, s_image, Duration(1000), Duration(i % 2 ? 1400 : 1600));
    EXPECT_NEAR(static_cast<double>(times.expected(s_queue, s_image, Duration(400)).count()), 600, 20);
    EXPECT_NEAR(static_cast<double>(times.upper(s_queue, s_image, Duration(400)).count()), 680, 30);
    EXPECT_EQ(times.expected(QueueId("other"), s_image, Duration(400)), Duration(400));
}

// Fails if one stalled run makes the times of the queue useless for the runs after it.
TEST(RunTimesTest, RecoversFromAStalledRun)
{
    RunTimes times;
    for (int i = 0; i < 100; ++i)
        times.record(s_queue, s_image, Duration(1000), Duration(1000));
    times.record(s_queue, s_image, Duration(1000), Duration(600000));
    EXPECT_LT(times.expected(s_queue, s_image, Duration(1000)), Duration(1500));
    for (int i = 0; i < 100; ++i)
        times.record(s_queue, s_image, Duration(1000), Duration(1000));
    EXPECT_LT(times.upper(s_queue, s_image, Duration(1000)), Duration(2000));
}

// Fails if images that callers make up grow the memory without bound, or if an image in use is forgotten for them.
TEST(RunTimesTest, TheNumberOfRowsIsBounded)
{
    RunTimes times;
    for (int i = 0; i < 5000; ++i) {
        times.record(s_queue, ImageId("image-" + std::to_string(i)), Duration(100), Duration(100));
        times.record(s_queue, s_image, Duration(100), Duration(200));
    }
    EXPECT_EQ(times.rows(), RunTimes::maxRows);
    EXPECT_GT(times.expected(s_queue, s_image, Duration(100)), Duration(190));
}

// Fails if the mean leaves the range of what was seen and estimated, or if the upper estimate is below it.
RC_GTEST_PROP(RunTimesTest, TheMeanStaysWithinWhatWasSeen, ())
{
    RunTimes times;
    std::int64_t least = 1000;
    std::int64_t most = 1000;
    const auto ends = *rc::gen::container<std::vector<std::int64_t>>(rc::gen::inRange<std::int64_t>(0, 8000));
    for (const auto actual : ends) {
        times.record(s_queue, s_image, Duration(1000), Duration(actual));
        least = std::min(least, actual);
        most = std::max(most, actual);
    }
    const auto expected = times.expected(s_queue, s_image, Duration(1000));
    RC_ASSERT(expected >= Duration(least));
    RC_ASSERT(expected <= Duration(most));
    RC_ASSERT(times.upper(s_queue, s_image, Duration(1000)) >= expected);
}

} // namespace marigoldlink
