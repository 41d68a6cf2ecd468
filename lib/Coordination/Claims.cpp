// Ownership of request ids across membership changes.
#include "marigoldlink/Coordination/Claims.h"

#include "marigoldlink/Coordination/Rendezvous.h"

#include <algorithm>

namespace marigoldlink {

namespace {

    // Number of windows after which a claim that did not finish is evicted. Its caller has given up long before.
    constexpr int s_runningClaimWindows = 10;

} // namespace

std::vector<HolderId> ClaimLedger::activeMembers() const
{
    std::vector<HolderId> active;
    for (const auto& member : m_record.members) {
        // A member that is being removed still owns its ids, since it may be alive and may have granted some.
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
    const bool hasJoined = !m_record.find(m_self) && record.find(m_self);
    const bool haveOwnersChanged = record.ownersVersion != m_record.ownersVersion;
    m_record = record;
    if (hasJoined)
        m_joinVersion = record.ownersVersion;
    for (const auto holder : record.removedHolders)
        m_removedSince.try_emplace(holder, now);
    if (!haveOwnersChanged)
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

void ClaimLedger::receiveHandover(const ClaimHandover& handover, TimePoint now)
{
    const bool wasComplete = hasAllHandovers();
    auto& version = m_handoverVersions[handover.from];
    version = std::max(version, handover.ownersVersion);
    if (!wasComplete && hasAllHandovers()) {
        // Until now, members with an older record could still claim from the removed members.
        for (auto& [holder, since] : m_removedSince)
            since = now;
    }
    for (const auto& claim : handover.claims) {
        auto [it, isNew] = m_claims.try_emplace(claim.request, ClaimEntry { claim, now });
        if (!isNew && claim.state == ClaimState::Finished)
            it->second.claim.state = ClaimState::Finished;
    }
}

bool ClaimLedger::hasAllHandovers() const
{
    return std::all_of(m_record.members.begin(), m_record.members.end(), [this](const Member& member) {
        if (member.holder == m_self)
            return true;
        const auto found = m_handoverVersions.find(member.holder);
        return found != m_handoverVersions.end() && found->second >= m_record.ownersVersion;
    });
}

bool ClaimLedger::isSettled(const RequestId& request, TimePoint now) const
{
    auto holders = activeMembers();
    for (const auto& [holder, since] : m_removedSince) {
        if (now - since >= m_window)
            continue;
        // A member that was removed before it handed over to this one may have granted any id.
        const auto found = m_handoverVersions.find(holder);
        if (found == m_handoverVersions.end() || found->second < m_joinVersion)
            return false;
        holders.push_back(holder);
    }
    return rendezvousOwner(request.value(), holders) == m_self;
}

ClaimAnswer ClaimLedger::claim(const Claim& requested, std::uint64_t ownersVersion, TimePoint now)
{
    using Verdict = ClaimAnswer::Verdict;
    if (ownersVersion != m_record.ownersVersion || owner(requested.request) != m_self)
        return { Verdict::NotOwner, {} };
    const auto found = m_claims.find(requested.request);
    if (found != m_claims.end()) {
        const auto& held = found->second.claim;
        const bool isSameAttempt = held.claimant == requested.claimant && held.attempt == requested.attempt;
        return { isSameAttempt ? Verdict::Granted : Verdict::Taken, held };
    }
    if (!hasAllHandovers())
        return { Verdict::Unready, {} };
    if (!isSettled(requested.request, now))
        return { Verdict::Unsettled, {} };
    m_claims[requested.request] = { requested, now };
    return { Verdict::Granted, requested };
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

void ClaimLedger::evictExpired(TimePoint now)
{
    std::erase_if(m_claims, [&](const auto& item) {
        const auto windows = item.second.claim.state == ClaimState::Finished ? 1 : s_runningClaimWindows;
        return now - item.second.changedAt > windows * m_window;
    });
    std::erase_if(m_removedSince, [&](const auto& item) {
        const auto& removedHolders = m_record.removedHolders;
        return now - item.second >= m_window
            && std::find(removedHolders.begin(), removedHolders.end(), item.first) == removedHolders.end();
    });
}

} // namespace marigoldlink
