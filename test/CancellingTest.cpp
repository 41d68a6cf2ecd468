// Cancellings that overtake their submissions: after an acknowledged cancelling the job never starts.
#include "NodeCluster.h"

#include <cstdlib>
#include <gtest/gtest.h>

namespace marigoldlink::testing {

namespace {

    constexpr Milliseconds s_firstStep { 6000 };
    constexpr Milliseconds s_secondStep { 2000 };
    constexpr Milliseconds s_clientPatience { 800 };
    constexpr Milliseconds s_freeze { 1500 };
    constexpr Milliseconds s_poll { 20 };
    // Longest time in which a held submission is accepted, including an election.
    constexpr Milliseconds s_lateSubmission { 6000 };
    const std::string s_job = "00000000000000b2";
    const std::string s_path = "/q/" + s_job;

    void sleepUntil(Milliseconds time) { standin::sleepMs((time - NodeCluster::now()).count()); }

    // A submission that waits in the socket of a frozen instance, and the cancelling that overtakes it.
    class OvertakenSubmission {
    public:
        OvertakenSubmission()
            : m_coordinator(m_cluster.awaitCoordinator())
            , m_frozen(m_cluster.after(m_coordinator))
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
    ASSERT_EQ(scene.submitter().receive(s_clientPatience).status, 200);
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

} // namespace marigoldlink::testing

int main(int argc, char** argv)
{
    ::testing::InitGoogleTest(&argc, argv);
    const int result = RUN_ALL_TESTS();
    std::fflush(nullptr);
    // The threads of the stand-ins still run, so that no static object may be destroyed.
    std::_Exit(result);
}
