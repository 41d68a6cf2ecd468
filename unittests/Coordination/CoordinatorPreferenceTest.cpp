// The largest instance campaigns without delay; a small coordinator hands over once per registration of a larger one.
#include "marigoldlink/Coordination/CoordinatorPreference.h"

#include <gtest/gtest.h>

namespace marigoldlink {
namespace {

    ElectionCandidate member(double processors, std::uint64_t revision) { return { processors, Revision(revision) }; }

    TEST(CoordinatorPreference, TheLargestInstanceDoesNotWait)
    {
        const std::vector<ElectionCandidate> members { member(0.12, 1), member(0.5, 2) };
        EXPECT_EQ(CoordinatorPreference(0.5, {}).campaignDelay(members), Duration(0));
        EXPECT_GT(CoordinatorPreference(0.12, {}).campaignDelay(members), Duration(250));
        EXPECT_GT(CoordinatorPreference(0.12, {}).campaignDelay(members),
            CoordinatorPreference(0.25, {}).campaignDelay(members));
        EXPECT_EQ(CoordinatorPreference(0.25, {}).campaignDelay({}), Duration(0)) << "no other member is registered";
    }

    TEST(CoordinatorPreference, EqualInstancesNeitherDelayNorHandOver)
    {
        const std::vector<ElectionCandidate> members { member(0.25, 1), member(0.25, 2), member(0.25, 3) };
        CoordinatorPreference preference(0.25, {});
        EXPECT_EQ(preference.campaignDelay(members), Duration(0));
        EXPECT_FALSE(preference.shouldHandOver(members));
    }

    // A large instance may be removed while its record stays. The coordinator must not resign for it again and again,
    // but once more when it registers anew.
    TEST(CoordinatorPreference, HandsOverOnceForEachRegistrationOfALargerInstance)
    {
        std::vector<ElectionCandidate> members { member(0.12, 1), member(0.5, 2) };
        CoordinatorPreference preference(0.12, {});
        EXPECT_TRUE(preference.shouldHandOver(members));
        EXPECT_FALSE(preference.shouldHandOver(members)) << "already handed over for this registration";
        members.push_back(member(0.12, 7));
        EXPECT_FALSE(preference.shouldHandOver(members)) << "no larger than this one";
        members[1].registeredAt = Revision(9);
        EXPECT_TRUE(preference.shouldHandOver(members)) << "the larger instance registered again";
    }

} // namespace
} // namespace marigoldlink
