// Retention and limits of the ids of jobs that were cancelled before their submission.
#include "marigoldlink/Coordination/CancelledIds.h"

#include <cassert>

namespace marigoldlink {

bool CancelledIds::add(const JobId& id, const TeamId& team)
{
    assert(!contains(id) && "an id can be kept only once");
    auto& count = m_count[team];
    if (count >= m_limits.idsPerTeam)
        return false;
    ++count;
    m_ids.emplace(id, Entry { team, std::nullopt });
    m_added.push_back(id);
    return true;
}

void CancelledIds::restore(const JobId& id, const TeamId& team, TimePoint now)
{
    if (!m_ids.emplace(id, Entry { team, std::nullopt }).second)
        return;
    ++m_count[team];
    markStored(id, now);
}

void CancelledIds::markStored(const JobId& id, TimePoint now)
{
    const auto found = m_ids.find(id);
    if (found == m_ids.end() || found->second.expiresAt)
        return;
    const auto expiresAt = now + m_limits.retention;
    found->second.expiresAt = expiresAt;
    m_expiries[found->second.team].emplace(expiresAt, id);
}

void CancelledIds::renew(const JobId& id, TimePoint now)
{
    assert(isStored(id) && "only the retention of a stored id can be renewed");
    auto& entry = m_ids.at(id);
    auto& expiries = m_expiries.at(entry.team);
    expiries.erase({ *entry.expiresAt, id });
    entry.expiresAt = now + m_limits.retention;
    expiries.emplace(*entry.expiresAt, id);
}

bool CancelledIds::isStored(const JobId& id) const
{
    const auto found = m_ids.find(id);
    return found != m_ids.end() && found->second.expiresAt;
}

const TeamId& CancelledIds::team(const JobId& id) const
{
    assert(contains(id) && "only a kept id has a team");
    return m_ids.at(id).team;
}

std::optional<Duration> CancelledIds::nextExpiry(const TeamId& team, TimePoint now) const
{
    const auto found = m_expiries.find(team);
    if (found == m_expiries.end())
        return std::nullopt;
    return std::max(Duration(0), found->second.begin()->first - now);
}

std::vector<JobId> CancelledIds::takeExpired(TimePoint now)
{
    std::vector<JobId> expired;
    for (auto& [team, expiries] : m_expiries) {
        while (!expiries.empty() && expiries.begin()->first <= now) {
            const auto earliest = expiries.extract(expiries.begin());
            const auto& id = earliest.value().second;
            m_ids.erase(id);
            if (!--m_count.at(team))
                m_count.erase(team);
            expired.push_back(id);
        }
    }
    std::erase_if(m_expiries, [](const auto& entry) { return entry.second.empty(); });
    return expired;
}

} // namespace marigoldlink
