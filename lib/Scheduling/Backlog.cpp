// Incremental sums over the loads of the active jobs.
#include "marigoldlink/Scheduling/Backlog.h"

#include <utility>

namespace marigoldlink {

WorkSum& WorkSum::operator+=(const WorkSum& other)
{
    waitingWork += other.waitingWork;
    runningWork += other.runningWork;
    waitingMilliCores += other.waitingMilliCores;
    runningMilliCores += other.runningMilliCores;
    serviceMilliCores += other.serviceMilliCores;
    return *this;
}

WorkSum& WorkSum::operator-=(const WorkSum& other)
{
    waitingWork -= other.waitingWork;
    runningWork -= other.runningWork;
    waitingMilliCores -= other.waitingMilliCores;
    runningMilliCores -= other.runningMilliCores;
    serviceMilliCores -= other.serviceMilliCores;
    return *this;
}

Backlog::Row& Backlog::rowOf(const JobLoad& load) { return m_rows[load.pool][load.priority][load.team]; }

void Backlog::set(const JobId& id, JobLoad load)
{
    if (load.sum == WorkSum {}) {
        remove(id);
        return;
    }
    const auto known = m_entries.find(id);
    if (known != m_entries.end() && known->second.load == load)
        return;
    const bool isYielding = load.yieldsAt <= m_now;
    auto& row = rowOf(load);
    (isYielding ? row.yielding : row.urgent) += load.sum;
    if (!isYielding)
        m_yieldTimes.emplace(load.yieldsAt, id);
    if (known == m_entries.end()) {
        m_entries.emplace(id, Entry { std::move(load), isYielding });
        return;
    }
    const auto previous = std::exchange(known->second, { std::move(load), isYielding });
    if (!previous.isYielding && (isYielding || previous.load.yieldsAt != known->second.load.yieldsAt))
        m_yieldTimes.erase({ previous.load.yieldsAt, id });
    subtract(previous);
}

void Backlog::remove(const JobId& id)
{
    const auto known = m_entries.find(id);
    if (known == m_entries.end())
        return;
    if (!known->second.isYielding)
        m_yieldTimes.erase({ known->second.load.yieldsAt, id });
    subtract(known->second);
    m_entries.erase(known);
}

void Backlog::subtract(const Entry& entry)
{
    const auto pool = m_rows.find(entry.load.pool);
    const auto teams = pool->second.find(entry.load.priority);
    const auto row = teams->second.find(entry.load.team);
    (entry.isYielding ? row->second.yielding : row->second.urgent) -= entry.load.sum;
    if (row->second != Row {})
        return;
    teams->second.erase(row);
    if (teams->second.empty())
        pool->second.erase(teams);
    if (pool->second.empty())
        m_rows.erase(pool);
}

void Backlog::advance(TimePoint now)
{
    m_now = now;
    while (!m_yieldTimes.empty() && m_yieldTimes.begin()->first <= now) {
        auto& entry = m_entries.at(m_yieldTimes.begin()->second);
        entry.isYielding = true;
        auto& row = rowOf(entry.load);
        row.urgent -= entry.load.sum;
        row.yielding += entry.load.sum;
        m_yieldTimes.erase(m_yieldTimes.begin());
    }
}

const Backlog::Rows& Backlog::rows(const ServiceId& pool) const
{
    static const Rows none;
    const auto found = m_rows.find(pool);
    return found == m_rows.end() ? none : found->second;
}

} // namespace marigoldlink
