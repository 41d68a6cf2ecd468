// Verdicts and tickets of the advice service.
#include "marigoldlink/Coordination/AdviceBook.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace marigoldlink {

namespace {

    constexpr double s_newestWeight = 0.2; // of the last call in the share of good workers
    constexpr double s_smallestShare = 0.1;

} // namespace

const std::string* AdviceBook::ticket(const StepKey& step, const WorkerLife& worker, TimePoint now) const
{
    const auto found = m_steps.find(step);
    if (found == m_steps.end())
        return nullptr;
    const auto verdict = found->second.verdicts.find(worker);
    if (verdict == found->second.verdicts.end() || verdict->second.ticket.empty() || now >= verdict->second.validUntil)
        return nullptr;
    return &verdict->second.ticket;
}

std::vector<WorkerLife> AdviceBook::nextCall(
    const StepKey& step, const std::vector<WorkerLife>& candidates, std::size_t needed, TimePoint now)
{
    if (m_calls >= m_limits.mostCalls || now < m_notBefore || !needed)
        return {};
    auto& advice = m_steps[step];
    if (advice.isUnderWay)
        return {};
    const auto expected = std::ceil(static_cast<double>(needed) / std::max(s_smallestShare, m_goodShare));
    const auto most = std::clamp(static_cast<std::size_t>(expected), m_limits.leastWorkers, m_limits.mostWorkers);
    std::vector<WorkerLife> asked;
    // Workers whose ticket has ended are known to be good.
    for (const bool isKnownGood : { true, false }) {
        for (const auto& candidate : candidates) {
            if (asked.size() >= most)
                break;
            const auto verdict = advice.verdicts.find(candidate);
            const bool isKnown = verdict != advice.verdicts.end();
            if (isKnown != isKnownGood
                || (isKnown && (verdict->second.ticket.empty() || now < verdict->second.validUntil)))
                continue;
            asked.push_back(candidate);
        }
    }
    if (asked.empty())
        return asked;
    advice.isUnderWay = true;
    ++m_calls;
    return asked;
}

void AdviceBook::answered(const StepKey& step, const std::vector<WorkerLife>& asked,
    const std::map<WorkerId, std::string>& tickets, Duration valid, TimePoint now)
{
    assert(m_calls > 0 && "an answer belongs to a call");
    --m_calls;
    const auto found = m_steps.find(step);
    if (found == m_steps.end())
        return;
    found->second.isUnderWay = false;
    std::size_t good = 0;
    for (const auto& worker : asked) {
        const auto row = tickets.find(worker.id);
        const bool isGood = row != tickets.end() && !row->second.empty();
        found->second.verdicts[worker] = isGood
            ? Verdict { row->second, now + std::max(Duration(0), valid - m_limits.ticketReserve) }
            : Verdict {};
        good += isGood;
    }
    const auto share = static_cast<double>(good) / static_cast<double>(std::max<std::size_t>(1, asked.size()));
    m_goodShare += s_newestWeight * (share - m_goodShare);
}

void AdviceBook::failed(const StepKey& step, TimePoint now)
{
    assert(m_calls > 0 && "a failure belongs to a call");
    --m_calls;
    m_notBefore = now + m_limits.retryDelay;
    if (const auto found = m_steps.find(step); found != m_steps.end())
        found->second.isUnderWay = false;
}

void AdviceBook::rejected(const StepKey& step, const WorkerLife& worker)
{
    const auto found = m_steps.find(step);
    if (found == m_steps.end())
        return;
    const auto verdict = found->second.verdicts.find(worker);
    if (verdict != found->second.verdicts.end())
        verdict->second.validUntil = TimePoint();
}

void AdviceBook::forget(const JobId& job)
{
    const auto first = m_steps.lower_bound(StepKey { job, 0, 0 });
    auto last = first;
    while (last != m_steps.end() && last->first.job == job)
        ++last;
    m_steps.erase(first, last);
}

} // namespace marigoldlink
