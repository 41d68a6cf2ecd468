// Request queue of one pool: ordered by urgency, then by the team that uses the least relative to its share.
#pragma once

#include "marigoldlink/State/Types.h"

#include <array>
#include <concepts>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace marigoldlink {

// Identifies a queued request within one process.
enum class QueueTicket : std::uint64_t {};

// A team that could start a task now.
struct Candidate {
    TeamId team;
    double share { 1 };
    double usage { 0 }; // slots that the team occupies, plus the correction from its share credit
};

// Chooses one of the candidates, which are not empty and are sorted by team.
template <typename T>
concept SharePolicy = requires(T policy, const std::vector<Candidate>& candidates)
{
    {
        policy.choose(candidates)
        } -> std::convertible_to<std::size_t>;
};

// Chooses the team that occupies the fewest slots relative to its share.
class LeastUsagePolicy {
public:
    std::size_t choose(const std::vector<Candidate>&);
};

// Deficit round robin over the starts of this process only.
class DeficitRoundRobinPolicy {
public:
    std::size_t choose(const std::vector<Candidate>&);

private:
    std::map<TeamId, double> m_credit;
    TeamId m_last;
};

static_assert(SharePolicy<LeastUsagePolicy>);
static_assert(SharePolicy<DeficitRoundRobinPolicy>);

struct QueueLimits {
    std::size_t ticketsPerTeam { 512 };
    std::size_t tickets { 4096 };
    // After this many choices while requests of lower urgency wait, one choice is made among the lower urgencies.
    int choicesPerLowerUrgency { 32 };
};

template <SharePolicy Policy> class FairQueue {
public:
    // Returns the share and usage of a team, or nothing if the team cannot start a task now.
    using Lookup = std::function<std::optional<Candidate>(const TeamId&)>;

    explicit FairQueue(QueueLimits limits)
        : m_limits(limits)
    {
    }

    // Returns false if the queue, or the team's part of it, is full.
    bool push(QueueTicket, const TeamId&, Urgency);
    // Puts a ticket back at the front. Ignores the limits, since the ticket was accepted before.
    void pushFront(QueueTicket, const TeamId&, Urgency);
    bool remove(QueueTicket, const TeamId&, Urgency);

    // Removes and returns the ticket to start next, of at least the given urgency.
    std::optional<QueueTicket> pop(const Lookup&, Urgency lowest = Urgency::Deferrable);

    std::size_t size() const { return m_size; }
    std::size_t size(Urgency, const std::function<bool(const TeamId&)>& isCounted) const;
    std::size_t size(const TeamId&) const;
    const auto& sizesByTeam() const { return m_byTeam; }

private:
    using TeamQueues = std::map<TeamId, std::deque<QueueTicket>>;

    std::optional<QueueTicket> popFrom(TeamQueues&, const Lookup&);
    void decrementCounts(const TeamId&);

    QueueLimits m_limits;
    std::array<TeamQueues, urgencyCount> m_queues;
    // Invariant: the number of tickets in total and by team. No team has an empty queue.
    std::size_t m_size { 0 };
    std::map<TeamId, std::size_t> m_byTeam;
    int m_choicesSinceLower { 0 };
    Policy m_policy;
};

extern template class FairQueue<LeastUsagePolicy>;
extern template class FairQueue<DeficitRoundRobinPolicy>;

} // namespace marigoldlink
