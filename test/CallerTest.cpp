// The callers' HTTP interface: team keys, queues without authentication, complete responses, and specific errors for
// invalid input.
#include "Cluster.h"

#include <gtest/gtest.h>

namespace marigoldlink::testing {

namespace {

    std::string errorAndRunState(const HttpResult& result)
    {
        const auto json = Json::parse(result.body, nullptr, false);
        return json.is_object() ? json.value("error", "") + "/" + json.value("run_state", "") : result.body;
    }

} // namespace

TEST(Caller, WorkIsAcceptedOnlyForTheTeamOfItsKey)
{
    Cluster cluster({});
    const auto red = cluster.grantKey("red");
    for (std::size_t i = 0; i < cluster.entries.size(); ++i) {
        const auto result = cluster.submit(i, "urgent", red, "keyed-" + std::to_string(i));
        ASSERT_TRUE(result.isOk()) << result.body;
        EXPECT_EQ(Json::parse(result.body).at("team"), "red");
        EXPECT_EQ(errorAndRunState(cluster.submit(i, "urgent", "", "none")), "key-missing/not run");
        EXPECT_EQ(errorAndRunState(cluster.submit(i, "urgent", red + "0", "forged")), "key-rejected/not run");
    }
    EXPECT_TRUE(cluster.submit(0, "open", "", "open-1").isOk())
        << "a queue without authentication must accept requests without a key";
}

TEST(Caller, InvalidInputIsRejectedAndServiceContinues)
{
    ClusterOptions options;
    options.dataCenters = { "one" };
    options.entrySettings = "[limits]\nbody_bytes = 1000\n";
    Cluster cluster(options);
    EXPECT_EQ(errorAndRunState(cluster.submit(0, "missing", "", "id")), "unknown-queue/not run");
    EXPECT_EQ(errorAndRunState(cluster.submit(0, "open", "", std::string(500, 'x'))), "malformed-request/not run");
    EXPECT_EQ(errorAndRunState(cluster.submit(0, "open", "", "id", "{}", { { "x-deadline-ms", "soon" } })),
        "malformed-request/not run");
    EXPECT_EQ(errorAndRunState(cluster.submit(0, "open", "", "id", "{}", { { "x-idempotent", "maybe" } })),
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

TEST(Caller, DeadlineExpiredInQueueIsReportedAsNotRun)
{
    ClusterOptions options;
    options.dataCenters = { "one" };
    options.fleetSpec = defaultFleetSpec(options.dataCenters, 0);
    Cluster cluster(options);
    const auto result = cluster.submit(0, "open", "", "late", "{\"id\":\"late\"}", { { "x-deadline-ms", "300" } });
    EXPECT_EQ(errorAndRunState(result), "deadline-passed/not run");
    for (const auto& worker : cluster.workerEndpoints())
        EXPECT_EQ(cluster.get(worker, "/stats").value("started", -1), 0);
}

// A deferrable task that was preempted by an urgent one is cancelled while it waits in the queue again. It has run in
// part, so the response must not be "not run".
TEST(Caller, PartiallyRunRequestIsNotReportedAsNotRun)
{
    ClusterOptions options;
    options.dataCenters = { "one" };
    options.workersPerDataCenter = 1;
    options.slots = 1;
    Cluster cluster(options);
    const auto key = cluster.grantKey("red");
    const auto submit = [&](const std::string& queue, std::string& error) {
        HttpCall call { "POST", "/v1/queues/" + queue + "/tasks", "{\"work_ms\":4000}", {}, Duration(15000) };
        call.headers = { { "authorization", "Bearer " + key }, { "x-request-id", queue } };
        cluster.client.send(
            cluster.entries[0].endpoint, call, [&error](HttpResult result) { error = errorAndRunState(result); });
    };
    const auto started = [&] { return cluster.get(cluster.workers[0].endpoints[0], "/stats").value("started", 0); };
    std::string deferrable;
    std::string urgent;
    submit("deferrable", deferrable);
    cluster.waitUntil("the deferrable task runs", [&] { return started() == 1; });
    submit("urgent", urgent);
    cluster.waitUntil("the urgent task runs", [&] { return started() == 2; });
    cluster.call(cluster.entries[0].endpoint,
        { "POST", "/v1/requests/deferrable/cancel", {}, { { "authorization", "Bearer " + key } }, Duration(2000) });
    cluster.waitUntil("the cancelled request is answered", [&] { return !deferrable.empty(); });
    EXPECT_EQ(deferrable, "worker-lost/unknown");
}

} // namespace marigoldlink::testing
