// Cancelling at an entry instance: once it has answered that the request was found, no task of it is started any more.
#include "Cluster.h"

#include <algorithm>
#include <csignal>
#include <gtest/gtest.h>
#include <map>

namespace marigoldlink::testing {

namespace {

    constexpr Duration s_restartTime { 2000 };
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
        std::shared_ptr<std::string> submit(const std::string& id, bool isIdempotent, Duration work = Duration(6000))
        {
            auto outcome = std::make_shared<std::string>();
            const Json body { { "id", id }, { "work_ms", work.count() } };
            HttpCall call { "POST", "/v1/queues/normal/tasks", body.dump(), {}, Duration(30000) };
            call.headers = { { "authorization", "Bearer " + m_key }, { "x-request-id", id },
                { "x-idempotent", isIdempotent ? "true" : "false" } };
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
    EXPECT_EQ(cancel("a"), 200);
    waitForOutcome(*outcome);
    EXPECT_EQ(*outcome, "worker-lost/unknown");
    EXPECT_EQ(starts("a"), 0) << "tasks at the other worker";
}

// Cancelling an id that its call was still claiming was answered with 404, and the request ran afterwards.
TEST_F(Cancel, ARequestThatClaimsItsIdIsNotStarted)
{
    auto options = smallCluster();
    options.entriesPerDataCenter = 2;
    start(options);
    // Each instance owns about half of the ids. Those of a frozen owner stay claimed.
    m_cluster->entries[1].process.signal(SIGSTOP);
    std::map<std::string, std::shared_ptr<std::string>> outcomes;
    for (int i = 0; i < 16; ++i) {
        const auto id = "id-" + std::to_string(i);
        outcomes[id] = submit(id, false, Duration(1));
    }
    m_cluster->runFor(Duration(400));
    std::erase_if(outcomes, [](const auto& item) { return !item.second->empty(); });
    ASSERT_FALSE(outcomes.empty());
    for (const auto& [id, outcome] : outcomes)
        EXPECT_EQ(cancel(id), 200);
    m_cluster->entries[1].process.signal(SIGCONT);
    for (const auto& [id, outcome] : outcomes) {
        waitForOutcome(*outcome);
        EXPECT_EQ(*outcome, "cancelled/not run");
        EXPECT_EQ(starts(id), 0);
    }
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

} // namespace marigoldlink::testing
