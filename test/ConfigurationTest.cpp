// Configuration and keys: changes reach every entry within seconds and are never reverted, and concurrent edits and
// lost responses of the platform are resolved.
#include "Cluster.h"

#include <fstream>
#include <gtest/gtest.h>

namespace marigoldlink::testing {

namespace {

    constexpr Duration s_maxPropagationDelay { 6000 };
    constexpr Duration s_maxRevocationDelay { 5000 };

    std::uint64_t specVersion(Cluster& cluster, std::size_t entry)
    {
        return cluster.status(entry)["config"].value("config/text", std::uint64_t { 0 });
    }

    bool isAppliedEverywhere(Cluster& cluster, std::uint64_t version)
    {
        for (std::size_t i = 0; i < cluster.entries.size(); ++i) {
            if (specVersion(cluster, i) < version)
                return false;
        }
        return true;
    }

} // namespace

TEST(Configuration, ReachesADataCentreCutFromThePlatformThroughPeers)
{
    Cluster cluster({});
    cluster.setPlatformFault("two", "silent");
    cluster.applySpec(defaultFleetSpec(cluster.options.dataCenters, 7));
    cluster.waitUntil(
        "version 2 is in force", [&] { return isAppliedEverywhere(cluster, 2); }, s_maxPropagationDelay);
}

TEST(Configuration, NeverRevertsWhenThePlatformReturnsWithAnOlderState)
{
    ClusterOptions options;
    options.entrySettings = "[timeouts]\nconfig_audit_ms = 1000\n";
    Cluster cluster(options);
    cluster.call(cluster.platforms.back(), { "POST", "/snapshot", {}, {}, Duration(1000) });
    cluster.applySpec(defaultFleetSpec(cluster.options.dataCenters, 7));
    cluster.waitUntil(
        "version 2 is in force", [&] { return isAppliedEverywhere(cluster, 2); }, s_maxPropagationDelay);
    cluster.call(cluster.platforms.back(), { "POST", "/rollback", {}, {}, Duration(1000) });
    const auto isRestored = [&] {
        EXPECT_TRUE(isAppliedEverywhere(cluster, 2));
        const auto value = cluster.get(cluster.platforms.back(), "/kv/config/text").value("value", "");
        return Json::parse(value, nullptr, false).value("version", 0) == 2;
    };
    cluster.waitUntil("version 2 is written back to the platform", isRestored, s_maxPropagationDelay);
}

TEST(Configuration, RevokedKeyIsRejectedByEveryEntry)
{
    Cluster cluster({});
    const auto key = cluster.grantKey("red");
    cluster.setPlatformFault("three", "silent");
    for (std::size_t i = 0; i < 3; ++i)
        ASSERT_TRUE(cluster.submit(i, "normal", key, "before-" + std::to_string(i)).isOk());
    ASSERT_EQ(cluster.runMarigoldctl({ "withdraw", key.substr(0, key.find('.')) }).first, 0);
    cluster.runFor(s_maxRevocationDelay);
    for (std::size_t i = 0; i < 3; ++i) {
        const auto result = cluster.submit(i, "normal", key, "after-" + std::to_string(i));
        EXPECT_EQ(result.status, 403) << "entry " << i << ": " << result.body;
    }
}

TEST(Configuration, PartitionedDataCentreRefusesAuthenticatedAndServesOpenQueues)
{
    Cluster cluster({});
    const auto key = cluster.grantKey("red");
    cluster.waitUntil("each data centre holds a part of the upper limit of team red", [&] {
        for (std::size_t i = 0; i < 3; ++i) {
            if (!cluster.status(i)["escrow"].contains("red")
                || cluster.status(i)["escrow"]["red"].value("held", 0) == 0)
                return false;
        }
        return true;
    });
    cluster.partition("three", true);
    ASSERT_EQ(cluster.runMarigoldctl({ "withdraw", key.substr(0, key.find('.')) }).first, 0);
    cluster.runFor(s_maxRevocationDelay);
    for (std::size_t i = 0; i < 3; ++i)
        EXPECT_NE(cluster.submit(i, "normal", key, "").status, 200) << "entry " << i;
    EXPECT_TRUE(cluster.submit(2, "open", "", "").isOk())
        << "a queue without authentication must accept requests during the partition: " << cluster.status(2).dump(2);
    cluster.heal();
    cluster.waitUntil(
        "the partitioned entry rejects the revoked key",
        [&] { return cluster.submit(2, "normal", key, "").status == 403; }, s_maxPropagationDelay);
}

TEST(Configuration, AuthenticatedRequestsAreServedDuringPlatformOutage)
{
    Cluster cluster({});
    const auto key = cluster.grantKey("red");
    for (std::size_t i = 0; i < 3; ++i)
        ASSERT_TRUE(cluster.submit(i, "normal", key, "").isOk());
    cluster.setPlatformFault("", "silent");
    cluster.runFor(Duration(6000));
    for (std::size_t i = 0; i < 3; ++i)
        EXPECT_TRUE(cluster.submit(i, "normal", key, "").isOk());
}

TEST(Configuration, ConcurrentEditsHaveOneWinnerAndLostResponsesAreResolved)
{
    Cluster cluster({});
    const auto file = ::testing::TempDir() + "marigold-race.toml";
    std::ofstream(file) << defaultFleetSpec(cluster.options.dataCenters, 9);
    EXPECT_EQ(cluster.runMarigoldctl({ "apply", file, "--from", "1" }).first, 0);
    EXPECT_EQ(cluster.runMarigoldctl({ "apply", file, "--from", "1" }).first, 3)
        << "an edit based on an outdated version must be refused";

    cluster.setPlatformFault("", "lose-answers");
    Process operatorProcess(
        "marigoldctl", { "--platform", cluster.platforms.back().text(), "apply", file, "--from", "2" }, file + ".log");
    cluster.runFor(Duration(500));
    cluster.setPlatformFault("", "ok");
    EXPECT_EQ(operatorProcess.waitForExit(Duration(20000)), 0) << operatorProcess.log();
    EXPECT_EQ(specVersion(cluster, 0), 3U) << "the write must take effect exactly once";
}

} // namespace marigoldlink::testing
