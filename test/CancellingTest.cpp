// Cancellings that overtake their submissions: after an acknowledged cancelling the job never starts.
#include "NodeCluster.h"

#include <algorithm>
#include <cstdlib>
#include <gtest/gtest.h>
#include <thread>

namespace marigoldlink::testing {

namespace {

    constexpr Milliseconds s_firstStep { 6000 };
    constexpr Milliseconds s_secondStep { 2000 };
    constexpr Milliseconds s_clientPatience { 800 };
    constexpr Milliseconds s_answerTime { 3000 };
    constexpr Milliseconds s_electionTime { 15000 };
    constexpr Milliseconds s_freeze { 1500 };
    constexpr Milliseconds s_poll { 20 };
    // Longest time in which a held submission is accepted, including an election.
    constexpr Milliseconds s_lateSubmission { 6000 };
    const std::string s_job = "00000000000000b2";
    const std::string s_path = "/q/" + s_job;

    std::string jobId(std::size_t number)
    {
        char text[17];
        std::snprintf(text, sizeof(text), "%016zx", number);
        return text;
    }

    void sleepUntil(Milliseconds time) { standin::sleepMs((time - NodeCluster::now()).count()); }

    // Reads until an instance knows a coordinator that answers.
    CallerResponse readWhenServed(const standin::Node& node, const std::string& path)
    {
        const auto until = NodeCluster::now() + s_electionTime;
        while (true) {
            Caller reader(node, "key-1");
            const auto response = reader.call("GET", path);
            const bool isServed = response.status && response.status < 500 && response.status != 429;
            if (isServed || NodeCluster::now() >= until)
                return response;
            standin::sleepMs(s_poll.count());
        }
    }

    // A submission that waits in the socket of a frozen instance, and the cancelling that overtakes it.
    class OvertakenSubmission {
    public:
        enum class Entry {
            Other,
            Coordinator,
        };

        explicit OvertakenSubmission(Entry entry = Entry::Other)
            : m_coordinator(m_cluster.awaitCoordinator())
            , m_frozen(entry == Entry::Coordinator ? m_coordinator : m_cluster.after(m_coordinator))
            , m_other(m_cluster.after(m_coordinator, 2))
            , m_submitter(m_cluster.node(m_frozen), "key-1")
        {
        }

        NodeCluster& cluster() { return m_cluster; }
        NodeIndex coordinator() const { return m_coordinator; }
        NodeIndex other() const { return m_other; }
        Caller& submitter() { return m_submitter; }
        Milliseconds acknowledgedAt() const { return m_acknowledgedAt; }

        void freezeEntry()
        {
            m_cluster.freeze(m_frozen);
            m_frozenAt = NodeCluster::now();
        }

        // The frozen instance takes part again 1.5 s after the freeze, or at once if that has passed.
        void thawEntry()
        {
            sleepUntil(m_frozenAt + s_freeze);
            m_cluster.thaw(m_frozen);
        }

        void submit() { m_submitter.send("POST", s_path, twoStepJob(s_firstStep, s_secondStep)); }

        // Cancels the job until that is acknowledged.
        void cancel()
        {
            const auto until = NodeCluster::now() + Milliseconds(5000);
            do {
                Caller caller(m_cluster.node(m_other), "key-1");
                const auto response = caller.call("DELETE", s_path);
                if (response.isCancelAcknowledged()) {
                    m_acknowledgedAt = NodeCluster::now();
                    return;
                }
                standin::sleepMs(s_poll.count());
            } while (NodeCluster::now() < until);
            throw std::runtime_error("the cancelling was not acknowledged");
        }

        // Watches the workers until a second step of a job that was accepted late would have started.
        void expectNothingStarts()
        {
            sleepUntil(m_acknowledgedAt + s_lateSubmission + s_firstStep);
            for (const auto& run : m_cluster.runs(s_job)) {
                const auto start = Milliseconds(run.startedAt) - m_acknowledgedAt;
                EXPECT_LE(start, s_cancelBound)
                    << run.task << " starts " << start.count() << " ms after the cancelling was acknowledged";
                const auto end = Milliseconds(run.endedAt.value_or(standin::record.now())) - m_acknowledgedAt;
                EXPECT_LE(end, s_cancelBound + s_stopBound)
                    << run.task << " still runs " << end.count() << " ms after the cancelling was acknowledged";
            }
        }

