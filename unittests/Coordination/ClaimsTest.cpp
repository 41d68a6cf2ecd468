// At most one run of a request id while members join, leave, freeze, are lost, and hear of changes late.
#include "marigoldlink/Coordination/Claims.h"
#include "Choices.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <list>
#include <rapidcheck/gtest.h>

namespace marigoldlink::testing {

namespace {

    constexpr Duration s_window { 1000 };

    struct Process {
        ClaimLedger ledger;
        MemberRecord record; // the newest that it heard of
        bool isLost { false }; // removed: its leases lapsed and it can run nothing
        bool isLeaving { false };

        explicit Process(HolderId self)
            : ledger(self, s_window)
        {
        }
    };

    class World {
    public:
        World()
        {
            for (int i = 0; i < 3; ++i)
                join();
            settle();
        }

        void step(Choices& choices)
        {
            m_now += Duration(static_cast<std::int64_t>(choices.below(40)));
            switch (choices.below(14)) {
            case 0:
                if (liveMembers() < 6)
                    join();
                break;
            case 1:
                lose(choices);
                break;
            case 2:
                leave(choices);
                break;
            case 3:
            case 4:
                adopt(pickProcess(choices));
                break;
            case 5:
            case 6:
                deliverOne(choices);
                break;
            case 7:
                if (choices.below(4) == 0)
                    settle();
                break;
            default:
                // Ids come in generations, so that some are always young enough to be tried again.
                claim(pickProcess(choices), generation() * 100 + choices.below(6), choices.below(6) == 0);
                break;
            }
        }

        // Everybody hears of everything.
        void settle()
        {
            for (auto& [id, process] : m_processes)
                adopt(id);
            deliverAll();
        }

        bool claim(HolderId claimant, std::size_t index, bool isReleased = false)
        {
            auto& process = m_processes.at(claimant);
            const RequestId request("request-" + std::to_string(index));
            const auto first = m_firstTry.try_emplace(request, m_now).first->second;
            const auto owner = process.ledger.owner(request);
            // Callers do not try again after the window, and a lost member cannot run anything.
            if (!owner || m_now - first >= s_window || process.isLost)
                return false;
            auto& ownerProcess = m_processes.at(*owner);
            const Claim claim { request, claimant, ++m_attempts, ClaimState::Running };
            const auto answer = ownerProcess.ledger.claim(claim, process.ledger.ownersVersion(), m_now);
            if (answer.verdict != ClaimAnswer::Verdict::Granted)
                return false;
            if (isReleased) {
                ownerProcess.ledger.release(claim);
                return true;
            }
            ++m_runs[request];
            RC_ASSERT(m_runs[request] == 1);
            return true;
        }

        HolderId lastHolder() const { return m_processes.rbegin()->first; }
        HolderId firstHolder() const { return m_processes.begin()->first; }

        void loseOne(HolderId holder)
        {
            std::erase_if(m_record.members, [&](const Member& member) { return member.holder == holder; });
            m_record.lost.push_back(holder);
            bumpOwners();
            m_processes.at(holder).isLost = true;
        }

        void advance(Duration time) { m_now += time; }

        void adopt(HolderId id)
        {
            auto& process = m_processes.at(id);
            if (process.isLost)
                return;
            process.record = m_record;
            for (auto& handover : process.ledger.adopt(m_record, m_now))
                m_handovers.push_back(std::move(handover));
        }

        void deliverAll()
        {
            while (!m_handovers.empty())
                deliver(m_handovers.begin());
        }

        HolderId join()
        {
            const HolderId id { m_record.nextHolder++ };
            m_record.members.push_back({ id, DataCenterId("dc"), {}, MemberState::Active, 0 });
            bumpOwners();
            m_processes.emplace(id, Process(id));
            adopt(id);
            return id;
        }

        std::optional<HolderId> ownerOf(std::size_t index, HolderId inTheViewOf) const
        {
            return m_processes.at(inTheViewOf).ledger.owner(RequestId("request-" + std::to_string(index)));
        }

    private:
        std::size_t generation() const { return static_cast<std::size_t>(m_now.time_since_epoch().count() / 400); }

        void bumpOwners()
        {
            ++m_record.version;
            m_record.ownersVersion = m_record.version;
        }

        std::size_t liveMembers() const { return m_record.members.size(); }

        HolderId pickProcess(Choices& choices) { return choices.pick(m_processes).first; }

        void lose(Choices& choices)
        {
            if (liveMembers() >= 2)
                loseOne(choices.pick(m_record.members).holder);
        }

