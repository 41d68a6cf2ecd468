// The member record: joins, leaves, and removes members that are dead beyond doubt.
#pragma once

#include "marigoldlink/State/Records.h"
#include "marigoldlink/Transport/HttpPlatform.h"

#include <functional>
#include <optional>
#include <set>

namespace marigoldlink {

class Membership {
public:
    // Changes the record and returns true, or returns false when there is nothing to change.
    using Change = std::function<bool(MemberRecord&)>;
    using Done = std::function<void()>;

    Membership(EventLoop&, HttpPlatform&, Member self);

    // Joins under a new holder id as soon as the platform answers, then watches the record.
    void start(Done onJoined);

    HolderId self() const { return m_self.holder; }
    const Member& selfMember() const { return m_self; }
    bool isActive() const;
    const MemberRecord& record() const { return m_record; }
    std::set<HolderId> otherMembers() const;

    // Called after each newer record.
    void onChange(Done callback) { m_onChange = std::move(callback); }

    // When the newest read that showed this member as active was sent. A worker lease is usable only if it was
    // opened before that: a successor that removes this member looks at all leases after it changed the record.
    std::optional<TimePoint> confirmedAt() const { return m_confirmedAt; }
    // Reads the record again soon.
    void confirm();

    // Takes a record that a peer relayed.
    void offer(const MemberRecord&);

    // Repeats compare-and-swap until the change is in the record or not needed any more.
    void update(Change, Done);

    void markLeaving(Done);
    void leave(Done);
    void markRemoving(HolderId, Done);
    // Removes a member that did not hand over its claims, unless it was active again since it was marked at the
    // version.
    void removeLost(HolderId, std::uint64_t markedAt, Done);
    // Ends the removal of this member itself, which is alive.
    void revive(Done);

private:
    void readThen(std::function<void(MemberRecord, Revision)>);
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
