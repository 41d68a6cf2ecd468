// Moves escrow amounts of the teams between this entry instance and the records of the platform.
#pragma once

#include "Membership.h"
#include "marigoldlink/Coordination/Escrow.h"

#include <memory>
#include <optional>
#include <set>

namespace marigoldlink {

class EscrowSync {
public:
    // Demand of a team, and its limit from the text in force; a version of 0 means that there is no text yet.
    using DemandOf = std::function<EscrowDemand(const TeamId&)>;
    using LimitOf = std::function<TeamLimit(const TeamId&)>;

    EscrowSync(EventLoop&, HttpPlatform&, Membership&, DemandOf, LimitOf);

    EscrowHolder& holder() { return *m_holder; }
    std::shared_ptr<EscrowHolder> sharedHolder() { return m_holder; }

    void start();
    void onChange(std::function<void()> callback) { m_onChange = std::move(callback); }

    // The team needs an amount, or its limit changed.
    void wake(const TeamId&);

    // Gives back every amount, then calls back. Nothing may run any more.
    void giveBack(std::function<void()> done);

    // Starts again without amounts, for a new holder id.
    void reset();

private:
    struct Sync {
        bool isBusy { false };
        TimePoint notBefore;
        // Limit that was in force when the record was last in step. Another one asks for a look at the record: the
        // sum may exceed it even if this holder's own amount does not.
        std::optional<Slots> limit;
    };

    void tick();
    void considerTeam(const TeamId&);
    void synchronize(const TeamId&);
    void propose(const TeamId&, const std::optional<EscrowRecord>&, Revision);
    void pause(const TeamId&, Duration);

    EventLoop& m_loop;
    HttpPlatform& m_platform;
    Membership& m_membership;
    DemandOf m_demandOf;
    LimitOf m_limitOf;
    std::shared_ptr<EscrowHolder> m_holder;
    std::map<TeamId, Sync> m_syncs;
    std::set<TeamId> m_awake;
    int m_callsUnderWay { 0 };
    std::function<void()> m_onChange;
    std::function<void()> m_onGivenBack;
};

} // namespace marigoldlink
