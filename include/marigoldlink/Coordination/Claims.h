// Ensures at most one run of each request id: a single member owns the id and grants it to a single claimant.
//
// The owner of an id is chosen by rendezvous hashing among the active members of one version of the member record.
// A member that adopts a version hands over the claims that it no longer owns to their new owners. An owner grants ids
// only after every other member of the version has done so. Ids that may have been claimed through a removed member are
// unsettled for a window of time, during which claims on them are refused.
#pragma once

#include "marigoldlink/State/Records.h"

#include <optional>

namespace marigoldlink {

enum class ClaimState { Running, Finished };

struct Claim {
    RequestId request;
    HolderId claimant {};
    std::uint64_t attempt { 0 }; // number of the attempt, assigned by the claimant
    ClaimState state { ClaimState::Running };
};

struct ClaimHandover {
    HolderId from {};
    HolderId to {};
    std::uint64_t ownersVersion { 0 };
    std::vector<Claim> claims;
};

struct ClaimAnswer {
    enum class Verdict {
        Granted,
        Taken, // another attempt holds the id; see the claim of the answer
        NotOwner, // the owners' version differs, or another member owns the id
        Unsettled, // an earlier claim may exist that is unknown to this member
        Unready, // a handover is missing; the claim may succeed if it is soon retried
    };
    Verdict verdict { Verdict::NotOwner };
    Claim claim;
};

class ClaimLedger {
public:
    ClaimLedger(HolderId self, Duration window)
        : m_self(self)
        , m_window(window)
    {
    }

    std::uint64_t ownersVersion() const { return m_record.ownersVersion; }
    std::optional<HolderId> owner(const RequestId&) const;

    // Adopts the record if it is newer. If the owners changed, returns the handovers to deliver, one for each other
    // owner.
    std::vector<ClaimHandover> adopt(const MemberRecord&, TimePoint now);
    void receiveHandover(const ClaimHandover&, TimePoint now);

    ClaimAnswer claim(const Claim&, std::uint64_t ownersVersion, TimePoint now);
    // Removes the claim of an attempt that has not run and never will.
    void release(const Claim&);
    void finish(const Claim&, TimePoint now);

    // Evicts finished claims that are older than the window, and running ones after several windows.
    void evictExpired(TimePoint now);
    std::size_t size() const { return m_claims.size(); }

private:
    struct ClaimEntry {
        Claim claim;
        TimePoint changedAt;
    };

    bool isSettled(const RequestId&, TimePoint now) const;
    bool hasAllHandovers() const;
    std::vector<HolderId> activeMembers() const;

    HolderId m_self;
    Duration m_window;
    MemberRecord m_record;
    std::uint64_t m_joinVersion { 0 };
    std::map<HolderId, std::uint64_t> m_handoverVersions; // highest owners' version of a handover from each member
    // Time from which, as far as known here, a removed member can no longer grant a claim.
    std::map<HolderId, TimePoint> m_removedSince;
    std::map<RequestId, ClaimEntry> m_claims;
};

} // namespace marigoldlink
