// Tests of the limits of the decision log, with virtual time.
#include "marigoldlink/Entry/DecisionLimiter.h"

#include <gmock/gmock.h>

namespace marigoldlink {
namespace {

    using testing::ElementsAre;
    using testing::Pair;

    class Limiter : public testing::Test {
    protected:
        // Offers lines about the subject and returns how many were admitted.
        int offer(const std::string& subject, int lines)
        {
            int admitted = 0;
            for (int i = 0; i < lines; ++i)
                admitted += limiter.admit(subject, now);
            return admitted;
        }

        TimePoint now { Duration(100000) };
        DecisionLimiter limiter { 30, { { "cancelling", 400 } } };
    };

    TEST_F(Limiter, EachSubjectHasItsOwnLimit)
    {
        EXPECT_EQ(offer("task", 1000), 30);
        EXPECT_EQ(offer("cancelling", 1000), 400);
    }

    TEST_F(Limiter, AFloodOfOneSubjectDoesNotDisplaceAnother)
    {
        for (int second = 0; second < 5; ++second) {
            for (int part = 0; part < 10; ++part) {
                offer("task", 10000);
                EXPECT_EQ(offer("cancelling", 40), 40) << "in part " << part << " of second " << second;
                now += Duration(100);
            }
            const auto suppressed = limiter.takeSuppressed(now);
            ASSERT_TRUE(suppressed);
            EXPECT_THAT(suppressed->lines, ElementsAre(Pair("task", 100000 - 30)));
        }
    }

    TEST_F(Limiter, EachWindowsCountsAreReportedOnceBySubject)
    {
        EXPECT_FALSE(limiter.takeSuppressed(now));
        const auto since = now;
        offer("task", 37);
        offer("worker", 31);
        offer("cancelling", 400);
        EXPECT_FALSE(limiter.takeSuppressed(now + Duration(999))) << "the window has not ended";
        now += Duration(1000);
        const auto first = limiter.takeSuppressed(now);
        ASSERT_TRUE(first);
        EXPECT_EQ(first->since, since);
        EXPECT_THAT(first->lines, ElementsAre(Pair("task", 7), Pair("worker", 1)));
        EXPECT_EQ(first->total(), 8);
        EXPECT_EQ(first->text(), "task:7,worker:1");
        EXPECT_FALSE(limiter.takeSuppressed(now)) << "was reported";
        offer("cancelling", 402);
        now += Duration(1000);
        const auto second = limiter.takeSuppressed(now);
        ASSERT_TRUE(second);
        EXPECT_EQ(second->since, since + Duration(1000));
        EXPECT_THAT(second->lines, ElementsAre(Pair("cancelling", 2)));
        now += Duration(1000);
        EXPECT_FALSE(limiter.takeSuppressed(now)) << "nothing was left out";
    }

    TEST_F(Limiter, CountsThatWereNotTakenAreKept)
    {
        const auto since = now;
        offer("task", 31);
        now += Duration(1000);
        offer("task", 32);
        now += Duration(1000);
        EXPECT_EQ(offer("task", 30), 30);
        const auto suppressed = limiter.takeSuppressed(now);
        ASSERT_TRUE(suppressed);
        EXPECT_EQ(suppressed->since, since);
        EXPECT_THAT(suppressed->lines, ElementsAre(Pair("task", 3)));
    }

    TEST_F(Limiter, SubjectsBeyondTheBoundShareOneCount)
    {
        for (int i = 0; i < 1000; ++i)
            offer("s" + std::to_string(i), 31);
        EXPECT_EQ(offer("cancelling", 500), 400) << "a named subject keeps its limit";
        now += Duration(1000);
        const auto suppressed = limiter.takeSuppressed(now);
        ASSERT_TRUE(suppressed);
        EXPECT_LE(suppressed->lines.size(), 65u);
        EXPECT_EQ(suppressed->total(), 1000 * 31 - 64 * 30 + 100);
        EXPECT_GT(suppressed->lines.at("other"), 0);
    }

} // namespace
} // namespace marigoldlink
