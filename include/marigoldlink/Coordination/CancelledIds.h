// Ids of jobs that were cancelled before a submission of them arrived.
//
// A cancelling can overtake its submission, which may still be on its way from another entry instance. The id is stored
// before the cancelling is acknowledged, and no submission of it is accepted while it is kept. Callers may cancel any
// number of ids that never exist, so the ids kept for a team are limited.
#pragma once

#include "marigoldlink/State/Jobs.h"

#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace marigoldlink {

class CancelledIds {
public:
    struct Limits {
        std::size_t idsPerTeam { 500 };
        Duration retention { 120000 }; // from the time at which an id is stored or renewed
    };

    explicit CancelledIds(Limits limits)
        : m_limits(limits)
    {
    }

    // Keeps an id that is not kept yet. Returns false if the team has reached its limit.
    bool add(const JobId&, const TeamId&);
    // Keeps an id that a predecessor stored, regardless of the limit.
    void restore(const JobId&, const TeamId&, TimePoint now);
    void markStored(const JobId&, TimePoint now);
    // Starts the retention of a stored id anew.
    void renew(const JobId&, TimePoint now);

    bool contains(const JobId& id) const { return m_ids.contains(id); }
    // The id is kept and its record is stored.
    bool isStored(const JobId&) const;
    // The team that cancelled a kept id.
    const TeamId& team(const JobId&) const;
    // Time until an id of the team expires; nullopt if none of its ids is stored.
    std::optional<Duration> nextExpiry(const TeamId&, TimePoint now) const;

    // Returns the ids that were added since the last call, whose records have to be written.
    std::vector<JobId> takeAdded() { return std::exchange(m_added, {}); }
    // Forgets the ids whose retention has ended and returns them. Their records have to be removed.
    std::vector<JobId> takeExpired(TimePoint now);

private:
    struct Entry {
        TeamId team;
        std::optional<TimePoint> expiresAt; // nullopt until the record is stored
    };

    Limits m_limits;
    std::map<JobId, Entry> m_ids;
    std::map<TeamId, std::size_t> m_count; // invariant: number of ids in m_ids by team; no team with 0
    // Invariant: exactly the ids of m_ids that are stored, by team and time of expiry.
    std::map<TeamId, std::set<std::pair<TimePoint, JobId>>> m_expiries;
    std::vector<JobId> m_added;
};

} // namespace marigoldlink
