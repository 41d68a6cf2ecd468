// Tests of the order in which the event loop runs posted callbacks.
#include "marigoldlink/Transport/EventLoop.h"

#include <gtest/gtest.h>

namespace marigoldlink {
namespace {

    // Guards against a journal that is slower the busier the coordinator is. Each call to the store passed through two
    // posted callbacks, and the second one waited for the next iteration. Under load an iteration takes 20 ms, and only
    // one write is in flight.
    TEST(EventLoop, CallbacksPostedByCallbacksRunInTheSameIteration)
    {
        EventLoop loop;
        std::uint64_t first = 0;
        std::uint64_t third = 0;
        loop.post([&] {
            first = loop.iterations();
            loop.post([&] { loop.post([&] { third = loop.iterations(); }); });
        });
        loop.runUntil([&third] { return third > 0; });
        EXPECT_EQ(third, first);
    }

    TEST(EventLoop, EndlessPostingDoesNotDelayTimers)
    {
        EventLoop loop;
        bool hasFired = false;
        std::function<void()> postAgain = [&] {
            if (!hasFired)
                loop.post(postAgain);
        };
        loop.post(postAgain);
        loop.after(Duration(1), [&hasFired] { hasFired = true; });
        loop.runUntil([&hasFired] { return hasFired; });
        EXPECT_TRUE(hasFired);
    }

} // namespace
} // namespace marigoldlink
