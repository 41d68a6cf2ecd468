// The callers' interface: keys, open queues, whole answers, and clear refusals of bad input.
#include "Cluster.h"

#include <gtest/gtest.h>

namespace marigoldlink::testing {

namespace {

    std::string errorOf(const HttpOutcome& outcome)
    {
        const auto json = Json::parse(outcome.body, nullptr, false);
        return json.is_object() ? json.value("error", "") + "/" + json.value("run_state", "") : outcome.body;
    }

} // namespace

TEST(Caller, WorkIsAcceptedOnlyForTheTeamOfItsKey)
{
    Cluster cluster({});
    const auto red = cluster.grant("red");
    for (std::size_t i = 0; i < cluster.entries.size(); ++i) {
        const auto outcome = cluster.submit(i, "urgent", red, "keyed-" + std::to_string(i));
        ASSERT_TRUE(outcome.isOk()) << outcome.body;
        EXPECT_EQ(Json::parse(outcome.body).at("team"), "red");
        EXPECT_EQ(errorOf(cluster.submit(i, "urgent", "", "none")), "key-missing/not run");
        EXPECT_EQ(errorOf(cluster.submit(i, "urgent", red + "0", "forged")), "key-rejected/not run");
    }
    EXPECT_TRUE(cluster.submit(0, "open", "", "open-1").isOk()) << "an open queue needs no key";
}

TEST(Caller, BadInputIsRefusedClearlyAndTheServiceGoesOn)
{
    ClusterOptions options;
    options.dataCenters = { "one" };
    options.entrySettings = "[limits]\nbody_bytes = 1000\n";
    Cluster cluster(options);
    EXPECT_EQ(errorOf(cluster.submit(0, "missing", "", "id")), "unknown-queue/not run");
    EXPECT_EQ(errorOf(cluster.submit(0, "open", "", std::string(500, 'x'))), "malformed-request/not run");
    EXPECT_EQ(errorOf(cluster.submit(0, "open", "", "id", "{}", { { "x-deadline-ms", "soon" } })),
        "malformed-request/not run");
    EXPECT_EQ(errorOf(cluster.submit(0, "open", "", "id", "{}", { { "x-idempotent", "maybe" } })),
        "malformed-request/not run");
    EXPECT_EQ(cluster.submit(0, "open", "", "id", std::string(5000, 'x')).status, 413);
    EXPECT_EQ(
        cluster.call(cluster.entries[0].endpoint, { "POST", "/peer/claim", "garbage", {}, Duration(1000) }).status,
        400);
    EXPECT_TRUE(cluster.submit(0, "open", "", "good").isOk());
}

TEST(Caller, SameRequestIdThroughAnotherEntryGetsTheFirstAnswer)
{
    Cluster cluster({});
    const auto first = cluster.submit(0, "open", "", "booking-1");
    ASSERT_TRUE(first.isOk());
    for (std::size_t i = 0; i < cluster.entries.size(); ++i)
        EXPECT_EQ(cluster.submit(i, "open", "", "booking-1").body, first.body);
}

TEST(Caller, DeadlineInTheQueueIsATrueNotRun)
{
    ClusterOptions options;
    options.dataCenters = { "one" };
    options.text = defaultText(options.dataCenters, 0);
    Cluster cluster(options);
    const auto outcome = cluster.submit(0, "open", "", "late", "{\"id\":\"late\"}", { { "x-deadline-ms", "300" } });
    EXPECT_EQ(errorOf(outcome), "deadline-passed/not run");
    for (const auto& worker : cluster.workerEndpoints())
        EXPECT_EQ(cluster.get(worker, "/stats").value("started", -1), 0);
}

} // namespace marigoldlink::testing
