// Tickets are valid only for their step, incarnation and period; calls are bounded in number and size and name only
// workers without a valid verdict.
#include "marigoldlink/Coordination/AdviceCache.h"
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

    WorkerIncarnation incarnation(int number, std::int64_t born = 1)
    {
        return { WorkerId("w" + std::to_string(number)), born };
    }

    std::vector<WorkerIncarnation> incarnations(int count)
    {
        std::vector<WorkerIncarnation> result;
        for (int i = 0; i < count; ++i)
            result.push_back(incarnation(i));
        return result;
    }

} // namespace

TEST(AdviceCache, ATicketEndsWithItsTimeAndIsAskedForAgain)
{
    AdviceCache cache({});
    const auto asked = cache.nextCall(s_step, incarnations(2), 1, s_now);
    EXPECT_THAT(asked, SizeIs(2));
    cache.answered(s_step, asked, { { incarnation(0).id, "ticket" } }, s_valid, s_now);
    ASSERT_TRUE(cache.ticket(s_step, incarnation(0), s_now));
    EXPECT_FALSE(cache.ticket(s_step, incarnation(1), s_now));
    EXPECT_FALSE(cache.ticket({ JobId("a"), 0, 0 }, incarnation(0), s_now)) << "a ticket is for one step";
    EXPECT_FALSE(cache.ticket(s_step, incarnation(0, 2), s_now)) << "a ticket is for one incarnation of the worker";
    EXPECT_THAT(cache.nextCall(s_step, incarnations(2), 1, s_now), IsEmpty()) << "all verdicts are known";
    const auto later = s_now + s_valid;
    EXPECT_FALSE(cache.ticket(s_step, incarnation(0), later));
    EXPECT_THAT(cache.nextCall(s_step, incarnations(2), 1, later), ElementsAre(incarnation(0)))
        << "a refused worker must not be asked about again";
}

// The service needs milliseconds for each worker named, so calls must be small, and few at a time.
TEST(AdviceCache, CallsAreBoundedInSizeAndNumber)
{
    AdviceCache cache({});
    EXPECT_THAT(cache.nextCall(s_step, incarnations(100), 2, s_now), SizeIs(4));
    EXPECT_THAT(cache.nextCall(s_step, incarnations(100), 2, s_now), IsEmpty())
        << "at most one call in flight per step";
    EXPECT_THAT(cache.nextCall({ JobId("b"), 0, 0 }, incarnations(100), 90, s_now), SizeIs(30));
    EXPECT_THAT(cache.nextCall({ JobId("c"), 0, 0 }, incarnations(100), 2, s_now), IsEmpty())
        << "at most two calls in flight";
    cache.failed(s_step, s_now);
    EXPECT_THAT(cache.nextCall(s_step, incarnations(100), 2, s_now), IsEmpty()) << "no call during the retry delay";
    EXPECT_THAT(cache.nextCall(s_step, incarnations(100), 2, cache.nextCallAt()), SizeIs(4));
}

TEST(AdviceCache, AnAnswerForAJobThatEndedIsDropped)
{
    AdviceCache cache({});
    const auto asked = cache.nextCall(s_step, incarnations(2), 1, s_now);
    cache.forget(s_step.job);
    cache.answered(s_step, asked, { { incarnation(0).id, "ticket" } }, s_valid, s_now);
    EXPECT_FALSE(cache.ticket(s_step, incarnation(0), s_now));
    EXPECT_THAT(cache.nextCall(s_step, incarnations(2), 1, s_now), SizeIs(2));
}

RC_GTEST_PROP(AdviceCache, NeverShowsATicketThatTheServiceWouldNotTake, ())
{
    auto choices = Choices::generate(40);
    AdviceCache cache({});
    struct Call {
        StepKey step;
        std::vector<WorkerIncarnation> asked;
    };
    std::vector<Call> calls;
    std::map<std::pair<StepKey, WorkerIncarnation>, TimePoint> issuedAt;
    auto now = s_now;
    while (!choices.isOver()) {
        const StepKey step { JobId("job" + std::to_string(choices.below(3))), 0, 0 };
        now += Duration(static_cast<std::int64_t>(choices.below(900)));
        switch (choices.below(4)) {
        case 0: {
            std::vector<WorkerIncarnation> candidates;
            for (int i = 0; i < 8; ++i)
                candidates.push_back(incarnation(i, 1 + static_cast<std::int64_t>(choices.below(2))));
            const auto asked = cache.nextCall(step, candidates, 1 + choices.below(8), now);
            if (!asked.empty())
                calls.push_back({ step, asked });
            break;
        }
        case 1:
            if (calls.empty())
                break;
            if (choices.below(3) == 0) {
                cache.failed(calls.back().step, now);
            } else {
                std::map<WorkerId, std::string> tickets;
                for (const auto& worker : calls.back().asked) {
                    if (choices.below(2))
                        continue;
                    tickets[worker.id] = "ticket";
                    issuedAt[{ calls.back().step, worker }] = now;
                }
                cache.answered(calls.back().step, calls.back().asked, tickets, s_valid, now);
            }
            calls.pop_back();
            break;
        case 2:
            cache.forget(step.job);
            break;
        default:
            for (int i = 0; i < 8; ++i) {
                for (const std::int64_t born : { 1, 2 }) {
                    if (!cache.ticket(step, incarnation(i, born), now))
                        continue;
                    const auto issued = issuedAt.find({ step, incarnation(i, born) });
                    RC_ASSERT(issued != issuedAt.end());
                    RC_ASSERT(now < issued->second + s_valid);
                }
            }
        }
        RC_ASSERT(calls.size() <= 2);
    }
}

} // namespace marigoldlink::testing
