// Age of confirmations forwarded by peers, and whether authenticated requests are served during a network partition.
#include "marigoldlink/Coordination/ConfigFreshness.h"

#include <gtest/gtest.h>

namespace marigoldlink::testing {

namespace {

    constexpr HolderId s_peer { 2 };
    const std::set<HolderId> s_others { s_peer };

    TimePoint at(std::int64_t milliseconds) { return TimePoint(Duration(milliseconds)); }

} // namespace

TEST(ConfigFreshness, PeerPassesConfirmationOn)
{
    ConfigFreshness freshness({ Duration(3000), Duration(2000) });
    EXPECT_EQ(freshness.contact(at(0), s_others), Contact::Partitioned);
    freshness.peerAnswered(s_peer, at(5000), Duration(1000), true);
    EXPECT_EQ(freshness.age(at(5500)), Duration(1500));
    EXPECT_EQ(freshness.contact(at(7000), s_others), Contact::Confirmed);
}

TEST(ConfigFreshness, PeerWithOtherConfigurationConfirmsNothing)
{
    ConfigFreshness freshness({ Duration(3000), Duration(2000) });
    freshness.peerAnswered(s_peer, at(5000), Duration(0), false);
    EXPECT_EQ(freshness.age(at(5000)), Duration::max());
}

TEST(ConfigFreshness, StaleConfirmationIsNotPassedOnForEver)
{
    ConfigFreshness one({ Duration(3000), Duration(2000) });
    ConfigFreshness two({ Duration(3000), Duration(2000) });
    one.platformAnswered(at(0));
    for (std::int64_t now = 0; now < 10000; now += 100) {
        two.peerAnswered(HolderId(1), at(now), one.age(at(now)), true);
        one.peerAnswered(s_peer, at(now), two.age(at(now)), true);
    }
    EXPECT_GE(one.age(at(10000)), Duration(10000)) << "two members must not confirm each other";
    EXPECT_GE(two.age(at(10000)), Duration(10000));
}

TEST(ConfigFreshness, DistinguishesOutageFromPartition)
{
    ConfigFreshness freshness({ Duration(3000), Duration(2000) });
    freshness.platformAnswered(at(0));
    freshness.peerAnswered(s_peer, at(9000), Duration(9000), true);
    EXPECT_EQ(freshness.contact(at(10000), s_others), Contact::PlatformOutage);
    EXPECT_EQ(freshness.contact(at(12000), s_others), Contact::Partitioned);
    EXPECT_TRUE(freshness.allowsAuthenticatedRequests(at(10000), s_others, PartitionPolicy::Refuse));
    EXPECT_FALSE(freshness.allowsAuthenticatedRequests(at(12000), s_others, PartitionPolicy::Refuse));
    EXPECT_TRUE(freshness.allowsAuthenticatedRequests(at(12000), s_others, PartitionPolicy::Serve));
}

} // namespace marigoldlink::testing
