// Tests of the maximum age of the view of the operators' records, and of its confirmation by peers.
#include "ScriptedPlatform.h"
#include "marigoldlink/Entry/FleetNode.h"

#include <gtest/gtest.h>
#include <thread>

namespace marigoldlink {
namespace {

    constexpr Duration s_horizon { 1000 };
    constexpr const char* s_prefix = "operators/";

    StoredValue config(const char* text, std::uint64_t revision)
    {
        return { "operators/config", text, Revision(revision) };
    }

    class Follower : public testing::Test {
    protected:
        Follower()
        {
            follower.start();
            platform.answer(s_prefix, StoreStatus::Ok, Revision(10), { config("1", 10) });
        }

        std::string value() const { return follower.values().at("operators/config").value; }

        EventLoop loop;
        ScriptedPlatform platform;
        StoreFollower<ScriptedPlatform> follower { loop, platform, s_prefix, {}, [](const auto&) {} };
    };

    TEST_F(Follower, AnAnswerConfirmsTheTimeAtWhichItWasAskedFor)
    {
        const auto before = loop.now();
        std::this_thread::sleep_for(Duration(30));
        platform.answer(s_prefix, StoreStatus::Ok, Revision(10));
        EXPECT_LE(follower.confirmedAt(), before);
    }

    TEST_F(Follower, APeerWithTheSameRevisionConfirmsTheView)
    {
        const auto confirmed = follower.confirmedAt() + Duration(500);
        follower.applySnapshot({}, Revision(10), confirmed);
        EXPECT_EQ(follower.confirmedAt(), confirmed);
    }

    TEST_F(Follower, APeerWithALaterRevisionButWithoutItsValuesConfirmsNothing)
    {
        const auto before = follower.confirmedAt();
        follower.applySnapshot({}, Revision(11), before + Duration(500));
        EXPECT_EQ(follower.confirmedAt(), before);
    }

    TEST_F(Follower, APeerWithAnOlderViewDoesNotBringItBack)
    {
        follower.applySnapshot({ config("2", 20) }, Revision(20), loop.now());
        follower.applySnapshot({ config("1", 10) }, Revision(15), loop.now());
        EXPECT_EQ(value(), "2");
    }

    TEST_F(Follower, AnAnswerThatIsOlderThanWhatAPeerToldDoesNotBringItBack)
    {
        follower.applySnapshot({ config("3", 30) }, Revision(30), loop.now());
        platform.answer(s_prefix, StoreStatus::Ok, Revision(20), { config("2", 20) });
        EXPECT_EQ(value(), "3");
        ASSERT_EQ(platform.reads.size(), 1u);
        EXPECT_EQ(platform.reads.front().after, Revision(30));
    }

    // Guards against one answer per event when hundreds of instances register at once and each follows all of them.
    TEST(GatheringFollower, EventsThatComeTogetherShareAnAnswer)
    {
        EventLoop loop;
        ScriptedPlatform platform;
        const Duration gather { 100 };
        StoreFollower<ScriptedPlatform> follower { loop, platform, s_prefix, { .batchDelay = gather },
            [](const auto&) {} };
        follower.start();
        platform.answer(s_prefix, StoreStatus::Ok, Revision(10));
        const auto since = loop.now();
        platform.answer(s_prefix, StoreStatus::Ok, Revision(11), { config("1", 11) });
        EXPECT_TRUE(platform.reads.empty()) << "no new watch before the batch delay is over";
        loop.runUntil([&] { return !platform.reads.empty(); });
        EXPECT_GE(loop.now() - since, gather);
        EXPECT_EQ(platform.reads.front().after, Revision(11));
        platform.answer(s_prefix, StoreStatus::Ok, Revision(11));
        EXPECT_FALSE(platform.reads.empty()) << "an answer without events is followed by the next watch at once";
    }

    class KeyHorizon : public testing::Test {
    protected:
        explicit KeyHorizon(std::optional<Duration> horizon = s_horizon)
            : node(loop, platform, settings(horizon), {})
        {
            node.start();
            platform.answer(s_prefix, StoreStatus::Ok, Revision(10), { config("1", 10) });
        }

        static NodeSettings settings(std::optional<Duration> horizon)
        {
            NodeSettings settings;
            settings.peers = { "127.0.0.1", 0 };
            settings.maxKeyRevocationDelay = horizon;
            return settings;
        }

        void pass(Duration time)
        {
            const auto until = loop.now() + time;
            loop.after(time, [] {});
            loop.runUntil([&] { return loop.now() >= until; });
        }

        EventLoop loop;
        ScriptedPlatform platform;
        FleetNode<ScriptedPlatform> node;
    };

    // Guards against CONFIG violations: an instance whose calls the store refused accepted a key that had been revoked
    // more than 5 s before.
    TEST_F(KeyHorizon, KeysAreNotUsedOnceTheViewIsOlder)
    {
        EXPECT_TRUE(node.isReady());
        pass(s_horizon);
        EXPECT_FALSE(node.areKeysCurrent());
        EXPECT_FALSE(node.isReady());
    }

    TEST_F(KeyHorizon, AnAnswerToAnOldQuestionDoesNotMakeTheViewNew)
    {
        pass(s_horizon);
        platform.answer(s_prefix, StoreStatus::Ok, Revision(10));
        EXPECT_FALSE(node.areKeysCurrent()) << "the watch was sent one horizon before";
        platform.answer(s_prefix, StoreStatus::Ok, Revision(10));
        EXPECT_TRUE(node.areKeysCurrent());
    }

    // While the process is paused its timers do not run, but the view ages nevertheless.
    TEST_F(KeyHorizon, ProcessPauseAgesTheView)
    {
        std::this_thread::sleep_for(s_horizon);
        EXPECT_FALSE(node.areKeysCurrent());
    }

    class NoKeyHorizon : public KeyHorizon {
    protected:
        NoKeyHorizon()
            : KeyHorizon(std::nullopt)
        {
        }
    };

    TEST_F(NoKeyHorizon, WithoutABoundTheViewDoesNotExpire)
    {
        pass(s_horizon);
        EXPECT_TRUE(node.isReady());
    }

    // Guards against callers waiting at instances of a partitioned data centre, which can serve no call, while other
    // instances could.
    TEST_F(NoKeyHorizon, AnInstanceThatReachesNeitherTheServiceNorACoordinatorIsNotReady)
    {
        const auto call = [this] {
            node.call({ FleetCallRequest::Kind::JobStatus, {} }, Duration(5000), [](const CallResult&) {});
        };
        call();
        pass(Duration(1100));
        EXPECT_TRUE(node.isReady()) << "the key-value service still answers, so a coordinator will become known";
        platform.answer(s_prefix, StoreStatus::Unavailable, noRevision);
        EXPECT_FALSE(node.isReady());
        loop.runUntil([&] { return platform.answer(s_prefix, StoreStatus::Ok, Revision(10)); });
        EXPECT_TRUE(node.isReady());
    }

} // namespace
} // namespace marigoldlink
