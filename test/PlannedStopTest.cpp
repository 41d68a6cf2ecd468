// A graceful shutdown on SIGTERM interrupts no request, and hands over the state of the process to other entries.
#include "Cluster.h"

#include <csignal>
#include <gtest/gtest.h>
#include <thread>

namespace marigoldlink::testing {

namespace {

    constexpr Duration s_exitTimeout { 20000 };
    // Shorter than the time after which a silent member is removed.
    constexpr Duration s_escrowWatchTime { 1000 };

} // namespace

TEST(PlannedStop, InterruptsNoRequestAndHandsOver)
{
    ClusterOptions options;
    options.entriesPerDataCenter = 2;
    Cluster cluster(options);
    Flow flow;
    flow.queue = "open";
    flow.rate = 60;
    flow.workMs = 120;
    flow.deadlineMs = 4000;
    auto load = cluster.load({ flow }, Duration(6000));
    // Like a load balancer after a failed health check, the main load sends nothing to the entry that stops.
    load.entries.erase(load.entries.begin());
    auto early = cluster.load({ flow }, Duration(1200));
    early.entries = { cluster.entries[0].endpoint };
    early.prefix = "early-";
    std::vector<Json> reports;
    std::vector<bool> cleanFlags;
    std::thread thread([&] {
        EventLoop loop;
        for (const auto& part : { early, load }) {
            Load run(loop, part);
            run.run();
            cleanFlags.push_back(run.isClean());
            reports.push_back(Json::parse(run.report()));
        }
    });
    cluster.runFor(Duration(1000));
    cluster.entries[0].process.signal(SIGTERM);
    EXPECT_EQ(cluster.entries[0].process.waitForExit(Duration(15000)), 0) << cluster.entries[0].process.log();
    thread.join();
    for (std::size_t i = 0; i < reports.size(); ++i) {
        const auto& result = reports[i].at("flows").at(0);
        EXPECT_TRUE(cleanFlags[i]) << reports[i].dump(2);
        EXPECT_EQ(result.at("unknown"), 0) << reports[i].dump(2);
        EXPECT_EQ(result.at("answered"), result.at("sent")) << reports[i].dump(2);
    }
    EXPECT_EQ(cluster.status(1).value("members", 0), 5);
    // The stopped entry handed over its request ids, so that a retry gets a definite response immediately.
    const auto repeated = cluster.submit(1, "open", "", "early-0");
    EXPECT_EQ(repeated.status, 409) << repeated.body;
}

// Guards against a stopping entry that acquires escrow again after it has returned it, while its claims are handed
// over.
TEST(PlannedStop, AcquiresNoEscrowAfterReturningIt)
{
    ClusterOptions options;
    options.dataCenters = { "one", "two" };
    Cluster cluster(options);
    auto& entry = cluster.entries[0];
    const auto holder = std::to_string(cluster.status(0).at("holder").get<std::uint64_t>());
    const auto heldSlots = [&] {
        Slots sum = 0;
        const auto range = cluster.get(cluster.platforms.back(), "/range?prefix=escrow/");
        for (const auto& item : range.at("items"))
            sum += Json::parse(item.at("value").get<std::string>()).at("held").value(holder, Slots { 0 });
        return sum;
    };
    cluster.waitUntil("the entry holds escrow", [&] { return heldSlots() > 0; });
    // Its claims cannot be handed over meanwhile.
    cluster.partition("one", false);
    entry.process.signal(SIGTERM);
    cluster.waitUntil("the entry has returned its escrow", [&] { return heldSlots() == 0; });
    const auto end = cluster.loop.now() + s_escrowWatchTime;
    while (cluster.loop.now() < end) {
        ASSERT_EQ(heldSlots(), 0);
        cluster.runFor(Duration(20));
    }
    EXPECT_EQ(entry.process.state(), "running");
    cluster.heal();
    EXPECT_EQ(entry.process.waitForExit(s_exitTimeout), 0) << entry.process.log();
}

} // namespace marigoldlink::testing
