// Cancelling at an entry instance: once it has answered that the request was found, no task of it runs or is started.
#include "Cluster.h"

#include <algorithm>
#include <csignal>
#include <gtest/gtest.h>
#include <map>

namespace marigoldlink::testing {

namespace {

    constexpr Duration s_restartTime { 2000 };
    // Several times the timeout and the retry period of an order to stop, and less than a worker's lease.
    constexpr Duration s_unconfirmedTime { 2500 };
    // Longer than the lease of a lost worker may last with all unanswered renewals, and a task after it.
    constexpr Duration s_answerTime { 25000 };

    class Cancel : public ::testing::Test {
    protected:
        static ClusterOptions smallCluster()
        {
            ClusterOptions options;
            options.dataCenters = { "one" };
            options.workersPerDataCenter = 2;
            options.workersPerProcess = 1;
            return options;
        }

        void start(const ClusterOptions& options)
        {
            m_cluster.emplace(options);
            m_key = m_cluster->grantKey("red");
        }

        // Submits at the first entry instance. The result is "ok", or the error and the run state, and empty before.
        std::shared_ptr<std::string> submit(const std::string& id, bool isIdempotent, Duration work = Duration(6000),
            Duration deadline = Duration(30000))
        {
            auto outcome = std::make_shared<std::string>();
            const Json body { { "id", id }, { "work_ms", work.count() } };
            HttpCall call { "POST", "/v1/queues/normal/tasks", body.dump(), {}, Duration(30000) };
            call.headers = { { "authorization", "Bearer " + m_key }, { "x-request-id", id },
                { "x-idempotent", isIdempotent ? "true" : "false" },
                { "x-deadline-ms", std::to_string(deadline.count()) } };
            m_cluster->client.send(m_cluster->entries[0].endpoint, call, [outcome](const HttpResult& result) {
                const auto json = Json::parse(result.body, nullptr, false);
                *outcome = result.isOk() ? "ok"
                    : json.is_object()   ? json.value("error", "") + "/" + json.value("run_state", "")
                                         : "lost";
            });
            return outcome;
        }

        int cancel(const std::string& id)
        {
            const auto target = "/v1/requests/" + id + "/cancel";
            return m_cluster
                ->call(m_cluster->entries[0].endpoint,
                    { "POST", target, {}, { { "authorization", "Bearer " + m_key } }, Duration(2000) })
                .status;
        }

        // Cancels without waiting for the answer. The result is its status, and empty before.
        std::shared_ptr<std::optional<int>> beginCancel(const std::string& id)
        {
            auto status = std::make_shared<std::optional<int>>();
            const auto target = "/v1/requests/" + id + "/cancel";
            m_cluster->client.send(m_cluster->entries[0].endpoint,
                { "POST", target, {}, { { "authorization", "Bearer " + m_key } }, s_answerTime },
                [status](const HttpResult& result) { *status = result.status; });
            return status;
        }

        void waitForStatus(const std::optional<int>& status)
        {
            m_cluster->waitUntil(
                "the cancelling is answered", [&] { return status.has_value(); }, s_answerTime);
        }

        // Takes the data centre of the first entry instance out of service, so that it forwards.
        void startForwarding()
        {
            auto options = smallCluster();
            options.dataCenters = { "one", "two" };
            start(options);
            ASSERT_EQ(m_cluster->runMarigoldctl({ "dc", "out", "one" }).first, 0);
            m_cluster->waitUntil(
                "the entry instance forwards", [&] { return m_cluster->status(0).value("data_center_out", false); });
        }

        void setFault(const Cluster::WorkerProcess& worker, const std::string& mode)
        {
            const auto target = "/fault?mode=" + mode;
            const auto result = m_cluster->call(worker.endpoints[0], { "POST", target, {}, {}, Duration(2000) });
            ASSERT_EQ(result.status, 200);
        }

