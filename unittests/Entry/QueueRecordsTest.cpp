// Tests of takeovers after operators changed or removed the queue of a job that runs.
#include "CoordinatorHarness.h"
#include "marigoldlink/Protocol/JobCodec.h"

#include <gmock/gmock.h>

namespace marigoldlink {
namespace {

    using testing::IsEmpty;
    using testing::SizeIs;

    // The queue of a running job gets another service, whose workers a successor reaches, while it does not reach the
    // worker of the former service.
    class TakeoverAfterAChangeOfService : public testing::Test {
    protected:
        TakeoverAfterAChangeOfService()
        {
            first.addWorker("w1");
            first.run(Duration(5));
            first.answerPolls();
            first.coordinator.finishRestore(first.now);
            first.coordinator.submit(CallToken(1), CoordinatorHarness::job("a"), first.now);
            for (int i = 0; i < 4; ++i) {
                first.run(Duration(60));
                first.storeBatch(stored);
            }
            first.run(Duration(5));
            EXPECT_THAT(first.starts, SizeIs(1));
            first.answerStarts();
        }

        static void changeService(CoordinatorHarness& fleet)
        {
            const ServiceId lanes("lanes");
            fleet.operators.config.version = 2;
            fleet.operators.config.pools.emplace(lanes, WorkerPool { lanes, false, false });
            fleet.operators.config.queues.at(QueueId("checks")).service = lanes;
            fleet.coordinator.setOperators(fleet.operators, fleet.now);
        }

        static void addLanesWorker(CoordinatorHarness& fleet, const std::string& id)
        {
            auto entry = fleet.addWorker(id);
            entry.service = ServiceId("lanes");
            fleet.coordinator.workerEntry(entry, fleet.now);
        }

        // Returns the time from a takeover, on the records as they are stored, to the first start.
        Duration timeToStart()
        {
            CoordinatorHarness second({ 20, 2 });
            const auto since = second.now;
            changeService(second);
            addLanesWorker(second, "w2");
            second.restore(stored);
            second.takeOverWithout("w1", "w2");
            second.waitForStarts(1, Duration(15000), "w1", "w2");
            return second.now - since;
        }

        std::map<std::string, std::string> stored;
        CoordinatorHarness first;
    };

    // Guards against TWICE violations (review/4): a successor searched for the runs of a job on the present service of
    // its queue only.
    TEST_F(TakeoverAfterAChangeOfService, ATaskOnTheFormerServiceIsNotStartedOnTheNewOne)
    {
        EXPECT_GE(timeToStart(), CoordinatorHarness::leasesExpireAfter)
            << "the successor is the first to see the change";
        changeService(first);
        first.run(Duration(60));
        first.storeBatch(stored);
        EXPECT_GE(timeToStart(), CoordinatorHarness::leasesExpireAfter) << "the predecessor has seen the change";
    }

    TEST_F(TakeoverAfterAChangeOfService, WithoutARecordTheJobMayHaveRunsOnAnyService)
    {
        std::erase_if(stored, [](const auto& record) { return record.first.starts_with(records::queuePrefix); });
        EXPECT_GE(timeToStart(), CoordinatorHarness::leasesExpireAfter)
            << "an earlier version stored no records of queues";
    }

    // A successor would not know where to look for runs that were started before the record was stored.
    TEST_F(TakeoverAfterAChangeOfService, NothingStartsOnTheNewServiceBeforeItsRecordIsStored)
    {
        addLanesWorker(first, "w2");
        first.run(Duration(5));
        first.answerPolls();
        first.settle();
        first.answerPolls({}, {}, "w1");
        changeService(first);
        first.answerPolls({}, { { 1, CoordinatorHarness::task("a"), RunNumber(1), RunEnd::Stopped, "" } }, "w1");
        first.run(Duration(1000));
        EXPECT_THAT(first.starts, IsEmpty());
        ASSERT_TRUE(first.batch);
        first.storeBatch(stored);
        first.run(Duration(5));
        ASSERT_THAT(first.starts, SizeIs(1));
        EXPECT_EQ(first.starts[0].worker.id, WorkerId("w2"));
    }

    TEST_F(TakeoverAfterAChangeOfService, TheRecordOfAQueueLastsAsLongAsItsJobs)
    {
        const auto key = records::queue(QueueId("checks"));
        const auto pass = [this] {
            for (int i = 0; i < 300; ++i) {
                first.run(Duration(50));
                first.storeBatch(stored);
            }
        };
        first.operators.config.queues.clear();
        first.coordinator.setOperators(first.operators, first.now);
        pass();
        EXPECT_TRUE(stored.contains(key)) << "the job is active";
        first.coordinator.cancel(CallToken(2), JobId("a"), first.now);
        for (int i = 0; i < 10; ++i)
            pass();
        EXPECT_FALSE(stored.contains(key));
    }

    // Guards against LOST violations (review/2): a job whose queue operators had removed ran on only until its
    // coordinator ended, since its successor did not know the queue's service.
    TEST(Takeover, AJobOfARemovedQueueRunsOn)
    {
        std::map<std::string, std::string> stored;
        const auto removeQueues = [](CoordinatorHarness& fleet) {
            fleet.operators.config.version = 2;
            fleet.operators.config.queues.clear();
            fleet.coordinator.setOperators(fleet.operators, fleet.now);
        };
        const auto runAndStore = [&stored](CoordinatorHarness& fleet) {
            for (int i = 0; i < 4; ++i) {
                fleet.run(Duration(60));
                fleet.storeBatch(stored);
            }
        };
        CoordinatorHarness first;
        first.addWorker("w1");
        first.run(Duration(5));
        first.answerPolls();
        first.coordinator.finishRestore(first.now);
        first.coordinator.submit(CallToken(1), CoordinatorHarness::job("a"), first.now);
        runAndStore(first);
        ASSERT_THAT(first.starts, SizeIs(1));
        removeQueues(first);
        runAndStore(first);

        // Two takeovers: the record must outlast the first one.
        for (std::uint64_t term = 2; term <= 3; ++term) {
            CoordinatorHarness successor({ 10 * (term + 1), term });
            removeQueues(successor);
            successor.restore(stored);
            successor.addWorker("w1");
            successor.run(Duration(5));
            successor.answerPolls({}, { { 1, CoordinatorHarness::task("a"), RunNumber(1), RunEnd::Failed, "" } });
            successor.coordinator.finishRestore(successor.now);
            runAndStore(successor);
            ASSERT_THAT(successor.starts, SizeIs(1)) << "one of two attempts is left";
            EXPECT_EQ(successor.coordinator.jobs().find(JobId("a"))->queue.objectiveAllowance, Duration(600));
        }
    }

} // namespace
} // namespace marigoldlink
