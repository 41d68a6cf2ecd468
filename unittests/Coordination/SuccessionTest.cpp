// The largest instance campaigns without delay; a small coordinator hands over once per registration of a larger one.
#include "marigoldlink/Coordination/Succession.h"

#include <gtest/gtest.h>

namespace marigoldlink {
namespace {

    Contender member(double processors, std::uint64_t revision) { return { processors, Revision(revision) }; }

    TEST(Succession, TheLargestInstanceDoesNotWait)
    {
        const std::vector<Contender> members { member(0.12, 1), member(0.5, 2) };
        EXPECT_EQ(Succession(0.5, {}).yield(members), Duration(0));
        EXPECT_GT(Succession(0.12, {}).yield(members), Duration(250));
        EXPECT_GT(Succession(0.12, {}).yield(members), Succession(0.25, {}).yield(members));
        EXPECT_EQ(Succession(0.25, {}).yield({}), Duration(0)) << "no other member is registered";
    }

    TEST(Succession, AmongEqualsNobodyWaitsOrHandsOver)
    {
        const std::vector<Contender> members { member(0.25, 1), member(0.25, 2), member(0.25, 3) };
        Succession succession(0.25, {});
        EXPECT_EQ(succession.yield(members), Duration(0));
        EXPECT_FALSE(succession.shouldHandOver(members));
    }

    // A large instance may be removed while its record stays. The coordinator must not resign for it again and again,
    // but once more when it registers anew.
    TEST(Succession, HandsOverOnceForEachRegistrationOfALargerInstance)
    {
        std::vector<Contender> members { member(0.12, 1), member(0.5, 2) };
        Succession succession(0.12, {});
        EXPECT_TRUE(succession.shouldHandOver(members));
        EXPECT_FALSE(succession.shouldHandOver(members)) << "already handed over for this registration";
        members.push_back(member(0.12, 7));
        EXPECT_FALSE(succession.shouldHandOver(members)) << "no larger than this one";
        members[1].registeredAt = Revision(9);
        EXPECT_TRUE(succession.shouldHandOver(members)) << "the larger instance registered again";
    }

} // namespace
} // namespace marigoldlink
