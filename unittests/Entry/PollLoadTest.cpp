// Tests of the number of polls while ends wait for the store, and of polls of workers that do not answer.
#include "CoordinatorHarness.h"

#include <gtest/gtest.h>

namespace marigoldlink {
namespace {

    constexpr int s_workers = 1200;
    constexpr Duration s_busyPollInterval { 1000 }; // long-poll time of a worker with runs
    constexpr Duration s_lease { 3000 };

    std::string workerId(int index) { return "w" + std::to_string(index); }

    // A fleet in which each worker has run one task of a job and lists its end.
    class PollLoad : public testing::Test {
    protected:
        PollLoad()
        {
            std::vector<std::string> ids;
            for (int i = 0; i < s_workers; ++i)
                ids.push_back(workerId(i));
            for (const auto& id : ids)
                m_fleet.addWorker(id, 1000);
            m_fleet.run(Duration(50)); // first polls are sent in parts
            m_fleet.answerPolls();
            m_fleet.coordinator.finishRestore(m_fleet.now);
            storeAll();
            m_fleet.coordinator.submit(CallToken(1), CoordinatorHarness::job("a", s_workers), m_fleet.now);
            storeAll();
            m_runs = m_fleet.starts;
            m_fleet.answerStarts();
        }

        // Stores all queued records.
        void storeAll()
        {
            do {
                m_fleet.answerJournal();
                m_fleet.run(Duration(60));
            } while (m_fleet.batch);
        }

        // Answers the pending polls with all ends that are not acknowledged. Returns the number of polls.
        std::size_t answerPollsWithEnds()
        {
            std::map<WorkerId, const StartOrder*> runOf;
            for (const auto& start : m_runs)
                runOf[start.worker.id] = &start;
            const auto polls = std::exchange(m_fleet.polls, {});
            for (const auto& poll : polls) {
                m_lastPoll[poll.worker.id] = m_fleet.now;
                if (poll.acknowledged == 1)
                    m_acknowledged.insert(poll.worker.id);
                PollAnswer answer;
                answer.status = PollAnswer::Status::Answered;
                answer.startedUnixMs = poll.worker.startedUnixMs;
                answer.clockMs = m_fleet.now.time_since_epoch().count();
                const auto run = runOf.find(poll.worker.id);
                if (run != runOf.end() && poll.acknowledged < 1)
                    answer.ended.push_back({ 1, run->second->task, run->second->run, RunEnd::Done, {} });
                m_fleet.coordinator.pollAnswered(poll.worker, answer, m_fleet.now);
            }
            return polls.size();
        }

        CoordinatorHarness m_fleet;
        std::vector<StartOrder> m_runs;
        std::map<WorkerId, TimePoint> m_lastPoll;
        std::set<WorkerId> m_acknowledged; // workers whose end was acknowledged
    };

    // Guards against a feedback between the store and the polls. Workers repeat ends that are not acknowledged, so
    // their polls cannot wait. While the store was slow or unavailable, a thousand workers were polled four times a
    // second each. That took the processor time that the journal needed, which then fell behind further.
    TEST_F(PollLoad, PollsDoNotIncreaseWhileEndsWaitForTheStore)
    {
        ASSERT_EQ(m_runs.size(), static_cast<std::size_t>(s_workers));
        answerPollsWithEnds(); // the polls that were waiting
        constexpr int seconds = 4;
        std::size_t polls = 0;
        for (int i = 0; i < seconds * 1000; ++i) {
            m_fleet.run(Duration(1));
            polls += answerPollsWithEnds();
        }
        EXPECT_LE(polls, static_cast<std::size_t>(seconds * s_workers)) << "more than one a second for each worker";
        for (const auto& [id, at] : m_lastPoll)
            EXPECT_LT(m_fleet.now - at, s_lease / 2) << "the lease of " << id.value() << " is not extended in time";
    }

    // Ends are acknowledged as soon as they are stored, whatever the delay of the next poll.
    TEST_F(PollLoad, StoredEndsAreAcknowledgedAtOnce)
    {
        const auto runFor = [this](Duration time) {
            for (Duration passed { 0 }; passed < time; ++passed) {
                m_fleet.run(Duration(1));
                answerPollsWithEnds();
            }
        };
        answerPollsWithEnds();
        runFor(Duration(60));
        ASSERT_TRUE(m_fleet.batch) << "the write of the ends is in flight";
        EXPECT_EQ(m_acknowledged.size(), 0u);
        m_fleet.answerJournal();
        runFor(Duration(5));
        EXPECT_EQ(m_acknowledged.size(), static_cast<std::size_t>(s_workers));
    }

