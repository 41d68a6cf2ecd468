// Verdicts, tickets and call sizes.
#include "marigoldlink/Coordination/AdviceCache.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace marigoldlink {

namespace {

    constexpr double s_smoothingFactor = 0.2; // weight of the last call in the approval rate
    constexpr double s_minApprovalRate = 0.1;

} // namespace

const std::string* AdviceCache::ticket(const StepKey& step, const WorkerIncarnation& worker, TimePoint now) const
{
    const auto found = m_steps.find(step);
    if (found == m_steps.end())
        return nullptr;
    const auto verdict = found->second.verdicts.find(worker);
    if (verdict == found->second.verdicts.end() || verdict->second.ticket.empty() || now >= verdict->second.validUntil)
        return nullptr;
    return &verdict->second.ticket;
}

bool AdviceCache::isRefused(const StepKey& step, const WorkerIncarnation& worker) const
{
    const auto found = m_steps.find(step);
    if (found == m_steps.end())
        return false;
    const auto verdict = found->second.verdicts.find(worker);
    return verdict != found->second.verdicts.end() && verdict->second.ticket.empty();
}

std::vector<WorkerIncarnation> AdviceCache::nextCall(
    const StepKey& step, const std::vector<WorkerIncarnation>& candidates, std::size_t needed, TimePoint now)
{
    if (m_callsInFlight >= m_limits.maxCalls || now < m_nextCallAt || !needed)
        return {};
    auto& advice = m_steps[step];
    if (advice.isCallInFlight)
        return {};
    const auto expected = std::ceil(static_cast<double>(needed) / std::max(s_minApprovalRate, m_approvalRate));
    const auto callSize = std::clamp(static_cast<std::size_t>(expected), m_limits.minWorkers, m_limits.maxWorkers);
    std::vector<WorkerIncarnation> asked;
    // Workers with an expired ticket come first: they are known to be approved.
    for (const bool isKnownApproved : { true, false }) {
        for (const auto& candidate : candidates) {
            if (asked.size() >= callSize)
                break;
            const auto verdict = advice.verdicts.find(candidate);
            const bool isKnown = verdict != advice.verdicts.end();
            if (isKnown != isKnownApproved
                || (isKnown && (verdict->second.ticket.empty() || now < verdict->second.validUntil)))
                continue;
            asked.push_back(candidate);
        }
    }
    if (asked.empty())
        return asked;
    advice.isCallInFlight = true;
    ++m_callsInFlight;
    return asked;
}

void AdviceCache::answered(const StepKey& step, const std::vector<WorkerIncarnation>& asked,
    const std::map<WorkerId, std::string>& tickets, Duration valid, TimePoint now)
{
    assert(m_callsInFlight > 0 && "an answer requires a call in flight");
    --m_callsInFlight;
    const auto found = m_steps.find(step);
    if (found == m_steps.end())
        return;
    found->second.isCallInFlight = false;
    std::size_t approved = 0;
    for (const auto& worker : asked) {
        const auto ticket = tickets.find(worker.id);
        const bool isApproved = ticket != tickets.end() && !ticket->second.empty();
        found->second.verdicts[worker] = isApproved
            ? Verdict { ticket->second, now + std::max(Duration(0), valid - m_limits.ticketSafetyMargin) }
            : Verdict {};
        approved += isApproved;
    }
    const auto rate = static_cast<double>(approved) / static_cast<double>(std::max<std::size_t>(1, asked.size()));
    m_approvalRate += s_smoothingFactor * (rate - m_approvalRate);
}

void AdviceCache::failed(const StepKey& step, TimePoint now)
{
    assert(m_callsInFlight > 0 && "a failure requires a call in flight");
    --m_callsInFlight;
    m_nextCallAt = now + m_limits.retryDelay;
    if (const auto found = m_steps.find(step); found != m_steps.end())
        found->second.isCallInFlight = false;
}

void AdviceCache::rejected(const StepKey& step, const WorkerIncarnation& worker)
{
    const auto found = m_steps.find(step);
    if (found == m_steps.end())
        return;
    const auto verdict = found->second.verdicts.find(worker);
    if (verdict != found->second.verdicts.end())
        verdict->second.validUntil = TimePoint();
}

void AdviceCache::forget(const JobId& job)
{
    const auto first = m_steps.lower_bound(StepKey { job, 0, 0 });
    auto last = first;
    while (last != m_steps.end() && last->first.job == job)
        ++last;
    m_steps.erase(first, last);
}

} // namespace marigoldlink
