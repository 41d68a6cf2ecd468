// Configuration and keys: in force everywhere within seconds, never reverting, operators racing, lost answers.
#include "Cluster.h"

#include <fstream>
#include <gtest/gtest.h>

namespace marigoldlink::testing {

namespace {

    constexpr Duration s_inForceWithin { 6000 };
    constexpr Duration s_withdrawnWithin { 5000 };

    std::uint64_t textVersion(Cluster& cluster, std::size_t entry)
    {
        return cluster.status(entry)["config"].value("config/text", std::uint64_t { 0 });
    }

    bool isEverywhere(Cluster& cluster, std::uint64_t version)
    {
        for (std::size_t i = 0; i < cluster.entries.size(); ++i) {
            if (textVersion(cluster, i) < version)
                return false;
        }
        return true;
    }

} // namespace

TEST(Configuration, ReachesADataCentreCutFromThePlatformThroughPeers)
{
    Cluster cluster({});
    cluster.platformFault("two", "silent");
    cluster.apply(defaultText(cluster.options.dataCenters, 7));
    cluster.waitFor(
        "version 2 is in force", [&] { return isEverywhere(cluster, 2); }, s_inForceWithin);
}

TEST(Configuration, NeverRevertsWhenThePlatformReturnsWithAnOlderState)
{
    ClusterOptions options;
    options.entrySettings = "[timeouts]\nconfig_audit_ms = 1000\n";
    Cluster cluster(options);
    cluster.call(cluster.platforms.back(), { "POST", "/snapshot", {}, {}, Duration(1000) });
    cluster.apply(defaultText(cluster.options.dataCenters, 7));
    cluster.waitFor(
        "version 2 is in force", [&] { return isEverywhere(cluster, 2); }, s_inForceWithin);
    cluster.call(cluster.platforms.back(), { "POST", "/rollback", {}, {}, Duration(1000) });
    const auto isRestored = [&] {
        EXPECT_TRUE(isEverywhere(cluster, 2));
        const auto value = cluster.get(cluster.platforms.back(), "/kv/config/text").value("value", "");
        return Json::parse(value, nullptr, false).value("version", 0) == 2;
    };
    cluster.waitFor("the platform has version 2 again", isRestored, s_inForceWithin);
}

TEST(Configuration, WithdrawnKeyWorksNowhereAfterSeconds)
{
    Cluster cluster({});
    const auto key = cluster.grant("red");
    cluster.platformFault("three", "silent");
    for (std::size_t i = 0; i < 3; ++i)
        ASSERT_TRUE(cluster.submit(i, "normal", key, "before-" + std::to_string(i)).isOk());
    ASSERT_EQ(cluster.ctl({ "withdraw", key.substr(0, key.find('.')) }).first, 0);
    cluster.sleep(s_withdrawnWithin);
    for (std::size_t i = 0; i < 3; ++i) {
        const auto outcome = cluster.submit(i, "normal", key, "after-" + std::to_string(i));
        EXPECT_EQ(outcome.status, 403) << "entry " << i << ": " << outcome.body;
    }
}

TEST(Configuration, CutOffDataCentreRefusesKeyedWorkAndServesOpenWork)
{
    Cluster cluster({});
    const auto key = cluster.grant("red");
    cluster.waitFor("each data centre holds a part of the limit", [&] {
        for (std::size_t i = 0; i < 3; ++i) {
            if (!cluster.status(i)["escrow"].contains("red")
                || cluster.status(i)["escrow"]["red"].value("held", 0) == 0)
                return false;
        }
        return true;
    });
    cluster.cutOff("three", true);
    ASSERT_EQ(cluster.ctl({ "withdraw", key.substr(0, key.find('.')) }).first, 0);
    cluster.sleep(s_withdrawnWithin);
    for (std::size_t i = 0; i < 3; ++i)
        EXPECT_NE(cluster.submit(i, "normal", key, "").status, 200) << "entry " << i;
    EXPECT_TRUE(cluster.submit(2, "open", "", "").isOk())
        << "work without a key goes on: " << cluster.status(2).dump(2);
    cluster.heal();
    cluster.waitFor(
        "the withdrawal arrives", [&] { return cluster.submit(2, "normal", key, "").status == 403; }, s_inForceWithin);
}

TEST(Configuration, KeyedWorkGoesOnWhileThePlatformIsDownForAll)
{
    Cluster cluster({});
    const auto key = cluster.grant("red");
    for (std::size_t i = 0; i < 3; ++i)
        ASSERT_TRUE(cluster.submit(i, "normal", key, "").isOk());
    cluster.platformFault("", "silent");
    cluster.sleep(Duration(6000));
    for (std::size_t i = 0; i < 3; ++i)
        EXPECT_TRUE(cluster.submit(i, "normal", key, "").isOk());
}

TEST(Configuration, RacingOperatorsGetOneWinnerAndLostAnswersAreResolved)
{
    Cluster cluster({});
    const auto file = ::testing::TempDir() + "marigold-race.toml";
    std::ofstream(file) << defaultText(cluster.options.dataCenters, 9);
    EXPECT_EQ(cluster.ctl({ "apply", file, "--from", "1" }).first, 0);
    EXPECT_EQ(cluster.ctl({ "apply", file, "--from", "1" }).first, 3)
        << "the edit was made from a version not in force";

    cluster.platformFault("", "lose-answers");
    Process operatorProcess(
        "marigoldctl", { "--platform", cluster.platforms.back().text(), "apply", file, "--from", "2" }, file + ".log");
    cluster.sleep(Duration(500));
    cluster.platformFault("", "ok");
    EXPECT_EQ(operatorProcess.waitForExit(Duration(20000)), 0) << operatorProcess.log();
    EXPECT_EQ(textVersion(cluster, 0), 3U) << "the write took effect once";
}

} // namespace marigoldlink::testing
