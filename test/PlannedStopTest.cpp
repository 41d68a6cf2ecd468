// A graceful shutdown on SIGTERM interrupts no request, and hands over the state of the process to other entries.
#include "Cluster.h"
#include "PlainConnection.h"

#include <csignal>
#include <gtest/gtest.h>
#include <iostream>
#include <set>
#include <thread>

namespace marigoldlink::testing {

namespace {

    using Clock = std::chrono::steady_clock;

    constexpr std::size_t s_clients = 16;
    constexpr std::size_t s_manyClients = 200;
    // The time for which the load runs before SIGTERM.
    constexpr Duration s_loadTime { 500 };
    // Longer than a stop without any client, which takes about 1 s.
    constexpr std::chrono::milliseconds s_lateTime { 2500 };
    constexpr Duration s_exitTimeout { 20000 };
    // Shorter than the time after which a silent member is removed.
    constexpr Duration s_escrowWatchTime { 1000 };
    // A caller may send a request again elsewhere if its connection ends so soon after the request was sent and no task
    // was started.
    constexpr std::chrono::milliseconds s_repeatableTime { 200 };
    constexpr std::chrono::milliseconds s_refusedPause { 5 };
    constexpr std::size_t s_pipelined = 8;
    // Exceeds the buffers of both sockets.
    constexpr std::size_t s_largeBytes = 500000;
    constexpr int s_smallReceiveBuffer = 8192;
    // Fits into the send buffer of the process, but not into the small receive buffer.
    constexpr std::size_t s_bufferedBytes = 30000;

    ClusterOptions twoEntries()
    {
        ClusterOptions options;
        options.dataCenters = { "one" };
        options.entriesPerDataCenter = 2;
        return options;
    }

    std::string taskBody(const std::string& id, std::size_t padding = 0)
    {
        return Json { { "id", id }, { "work_ms", 2 }, { "padding", std::string(padding, 'x') } }.dump();
    }

    std::string taskRequest(const std::string& id, const std::string& body)
    {
        return "POST /v1/queues/open/tasks HTTP/1.1\r\nhost: entry\r\nx-request-id: " + id
            + "\r\ncontent-length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    }

    std::string statusRequest(const std::string&) { return "GET /status HTTP/1.1\r\nhost: keeper\r\n\r\n"; }

    // A request without a whole response.
    struct LostRequest {
        std::string id;
        bool isFirstOfConnection { false };
        std::chrono::milliseconds age; // when the connection ended

        std::string text() const
        {
            return id + (isFirstOfConnection ? " (first of its connection)" : "") + " after "
                + std::to_string(age.count()) + " ms\n";
        }
    };

    struct ClientReport {
        std::size_t answered { 0 };
        std::size_t served { 0 }; // with status 200
        std::size_t toldToLeave { 0 }; // responses with "Connection: close"
        std::vector<LostRequest> lost;
    };

    // Keeps a connection and sends one request after the other on it. Opens another connection to the same process when
    // told to leave, until the process accepts none.
    template <typename RequestText>
    ClientReport runClient(const Endpoint& endpoint, const std::string& prefix, RequestText request)
    {
        ClientReport report;
        std::size_t number = 0;
        while (true) {
            PlainConnection connection(endpoint);
            if (!connection.isOpen())
                return report;
            for (bool isFirst = true, isLast = false; !isLast; isFirst = false) {
                const auto id = prefix + std::to_string(number++);
                const auto sentAt = Clock::now();
                const auto response
                    = connection.send(request(id)) ? connection.receive() : std::optional<PlainResponse>();
                if (!response) {
                    report.lost.push_back(
                        { id, isFirst, std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - sentAt) });
                    break;
                }
                ++report.answered;
                report.served += response->status == 200;
                isLast = response->isLast;
                report.toldToLeave += isLast;
                if (response->status != 200)
                    std::this_thread::sleep_for(s_refusedPause);
            }
        }
    }

