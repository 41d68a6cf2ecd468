// Selection of the next request of a pool.
#include "marigoldlink/Coordination/FairQueue.h"

#include <algorithm>
#include <cassert>

namespace marigoldlink {

std::size_t LeastUsagePolicy::choose(const std::vector<Candidate>& candidates)
{
    const auto relativeUsage = [](const Candidate& candidate) {
        // Half a slot is added so that among teams without usage the one with the larger share is chosen.
        return (candidate.usage + 0.5) / candidate.share;
    };
    const auto best = std::min_element(candidates.begin(), candidates.end(),
        [&](const auto& a, const auto& b) { return relativeUsage(a) < relativeUsage(b); });
    return static_cast<std::size_t>(best - candidates.begin());
}

std::size_t DeficitRoundRobinPolicy::choose(const std::vector<Candidate>& candidates)
{
    double smallestShare = candidates.front().share;
    for (const auto& candidate : candidates)
        smallestShare = std::min(smallestShare, candidate.share);
    const auto start = std::upper_bound(candidates.begin(), candidates.end(), m_last,
        [](const TeamId& team, const Candidate& candidate) { return team < candidate.team; });
    auto index = static_cast<std::size_t>(start - candidates.begin()) % candidates.size();
    // The last chosen team is chosen again while it has credit. Each visit of a team adds its quantum to its credit.
    const auto last = std::find_if(
        candidates.begin(), candidates.end(), [this](const auto& candidate) { return candidate.team == m_last; });
    if (last != candidates.end() && m_credit[m_last] >= 1) {
        m_credit[m_last] -= 1;
        return static_cast<std::size_t>(last - candidates.begin());
    }
    while (true) {
        const auto& candidate = candidates[index];
        auto& credit = m_credit[candidate.team];
        credit += candidate.share / smallestShare;
        if (credit >= 1) {
            credit -= 1;
            m_last = candidate.team;
            return index;
        }
        index = (index + 1) % candidates.size();
    }
}

template <SharePolicy Policy> bool FairQueue<Policy>::push(QueueTicket ticket, const TeamId& team, Urgency urgency)
{
    if (m_size >= m_limits.tickets || size(team) >= m_limits.ticketsPerTeam)
        return false;
    m_queues[static_cast<int>(urgency)][team].push_back(ticket);
    ++m_byTeam[team];
    ++m_size;
    return true;
}

template <SharePolicy Policy> void FairQueue<Policy>::pushFront(QueueTicket ticket, const TeamId& team, Urgency urgency)
{
    m_queues[static_cast<int>(urgency)][team].push_front(ticket);
    ++m_byTeam[team];
    ++m_size;
}

template <SharePolicy Policy> void FairQueue<Policy>::decrementCounts(const TeamId& team)
{
    assert(m_size > 0 && "more tickets removed than queued");
    --m_size;
    const auto found = m_byTeam.find(team);
    if (--found->second == 0)
        m_byTeam.erase(found);
}

template <SharePolicy Policy> bool FairQueue<Policy>::remove(QueueTicket ticket, const TeamId& team, Urgency urgency)
{
    auto& queues = m_queues[static_cast<int>(urgency)];
    const auto queue = queues.find(team);
    if (queue == queues.end())
        return false;
    const auto found = std::find(queue->second.begin(), queue->second.end(), ticket);
    if (found == queue->second.end())
        return false;
    queue->second.erase(found);
    if (queue->second.empty())
        queues.erase(queue);
    decrementCounts(team);
    return true;
}

template <SharePolicy Policy>
std::optional<QueueTicket> FairQueue<Policy>::popFrom(TeamQueues& queues, const Lookup& lookup)
{
    std::vector<Candidate> candidates;
    for (const auto& [team, tickets] : queues) {
        if (auto candidate = lookup(team))
            candidates.push_back(std::move(*candidate));
    }
    if (candidates.empty())
        return std::nullopt;
    const auto team = candidates[m_policy.choose(candidates)].team;
    const auto queue = queues.find(team);
    const auto ticket = queue->second.front();
    queue->second.pop_front();
    if (queue->second.empty())
        queues.erase(queue);
    decrementCounts(team);
    return ticket;
}

template <SharePolicy Policy> std::optional<QueueTicket> FairQueue<Policy>::pop(const Lookup& lookup, Urgency lowest)
{
    const auto last = static_cast<int>(lowest);
    // Periodically, lower urgencies are tried first, from the lowest upwards, so that they are not starved.
    const bool isLowerFirst = m_choicesSinceLower >= m_limits.choicesPerLowerUrgency;
    if (isLowerFirst) {
        for (int urgency = last; urgency > 0; --urgency) {
            if (auto ticket = popFrom(m_queues[urgency], lookup)) {
                m_choicesSinceLower = 0;
                return ticket;
            }
        }
    }
    for (int urgency = 0; urgency <= last; ++urgency) {
        auto ticket = popFrom(m_queues[urgency], lookup);
        if (!ticket)
            continue;
        const bool isLowerWaiting = urgency < last
            && std::any_of(m_queues.begin() + urgency + 1, m_queues.begin() + last + 1,
                [](const TeamQueues& queues) { return !queues.empty(); });
        m_choicesSinceLower = isLowerWaiting ? m_choicesSinceLower + 1 : 0;
        return ticket;
    }
    return std::nullopt;
}

template <SharePolicy Policy>
std::size_t FairQueue<Policy>::size(Urgency urgency, const std::function<bool(const TeamId&)>& isCounted) const
{
    std::size_t sum = 0;
    for (const auto& [team, tickets] : m_queues[static_cast<int>(urgency)])
        sum += isCounted(team) ? tickets.size() : 0;
    return sum;
}

template <SharePolicy Policy> std::size_t FairQueue<Policy>::size(const TeamId& team) const
{
    const auto found = m_byTeam.find(team);
    return found == m_byTeam.end() ? 0 : found->second;
}

template class FairQueue<LeastUsagePolicy>;
template class FairQueue<DeficitRoundRobinPolicy>;

} // namespace marigoldlink
