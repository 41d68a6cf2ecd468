// Tests that steps of a queue that needs advice start only with a ticket for their worker.
#include "CoordinatorHarness.h"

#include <gmock/gmock.h>

namespace marigoldlink {
namespace {

    using testing::IsEmpty;
    using testing::SizeIs;

    class Advice : public testing::Test {
    protected:
        Advice()
        {
            fleet.operators.config.queues.at(QueueId("checks")).needsAdvice = true;
            fleet.coordinator.setOperators(fleet.operators, fleet.now);
            fleet.begin({ "w1", "w2" });
        }

        void answer(const std::map<WorkerId, std::string>& tickets, Duration valid = Duration(3000))
        {
            for (const auto& order : std::exchange(fleet.adviceCalls, {}))
                fleet.coordinator.adviceAnswered(order, { true, tickets, valid }, fleet.now);
            fleet.run(Duration(5));
        }

        CoordinatorHarness fleet;
    };

    TEST_F(Advice, AStartWaitsForItsTicketAndCarriesIt)
    {
        fleet.accept(CoordinatorHarness::job("a", 2));
        fleet.run(Duration(5));
        EXPECT_THAT(fleet.starts, IsEmpty());
        ASSERT_THAT(fleet.adviceCalls, SizeIs(1));
        EXPECT_EQ(fleet.adviceCalls[0].step.text(), "a.0.0");
        answer({ { WorkerId("w2"), "ticket" } });
        ASSERT_THAT(fleet.starts, SizeIs(2));
        for (const auto& start : fleet.starts) {
            EXPECT_EQ(start.worker.id, WorkerId("w2"));
            EXPECT_EQ(start.ticket, "ticket");
        }
    }

    TEST_F(Advice, ARejectedTicketIsAskedForAgain)
    {
        fleet.accept(CoordinatorHarness::job("a"));
        fleet.run(Duration(5));
        answer({ { WorkerId("w1"), "first" } });
        ASSERT_THAT(fleet.starts, SizeIs(1));
        fleet.answerStarts(StartAnswer::NoTicket);
        fleet.run(Duration(200));
        EXPECT_THAT(fleet.starts, IsEmpty());
        ASSERT_THAT(fleet.adviceCalls, SizeIs(1));
        answer({ { WorkerId("w1"), "second" } });
        ASSERT_THAT(fleet.starts, SizeIs(1));
        EXPECT_EQ(fleet.starts[0].ticket, "second");
    }

    TEST_F(Advice, AFailedCallIsMadeAgainLater)
    {
        fleet.accept(CoordinatorHarness::job("a"));
        fleet.run(Duration(5));
        ASSERT_THAT(fleet.adviceCalls, SizeIs(1));
        fleet.coordinator.adviceAnswered(std::exchange(fleet.adviceCalls, {})[0], {}, fleet.now);
        fleet.run(Duration(100));
        EXPECT_THAT(fleet.adviceCalls, IsEmpty());
        fleet.run(Duration(150));
        EXPECT_THAT(fleet.adviceCalls, SizeIs(1));
    }

    TEST_F(Advice, ACancelledJobIsNotAskedAboutAgain)
    {
        fleet.accept(CoordinatorHarness::job("a"));
        fleet.run(Duration(5));
        fleet.coordinator.cancel(CallToken(99), JobId("a"), fleet.now);
        answer({});
        fleet.run(Duration(500));
        EXPECT_THAT(fleet.adviceCalls, IsEmpty());
    }

} // namespace
} // namespace marigoldlink
