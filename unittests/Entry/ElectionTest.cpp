// Tests of the election: what an owner that resigns tells its successor, and which owner a process knows.
#include "marigoldlink/Entry/Election.h"
#include "ScriptedPlatform.h"

#include <gtest/gtest.h>

namespace marigoldlink {
namespace {

    constexpr Duration s_ordersAfterLease { 30 };

    class ElectionTest : public testing::Test {
    protected:
        // Elects the process as the owner of the term after 3. The keys at the head's prefix are as given.
        void elect(std::vector<StoredValue> head)
        {
            m_election.start();
            m_platform.answer(records::owner, StoreStatus::Ok, Revision(7));
            ASSERT_EQ(m_platform.leases.size(), 1u);
            m_platform.leases.front()({ LeaseStatus::Valid, StoreLease(1), Duration(1200) });
            m_platform.answer(records::head, StoreStatus::Ok, Revision(7), std::move(head));
            ASSERT_EQ(m_platform.writes.size(), 1u);
            const auto written = std::move(m_platform.writes.front().callback);
            m_platform.writes.pop_front();
            written({ StoreWriteStatus::Done, Revision(8) });
            ASSERT_TRUE(m_election.isOwner());
        }

        // The store reports a change of the owner's record, as of the given revision.
        void ownerReported(const Endpoint& owner, Revision revision)
        {
            ASSERT_TRUE(m_platform.answer(
                records::owner, StoreStatus::Ok, revision, { { records::owner, owner.text(), revision } }));
        }

        // Resigns and returns whether the successor may skip the wait for late orders.
        bool resignsWithMarker()
        {
            m_election.resign();
            EXPECT_EQ(m_platform.writes.size(), 1u);
            const auto& write = m_platform.writes.back().write;
            EXPECT_EQ(write.removals, std::vector<std::string> { records::owner });
            return std::any_of(write.puts.begin(), write.puts.end(),
                [](const auto& put) { return put.key == records::resigned && put.value == "4"; });
        }

        static std::vector<StoredValue> head() { return { { records::head, "3:5", Revision(5) } }; }

        EventLoop m_loop;
        ScriptedPlatform m_platform;
        Election<ScriptedPlatform> m_election { m_loop, m_platform, Endpoint { "127.0.0.1", 1 },
            { .ordersAfterLease = s_ordersAfterLease }, [](const Ownership&) {}, [] {}, [] {},
            [] { return Duration(0); } };
    };

    class Resignation : public ElectionTest { };
    class KnownOwner : public ElectionTest { };

    // Guards against tasks that run twice: an owner resigned soon after it was elected, and its successor did not wait
    // for the last orders of the owner before, which was paused and may send them for some seconds.
    TEST_F(Resignation, DoesNotVouchForAnEarlierOwnerThatMayStillSendOrders)
    {
        elect(head());
        EXPECT_FALSE(resignsWithMarker());
    }

    TEST_F(Resignation, IsMarkedOnceNoEarlierOwnerMaySendOrders)
    {
        elect(head());
        m_loop.every(Duration(5), [] {}); // wakes the loop
        m_loop.runUntil([this, until = m_loop.now() + s_ordersAfterLease] { return m_loop.now() > until; });
        EXPECT_TRUE(resignsWithMarker());
    }

    TEST_F(Resignation, IsMarkedAtOnceIfTheOwnerBeforeResignedToo)
    {
        auto values = head();
        values.push_back({ records::resigned, "3", Revision(6) });
        elect(std::move(values));
        EXPECT_TRUE(resignsWithMarker());
    }

    // Guards against an owner that serves no call: a process that was told to stop during its campaign wrote its owner
    // record nevertheless, and callers had no coordinator until the lease of that record had ended.
    TEST_F(Resignation, AProcessThatStopsBeforeItsLeaseIsOpenDoesNotBecomeTheOwner)
    {
        m_election.start();
        m_platform.answer(records::owner, StoreStatus::Ok, Revision(7));
        ASSERT_EQ(m_platform.leases.size(), 1u);
        m_election.stepDown();
        m_platform.leases.front()({ LeaseStatus::Valid, StoreLease(1), Duration(1200) });
        m_platform.answer(records::head, StoreStatus::Ok, Revision(7), head());
        EXPECT_TRUE(m_platform.writes.empty());
        EXPECT_EQ(m_platform.endedLeases, std::vector { StoreLease(1) });
    }

    // Guards against the same for a process that was told to stop while it read the journal's head.
    TEST_F(Resignation, AProcessThatStopsBeforeItHasReadTheHeadDoesNotBecomeTheOwner)
    {
        m_election.start();
        m_platform.answer(records::owner, StoreStatus::Ok, Revision(7));
        ASSERT_EQ(m_platform.leases.size(), 1u);
        m_platform.leases.front()({ LeaseStatus::Valid, StoreLease(1), Duration(1200) });
        m_election.stepDown();
        ASSERT_TRUE(m_platform.answer(records::head, StoreStatus::Ok, Revision(7), head()));
        EXPECT_TRUE(m_platform.writes.empty());
        EXPECT_EQ(m_platform.endedLeases, std::vector { StoreLease(1) });
    }

    // Guards against an entry instance that serves no call (review/11): an owner that saw its successor's record before
    // its own renewal was refused forgot the successor until the next election.
    TEST_F(KnownOwner, IsTheSuccessorOnceItsRecordIsReported)
    {
        elect(head());
        const Endpoint successor { "127.0.0.1", 2 };
        ownerReported(successor, Revision(20));
        EXPECT_FALSE(m_election.isOwner());
        EXPECT_EQ(m_election.owner(), successor);
        EXPECT_EQ(m_election.ownerRevision(), Revision(20));
    }

    // Guards against the same on a related path: a late report from before the record that a peer had passed on.
    TEST_F(KnownOwner, IsNotForgottenForAnEarlierView)
    {
        elect(head());
        const Endpoint successor { "127.0.0.1", 3 };
        m_election.learnOwner(successor, Revision(20));
        ownerReported({ "127.0.0.1", 2 }, Revision(15));
        EXPECT_EQ(m_election.owner(), successor);
        ownerReported(successor, Revision(20));
        EXPECT_EQ(m_election.owner(), successor);
    }

    TEST_F(KnownOwner, IsNoneOnceItsRecordIsRemoved)
    {
        elect(head());
        ownerReported({ "127.0.0.1", 2 }, Revision(20));
        ASSERT_TRUE(
            m_platform.answer(records::owner, StoreStatus::Ok, Revision(21), { { records::owner, "", Revision(21) } }));
        EXPECT_EQ(m_election.owner(), std::nullopt);
    }

} // namespace
} // namespace marigoldlink
