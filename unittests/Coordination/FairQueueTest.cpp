// Order, limits and fairness of the pool queue.
#include "marigoldlink/Coordination/FairQueue.h"
#include "Choices.h"

#include <cmath>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <set>

namespace marigoldlink::testing {

namespace {

    using Queue = FairQueue<LeastUsagePolicy>;

    TeamId team(std::size_t index) { return TeamId("team-" + std::to_string(index)); }

    std::optional<Candidate> anyTeam(const TeamId& id) { return Candidate { id, 1, 0 }; }

} // namespace

RC_GTEST_PROP(FairQueue, EachTicketLeavesOnceInTheOrderOfItsTeamAndClass, ())
{
    auto choices = Choices::generate();
    Queue queue({ 50, 100, 8 });
    std::map<std::pair<TeamId, int>, std::vector<QueueTicket>> waiting;
    std::uint64_t next = 1;
    std::size_t size = 0;
    while (!choices.isOver()) {
        const auto id = team(choices.below(4));
        const auto urgency = static_cast<Urgency>(choices.below(3));
        if (choices.below(2) == 0) {
            const QueueTicket ticket { next++ };
            const bool isTaken = queue.push(ticket, id, urgency);
            RC_ASSERT(isTaken || size == 100 || queue.size(id) == 50);
            if (isTaken)
                waiting[{ id, static_cast<int>(urgency) }].push_back(ticket);
            size += isTaken;
        } else if (const auto ticket = queue.pop(anyTeam)) {
            bool isFirst = false;
            for (auto& [key, tickets] : waiting) {
                if (tickets.empty() || tickets.front() != *ticket)
                    continue;
                tickets.erase(tickets.begin());
                isFirst = true;
                break;
            }
            RC_ASSERT(isFirst);
            --size;
        } else {
            RC_ASSERT(size == 0);
        }
        RC_ASSERT(queue.size() == size);
    }
}

TEST(FairQueue, UrgentGoesFirstAndDeferrableIsNotStarved)
{
    Queue queue({ 1000, 1000, 32 });
    for (std::uint64_t i = 0; i < 200; ++i)
        ASSERT_TRUE(queue.push(QueueTicket(i), team(0), Urgency::Urgent));
    ASSERT_TRUE(queue.push(QueueTicket(1000), team(1), Urgency::Deferrable));
    int before = 0;
    while (queue.pop(anyTeam) != QueueTicket(1000))
        ++before;
    EXPECT_GE(before, 30);
    EXPECT_LE(before, 40);
}

TEST(FairQueue, TeamAtItsLimitDoesNotBlockOthers)
{
    Queue queue({ 10, 10, 32 });
    ASSERT_TRUE(queue.push(QueueTicket(1), team(0), Urgency::Urgent));
    ASSERT_TRUE(queue.push(QueueTicket(2), team(1), Urgency::Normal));
    const auto ticket = queue.pop([](const TeamId& id) { return id == team(0) ? std::nullopt : anyTeam(id); });
    EXPECT_EQ(ticket, QueueTicket(2));
}

// Six teams with different shares and run times keep all slots busy. Each team must occupy its share of the slots,
// within 5%, independent of its run times.
TEST(FairQueue, UsagePolicyKeepsSlotsNearShareWhateverTheRunTimes)
{
    constexpr std::size_t slots = 100;
    constexpr std::size_t steps = 20000;
    const std::vector<double> shares { 30, 30, 15, 15, 6, 4 };
    const std::vector<std::size_t> runSteps { 2, 40, 7, 100, 11, 3 };
    Queue queue({ 100000, 1000000, 32 });
    std::map<TeamId, Slots> running;
    std::multimap<std::size_t, std::size_t> ends;
    std::vector<double> occupied(shares.size());
    std::uint64_t next = 0;
    std::map<QueueTicket, std::size_t> owner;
    for (std::size_t now = 0; now < steps; ++now) {
        for (; !ends.empty() && ends.begin()->first <= now; ends.erase(ends.begin()))
            --running[team(ends.begin()->second)];
        while (ends.size() < slots) {
            for (std::size_t i = 0; i < shares.size(); ++i) {
                for (; queue.size(team(i)) < 3; ++next) {
                    owner[QueueTicket(next)] = i;
                    ASSERT_TRUE(queue.push(QueueTicket(next), team(i), Urgency::Normal));
                }
            }
            const auto ticket = queue.pop([&](const TeamId& id) {
                const auto index = static_cast<std::size_t>(id.value().back() - '0');
                return std::optional(Candidate { id, shares[index], static_cast<double>(running[id]) });
            });
            const auto index = owner.at(*ticket);
            ++running[team(index)];
            ends.emplace(now + runSteps[index], index);
        }
        for (std::size_t i = 0; i < shares.size(); ++i)
            occupied[i] += static_cast<double>(running[team(i)]);
    }
    for (std::size_t i = 0; i < shares.size(); ++i) {
        const auto part = occupied[i] / (slots * steps);
        EXPECT_LT(std::abs(part - shares[i] / 100) / (shares[i] / 100), 0.05) << "team " << i << " has " << part;
    }
}

} // namespace marigoldlink::testing
