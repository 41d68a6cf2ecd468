// Maintains the member record: joins, leaves, and removes other members that are known to be dead.
#pragma once

#include "marigoldlink/State/Records.h"
#include "marigoldlink/Transport/HttpPlatform.h"

#include <functional>
#include <optional>
#include <set>

namespace marigoldlink {

class Membership {
public:
    // Modifies the record and returns true, or returns false when no change is needed.
    using Change = std::function<bool(MemberRecord&)>;
    using Done = std::function<void()>;

    Membership(EventLoop&, HttpPlatform&, Member self);

    // Joins under a new holder id, retrying until the platform responds, and then watches the record.
    void start(Done onJoined);

    HolderId self() const { return m_self.holder; }
    const Member& selfMember() const { return m_self; }
    bool isActive() const;
    const MemberRecord& record() const { return m_record; }
    std::set<HolderId> otherMembers() const;

    // Registers a callback that runs after a newer record was adopted.
    void onChange(Done callback) { m_onChange = std::move(callback); }

    // Send time of the latest read that showed this member as active. A worker lease is usable only if it was opened
    // before that time: a member that removes this one first changes the record and then checks all worker leases.
    std::optional<TimePoint> confirmedAt() const { return m_confirmedAt; }
    // Reads the record again unless a read is already in flight.
    void confirm();

    // Adopts a record relayed by a peer if it is newer.
    void adoptIfNewer(const MemberRecord&);

    // Repeats compare-and-swap until the change is written or no longer needed.
    void update(Change, Done);

    void markLeaving(Done);
    void leave(Done);
    void markRemoving(HolderId, Done);
    // Removes a member that did not hand over its claims, unless its state changed after it was marked for removal at
    // version markedAt.
    void removeUnresponsive(HolderId, std::uint64_t markedAt, Done);
    // Cancels the removal of this member, which another member wrongly considers dead.
    void cancelOwnRemoval(Done);

private:
    void fetchRecord(std::function<void(MemberRecord, Revision)>);
    void watch();
    void retry(Change, Done);

    EventLoop& m_loop;
    HttpPlatform& m_platform;
    Member m_self;
    bool m_isJoined { false };
    bool m_isConfirming { false };
    bool m_isWatching { false };
    MemberRecord m_record;
    Revision m_watchedTo { noRevision };
    std::optional<TimePoint> m_confirmedAt;
    Done m_onChange;
};

} // namespace marigoldlink
