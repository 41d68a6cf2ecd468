// Leader election of the coordinator. The owner key exists only under a lease; the process that creates it first while
// it does not exist is elected.
#pragma once

#include "marigoldlink/Entry/StoreFollower.h"

namespace marigoldlink {

namespace records {
    inline const std::string owner = "marigold/owner";
    inline const std::string head = "marigold/head";
    // The last term whose owner resigned and sends no more orders. The key shares the prefix of the head, so that one
    // read returns both.
    inline const std::string resigned = "marigold/head-resigned";
} // namespace records

// The head of the journal: the term and the number of the last write in that term.
struct JournalHead {
    std::uint64_t term { 0 };
    std::uint64_t number { 0 };

    std::string text() const { return std::to_string(term) + ':' + std::to_string(number); }
    // Returns the initial head if the text does not parse.
    static JournalHead parse(const std::string& text)
    {
        JournalHead head;
        const auto colon = text.find(':');
        if (colon == std::string::npos)
            return head;
        head.term = std::strtoull(text.c_str(), nullptr, 10);
        head.number = std::strtoull(text.c_str() + colon + 1, nullptr, 10);
        return head;
    }
};

struct ElectionLimits {
    Duration ttl { 1200 }; // of the owner's lease; bounds the time until a dead owner is replaced
    Duration renewal { 350 }; // allows three attempts within a lease
    Duration retryDelay { 150 };
    Duration ordersAfterLease { 4000 }; // an owner may send orders this long after its lease ended
};

// State of a won election.
struct Ownership {
    StoreLease lease { StoreLease::None };
    Revision ownerRevision { noRevision }; // also serves as the fence
    Revision headRevision { noRevision };
    std::uint64_t term { 0 };
    bool hasPredecessorResigned { false }; // the previous owner sends no more orders
};

template <FleetPlatform Platform> class Election {
public:
    using OnElected = std::function<void(const Ownership&)>;
    using OnLost = std::function<void()>;
    using OnOwner = std::function<void()>; // the known owner changed, or the own lease was renewed
    using CampaignDelay = std::function<Duration()>; // delay before campaigning, in favour of other candidates

    Election(EventLoop& loop, Platform& platform, Endpoint self, ElectionLimits limits, OnElected onElected,
        OnLost onLost, OnOwner onOwner, CampaignDelay campaignDelay)
        : m_loop(loop)
        , m_platform(platform)
        , m_self(std::move(self))
        , m_limits(limits)
        , m_onElected(std::move(onElected))
        , m_onLost(std::move(onLost))
        , m_onOwner(std::move(onOwner))
        , m_campaignDelay(std::move(campaignDelay))
        , m_follower(loop, platform, records::owner, {}, [this](const auto&) { ownerChanged(); })
    {
    }

    void start() { m_follower.start(); }

    // The endpoint of the known owner, or nullopt.
    std::optional<Endpoint> owner() const { return m_owner; }
    bool isOwner() const { return m_ownership.has_value(); }
    // True while no other process can have been elected, judged by when the last confirmed renewal was sent.
    bool isLeaseValid() const { return m_ownership && m_loop.now() < leaseValidUntil(); }
    TimePoint leaseValidUntil() const { return m_renewedAt + m_ttl; }

    Revision ownerRevision() const { return m_ownerRevision; }
    TimePoint confirmedAt() const { return m_ownership ? m_renewedAt : m_follower.confirmedAt(); }
    bool isStoreReachable() const { return m_follower.isReachable(); }

    // A peer reports an owner that it read from the key-value service.
    void learnOwner(const Endpoint& owner, Revision revision)
    {
        if (revision <= m_ownerRevision)
            return;
        s_log.info("A peer reported a later owner.", { { "owner", owner.text() } });
        m_ownerRevision = revision;
        if (m_ownership)
            lose();
        m_owner = owner;
        m_onOwner();
    }

    // Resigns if this process is the owner, and stops campaigning.
    void stepDown()
    {
        m_hasSteppedDown = true;
        resign();
    }

    // Gives up the ownership. The process may be elected again.
    void resign()
    {
        if (!m_ownership)
            return;
        // If the write gets no answer, the lease ends by itself.
        StoreWrite call;
        call.expected = { { records::owner, m_ownership->ownerRevision } };
        // The marker lets the successor skip the wait for late orders, so it must hold for all earlier owners.
        if (m_ownership->hasPredecessorResigned || m_loop.now() >= m_electedAt + m_limits.ordersAfterLease)
            call.puts = { { records::resigned, std::to_string(m_ownership->term), StoreLease::None } };
        call.removals = { records::owner };
        const auto lease = m_ownership->lease;
        lose();
        m_platform.write(call, [this, lease](const StoreWriteResult&) { m_platform.endLease(lease); });
    }

private:
    void ownerChanged()
    {
        const auto& values = m_follower.values();
        const auto found = values.find(records::owner);
        // A view from before the latest known record says nothing about it.
        if (m_follower.revision() >= m_ownerRevision) {
            m_owner.reset();
            if (found != values.end())
                readOwner(found->second);
        }
        if (m_ownership && found != values.end() && found->second.revision > m_ownership->ownerRevision)
            lose();
        m_onOwner();
        if (found == values.end() && !m_ownership)
            campaign();
    }

    void readOwner(const StoredValue& record)
    {
        m_ownerRevision = record.revision;
        try {
            m_owner = Endpoint::parse(record.value);
        } catch (const Error& error) {
            s_log.error("Owner record does not parse.", { { "reason", error.what() } });
        }
    }

    void campaign()
    {
        if (m_hasSteppedDown || m_isCampaigning)
            return;
        m_isCampaigning = true;
        const auto campaignDelay = m_campaignDelay();
        if (campaignDelay <= Duration(0)) {
            openLease(m_limits.ttl);
            return;
        }
        m_loop.after(campaignDelay, [this] {
            if (m_hasSteppedDown || m_ownership || m_follower.values().contains(records::owner))
                m_isCampaigning = false;
            else
                openLease(m_limits.ttl);
        });
    }

    void openLease(Duration ttl)
    {
        m_renewedAt = m_loop.now();
        m_ttl = ttl;
        m_platform.openLease(ttl, [this, ttl](const StoreLeaseResult& result) {
            if (result.status != LeaseStatus::Valid) {
                campaignAgainLater();
                return;
            }
            if (m_hasSteppedDown) {
                m_platform.endLease(result.lease);
                m_isCampaigning = false;
                return;
            }
            // With a slow service the lease must outlive the calls that precede the first renewal.
            const auto needed = m_limits.ttl + (m_loop.now() - m_renewedAt) * s_callsBeforeRenewal;
            if (needed > ttl * 2) {
                m_platform.endLease(result.lease);
                openLease(needed);
                return;
            }
            m_platform.range(records::head, [this, lease = result.lease](const RangeResult& head) {
                if (head.status != StoreStatus::Ok || m_hasSteppedDown) {
                    m_platform.endLease(lease);
                    campaignAgainLater();
                    return;
                }
                write(lease, head);
            });
        });
    }

    void write(StoreLease lease, const RangeResult& head)
    {
        Ownership ownership;
        ownership.lease = lease;
        Revision headRevision { noRevision };
        JournalHead last;
        std::string resigned;
        for (const auto& value : head.values) {
            if (value.key == records::resigned)
                resigned = value.value;
            if (value.key != records::head)
                continue;
            headRevision = value.revision;
            last = JournalHead::parse(value.value);
        }
        ownership.term = last.term + 1;
        ownership.hasPredecessorResigned = !last.term || resigned == std::to_string(last.term);
        StoreWrite call;
        call.expected = { { records::owner, noRevision }, { records::head, headRevision } };
        call.puts = { { records::owner, m_self.text(), lease },
            { records::head, JournalHead { ownership.term, 0 }.text(), StoreLease::None } };
        m_platform.write(call, [this, ownership](const StoreWriteResult& result) mutable {
            if (result.status != StoreWriteStatus::Done || m_hasSteppedDown) {
                m_platform.endLease(ownership.lease);
                campaignAgainLater();
                return;
            }
            m_isCampaigning = false;
            m_electedAt = m_loop.now();
            ownership.ownerRevision = result.revision;
            ownership.headRevision = result.revision;
            m_ownership = ownership;
            m_owner = m_self;
            m_ownerRevision = result.revision;
            s_log.info("Elected as coordinator.",
                { { "term", std::to_string(ownership.term) },
                    { "fence", std::to_string(static_cast<std::uint64_t>(result.revision)) } });
            renew();
            m_onElected(ownership);
        });
    }

    void campaignAgainLater()
    {
        m_loop.after(m_limits.retryDelay, [this] {
            m_isCampaigning = false;
            if (m_follower.isLoaded() && !m_follower.values().contains(records::owner) && !m_ownership)
                campaign();
        });
    }

    void renew()
    {
        const auto lease = m_ownership->lease;
        const auto sentAt = m_loop.now();
        m_platform.renewLease(lease, [this, lease, sentAt](const StoreLeaseResult& result) {
            if (!m_ownership || m_ownership->lease != lease)
                return;
            if (result.status == LeaseStatus::Ended) {
                s_log.warning("The election lease has ended.");
                lose();
                return;
            }
            if (result.status == LeaseStatus::Valid) {
                m_renewedAt = sentAt;
                m_onOwner();
            }
            m_loop.after(m_limits.renewal, [this, lease] {
                if (m_ownership && m_ownership->lease == lease)
                    renew();
            });
        });
    }

    void lose()
    {
        m_ownership.reset();
        // The successor may be known already. Its record is not reported again.
        if (m_owner == m_self)
            m_owner.reset();
        s_log.warning("No longer the owner of the election key.",
            { { "owner", m_owner ? m_owner->text() : "none" },
                { "revision", std::to_string(static_cast<std::int64_t>(m_ownerRevision)) } });
        m_onLost();
        m_onOwner();
        if (!m_follower.values().contains(records::owner))
            campaignAgainLater();
    }

    static constexpr Log s_log { "election" };
    static constexpr int s_callsBeforeRenewal = 4;

    EventLoop& m_loop;
    Platform& m_platform;
    Endpoint m_self;
    ElectionLimits m_limits;
    OnElected m_onElected;
    OnLost m_onLost;
    OnOwner m_onOwner;
    CampaignDelay m_campaignDelay;
    StoreFollower<Platform> m_follower;
    // Invariant: the owner by the record of m_ownerRevision, or nullopt if that record is known to be removed.
    std::optional<Endpoint> m_owner;
    Revision m_ownerRevision { noRevision }; // of the latest known owner record
    std::optional<Ownership> m_ownership;
    TimePoint m_electedAt; // of m_ownership
    TimePoint m_renewedAt;
    Duration m_ttl { 0 }; // of the last lease that was opened
    bool m_isCampaigning { false };
    bool m_hasSteppedDown { false };
};

} // namespace marigoldlink
