// Validation of the fleet specification: all diagnostics are reported, each with line and column.
#include "marigoldlink/State/FleetSpec.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace marigoldlink::testing {

namespace {

    using ::testing::HasSubstr;

    constexpr const char* s_validSpec = R"([fleet]
name = "f"
[[data_center]]
name = "dc"
[[pool]]
name = "pool"
[[team]]
name = "team"
share = 1
upper_limit = 8
[[service]]
name = "a"
class = "urgent"
pool = "pool"
need_slots = 4
availability = 0.99
[[queue]]
name = "q"
service = "a"
)";

    std::string diagnosticsOf(const std::string& text)
    {
        try {
            parseFleetSpec(text, "fleet.toml");
            return {};
        } catch (const TextError& error) {
            return error.what();
        }
    }

} // namespace

TEST(FleetSpec, ReadsAValidText)
{
    const auto spec = parseFleetSpec(s_validSpec, "fleet.toml");
    EXPECT_EQ(spec.urgency(spec.queues.at(QueueId("q"))), Urgency::Urgent);
    EXPECT_EQ(spec.teams.at(TeamId("team")).upperLimit, 8);
}

TEST(FleetSpec, ReportsEveryFaultWithItsPlace)
{
    const auto diagnostics = diagnosticsOf(std::string(s_validSpec) + R"([[team]]
name = "team"
share = -1
upper_limit = 3
[[queue]]
name = "r"
service = "missing"
colour = "red"
)");
    EXPECT_THAT(diagnostics, HasSubstr("fleet.toml:22:9: team.share must be a number"));
    EXPECT_THAT(diagnostics, HasSubstr("team \"team\" is defined twice"));
    EXPECT_THAT(diagnostics, HasSubstr("refers to the unknown service \"missing\""));
    EXPECT_THAT(diagnostics, HasSubstr("queue has no field \"colour\"; accepted:"));
}

TEST(FleetSpec, RejectsCyclesAndUnreachableAvailability)
{
    const auto cyclic = diagnosticsOf(std::string(s_validSpec) + R"([[service]]
name = "b"
class = "normal"
pool = "pool"
need_slots = 4
availability = 0.9
depends_on = ["c"]
[[service]]
name = "c"
class = "normal"
pool = "pool"
need_slots = 4
availability = 0.8
depends_on = ["b"]
)");
    EXPECT_THAT(cyclic, HasSubstr("depends on itself"));
    EXPECT_THAT(cyclic, HasSubstr("service b cannot reach availability 0.9"));
}

TEST(FleetSpec, ReportsSyntaxWithItsPlace) { EXPECT_THAT(diagnosticsOf("[fleet\n"), HasSubstr("fleet.toml:1:")); }

} // namespace marigoldlink::testing
