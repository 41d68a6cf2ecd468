// A key is accepted only for its team, and only until it is revoked.
#include "marigoldlink/Coordination/ApiKeyStore.h"

#include <gtest/gtest.h>

namespace marigoldlink::testing {

TEST(ApiKeyStore, AcceptsAKeyOnlyForItsTeam)
{
    ApiKeyStore store;
    const auto one = createKey();
    const auto two = createKey();
    store.replace(TeamId("one"), { one.record });
    store.replace(TeamId("two"), { two.record });
    EXPECT_EQ(store.authenticate(one.presented), TeamId("one"));
    EXPECT_EQ(store.authenticate(two.presented), TeamId("two"));
}

TEST(ApiKeyStore, RejectsRevokedAndForgedKeys)
{
    ApiKeyStore store;
    const auto key = createKey();
    const auto other = createKey();
    store.replace(TeamId("team"), { key.record, other.record });
    const auto id = key.record.id.value();
    EXPECT_FALSE(store.authenticate(id));
    EXPECT_FALSE(store.authenticate(id + "."));
    EXPECT_FALSE(store.authenticate(id + other.presented.substr(id.size())));
    EXPECT_FALSE(store.authenticate(""));
    store.replace(TeamId("team"), { other.record });
    EXPECT_FALSE(store.authenticate(key.presented));
    EXPECT_TRUE(store.authenticate(other.presented));
}

TEST(ApiKeyStore, KeepsNoSecret)
{
    const auto key = createKey();
    const auto secret = key.presented.substr(key.presented.find('.') + 1);
    EXPECT_EQ((key.record.hash + key.record.salt + key.record.id.value()).find(secret), std::string::npos);
}

} // namespace marigoldlink::testing