    private:
        NodeCluster m_cluster;
        NodeIndex m_coordinator;
        NodeIndex m_frozen;
        NodeIndex m_other;
        Caller m_submitter;
        Milliseconds m_frozenAt { 0 };
        Milliseconds m_acknowledgedAt { 0 };
    };

} // namespace

// Control of the tests below: a cancelling that follows the response to the submission.
TEST(Cancelling, AnsweredSubmissionStopsInTime)
{
    OvertakenSubmission scene;
    scene.submit();
    ASSERT_EQ(scene.submitter().receive(s_answerTime).status, 200);
    scene.cancel();
    scene.expectNothingStarts();
}

// Fails if an instance that was frozen passes on a submission whose cancelling was acknowledged meanwhile.
TEST(Cancelling, OvertakenSubmissionNeverStarts)
{
    OvertakenSubmission scene;
    scene.freezeEntry();
    scene.submit();
    ASSERT_EQ(scene.submitter().receive(s_clientPatience).status, 0);
    scene.cancel();
    scene.thawEntry();
    scene.expectNothingStarts();
}

// Fails if a coordinator that was replaced while it was frozen passes a cancelled submission on to its successor.
TEST(Cancelling, OvertakenSubmissionAtAFrozenCoordinatorNeverStarts)
{
    OvertakenSubmission scene(OvertakenSubmission::Entry::Coordinator);
    scene.freezeEntry();
    scene.submit();
    ASSERT_EQ(scene.submitter().receive(s_clientPatience).status, 0);
    scene.cancel();
    scene.thawEntry();
    scene.expectNothingStarts();
}

// Fails if what a cancelling leaves behind is lost with the coordinator that acknowledged it.
TEST(Cancelling, OvertakenSubmissionNeverStartsAtASuccessor)
{
    OvertakenSubmission scene;
    scene.freezeEntry();
    scene.submit();
    ASSERT_EQ(scene.submitter().receive(s_clientPatience).status, 0);
    scene.cancel();
    scene.cluster().kill(scene.coordinator());
    scene.thawEntry();
    scene.expectNothingStarts();
}

// Fails if a successor accepts the submission, which is passed on only when that successor is in charge.
TEST(Cancelling, OvertakenSubmissionNeverStartsAfterAnElection)
{
    OvertakenSubmission scene;
    scene.freezeEntry();
    scene.submit();
    ASSERT_EQ(scene.submitter().receive(s_clientPatience).status, 0);
    scene.cancel();
    scene.cluster().kill(scene.coordinator());
    scene.cluster().awaitSuccessor(scene.coordinator());
    scene.thawEntry();
    scene.expectNothingStarts();
}

// Fails if a successor starts a submission that its predecessor has received too late.
TEST(Cancelling, OvertakenSubmissionNeverStartsWhenTheCoordinatorIsKilledAfterIt)
{
    constexpr Milliseconds timeToPassOn { 300 };
    OvertakenSubmission scene;
    scene.freezeEntry();
    scene.submit();
    ASSERT_EQ(scene.submitter().receive(s_clientPatience).status, 0);
    scene.cancel();
    scene.thawEntry();
    standin::sleepMs(timeToPassOn.count());
    scene.cluster().kill(scene.coordinator());
    scene.expectNothingStarts();
}

// Fails if a cancelling of an unknown job makes a job visible, at this coordinator or its successor.
TEST(Cancelling, CancelledButNeverSubmittedIsNotShown)
{
    NodeCluster cluster;
    const auto coordinator = cluster.awaitCoordinator();
    const auto other = cluster.after(coordinator);
    Caller caller(cluster.node(other), "key-1");
    ASSERT_EQ(caller.call("DELETE", s_path).status, 410);
    const auto expectNotShown = [&](NodeIndex index) {
        EXPECT_EQ(readWhenServed(cluster.node(index), s_path).status, 410);
        const auto queue = readWhenServed(cluster.node(index), "/q/");
        EXPECT_EQ(queue.status, 200);
        EXPECT_EQ(standin::Json::parse(queue.body, nullptr, false).value("waiting", -1), 0) << queue.body;
    };
    for (std::size_t n = 0; n < 3; ++n)
        expectNotShown(cluster.after(coordinator, n));

    cluster.kill(coordinator);
    EXPECT_EQ(readWhenServed(cluster.node(other), s_path).status, 410);
    cluster.awaitSuccessor(coordinator);
    for (std::size_t n = 1; n < 3; ++n)
        expectNotShown(cluster.after(coordinator, n));
}

// Fails if cancellings of ids that never existed are remembered without bound, or push out those of other teams.
TEST(Cancelling, CancellingsOfUnknownJobsAreBoundedPerTeam)
{
    constexpr std::size_t cancellings = 600;
    constexpr std::size_t bound = 500; // remembered for each team at a time
    constexpr std::size_t connections = 6;
    NodeCluster cluster;
    const auto coordinator = cluster.awaitCoordinator();
    std::vector<CallerResponse> responses(cancellings);
    std::vector<std::thread> threads;
    for (std::size_t connection = 0; connection < connections; ++connection) {
        threads.emplace_back([&, connection] {
            Caller caller(cluster.node(cluster.after(coordinator, connection)), "key-1");
            for (std::size_t i = connection; i < cancellings; i += connections)
                responses[i] = caller.call("DELETE", "/q/" + jobId(i));
        });
    }
    for (auto& thread : threads)
        thread.join();
    std::size_t acknowledged = 0;
    for (const auto& response : responses) {
        acknowledged += response.status == 410;
        EXPECT_TRUE(response.status == 410 || response.status == 429) << response.status;
        EXPECT_TRUE(response.status != 429 || response.headers.contains("retry-after"));
    }
    EXPECT_EQ(acknowledged, bound);
    const auto remembered = std::find_if(
        responses.begin(), responses.end(), [](const CallerResponse& response) { return response.status == 410; });
    ASSERT_NE(remembered, responses.end());
    Caller late(cluster.node(coordinator), "key-1");
    const auto id = jobId(static_cast<std::size_t>(remembered - responses.begin()));
    EXPECT_TRUE(late.call("POST", "/q/" + id, twoStepJob(s_firstStep, s_secondStep)).isRejection());

    const auto other = cluster.after(coordinator);
    Caller otherTeam(cluster.node(other), "key-2");
    EXPECT_EQ(otherTeam.call("DELETE", "/q/" + jobId(cancellings)).status, 410);

    Caller sameTeam(cluster.node(other), "key-1");
    const auto path = "/q/" + jobId(cancellings + 1);
    EXPECT_EQ(sameTeam.call("POST", path, twoStepJob(s_firstStep, s_secondStep)).status, 200);
    EXPECT_EQ(sameTeam.call("DELETE", path).status, 200);
    EXPECT_EQ(shownState(sameTeam.call("GET", path)).value_or("none"), "cancelled");
}

// Fails if a submission that arrives after the acknowledgement of its cancelling is told that the job was accepted.
TEST(Cancelling, OvertakenSubmissionIsRejected)
{
    constexpr Milliseconds responseTime { 5000 };
    constexpr Milliseconds observation { 6000 };
    OvertakenSubmission scene;
    scene.freezeEntry();
    scene.submit();
    scene.cancel();
    scene.thawEntry();
    const auto response = scene.submitter().receive(responseTime);
    EXPECT_TRUE(response.isRejection()) << response.status << ' ' << response.body;
    const auto until = NodeCluster::now() + observation;
    bool isOver;
    do {
        isOver = NodeCluster::now() >= until;
        for (std::size_t n = 0; n < 3; ++n) {
            Caller reader(scene.cluster().node(scene.cluster().after(scene.coordinator(), n)), "key-1");
            const auto read = reader.call("GET", s_path);
            if (read.status == 200) {
                EXPECT_EQ(shownState(read).value_or("none"), "cancelled");
            } else if (isOver) {
                EXPECT_EQ(read.status, 410);
            }
        }
        standin::sleepMs(Milliseconds(200).count());
    } while (!isOver);
    EXPECT_TRUE(scene.cluster().runs(s_job).empty());
}

} // namespace marigoldlink::testing
