// At most one run of a request id: one member owns each id and grants it to one claimant.
//
// The owner of an id is chosen by rendezvous hashing among the active members of one version of the member record.
// A member that adopts a version hands the claims that it no longer owns to their new owners. An owner grants ids only
// after every other member of the version did so. Ids that may have been claimed through a member that was lost are
// unsettled for a window, during which they are refused.
#pragma once

#include "marigoldlink/State/Records.h"

#include <optional>

namespace marigoldlink {

enum class ClaimState { Running, Finished };

struct Claim {
    RequestId request;
    HolderId claimant {};
    std::uint64_t attempt { 0 }; // number that the claimant gave to this attempt
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
        Taken, // another attempt has the id; the claim says which
        NotOwner, // the version differs or another member owns the id
        Unsettled, // an earlier claim may exist that this member cannot know
        Unready, // a handover is missing; asking again soon helps
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

    // Adopts a newer record. Returns the handovers to deliver, one to each other owner, if the owners changed.
    std::vector<ClaimHandover> adopt(const MemberRecord&, TimePoint now);
    void receive(const ClaimHandover&, TimePoint now);

    ClaimAnswer claim(const Claim&, std::uint64_t ownersVersion, TimePoint now);
    // Forgets a claim of an attempt that surely did not run and never will.
    void release(const Claim&);
    void finish(const Claim&, TimePoint now);

    // Forgets finished claims that are older than the window, and running ones after many windows.
    void expire(TimePoint now);
    std::size_t size() const { return m_claims.size(); }

private:
    struct Held {
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
    std::map<HolderId, std::uint64_t> m_handedOver; // highest version that each member handed over at
    // When this member could first be sure that no claim of a lost member is granted any more.
    std::map<HolderId, TimePoint> m_lostSince;
    std::map<RequestId, Held> m_claims;
};

} // namespace marigoldlink
