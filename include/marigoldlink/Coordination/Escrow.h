// Escrow of the teams' upper limits: what one holder may run, and the records that move amounts between holders.
//
// A team's record in the key-value service says how much of the limit each holder has. The amount used here never
// exceeds the amount recorded there: it is lowered before a write is sent and raised only by a write that was
// confirmed. So the tasks running in the whole fleet never exceed the sum recorded, whatever answer is lost.
#pragma once

#include "marigoldlink/State/Records.h"

#include <functional>
#include <optional>

namespace marigoldlink {

struct TeamLimit {
    Slots upperLimit { 0 };
    std::uint64_t textVersion { 0 };
};

class EscrowHolder {
public:
    using IsMember = std::function<bool(HolderId)>;

    explicit EscrowHolder(HolderId self)
        : m_self(self)
    {
    }

    HolderId self() const { return m_self; }
    Slots held(const TeamId&) const;
    Slots running(const TeamId&) const;

    // Counts a task as running if the team has an amount left. Returns whether it may start.
    bool tryStart(const TeamId&);
    bool canStart(const TeamId&) const;
    // Ends the count of a task that surely does not run any more.
    void finish(const TeamId&);

    // The record to write so that this holder has the wanted amount, as near as the limit allows; nothing when the
    // record serves already or another write of the team is under way. Amounts of holders that are no members are
    // freed. Without a current record a new one is made.
    std::optional<EscrowRecord> propose(
        const TeamId&, const std::optional<EscrowRecord>& current, TeamLimit, Slots wanted, const IsMember&);

    // A proposal is sent, and later its write was confirmed or not. Each begin is followed by one end.
    void writeBegins(const TeamId&, const EscrowRecord& proposal);
    void writeEnds(const TeamId&, const EscrowRecord& proposal, bool isConfirmed);

    const auto& accounts() const { return m_accounts; }

private:
    struct Account {
        // Invariant: at most the amount recorded for this holder in the key-value service.
        Slots held { 0 };
        // Invariant: at most held, but for tasks that were adopted.
        Slots running { 0 };
        bool isWriting { false };
        // Set while the recorded sum exceeds a lowered limit; no task starts then.
        bool isOverCommitted { false };
    };

    HolderId m_self;
    std::map<TeamId, Account> m_accounts;
};

// How much of a limit a holder asks for.
struct EscrowDemand {
    Slots running { 0 };
    Slots queued { 0 };
    Slots upperLimit { 0 };
    Slots members { 1 };
    // Kept even without demand, so that a data centre that is cut off can go on with it.
    Slots baseline { 0 };
    bool isWantedElsewhere { false };
};

// The baseline of a holder. A small limit leaves none for each holder; then the team's chosen holder in each data
// centre keeps one.
Slots baselineAmount(Slots upperLimit, Slots members, Slots dataCenters, bool isChosen);

Slots wantedAmount(const EscrowDemand&);

// Whether a difference between held and wanted is worth a write.
bool isWorthWriting(Slots held, const EscrowDemand&);

} // namespace marigoldlink
