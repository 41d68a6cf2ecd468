// Ownership of request ids across changes of the members.
#include "marigoldlink/Coordination/Claims.h"

#include "marigoldlink/Coordination/Rendezvous.h"

#include <algorithm>

namespace marigoldlink {

namespace {

    // A claim that never finished is forgotten after so many windows; its caller has long given up.
    constexpr int s_windowsPerRunningClaim = 10;

} // namespace

std::vector<HolderId> ClaimLedger::activeMembers() const
{
    std::vector<HolderId> active;
    for (const auto& member : m_record.members) {
        // A member under removal still owns its ids: it may be alive and have granted some.
        if (member.state != MemberState::Leaving)
            active.push_back(member.holder);
    }
    return active;
}

std::optional<HolderId> ClaimLedger::owner(const RequestId& request) const
{
    return rendezvousOwner(request.value(), activeMembers());
}

std::vector<ClaimHandover> ClaimLedger::adopt(const MemberRecord& record, TimePoint now)
{
    if (record.version <= m_record.version)
        return {};
    const bool isJoin = !m_record.find(m_self) && record.find(m_self);
    const bool isOwnersChange = record.ownersVersion != m_record.ownersVersion;
    m_record = record;
    if (isJoin)
        m_joinVersion = record.ownersVersion;
    for (const auto holder : record.lost)
        m_lostSince.try_emplace(holder, now);
    if (!isOwnersChange)
        return {};

    std::map<HolderId, ClaimHandover> handovers;
    for (const auto holder : activeMembers()) {
        if (holder != m_self)
            handovers[holder] = { m_self, holder, record.ownersVersion, {} };
    }
    for (const auto& [request, held] : m_claims) {
        const auto found = handovers.find(owner(request).value_or(m_self));
        if (found != handovers.end())
            found->second.claims.push_back(held.claim);
    }
    std::vector<ClaimHandover> list;
    list.reserve(handovers.size());
    for (auto& [holder, handover] : handovers)
        list.push_back(std::move(handover));
    return list;
}

void ClaimLedger::receive(const ClaimHandover& handover, TimePoint now)
{
    const bool wasComplete = hasAllHandovers();
    auto& version = m_handedOver[handover.from];
    version = std::max(version, handover.ownersVersion);
    if (!wasComplete && hasAllHandovers()) {
        // Until now a member with an older record could still claim from the lost members.
        for (auto& [holder, since] : m_lostSince)
            since = now;
    }
    for (const auto& claim : handover.claims) {
        auto [it, isNew] = m_claims.try_emplace(claim.request, Held { claim, now });
        if (!isNew && claim.state == ClaimState::Finished)
            it->second.claim.state = ClaimState::Finished;
    }
}

bool ClaimLedger::hasAllHandovers() const
{
    return std::all_of(m_record.members.begin(), m_record.members.end(), [this](const Member& member) {
        if (member.holder == m_self)
            return true;
        const auto found = m_handedOver.find(member.holder);
        return found != m_handedOver.end() && found->second >= m_record.ownersVersion;
    });
}

bool ClaimLedger::isSettled(const RequestId& request, TimePoint now) const
{
    auto holders = activeMembers();
    for (const auto& [holder, since] : m_lostSince) {
        if (now - since >= m_window)
            continue;
        // A member that was lost before it handed over to this one may have granted any id.
        const auto found = m_handedOver.find(holder);
        if (found == m_handedOver.end() || found->second < m_joinVersion)
            return false;
        holders.push_back(holder);
    }
    return rendezvousOwner(request.value(), holders) == m_self;
}

ClaimAnswer ClaimLedger::claim(const Claim& wanted, std::uint64_t ownersVersion, TimePoint now)
{
    using Verdict = ClaimAnswer::Verdict;
    if (ownersVersion != m_record.ownersVersion || owner(wanted.request) != m_self)
        return { Verdict::NotOwner, {} };
    const auto found = m_claims.find(wanted.request);
    if (found != m_claims.end()) {
        const auto& held = found->second.claim;
        const bool isSameAttempt = held.claimant == wanted.claimant && held.attempt == wanted.attempt;
        return { isSameAttempt ? Verdict::Granted : Verdict::Taken, held };
    }
    if (!hasAllHandovers())
        return { Verdict::Unready, {} };
    if (!isSettled(wanted.request, now))
        return { Verdict::Unsettled, {} };
    m_claims[wanted.request] = { wanted, now };
    return { Verdict::Granted, wanted };
}

void ClaimLedger::release(const Claim& claim)
{
    const auto found = m_claims.find(claim.request);
    if (found == m_claims.end())
        return;
    const auto& held = found->second.claim;
    if (held.claimant == claim.claimant && held.attempt == claim.attempt)
        m_claims.erase(found);
}

void ClaimLedger::finish(const Claim& claim, TimePoint now)
{
    const auto found = m_claims.find(claim.request);
    if (found == m_claims.end())
        return;
    found->second.claim.state = ClaimState::Finished;
    found->second.changedAt = now;
}

void ClaimLedger::expire(TimePoint now)
{
    std::erase_if(m_claims, [&](const auto& item) {
        const auto windows = item.second.claim.state == ClaimState::Finished ? 1 : s_windowsPerRunningClaim;
        return now - item.second.changedAt > windows * m_window;
    });
    std::erase_if(m_lostSince, [&](const auto& item) {
        const auto& lost = m_record.lost;
        return now - item.second >= m_window && std::find(lost.begin(), lost.end(), item.first) == lost.end();
    });
}

} // namespace marigoldlink
