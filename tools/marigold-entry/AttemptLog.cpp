// Log of attempts, bounded by age and by the total size of the response bodies.
#include "AttemptLog.h"

namespace marigoldlink {

std::uint64_t AttemptLog::begin()
{
    m_entries[m_next];
    return m_next++;
}

void AttemptLog::end(std::uint64_t attempt, const JobOutcome& outcome, TimePoint now)
{
    const auto found = m_entries.find(attempt);
    if (found == m_entries.end() || !found->second.isRunning)
        return;
    if (outcome.isNotRun()) {
        // A missing entry already means that the attempt did not run.
        m_entries.erase(found);
        return;
    }
    auto& entry = found->second;
    entry.isRunning = false;
    entry.outcome.error = outcome.error;
    entry.endedAt = now;
    entry.hasAnswer = m_answerBytes + outcome.body.size() <= m_limits.answerBytes;
    if (entry.hasAnswer) {
        entry.outcome.body = outcome.body;
        m_answerBytes += outcome.body.size();
    }
    m_ended.push_back(attempt);
}

const AttemptLog::Entry* AttemptLog::find(std::uint64_t attempt) const
{
    const auto found = m_entries.find(attempt);
    return found == m_entries.end() ? nullptr : &found->second;
}

void AttemptLog::expire(TimePoint now)
{
    while (!m_ended.empty()) {
        const auto found = m_entries.find(m_ended.front());
        if (now - found->second.endedAt <= m_limits.window)
            return;
        m_answerBytes -= found->second.outcome.body.size();
        m_expiredUpTo = std::max(m_expiredUpTo, found->first);
        m_entries.erase(found);
        m_ended.pop_front();
    }
}

} // namespace marigoldlink
