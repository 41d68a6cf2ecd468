// Tickets hold for their step, their worker's life and their time; calls are few and name only what is not known.
#include "marigoldlink/Coordination/AdviceBook.h"
#include "Choices.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace marigoldlink::testing {

namespace {

    using ::testing::ElementsAre;
    using ::testing::IsEmpty;
    using ::testing::SizeIs;

    const TimePoint s_now { Duration(100000) };
    const Duration s_valid { 3000 };
    const StepKey s_step { JobId("a"), 0, 1 };

    WorkerLife life(int number, std::int64_t born = 1) { return { WorkerId("w" + std::to_string(number)), born }; }

    std::vector<WorkerLife> lives(int count)
    {
        std::vector<WorkerLife> result;
        for (int i = 0; i < count; ++i)
            result.push_back(life(i));
        return result;
    }

} // namespace

TEST(AdviceBook, ATicketEndsWithItsTimeAndIsAskedForAgain)
{
    AdviceBook book({});
    const auto asked = book.nextCall(s_step, lives(2), 1, s_now);
    EXPECT_THAT(asked, SizeIs(2));
    book.answered(s_step, asked, { { life(0).id, "ticket" } }, s_valid, s_now);
    ASSERT_TRUE(book.ticket(s_step, life(0), s_now));
    EXPECT_FALSE(book.ticket(s_step, life(1), s_now));
    EXPECT_FALSE(book.ticket({ JobId("a"), 0, 0 }, life(0), s_now)) << "a ticket is for one step";
    EXPECT_FALSE(book.ticket(s_step, life(0, 2), s_now)) << "a ticket is for one life of the worker";
    EXPECT_THAT(book.nextCall(s_step, lives(2), 1, s_now), IsEmpty()) << "all verdicts are known";
    const auto later = s_now + s_valid;
    EXPECT_FALSE(book.ticket(s_step, life(0), later));
    EXPECT_THAT(book.nextCall(s_step, lives(2), 1, later), ElementsAre(life(0))) << "a refused worker stays refused";
}

// Pattern: a service that takes milliseconds for each worker named.
TEST(AdviceBook, ACallNamesFewWorkersAndWaitsItsTurn)
{
    AdviceBook book({});
    EXPECT_THAT(book.nextCall(s_step, lives(100), 2, s_now), SizeIs(4));
    EXPECT_THAT(book.nextCall(s_step, lives(100), 2, s_now), IsEmpty()) << "one call a step";
    EXPECT_THAT(book.nextCall({ JobId("b"), 0, 0 }, lives(100), 90, s_now), SizeIs(30));
    EXPECT_THAT(book.nextCall({ JobId("c"), 0, 0 }, lives(100), 2, s_now), IsEmpty()) << "two calls at once";
    book.failed(s_step, s_now);
    EXPECT_THAT(book.nextCall(s_step, lives(100), 2, s_now), IsEmpty()) << "no call right after one that failed";
    EXPECT_THAT(book.nextCall(s_step, lives(100), 2, book.nextCallAt()), SizeIs(4));
}

TEST(AdviceBook, AnAnswerForAJobThatEndedIsDropped)
{
    AdviceBook book({});
    const auto asked = book.nextCall(s_step, lives(2), 1, s_now);
    book.forget(s_step.job);
    book.answered(s_step, asked, { { life(0).id, "ticket" } }, s_valid, s_now);
    EXPECT_FALSE(book.ticket(s_step, life(0), s_now));
    EXPECT_THAT(book.nextCall(s_step, lives(2), 1, s_now), SizeIs(2));
}

RC_GTEST_PROP(AdviceBook, NeverShowsATicketThatTheServiceWouldNotTake, ())
{
    auto choices = Choices::generate(40);
    AdviceBook book({});
    struct Call {
        StepKey step;
        std::vector<WorkerLife> asked;
    };
    std::vector<Call> calls;
    std::map<std::pair<StepKey, WorkerLife>, TimePoint> madeAt;
    auto now = s_now;
    while (!choices.isOver()) {
        const StepKey step { JobId("job" + std::to_string(choices.below(3))), 0, 0 };
        now += Duration(static_cast<std::int64_t>(choices.below(900)));
        switch (choices.below(4)) {
        case 0: {
            std::vector<WorkerLife> candidates;
            for (int i = 0; i < 8; ++i)
                candidates.push_back(life(i, 1 + static_cast<std::int64_t>(choices.below(2))));
            const auto asked = book.nextCall(step, candidates, 1 + choices.below(8), now);
            if (!asked.empty())
                calls.push_back({ step, asked });
            break;
        }
        case 1:
            if (calls.empty())
                break;
            if (choices.below(3) == 0) {
                book.failed(calls.back().step, now);
            } else {
                std::map<WorkerId, std::string> tickets;
                for (const auto& worker : calls.back().asked) {
                    if (choices.below(2))
                        continue;
                    tickets[worker.id] = "ticket";
                    madeAt[{ calls.back().step, worker }] = now;
                }
                book.answered(calls.back().step, calls.back().asked, tickets, s_valid, now);
            }
            calls.pop_back();
            break;
        case 2:
            book.forget(step.job);
            break;
        default:
            for (int i = 0; i < 8; ++i) {
                for (const std::int64_t born : { 1, 2 }) {
                    if (!book.ticket(step, life(i, born), now))
                        continue;
                    const auto made = madeAt.find({ step, life(i, born) });
                    RC_ASSERT(made != madeAt.end());
                    RC_ASSERT(now < made->second + s_valid);
                }
            }
        }
        RC_ASSERT(calls.size() <= 2);
    }
}

} // namespace marigoldlink::testing
