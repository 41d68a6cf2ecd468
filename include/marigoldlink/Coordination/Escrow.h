// Escrow of the teams' upper limits: how many tasks a holder may run, and the records that move amounts between
// holders.
//
// A team's record in the key-value service contains the amount of the limit that each holder has. The amount used here
// never exceeds the recorded one: it is lowered before a write is sent, and raised only after a write is confirmed. So
// the number of running tasks in the fleet never exceeds the recorded sum, even if answers are lost.
#pragma once

#include "marigoldlink/State/Records.h"

#include <functional>
#include <optional>

namespace marigoldlink {

struct TeamLimit {
    Slots upperLimit { 0 };
    std::uint64_t specVersion { 0 };
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

    // Counts a task as running if the team has an unused amount. Returns whether the task may start.
    bool tryStart(const TeamId&);
    bool canStart(const TeamId&) const;
    // Stops counting a task that certainly no longer runs.
    void finish(const TeamId&);

    // Returns the record to write so that this holder gets the wanted amount, or as much as the limit allows. Returns
    // nothing if the current record needs no change or a write for the team is in flight. Amounts of holders that are
    // not members are released. If there is no current record, a new one is created.
    std::optional<EscrowRecord> propose(
        const TeamId&, const std::optional<EscrowRecord>& current, TeamLimit, Slots wanted, const IsMember&);

    // Call these before the write of a proposal is sent and after its outcome is known. Each beginWrite() must be
    // followed by one endWrite().
    void beginWrite(const TeamId&, const EscrowRecord& proposal);
    void endWrite(const TeamId&, const EscrowRecord& proposal, bool isConfirmed);

    const auto& accounts() const { return m_accounts; }

private:
    struct Account {
        // Invariant: not more than the amount recorded for this holder in the key-value service.
        Slots held { 0 };
        // Invariant: not more than held, except for adopted tasks.
        Slots running { 0 };
        bool isWriteInFlight { false };
        // True while the recorded sum exceeds a lowered limit; no task starts then.
        bool isOverCommitted { false };
    };

    HolderId m_self;
    std::map<TeamId, Account> m_accounts;
};

// Input for the amount of a limit that a holder requests.
struct EscrowDemand {
    Slots running { 0 };
    Slots queued { 0 };
    Slots upperLimit { 0 };
    Slots members { 1 };
    // Kept even without demand, so that a data centre can still run tasks during a network partition.
    Slots baseline { 0 };
    bool hasRemoteDemand { false };
};

// Returns the baseline of a holder. If the limit is too small for a baseline of every holder, the team's chosen holder
// in each data centre keeps one slot.
Slots baselineAmount(Slots upperLimit, Slots members, Slots dataCenters, bool isChosen);

Slots targetAmount(const EscrowDemand&);

// Whether the held amount differs enough from the wanted one to justify a write.
bool shouldWriteEscrow(Slots held, const EscrowDemand&);

} // namespace marigoldlink