        // Marks a member as leaving, or ends the leave of one that handed over.
        void leave(Choices& choices)
        {
            if (liveMembers() < 2)
                return;
            auto& member = choices.pick(m_record.members);
            const auto holder = member.holder;
            auto& process = m_processes.at(holder);
            if (member.state != MemberState::Leaving) {
                member.state = MemberState::Leaving;
                bumpOwners();
                adopt(holder);
                return;
            }
            const bool hasHandedOver = std::none_of(m_handovers.begin(), m_handovers.end(),
                [holder](const ClaimHandover& handover) { return handover.from == holder; });
            if (!hasHandedOver)
                return;
            std::erase_if(m_record.members, [&](const Member& other) { return other.holder == holder; });
            ++m_record.version;
            process.isLost = true;
        }

        void deliverOne(Choices& choices)
        {
            if (m_handovers.empty())
                return;
            deliver(std::next(m_handovers.begin(), static_cast<std::ptrdiff_t>(choices.below(m_handovers.size()))));
        }

        void deliver(std::list<ClaimHandover>::iterator handover)
        {
            auto& sender = m_processes.at(handover->from);
            auto& receiver = m_processes.at(handover->to);
            if (!receiver.isLost && !sender.isLost)
                receiver.ledger.receive(*handover, m_now);
            m_handovers.erase(handover);
        }

        TimePoint m_now { Duration(1000000) };
        MemberRecord m_record;
        std::map<HolderId, Process> m_processes;
        std::list<ClaimHandover> m_handovers;
        std::map<RequestId, int> m_runs;
        std::map<RequestId, TimePoint> m_firstTry;
        std::uint64_t m_attempts { 0 };
    };

} // namespace

RC_GTEST_PROP(Claims, RequestIdRunsAtMostOnce, ())
{
    auto choices = Choices::generate(100);
    World world;
    while (!choices.isOver())
        world.step(choices);
}

TEST(Claims, SettledMembersGrantEachIdOnce)
{
    World world;
    for (std::size_t i = 0; i < 50; ++i) {
        EXPECT_TRUE(world.claim(world.firstHolder(), i));
        EXPECT_FALSE(world.claim(world.lastHolder(), i));
    }
}

TEST(Claims, ReleasedIdIsGrantedAgain)
{
    World world;
    EXPECT_TRUE(world.claim(world.firstHolder(), 1, true));
    EXPECT_TRUE(world.claim(world.lastHolder(), 1));
}

TEST(Claims, IdsOfLostMemberAreGrantedAfterTheWindow)
{
    World world;
    const auto lost = world.lastHolder();
    world.loseOne(lost);
    world.settle();
    int refused = 0;
    for (std::size_t i = 0; i < 60; ++i)
        refused += !world.claim(world.firstHolder(), i);
    EXPECT_GT(refused, 0) << "some ids belonged to the lost member";
    EXPECT_LT(refused, 40) << "the others go on";
    world.advance(s_window);
    for (std::size_t i = 100; i < 160; ++i)
        EXPECT_TRUE(world.claim(world.firstHolder(), i));
}

// A member with an old record claims from a lost member that woke up, long after others heard of the loss.
TEST(Claims, WindowCountsFromTheLastMemberThatHeardOfTheLoss)
{
    World world;
    const HolderId one { 1 };
    const HolderId stale { 2 };
    const HolderId lost { 3 };
    world.loseOne(lost);
    world.adopt(one);
    world.advance(s_window - Duration(1));
    std::vector<std::size_t> granted;
    for (std::size_t i = 0; i < 60; ++i) {
        if (world.ownerOf(i, stale) == lost && world.claim(stale, i))
            granted.push_back(i);
    }
    ASSERT_FALSE(granted.empty());
    world.adopt(stale);
    world.deliverAll();
    world.advance(Duration(2));
    for (const auto index : granted)
        EXPECT_FALSE(world.claim(one, index));
}

// A member joins, and another one is lost before it hands over to the new one.
TEST(Claims, NewMemberGrantsNothingThatALostMemberMayHaveGranted)
{
    World world;
    const HolderId one { 1 };
    const HolderId lost { 3 };
    for (std::size_t i = 0; i < 60; ++i)
        ASSERT_TRUE(world.claim(one, i));
    const auto joined = world.join();
    world.loseOne(lost);
    world.settle();
    for (std::size_t i = 0; i < 60; ++i)
        EXPECT_FALSE(world.claim(joined, i));
}

} // namespace marigoldlink::testing
