// Tests of the execution of a coordinator's orders on the event loop.
#include "ScriptedPlatform.h"
#include "marigoldlink/Entry/CoordinatorRunner.h"

#include <gtest/gtest.h>

namespace marigoldlink {
namespace {

    class Runner : public testing::Test {
    protected:
        Runner()
        {
            OperatorState operators;
            operators.config.version = 1;
            JobQueue queue;
            queue.id = QueueId("checks");
            queue.service = ServiceId("gates");
            operators.config.queues.emplace(queue.id, queue);
            m_runner->setLeaseValidUntil(TimePoint::max());
            m_runner->start(operators);
            for (const auto& prefix : { records::jobPrefix, records::progressPrefix, records::cancelledIdPrefix,
                     records::queuePrefix, records::wavePrefix, records::workerPrefix })
                m_platform.answer(std::string(prefix), StoreStatus::Ok, Revision(1));
            m_platform.answer(m_platform.workerPrefix(), StoreStatus::Ok, Revision(1));
            m_loop.runUntil([this] { return m_runner->isReady(); });
        }
        ~Runner() override { m_runner->stop(); }

        void submit(const std::string& id)
        {
            JobSpec job;
            job.id = JobId(id);
            job.queue = QueueId("checks");
            StepSpec step;
            step.tasks = 1;
            step.need = { 1000, 100, 0 };
            job.steps.push_back(step);
            m_runner->coordinator().submit(CallToken(++m_lastToken), std::move(job), m_loop.now());
            m_runner->executeOrders();
        }

        EventLoop m_loop;
        ScriptedPlatform m_platform;
        int m_replies { 0 };
        std::shared_ptr<CoordinatorRunner<ScriptedPlatform>> m_runner {
            std::make_shared<CoordinatorRunner<ScriptedPlatform>>(
                m_loop, m_platform, CoordinatorSettings {}, Ownership {}, CoordinatorSinks {},
                [this](CallToken, const Reply&) { ++m_replies; }, [] {})
        };
        std::uint64_t m_lastToken { 0 };
    };

    // Guards against a journal that is slower the busier the coordinator is. The next write was sent at the end of the
    // iteration in which the last one was answered, so its answer missed the next poll of the sockets: one write in two
    // iterations, of 20 ms each under load.
    TEST_F(Runner, TheNextWriteIsSentWhenTheLastOneIsAnswered)
    {
        submit("a");
        m_loop.runUntil([this] { return !m_platform.writes.empty(); });
        // More records than fit into one write.
        for (std::size_t i = 0; i < 2 * Journal::maxRecords; ++i)
            submit("b" + std::to_string(i));
        m_loop.runUntil([this, until = m_loop.now() + Duration(20)] { return m_loop.now() > until; });
        ASSERT_EQ(m_platform.writes.size(), 1u);
        for (int write = 0; write < 2; ++write) {
            const auto callback = std::move(m_platform.writes.front().callback);
            m_platform.writes.pop_front();
            callback({ StoreWriteStatus::Done, Revision(static_cast<std::uint64_t>(2 + write)) });
            ASSERT_EQ(m_platform.writes.size(), 1u) << "no write was sent while the answer was handled";
        }
        EXPECT_GE(m_replies, 1) << "the caller of the stored job has its reply";
    }

    // Guards against LOST violations: a coordinator on a small instance renewed its lease but could not read the
    // records, so no other one was elected and nothing started until the end of the day.
    TEST(RunnerStart, GivesUpTheOwnershipIfItCannotReadTheRecords)
    {
        EventLoop loop;
        ScriptedPlatform platform;
        bool hasGivenUp = false;
        const auto runner = std::make_shared<CoordinatorRunner<ScriptedPlatform>>(
            loop, platform, CoordinatorSettings {}, Ownership {}, CoordinatorSinks {}, [](CallToken, const Reply&) {},
            [&hasGivenUp] { hasGivenUp = true; });
        runner->setLeaseValidUntil(TimePoint::max());
        runner->start({});
        const auto until = loop.now() + Duration(10000);
        loop.every(Duration(50), [] {}); // wakes the loop
        loop.runUntil([&] {
            platform.answer(std::string(records::jobPrefix), StoreStatus::Unavailable, noRevision);
            return hasGivenUp || loop.now() >= until;
        });
        EXPECT_TRUE(hasGivenUp);
        EXPECT_FALSE(runner->isReady());
    }

} // namespace
} // namespace marigoldlink
