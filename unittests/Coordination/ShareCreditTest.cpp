// The credit corrects each team with queued requests towards its share, is bounded, and decays.
#include "marigoldlink/Coordination/ShareCredit.h"

#include <gtest/gtest.h>

namespace marigoldlink::testing {

namespace {

    TimePoint at(std::int64_t milliseconds) { return TimePoint(Duration(milliseconds)); }

    const TeamId s_one("one");
    const TeamId s_two("two");

} // namespace

TEST(ShareCredit, CorrectsExcessAndShortfallAgainstEachOther)
{
    ShareCredit credit({ Duration(20000), Duration(1000), 64 });
    const std::vector<TeamUsage> usages { { s_one, 1, 12, true }, { s_two, 1, 8, true } };
    credit.account(at(0), usages);
    credit.account(at(1000), usages);
    EXPECT_NEAR(credit.correction(s_one), 2, 0.01);
    EXPECT_NEAR(credit.correction(s_two), -2, 0.01);
}

TEST(ShareCredit, TeamThatDoesNotAskGathersNothing)
{
    ShareCredit credit({ Duration(20000), Duration(1000), 64 });
    const std::vector<TeamUsage> usages { { s_one, 1, 20, true }, { s_two, 9, 0, false } };
    credit.account(at(0), usages);
    credit.account(at(5000), usages);
    EXPECT_EQ(credit.correction(s_one), 0);
    EXPECT_EQ(credit.correction(s_two), 0);
}

TEST(ShareCredit, IsBoundedAndFades)
{
    ShareCredit credit({ Duration(20000), Duration(1000), 5 });
    credit.account(at(0), { { s_one, 1, 100, true }, { s_two, 1, 0, true } });
    credit.account(at(60000), { { s_one, 1, 100, true }, { s_two, 1, 0, true } });
    EXPECT_DOUBLE_EQ(credit.correction(s_one), 5);
    credit.account(at(200000), {});
    EXPECT_LT(credit.correction(s_one), 0.1);
}

} // namespace marigoldlink::testing
