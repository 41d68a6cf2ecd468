// Updates the member record by compare-and-swap.
#include "Membership.h"

#include "../common/Jitter.h"
#include "marigoldlink/Protocol/RecordCodec.h"
#include "marigoldlink/Support/Log.h"

#include <algorithm>

namespace marigoldlink {

namespace {

    constexpr Log s_log("members");
    constexpr Duration s_retryDelay { 150 };
    // Number of most recently removed members that stay listed in the record, so that every owner learns of them.
    constexpr std::size_t s_removedHoldersKept = 16;

    Member* findMember(MemberRecord& record, HolderId holder)
    {
        const auto found = std::find_if(record.members.begin(), record.members.end(),
            [holder](const Member& member) { return member.holder == holder; });
        return found == record.members.end() ? nullptr : &*found;
    }

    // Sets the state and stamps it with the version under which the record will be written.
    bool setState(MemberRecord& record, HolderId holder, MemberState state)
    {
        auto* member = findMember(record, holder);
        if (!member || member->state == state)
            return false;
        member->state = state;
        member->stateVersion = record.version + 1;
        return true;
    }

    bool eraseMember(MemberRecord& record, HolderId holder)
    {
        return std::erase_if(record.members, [holder](const Member& member) { return member.holder == holder; }) > 0;
    }

} // namespace

Membership::Membership(EventLoop& loop, HttpPlatform& platform, Member self)
    : m_loop(loop)
    , m_platform(platform)
    , m_self(std::move(self))
{
}

bool Membership::isActive() const
{
    const auto* member = m_isJoined ? m_record.find(m_self.holder) : nullptr;
    return member && member->state == MemberState::Active;
}

std::set<HolderId> Membership::otherMembers() const
{
    std::set<HolderId> others;
    for (const auto& member : m_record.members) {
        if (member.holder != m_self.holder)
            others.insert(member.holder);
    }
    return others;
}

void Membership::fetchRecord(std::function<void(MemberRecord, Revision)> callback)
{
    const auto sentAt = m_loop.now();
    m_platform.read(keys::members, [this, sentAt, callback = std::move(callback)](ReadResult result) {
        if (result.status == StoreStatus::Missing) {
            callback({}, noRevision);
            return;
        }
        if (result.status != StoreStatus::Ok) {
            m_loop.after(jittered(s_retryDelay), [this, callback] { fetchRecord(callback); });
            return;
        }
        auto record = decodeMemberRecord(result.value.value);
        adoptIfNewer(record);
        const auto* self = m_isJoined ? record.find(m_self.holder) : nullptr;
        if (self && self->state == MemberState::Active)
            m_confirmedAt = sentAt;
        callback(std::move(record), result.value.revision);
    });
}

void Membership::update(Change change, Done done)
{
    fetchRecord([this, change = std::move(change), done = std::move(done)](MemberRecord record, Revision revision) {
        if (!change(record)) {
            done();
            return;
        }
        ++record.version;
        m_platform.write(keys::members, encode(record), revision, [this, change, done, record](WriteResult result) {
            if (result.status != StoreStatus::Ok) {
                // If only the response was lost, the next read shows that the change was already written.
                m_loop.after(jittered(s_retryDelay), [this, change, done] { update(change, done); });
                return;
            }
            adoptIfNewer(record);
            done();
        });
    });
}

void Membership::start(Done onJoined)
{
    m_isJoined = false;
    m_confirmedAt.reset();
    // Holder id written by the last attempt. It is in the record if only the response was lost.
    auto candidate = std::make_shared<HolderId>();
    update(
        [this, candidate](MemberRecord& record) {
            const auto* earlier = record.find(*candidate);
            if (earlier && earlier->endpoint == m_self.endpoint)
                return false;
            *candidate = HolderId(record.nextHolder++);
            auto member = m_self;
            member.holder = *candidate;
            record.members.push_back(member);
            record.ownersVersion = record.version + 1;
            return true;
        },
        [this, candidate, onJoined = std::move(onJoined)] {
            m_self.holder = *candidate;
            m_isJoined = true;
            s_log.info("Joined the member record.", { { "holder", std::to_string(number(m_self.holder)) } });
            onJoined();
            confirm();
            if (!std::exchange(m_isWatching, true))
                watch();
        });
}

void Membership::watch()
{
    m_platform.watch(keys::members, m_watchedTo, [this](RangeResult result) {
        if (result.status != StoreStatus::Ok) {
            m_loop.after(jittered(s_retryDelay), [this] { watch(); });
            return;
        }
        // A lower revision means that the platform lost state, so the watch restarts from the beginning.
        m_watchedTo = result.revision < m_watchedTo ? noRevision : result.revision;
        for (const auto& value : result.values)
            adoptIfNewer(decodeMemberRecord(value.value));
        watch();
    });
}

void Membership::confirm()
{
    if (m_isConfirming)
        return;
    m_isConfirming = true;
    fetchRecord([this](const MemberRecord&, Revision) { m_isConfirming = false; });
}

void Membership::adoptIfNewer(const MemberRecord& record)
{
    if (record.version <= m_record.version)
        return;
    m_record = record;
    if (m_onChange)
        m_onChange();
}

void Membership::markLeaving(Done done)
{
    update(
        [holder = m_self.holder](MemberRecord& record) {
            if (!setState(record, holder, MemberState::Leaving))
                return false;
            record.ownersVersion = record.version + 1;
            return true;
        },
        std::move(done));
}

void Membership::leave(Done done)
{
    update([holder = m_self.holder](MemberRecord& record) { return eraseMember(record, holder); }, std::move(done));
}

void Membership::markRemoving(HolderId holder, Done done)
{
    update([holder](MemberRecord& record) { return setState(record, holder, MemberState::Removing); }, std::move(done));
}

void Membership::cancelOwnRemoval(Done done)
{
    update(
        [holder = m_self.holder](MemberRecord& record) {
            const auto* member = record.find(holder);
            return member && member->state == MemberState::Removing && setState(record, holder, MemberState::Active);
        },
        std::move(done));
}

void Membership::removeUnresponsive(HolderId holder, std::uint64_t markedAt, Done done)
{
    update(
        [holder, markedAt](MemberRecord& record) {
            const auto* member = record.find(holder);
            const bool isSameMark
                = member && member->state == MemberState::Removing && member->stateVersion == markedAt;
            if (!isSameMark || !eraseMember(record, holder))
                return false;
            record.removedHolders.push_back(holder);
            if (record.removedHolders.size() > s_removedHoldersKept)
                record.removedHolders.erase(record.removedHolders.begin());
            record.ownersVersion = record.version + 1;
            return true;
        },
        std::move(done));
}

} // namespace marigoldlink
