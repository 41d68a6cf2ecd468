// A key is accepted only for its team, and only until it is revoked.
#include "marigoldlink/Coordination/KeyRing.h"

#include <gtest/gtest.h>

namespace marigoldlink::testing {

TEST(KeyRing, AcceptsAKeyOnlyForItsTeam)
{
    KeyRing ring;
    const auto one = createKey();
    const auto two = createKey();
    ring.replace(TeamId("one"), { one.grant });
    ring.replace(TeamId("two"), { two.grant });
    EXPECT_EQ(ring.authenticate(one.presented), TeamId("one"));
    EXPECT_EQ(ring.authenticate(two.presented), TeamId("two"));
}

TEST(KeyRing, RejectsWithdrawnAndForgedKeys)
{
    KeyRing ring;
    const auto key = createKey();
    const auto other = createKey();
    ring.replace(TeamId("team"), { key.grant, other.grant });
    const auto id = key.grant.id.value();
    EXPECT_FALSE(ring.authenticate(id));
    EXPECT_FALSE(ring.authenticate(id + "."));
    EXPECT_FALSE(ring.authenticate(id + other.presented.substr(id.size())));
    EXPECT_FALSE(ring.authenticate(""));
    ring.replace(TeamId("team"), { other.grant });
    EXPECT_FALSE(ring.authenticate(key.presented));
    EXPECT_TRUE(ring.authenticate(other.presented));
}

TEST(KeyRing, KeepsNoSecret)
{
    const auto key = createKey();
    const auto secret = key.presented.substr(key.presented.find('.') + 1);
    EXPECT_EQ((key.grant.hash + key.grant.salt + key.grant.id.value()).find(secret), std::string::npos);
}

} // namespace marigoldlink::testing
