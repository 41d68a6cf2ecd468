// A returning customer keeps its previous settings.
#include "marigoldlink/Coordination/Customers.h"
#include "Choices.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace marigoldlink::testing {

namespace {

    Customer listed(std::map<std::string, std::string> settings)
    {
        return { CustomerId("customer"), TeamId("team"), std::move(settings) };
    }

} // namespace

TEST(Customers, ReturningCustomerKeepsEverySetting)
{
    const CustomerRecord stored { CustomerId("customer"), TeamId("old-team"), true, { { "map", "north" } } };
    const auto next = reconcileCustomer(stored, listed({ { "map", "default" }, { "hours", "24" } }), false);
    EXPECT_EQ(next.settings.at("map"), "north");
    EXPECT_EQ(next.settings.at("hours"), "24");
    EXPECT_EQ(next.team, TeamId("team"));
    EXPECT_TRUE(next.isCancelled) << "only the operator's restore ends a cancellation";
}

TEST(Customers, ListedCustomerFollowsTheText)
{
    const CustomerRecord stored { CustomerId("customer"), TeamId("team"), false, { { "map", "north" } } };
    EXPECT_EQ(reconcileCustomer(stored, listed({ { "map", "south" } }), true).settings.at("map"), "south");
}

// At least 52 edits of the fleet specification, as in a year of weekly edits, some of which remove or cancel the
// customer.
RC_GTEST_PROP(Customers, SettingsSurviveAYearOfEdits, ())
{
    auto choices = Choices::generate(52);
    std::optional<CustomerRecord> stored;
    std::map<std::string, std::string> expected;
    bool wasListed = false;
    while (!choices.isOver()) {
        const auto edit = choices.below(4);
        if (edit == 0) {
            wasListed = false;
            continue;
        }
        if (stored && edit == 1) {
            stored->isCancelled ^= true;
            continue;
        }
        const auto text = listed({ { "key-" + std::to_string(choices.below(5)), std::to_string(choices.below(9)) } });
        const bool isReturning = stored && (!wasListed || stored->isCancelled);
        for (const auto& [key, value] : text.settings) {
            if (!isReturning || !expected.contains(key))
                expected[key] = value;
        }
        stored = reconcileCustomer(stored, text, wasListed);
        wasListed = true;
        RC_ASSERT(stored->settings == expected);
    }
}

} // namespace marigoldlink::testing
