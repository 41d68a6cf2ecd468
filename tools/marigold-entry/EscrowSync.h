// Acquires and returns escrow of the teams by updating the escrow records on the platform.
#pragma once

#include "Membership.h"
#include "marigoldlink/Coordination/Escrow.h"

#include <memory>
#include <optional>
#include <set>

namespace marigoldlink {

class EscrowSync {
public:
    // Demand of a team, and its limit from the current fleet specification. Version 0 means that no specification has
    // been received yet.
    using DemandProvider = std::function<EscrowDemand(const TeamId&)>;
    using LimitProvider = std::function<TeamLimit(const TeamId&)>;

    EscrowSync(EventLoop&, HttpPlatform&, Membership&, DemandProvider, LimitProvider);

    EscrowHolder& holder() { return *m_holder; }
    std::shared_ptr<EscrowHolder> sharedHolder() { return m_holder; }

    void start();
    void onChange(std::function<void()> callback) { m_onChange = std::move(callback); }

    // Schedules a check of the team. Call it when the demand or the limit of the team has changed.
    void scheduleSync(const TeamId&);

    // Returns all escrow, then calls done. No task may be running. No escrow is acquired from now on.
    void releaseAll(std::function<void()> done);

    // Restarts without escrow. Called after a new holder id was assigned.
    void reset();

private:
    struct Sync {
        bool isBusy { false };
        TimePoint notBefore;
        // Limit at the last synchronization of the record. If the limit has changed since, the record must be read: the
        // sum of all holders may exceed the new limit even if this holder alone does not.
        std::optional<Slots> limit;
    };

    void tick();
    void syncIfNeeded(const TeamId&);
    void synchronize(const TeamId&);
    void propose(const TeamId&, const std::optional<EscrowRecord>&, Revision);
    void finishSync(const TeamId&, Duration);

    EventLoop& m_loop;
    HttpPlatform& m_platform;
    Membership& m_membership;
    DemandProvider m_currentDemand;
    LimitProvider m_currentLimit;
    std::shared_ptr<EscrowHolder> m_holder;
    std::map<TeamId, Sync> m_syncs;
    std::set<TeamId> m_scheduledTeams;
    int m_callsInFlight { 0 };
    bool m_isReleasing { false }; // since releaseAll()
    std::function<void()> m_onChange;
    std::function<void()> m_onAllReleased;
};

} // namespace marigoldlink
