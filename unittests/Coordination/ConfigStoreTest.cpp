// Versions never decrease, and stores that exchange records become equal.
#include "marigoldlink/Coordination/ConfigStore.h"
#include "Choices.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace marigoldlink::testing {

namespace {

    ConfigRecord record(std::size_t key, std::uint64_t version)
    {
        return { "config/" + std::to_string(key), version, "write", "body-" + std::to_string(version) };
    }

} // namespace

RC_GTEST_PROP(ConfigStore, VersionsNeverDecrease, ())
{
    auto choices = Choices::generate();
    ConfigStore store;
    std::map<std::string, std::uint64_t> newest;
    while (!choices.isOver()) {
        const auto offered = record(choices.below(5), choices.below(30) + 1);
        auto& seen = newest[offered.key];
        RC_ASSERT(store.adoptIfNewer(offered) == (offered.version > seen));
        seen = std::max(seen, offered.version);
        RC_ASSERT(store.find(offered.key)->version == seen);
        RC_ASSERT(store.find(offered.key)->body == record(0, seen).body);
    }
}

RC_GTEST_PROP(ConfigStore, ExchangeMakesStoresEqual, ())
{
    auto choices = Choices::generate();
    ConfigStore one;
    ConfigStore two;
    while (!choices.isOver())
        (choices.below(2) ? one : two).adoptIfNewer(record(choices.below(9), choices.below(30) + 1));
    while (one.digest() != two.digest()) {
        const auto before = one.digest() ^ two.digest();
        for (const auto& item : one.newerThan(two.versions(), 20))
            two.adoptIfNewer(item);
        for (const auto& item : two.newerThan(one.versions(), 20))
            one.adoptIfNewer(item);
        RC_ASSERT((one.digest() ^ two.digest()) != before);
    }
    RC_ASSERT(one.versions() == two.versions());
}

} // namespace marigoldlink::testing