    // Fails all polls for the given time. Returns their number and records when each worker was polled last.
    std::size_t failAllPolls(CoordinatorHarness& fleet, Duration time, std::map<WorkerId, TimePoint>& lastPoll)
    {
        std::size_t count = 0;
        for (Duration passed { 0 }; passed < time; ++passed) {
            fleet.run(Duration(1));
            for (const auto& poll : std::exchange(fleet.polls, {})) {
                lastPoll[poll.worker.id] = fleet.now;
                fleet.coordinator.pollAnswered(poll.worker, {}, fleet.now);
                ++count;
            }
        }
        return count;
    }

    // Guards against polls that time out in the coordinator itself. A takeover sent two thousand polls in one iteration
    // of the event loop; connecting took longer than their timeout, so reachable workers counted as silent, and so on
    // with the next attempt.
    TEST(PollsAfterATakeover, AreSentInPartsBetweenWhichAnswersAreRead)
    {
        CoordinatorHarness fleet({ 20, 2 });
        for (int i = 0; i < s_workers; ++i)
            fleet.addWorker(workerId(i));
        std::size_t sent = 0;
        std::size_t largest = 0;
        const auto since = fleet.now;
        while (sent < s_workers && fleet.now < since + s_lease) {
            fleet.run(Duration(1));
            largest = std::max(largest, fleet.polls.size());
            sent += std::exchange(fleet.polls, {}).size();
        }
        EXPECT_EQ(sent, static_cast<std::size_t>(s_workers));
        EXPECT_LE(largest, 100u) << "a poll takes some 0.2 ms of half a core, and its answer is awaited for 600 ms";
        EXPECT_LE(fleet.now - since, Duration(100)) << "the parts follow each other at once";
    }

    // Guards against a coordinator without processor time after a takeover: up to a thousand workers did not answer,
    // most of them as they had ended, and each was polled again every 300 ms, which made up half of all polls.
    TEST(PollsOfSilentWorkers, ShareARate)
    {
        CoordinatorHarness fleet({ 20, 2 });
        WorkerEntry ended;
        ended.service = ServiceId("gates");
        for (int i = 0; i < s_workers; ++i) {
            ended.incarnation = { WorkerId(workerId(i)), 1 };
            if (i % 2)
                fleet.addWorker(workerId(i));
            fleet.coordinator.restoreWorker(ended, std::nullopt, fleet.now);
        }
        std::map<WorkerId, TimePoint> lastPoll;
        fleet.run(Duration(5));
        failAllPolls(fleet, Duration(5), lastPoll);
        fleet.coordinator.finishRestore(fleet.now);
        constexpr int seconds = 4;
        const auto polls = failAllPolls(fleet, Duration(seconds * 1000), lastPoll);
        EXPECT_LE(polls, static_cast<std::size_t>(seconds * s_workers)) << "more than one a second for each worker";
        ASSERT_EQ(lastPoll.size(), static_cast<std::size_t>(s_workers));
        for (const auto& [id, at] : lastPoll)
            EXPECT_LT(fleet.now - at, s_lease) << id.value() << " is not found again within a lease";
    }

    TEST(PollsOfSilentWorkers, ASingleOneIsPolledAgainSoonEvenBesideEndedOnes)
    {
        CoordinatorHarness fleet({ 20, 2 });
        WorkerEntry ended;
        ended.service = ServiceId("gates");
        for (int i = 0; i < s_workers; ++i) {
            ended.incarnation = { WorkerId("ended" + std::to_string(i)), 1 };
            fleet.coordinator.restoreWorker(ended, std::nullopt, fleet.now);
        }
        fleet.addWorker("w1");
        std::map<WorkerId, TimePoint> lastPoll;
        failAllPolls(fleet, Duration(20), lastPoll);
        fleet.coordinator.finishRestore(fleet.now);
        for (int i = 0; i < 10; ++i) {
            failAllPolls(fleet, Duration(400), lastPoll);
            EXPECT_LE(fleet.now - lastPoll.at(WorkerId("w1")), Duration(400));
        }
    }

} // namespace
} // namespace marigoldlink
