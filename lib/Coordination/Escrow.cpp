// Accounts of a holder, and proposals for the teams' escrow records.
#include "marigoldlink/Coordination/Escrow.h"

#include <algorithm>
#include <cassert>

namespace marigoldlink {

namespace {

    // A holder keeps the even split divided by this number in reserve, so that a burst can start without a write.
    constexpr Slots s_reserveDivisor = 4;

    Slots reserveAmount(const EscrowDemand& demand)
    {
        if (demand.hasRemoteDemand)
            return 0;
        return std::max<Slots>(1, demand.upperLimit / (s_reserveDivisor * std::max<Slots>(1, demand.members)));
    }

} // namespace

Slots EscrowHolder::held(const TeamId& team) const
{
    const auto found = m_accounts.find(team);
    return found == m_accounts.end() ? 0 : found->second.held;
}

Slots EscrowHolder::running(const TeamId& team) const
{
    const auto found = m_accounts.find(team);
    return found == m_accounts.end() ? 0 : found->second.running;
}

bool EscrowHolder::canStart(const TeamId& team) const
{
    const auto found = m_accounts.find(team);
    if (found == m_accounts.end() || found->second.isOverCommitted)
        return false;
    return found->second.running < found->second.held;
}

bool EscrowHolder::tryStart(const TeamId& team)
{
    if (!canStart(team))
        return false;
    ++m_accounts[team].running;
    return true;
}

void EscrowHolder::finish(const TeamId& team)
{
    auto& account = m_accounts[team];
    assert(account.running > 0 && "a task must be running to finish");
    --account.running;
}

std::optional<EscrowRecord> EscrowHolder::propose(const TeamId& team, const std::optional<EscrowRecord>& current,
    TeamLimit limit, Slots wanted, const IsMember& isMember)
{
    auto& account = m_accounts[team];
    if (account.isWriteInFlight)
        return std::nullopt;
    EscrowRecord next = current.value_or(EscrowRecord { limit.upperLimit, limit.specVersion, {} });
    if (limit.specVersion > next.limitVersion) {
        next.limit = limit.upperLimit;
        next.limitVersion = limit.specVersion;
    }
    std::erase_if(next.held, [&](const auto& item) { return item.first != m_self && !isMember(item.first); });
    account.isOverCommitted = next.total() > next.limit;

    const auto ownAmount = next.held.contains(m_self) ? next.held.at(m_self) : 0;
    const auto available = std::max<Slots>(0, next.limit - (next.total() - ownAmount));
    const auto target = std::max(account.running, std::min(std::max(wanted, account.running), available));
    next.held[m_self] = target;
    if (target == 0)
        next.held.erase(m_self);
    if (current && next == *current && target == account.held)
        return std::nullopt;
    return next;
}

void EscrowHolder::beginWrite(const TeamId& team, const EscrowRecord& proposal)
{
    auto& account = m_accounts[team];
    assert(!account.isWriteInFlight && "a team can have only one write in flight");
    account.isWriteInFlight = true;
    const auto found = proposal.held.find(m_self);
    const auto amount = found == proposal.held.end() ? 0 : found->second;
    assert(amount >= account.running && "a proposal must cover the holder's running tasks");
    account.held = std::min(account.held, amount);
}

void EscrowHolder::endWrite(const TeamId& team, const EscrowRecord& proposal, bool isConfirmed)
{
    auto& account = m_accounts[team];
    assert(account.isWriteInFlight && "a write must be in flight to end");
    account.isWriteInFlight = false;
    if (!isConfirmed)
        return;
    const auto found = proposal.held.find(m_self);
    account.held = found == proposal.held.end() ? 0 : found->second;
    account.isOverCommitted = proposal.total() > proposal.limit;
}

Slots baselineAmount(Slots upperLimit, Slots members, Slots dataCenters, bool isChosen)
{
    const auto share = upperLimit / (s_reserveDivisor * std::max<Slots>(1, members));
    if (share > 0)
        return share;
    return isChosen && upperLimit >= 2 * dataCenters ? 1 : 0;
}

Slots targetAmount(const EscrowDemand& demand)
{
    const auto wanted = std::max(demand.baseline, demand.running + demand.queued + reserveAmount(demand));
    return std::min(demand.upperLimit, wanted);
}

bool shouldWriteEscrow(Slots held, const EscrowDemand& demand)
{
    const auto needed = std::min(demand.upperLimit, std::max(demand.baseline, demand.running + demand.queued));
    if (held < needed)
        return true;
    if (demand.hasRemoteDemand && held > needed)
        return true;
    // An amount well above the reserve is returned even without demand elsewhere, so that it is available when needed.
    return held > 2 * targetAmount(demand) + 1;
}

} // namespace marigoldlink