        // Cancels the request, whose task runs, while its worker drops the orders to stop it.
        void cancelWhileStopsAreDropped(const std::string& id)
        {
            auto& worker = usedWorker();
            setFault(worker, "drop-stop");
            const auto status = beginCancel(id);
            m_cluster->runFor(s_unconfirmedTime);
            EXPECT_FALSE(status->has_value()) << "answered with " << status->value_or(0) << " before the task ended";
            EXPECT_EQ(m_cluster->countRunningTasks("red"), 1);
            setFault(worker, "ok");
            waitForStatus(*status);
            EXPECT_EQ(*status, 200);
            EXPECT_EQ(m_cluster->countRunningTasks("red"), 0);
        }

        // Number of tasks of the request that were started at any worker.
        int starts(const std::string& id)
        {
            int count = 0;
            for (const auto& worker : m_cluster->workerEndpoints()) {
                for (const auto& task : m_cluster->get(worker, "/record").value("ran", Json::array()))
                    count += Json::parse(task.at("body").get<std::string>()).value("id", "") == id;
            }
            return count;
        }

        // The only worker process that has started a task.
        Cluster::WorkerProcess& usedWorker()
        {
            const auto hasStarted = [&](const Cluster::WorkerProcess& worker) {
                return m_cluster->get(worker.endpoints[0], "/stats").value("started", 0) > 0;
            };
            auto& workers = m_cluster->workers;
            return *std::find_if(workers.begin(), workers.end(), hasStarted);
        }

        void waitForStart(const std::string& id)
        {
            m_cluster->waitUntil("the task runs", [&] { return starts(id) > 0; });
        }

        void waitForOutcome(const std::string& outcome)
        {
            m_cluster->waitUntil(
                "the request is answered", [&] { return !outcome.empty(); }, s_answerTime);
        }

