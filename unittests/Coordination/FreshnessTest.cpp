// Age of confirmations forwarded by peers, and whether authenticated requests are served during a network partition.
#include "marigoldlink/Coordination/Freshness.h"

#include <gtest/gtest.h>

namespace marigoldlink::testing {

namespace {

    constexpr HolderId s_peer { 2 };
    const std::set<HolderId> s_others { s_peer };

    TimePoint at(std::int64_t milliseconds) { return TimePoint(Duration(milliseconds)); }

} // namespace

TEST(Freshness, PeerPassesConfirmationOn)
{
    Freshness freshness({ Duration(3000), Duration(2000) });
    EXPECT_EQ(freshness.contact(at(0), s_others), Contact::CutOff);
    freshness.peerAnswered(s_peer, at(5000), Duration(1000), true);
    EXPECT_EQ(freshness.age(at(5500)), Duration(1500));
    EXPECT_EQ(freshness.contact(at(7000), s_others), Contact::Confirmed);
}

TEST(Freshness, PeerWithOtherConfigurationConfirmsNothing)
{
    Freshness freshness({ Duration(3000), Duration(2000) });
    freshness.peerAnswered(s_peer, at(5000), Duration(0), false);
    EXPECT_EQ(freshness.age(at(5000)), Duration::max());
}

TEST(Freshness, StaleConfirmationIsNotPassedOnForEver)
{
    Freshness one({ Duration(3000), Duration(2000) });
    Freshness two({ Duration(3000), Duration(2000) });
    one.platformAnswered(at(0));
    for (std::int64_t now = 0; now < 10000; now += 100) {
        two.peerAnswered(HolderId(1), at(now), one.age(at(now)), true);
        one.peerAnswered(s_peer, at(now), two.age(at(now)), true);
    }
    EXPECT_GE(one.age(at(10000)), Duration(10000)) << "two members must not confirm each other";
    EXPECT_GE(two.age(at(10000)), Duration(10000));
}

TEST(Freshness, TellsOutageFromCutOff)
{
    Freshness freshness({ Duration(3000), Duration(2000) });
    freshness.platformAnswered(at(0));
    freshness.peerAnswered(s_peer, at(9000), Duration(9000), true);
    EXPECT_EQ(freshness.contact(at(10000), s_others), Contact::PlatformOutage);
    EXPECT_EQ(freshness.contact(at(12000), s_others), Contact::CutOff);
    EXPECT_TRUE(freshness.allowsKeyedWork(at(10000), s_others, CutOffPolicy::Refuse));
    EXPECT_FALSE(freshness.allowsKeyedWork(at(12000), s_others, CutOffPolicy::Refuse));
    EXPECT_TRUE(freshness.allowsKeyedWork(at(12000), s_others, CutOffPolicy::Serve));
}

} // namespace marigoldlink::testing