    // Runs clients until the process, which gets SIGTERM after a while, has exited.
    template <typename RequestText>
    std::vector<ClientReport> runClientsUntilExit(
        Cluster& cluster, Process& process, const Endpoint& endpoint, std::size_t clients, RequestText request)
    {
        std::vector<ClientReport> reports(clients);
        std::vector<std::thread> threads;
        for (std::size_t i = 0; i < clients; ++i) {
            threads.emplace_back(
                [&, i] { reports[i] = runClient(endpoint, "client-" + std::to_string(i) + "-", request); });
        }
        cluster.runFor(s_loadTime);
        process.signal(SIGTERM);
        EXPECT_EQ(process.waitForExit(s_exitTimeout), 0) << process.log();
        process.kill();
        for (auto& thread : threads)
            thread.join();
        return reports;
    }

    // A connection that the process accepts just before it closes its listener may end at once. Its client knows soon,
    // and nothing was started. All other requests must be answered.
    void expectNothingLost(const std::vector<ClientReport>& reports, const std::set<std::string>& startedIds)
    {
        std::size_t answered = 0;
        std::size_t lost = 0;
        std::size_t repeatable = 0;
        std::size_t stayed = 0;
        std::string examples;
        for (const auto& report : reports) {
            answered += report.answered;
            stayed += report.toldToLeave == 0;
            EXPECT_GT(report.served, 0U);
            for (const auto& request : report.lost) {
                if (request.isFirstOfConnection && request.age <= s_repeatableTime
                    && !startedIds.contains(request.id)) {
                    ++repeatable;
                    continue;
                }
                ++lost;
                examples += request.text();
            }
        }
        std::cout << answered << " answered, " << lost << " lost, " << repeatable << " on connections opened last\n";
        EXPECT_EQ(lost, 0U) << "of " << answered + lost << " requests:\n" << examples;
        EXPECT_EQ(stayed, 0U) << "clients without a response that told them to leave";
    }