        std::optional<Cluster> m_cluster;
        std::string m_key;
    };

} // namespace

// A task that was stopped by cancelling its idempotent request was started again.
TEST_F(Cancel, ARunningTaskIsStoppedAndNotStartedAgain)
{
    start(smallCluster());
    const auto outcome = submit("a", true);
    waitForStart("a");
    EXPECT_EQ(cancel("a"), 200);
    m_cluster->runFor(s_restartTime);
    EXPECT_EQ(starts("a"), 1);
    EXPECT_EQ(m_cluster->countRunningTasks("red"), 0);
    EXPECT_EQ(*outcome, "worker-lost/unknown");
}

// A request that was cancelled while its lost start was being resolved was started at another worker.
TEST_F(Cancel, ATaskOfALostWorkerIsNotStartedElsewhere)
{
    start(smallCluster());
    const auto outcome = submit("a", true);
    waitForStart("a");
    usedWorker().process.kill();
    m_cluster->runFor(Duration(300));
    const auto status = beginCancel("a");
    waitForOutcome(*outcome);
    waitForStatus(*status);
    EXPECT_EQ(*status, 200);
    EXPECT_EQ(*outcome, "worker-lost/unknown");
    EXPECT_EQ(starts("a"), 0) << "tasks at the other worker";
}

// Cancelling an id that its call was still claiming was answered with 404, and the request ran afterwards.
TEST_F(Cancel, ARequestThatClaimsItsIdIsNotStarted)
{
    auto options = smallCluster();
    options.entriesPerDataCenter = 3;
    start(options);
    m_cluster->waitUntil(
        "the entry instance holds escrow", [&] { return m_cluster->status(0)["escrow"]["red"].value("held", 0) > 0; });
    // Each instance owns about a third of the ids. Those of a frozen owner stay claimed. The requests are sent one by
    // one, so that none is forwarded to a frozen instance for lack of escrow.
    m_cluster->entries[1].process.signal(SIGSTOP);
    m_cluster->entries[2].process.signal(SIGSTOP);
    std::string id;
    std::shared_ptr<std::string> outcome;
    for (int i = 0; i < 10 && (!outcome || !outcome->empty()); ++i) {
        id = "id-" + std::to_string(i);
        outcome = submit(id, false, Duration(1));
        m_cluster->runFor(Duration(250));
    }
    ASSERT_TRUE(outcome->empty());
    EXPECT_EQ(cancel(id), 200);
    m_cluster->entries[1].process.signal(SIGCONT);
    m_cluster->entries[2].process.signal(SIGCONT);
    waitForOutcome(*outcome);
    EXPECT_EQ(*outcome, "cancelled/not run");
    EXPECT_EQ(starts(id), 0);
}

// Of two calls with the same id, only the later one was cancelled.
TEST_F(Cancel, EveryCallWithTheIdIsCancelled)
{
    start(smallCluster());
    const auto first = submit("a", true);
    const auto second = submit("a", true);
    m_cluster->waitUntil("both tasks run", [&] { return starts("a") == 2; });
    EXPECT_EQ(cancel("a"), 200);
    waitForOutcome(*first);
    waitForOutcome(*second);
    EXPECT_EQ(*first, "worker-lost/unknown");
    EXPECT_EQ(*second, "worker-lost/unknown");
    EXPECT_EQ(starts("a"), 2);
}

// A request that had been forwarded went on at the peer after it had been cancelled.
TEST_F(Cancel, AForwardedTaskIsStoppedByThePeer)
{
    auto options = smallCluster();
    options.dataCenters = { "one", "two" };
    start(options);
    ASSERT_EQ(m_cluster->runMarigoldctl({ "dc", "out", "one" }).first, 0);
    m_cluster->waitUntil(
        "the entry instance forwards", [&] { return m_cluster->status(0).value("data_center_out", false); });
    const auto outcome = submit("a", true);
    waitForStart("a");
    EXPECT_EQ(cancel("a"), 200);
    waitForOutcome(*outcome);
    EXPECT_EQ(*outcome, "worker-lost/unknown");
    EXPECT_EQ(starts("a"), 1);
    EXPECT_EQ(m_cluster->countRunningTasks("red"), 0);
}

// Cancelling was acknowledged while a frozen peer had the request, and the peer started it afterwards.
TEST_F(Cancel, AFrozenPeerStartsNothingAfterTheAcknowledgement)
{
    auto options = smallCluster();
    options.dataCenters = { "one", "two" };
    start(options);
    ASSERT_EQ(m_cluster->runMarigoldctl({ "dc", "out", "one" }).first, 0);
    m_cluster->waitUntil(
        "the entry instance forwards", [&] { return m_cluster->status(0).value("data_center_out", false); });
    // Once a request was answered, the peer is known to have capacity.
    const auto earlier = submit("earlier", true, Duration(1));
    waitForOutcome(*earlier);
    m_cluster->entries[1].process.signal(SIGSTOP);
    const auto outcome = submit("a", true);
    m_cluster->runFor(Duration(200));
    std::optional<int> acknowledged;
    m_cluster->client.send(m_cluster->entries[0].endpoint,
        { "POST", "/v1/requests/a/cancel", {}, { { "authorization", "Bearer " + m_key } }, Duration(10000) },
        [&acknowledged](const HttpResult& result) { acknowledged = result.status; });
    m_cluster->runFor(Duration(300));
    const bool wasEarly = acknowledged.has_value();
    m_cluster->entries[1].process.signal(SIGCONT);
    m_cluster->waitUntil("the cancelling is acknowledged", [&] { return acknowledged.has_value(); });
    EXPECT_EQ(*acknowledged, 200);
    const auto startsBefore = wasEarly ? 0 : starts("a");
    waitForOutcome(*outcome);
    EXPECT_NE(*outcome, "ok");
    EXPECT_EQ(starts("a"), startsBefore);
    EXPECT_EQ(m_cluster->countRunningTasks("red"), 0);
}

// One lost order to stop let the task run on after its cancelling had been acknowledged.
TEST_F(Cancel, ALostStopIsRepeatedBeforeTheAcknowledgement)
{
    start(smallCluster());
    const auto outcome = submit("a", true, Duration(12000));
    waitForStart("a");
    cancelWhileStopsAreDropped("a");
    waitForOutcome(*outcome);
    EXPECT_EQ(*outcome, "worker-lost/unknown");
    EXPECT_EQ(starts("a"), 1);
}

// Cancelling was acknowledged while a frozen worker still held the lease of the task.
TEST_F(Cancel, ATaskOfAFrozenWorkerHasEndedBeforeTheAcknowledgement)
{
    start(smallCluster());
    const auto outcome = submit("a", true, Duration(20000));
    waitForStart("a");
    auto& worker = usedWorker();
    worker.process.signal(SIGSTOP);
    const auto status = beginCancel("a");
    m_cluster->runFor(s_unconfirmedTime);
    EXPECT_FALSE(status->has_value()) << "answered with " << status->value_or(0) << " within the lease";
    waitForStatus(*status);
    EXPECT_EQ(*status, 200);
    worker.process.signal(SIGCONT);
    waitForOutcome(*outcome);
    EXPECT_EQ(*outcome, "worker-lost/unknown");
    EXPECT_EQ(starts("a"), 1);
    EXPECT_EQ(m_cluster->countRunningTasks("red"), 0);
}

// A peer confirmed a cancelling although the order to stop its task had been lost.
TEST_F(Cancel, APeerConfirmsOnlyOnceItsTaskIsStopped)
{
    startForwarding();
    const auto outcome = submit("a", true, Duration(12000));
    waitForStart("a");
    cancelWhileStopsAreDropped("a");
    waitForOutcome(*outcome);
    EXPECT_EQ(*outcome, "worker-lost/unknown");
    EXPECT_EQ(starts("a"), 1);
}

// A forward that a frozen peer had not read counted as ended once its connection was lost, and was started afterwards.
TEST_F(Cancel, AnUnreadForwardIsNotStartedAfterTheAcknowledgement)
{
    startForwarding();
    // Once a request was answered, the peer is known to have capacity.
    const auto earlier = submit("earlier", true, Duration(1));
    waitForOutcome(*earlier);
    m_cluster->entries[1].process.signal(SIGSTOP);
    const auto outcome = submit("a", true, Duration(6000), Duration(1000));
    m_cluster->runFor(Duration(200));
    const auto status = beginCancel("a");
    waitForOutcome(*outcome);
    EXPECT_EQ(*outcome, "worker-lost/unknown");
    m_cluster->runFor(Duration(200));
    const bool wasEarly = status->has_value();
    m_cluster->entries[1].process.signal(SIGCONT);
    waitForStatus(*status);
    EXPECT_EQ(*status, 200);
    const auto startsBefore = wasEarly ? 0 : starts("a");
    EXPECT_TRUE(wasEarly || m_cluster->countRunningTasks("red") == 0);
    m_cluster->runFor(Duration(1000));
    EXPECT_EQ(starts("a"), startsBefore) << "started after the acknowledgement";
}

// A removed peer counts as having ended its forwards: it would start one that it reads once it has joined again.
TEST_F(Cancel, ARemovedPeerStartsNothingOnceItJoinsAgain)
{
    startForwarding();
    const auto earlier = submit("earlier", true, Duration(1));
    waitForOutcome(*earlier);
    m_cluster->entries[1].process.signal(SIGSTOP);
    const auto outcome = submit("a", true, Duration(6000), Duration(1000));
    m_cluster->runFor(Duration(200));
    const auto status = beginCancel("a");
    m_cluster->waitUntil(
        "the peer is removed", [&] { return m_cluster->status(0).value("members", 0U) == 1; }, s_answerTime);
    waitForStatus(*status);
    EXPECT_EQ(*status, 200);
    m_cluster->entries[1].process.signal(SIGCONT);
    m_cluster->waitUntil("the peer joins again", [&] { return m_cluster->status(0).value("members", 0U) == 2; });
    m_cluster->runFor(s_restartTime);
    EXPECT_EQ(*outcome, "worker-lost/unknown");
    EXPECT_EQ(starts("a"), 0);
}

// Of a request that was forwarded again after a lost connection, only the last forward was cancelled.
TEST_F(Cancel, EveryForwardOfARequestIsCancelled)
{
    startForwarding();
    const auto outcome = submit("a", true);
    waitForStart("a");
    m_cluster->entries[1].relay->closeConnections();
    m_cluster->waitUntil("the request is forwarded again", [&] { return starts("a") >= 2; });
    EXPECT_EQ(m_cluster->countRunningTasks("red"), starts("a"));
    const auto status = beginCancel("a");
    waitForStatus(*status);
    EXPECT_EQ(*status, 200);
    EXPECT_EQ(m_cluster->countRunningTasks("red"), 0);
    waitForOutcome(*outcome);
    EXPECT_EQ(*outcome, "worker-lost/unknown");
}

} // namespace marigoldlink::testing