    std::set<std::string> startedIds(Cluster& cluster)
    {
        std::set<std::string> ids;
        for (const auto& worker : cluster.workerEndpoints()) {
            const auto record = cluster.get(worker, "/record");
            EXPECT_TRUE(record.contains("ran")) << cluster.describeWorkers();
            for (const auto& task : record.value("ran", Json::array()))
                ids.insert(Json::parse(task.at("body").get<std::string>()).value("id", ""));
        }
        return ids;
    }

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

// Guards against requests that are read after the last look at the number of open calls, which nobody answers.
TEST(PlannedStop, AnswersEveryRequestOnKeptConnections)
{
    Cluster cluster(twoEntries());
    auto& entry = cluster.entries[0];
    const auto reports = runClientsUntilExit(cluster, entry.process, entry.endpoint, s_clients,
        [](const std::string& id) { return taskRequest(id, taskBody(id)); });
    expectNothingLost(reports, startedIds(cluster));
}

// Guards against a stop that does not end while many clients connect again as soon as they are told to leave.
TEST(PlannedStop, EndsWhileManyClientsConnectAgain)
{
    Cluster cluster(twoEntries());
    auto& entry = cluster.entries[0];
    const auto reports = runClientsUntilExit(cluster, entry.process, entry.endpoint, s_manyClients,
        [](const std::string& id) { return taskRequest(id, taskBody(id)); });
    expectNothingLost(reports, startedIds(cluster));
}

// Guards against an exit when an answer was handed to the HTTP library, but not sent to its last byte, and before the
// requests behind it were read.
TEST(PlannedStop, SendsAnswersToTheLastByteAndServesPipelinedRequests)
{
    Cluster cluster(twoEntries());
    auto& entry = cluster.entries[0];
    PlainConnection connection(entry.endpoint, s_smallReceiveBuffer);
    std::vector<std::string> ids { "large" };
    std::string requests = taskRequest(ids[0], taskBody(ids[0], s_largeBytes));
    for (std::size_t i = 0; i < s_pipelined; ++i) {
        ids.push_back("pipelined-" + std::to_string(i));
        requests += taskRequest(ids.back(), taskBody(ids.back()));
    }
    ASSERT_TRUE(connection.send(requests));
    cluster.waitUntil("the task with the large answer has run", [&] { return startedIds(cluster).contains(ids[0]); });
    cluster.runFor(s_loadTime);
    entry.process.signal(SIGTERM);
    std::this_thread::sleep_for(s_lateTime);
    connection.readSlowly(s_smallReceiveBuffer, std::chrono::milliseconds(2));
    for (const auto& id : ids) {
        const auto response = connection.receive();
        ASSERT_TRUE(response.has_value()) << "no whole answer to " << id << '\n' << entry.process.log();
        const bool isRefused
            = response->status == 503 && Json::parse(response->body).value("run_state", "") == "not run";
        EXPECT_TRUE(response->status == 200 || isRefused) << id << ": " << response->status;
        EXPECT_EQ(response->status == 200, startedIds(cluster).contains(id)) << id;
    }
    EXPECT_TRUE(connection.isAtEnd());
    EXPECT_EQ(entry.process.waitForExit(s_exitTimeout), 0) << entry.process.log();
}

// Guards against an exit while a request is read in part, which is not counted as a call yet.
TEST(PlannedStop, AnswersARequestWhoseBodyIsCompletedLate)
{
    Cluster cluster(twoEntries());
    auto& entry = cluster.entries[0];
    const auto request = taskRequest("late", taskBody("late"));
    PlainConnection connection(entry.endpoint);
    ASSERT_TRUE(connection.send(std::string_view(request).substr(0, request.size() - 1)));
    cluster.runFor(s_loadTime);
    entry.process.signal(SIGTERM);
    std::this_thread::sleep_for(s_lateTime);
    EXPECT_TRUE(connection.send(std::string_view(request).substr(request.size() - 1)));
    const auto response = connection.receive();
    ASSERT_TRUE(response.has_value()) << "no answer\n" << entry.process.log();
    EXPECT_EQ(response->status, 503) << response->body;
    EXPECT_EQ(Json::parse(response->body).value("run_state", ""), "not run") << response->body;
    EXPECT_TRUE(response->isLast) << "the answer does not tell the client to leave";
    EXPECT_EQ(entry.process.waitForExit(s_exitTimeout), 0) << entry.process.log();
}

// Guards against a stop that waits without end for clients that are silent, do not complete a request, or do not read.
TEST(PlannedStop, EndsDespiteClientsThatNeverFinish)
{
    auto options = twoEntries();
    options.entrySettings = "[limits]\nbody_ms = 1000\nanswer_ms = 1000\n";
    Cluster cluster(options);
    auto& entry = cluster.entries[0];
    PlainConnection silent(entry.endpoint);
    PlainConnection idle(entry.endpoint);
    ASSERT_TRUE(idle.send(taskRequest("idle", taskBody("idle"))));
    ASSERT_TRUE(idle.receive().has_value());
    PlainConnection incomplete(entry.endpoint);
    const auto request = taskRequest("incomplete", taskBody("incomplete"));
    ASSERT_TRUE(incomplete.send(std::string_view(request).substr(0, request.size() - 1)));
    PlainConnection unread(entry.endpoint, s_smallReceiveBuffer);
    ASSERT_TRUE(unread.send(taskRequest("unread", taskBody("unread", s_largeBytes))));
    PlainConnection unacknowledged(entry.endpoint, s_smallReceiveBuffer);
    ASSERT_TRUE(unacknowledged.send(taskRequest("unacknowledged", taskBody("unacknowledged", s_bufferedBytes))));
    cluster.waitUntil("the tasks with the unread answers have run", [&] {
        const auto ids = startedIds(cluster);
        return ids.contains("unread") && ids.contains("unacknowledged");
    });
    entry.process.signal(SIGTERM);
    EXPECT_EQ(entry.process.waitForExit(Duration(8000)), 0) << entry.process.log();
    // The limits end each of them before the bound of the wait.
    const auto log = entry.process.log();
    EXPECT_NE(log.find("Stopped."), std::string::npos) << log;
    EXPECT_EQ(log.find("Clients did not end their connections in time."), std::string::npos) << log;
    EXPECT_TRUE(silent.isAtEnd());
    EXPECT_TRUE(idle.isAtEnd());
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

// Guards against a keeper that ends at once and drops the requests that it has read or not read yet.
TEST(PlannedStop, KeeperAnswersEveryRequestOnKeptConnections)
{
    Cluster cluster(twoEntries());
    const auto reports
        = runClientsUntilExit(cluster, cluster.keepers[0], cluster.keeperEndpoints[0], s_clients, statusRequest);
    expectNothingLost(reports, {});
}

} // namespace marigoldlink::testing
