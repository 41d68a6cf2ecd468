// Opening, confirming and renewing of worker leases.
#include "WorkerLeases.h"

#include "../common/Jitter.h"
#include "marigoldlink/Protocol/RecordCodec.h"
#include "marigoldlink/State/Errors.h"
#include "marigoldlink/Support/Log.h"

#include <algorithm>

namespace marigoldlink {

namespace {

    constexpr Log s_log("workers");
    constexpr Duration s_retryDelay { 300 };
    constexpr Duration s_tickPeriod { 50 };
    constexpr Duration s_instanceListPeriod { 1000 };
    constexpr Duration s_openRetryDelay { 500 };
    // Added to the lease time before a lease counts as lapsed, for clocks that run at different speed.
    constexpr Duration s_lapseMargin { 300 };
    constexpr int s_renewalsPerLease = 3;
    // Shortest mean time between two renewals of this process.
    constexpr Duration s_renewalSpacing { 60 };
    constexpr int s_failuresBeforeAvoiding = 5;
    constexpr Duration s_failingWorkerPause { 10000 };

} // namespace

Slots WorkerLink::freeSlots() const { return slots - std::max(ownRunning, reportedRunning + ownChangeSinceReport); }

WorkerLeases::WorkerLeases(
    EventLoop& loop, HttpPlatform& platform, HttpWorkers& workers, Membership& membership, Duration leaseTime)
    : m_loop(loop)
    , m_platform(platform)
    , m_workers(workers)
    , m_membership(membership)
    , m_leaseTime(leaseTime)
{
}

void WorkerLeases::start()
{
    watchRecords();
    pollInstanceList();
    m_loop.every(s_tickPeriod, [this] { tick(); });
}

void WorkerLeases::watchRecords()
{
    m_platform.watch(keys::instancePrefix, m_watchedTo, [this](RangeResult result) {
        if (result.status != StoreStatus::Ok) {
            m_loop.after(jittered(s_retryDelay), [this] { watchRecords(); });
            return;
        }
        m_watchedTo = result.revision < m_watchedTo ? noRevision : result.revision;
        for (const auto& value : result.values) {
            try {
                takeRecord(decodeInstanceRecord(value.value));
            } catch (const Error& error) {
                s_log.error("An instance record does not parse.", { { "key", value.key } });
            }
        }
        watchRecords();
    });
}

void WorkerLeases::takeRecord(const InstanceRecord& record)
{
    auto& known = m_records[record.id];
    if (!known.id.empty() && record.epoch <= known.epoch)
        return;
    known = record;
    if (record.dataCenter != m_membership.selfMember().dataCenter)
        return;
    auto& link = m_links[record.id];
    // Tasks on a former address keep the former link, whose lease is left to lapse.
    if (!link || link->record.endpoint != record.endpoint)
        link = std::make_shared<WorkerLink>();
    link->record = record;
    indexPools();
    if (m_onChange)
        m_onChange();
}

void WorkerLeases::indexPools()
{
    m_byPool.clear();
    for (const auto& [id, link] : m_links)
        m_byPool[link->record.pool].push_back(link);
}

void WorkerLeases::pollInstanceList()
{
    m_platform.instances([this](InstanceListResult result) {
        if (result.status == StoreStatus::Ok) {
            for (const auto& info : result.instances) {
                const auto found = m_links.find(info.id);
                if (found != m_links.end())
                    found->second->isLeaving = info.isLeaving;
            }
        }
        m_loop.after(jittered(s_instanceListPeriod), [this] { pollInstanceList(); });
    });
}

void WorkerLeases::tick()
{
    if (!m_membership.isActive())
        return;
    const auto now = m_loop.now();
    bool needsConfirmation = false;
    for (auto& [id, link] : m_links) {
        if (link->lease.empty()) {
            if (!link->isOpening && now >= link->avoidUntil)
                openLease(link);
            continue;
        }
        needsConfirmation |= !m_membership.confirmedAt() || *m_membership.confirmedAt() <= link->openedAt;
        if (!link->isRenewing && now - link->lastRenewalSentAt >= link->leaseTime / s_renewalsPerLease)
            renewLease(link);
    }
    if (needsConfirmation)
        m_membership.confirm();
}

// With more workers a lease lasts longer, so that renewals stay within a fixed rate. A dead member is found later then,
// but it is a smaller part of the fleet.
Duration WorkerLeases::nextLeaseTime() const
{
    const auto spaced = s_renewalSpacing * (s_renewalsPerLease * static_cast<std::int64_t>(m_links.size()));
    return std::max(m_leaseTime, Duration(spaced));
}

void WorkerLeases::openLease(const WorkerLinkPtr& link)
{
    link->isOpening = true;
    const auto sentAt = m_loop.now();
    const auto holder = m_membership.self();
    const auto time = nextLeaseTime();
    m_workers.openLease(link->record.endpoint, holder, time, [this, link, sentAt, holder, time](LeaseResult result) {
        link->isOpening = false;
        if (result.status != LeaseResult::Status::Valid || holder != m_membership.self()) {
            avoid(*link, jittered(s_openRetryDelay));
            return;
        }
        link->lease = result.lease;
        link->leaseTime = time;
        link->openedAt = m_loop.now();
        link->lastRenewalSentAt = sentAt;
        takeReport(*link, result);
        m_membership.confirm();
    });
}

void WorkerLeases::renewLease(const WorkerLinkPtr& link)
{
    // After a silence of a whole lease time the lease is left to lapse, so that the fate of its tasks gets certain.
    if (m_loop.now() - link->lastAnswerAt > link->leaseTime) {
        if (hasSurelyLapsed(*link, link->lease))
            leaseLapsed(*link);
        return;
    }
    link->isRenewing = true;
    link->lastRenewalSentAt = m_loop.now();
    ++link->unansweredRenewals;
    // The longer of both times counts while it is not known which one the worker has.
    const auto time = nextLeaseTime();
    link->leaseTime = std::max(link->leaseTime, time);
    m_workers.renewLease(
        link->record.endpoint, link->lease, time, [this, link, time, lease = link->lease](LeaseResult result) {
            link->isRenewing = false;
            if (link->lease != lease)
                return;
            if (result.status == LeaseResult::Status::Lapsed)
                leaseLapsed(*link);
            else if (result.status == LeaseResult::Status::Valid) {
                link->leaseTime = time;
                takeReport(*link, result);
            }
        });
}

void WorkerLeases::takeReport(WorkerLink& link, const LeaseResult& result)
{
    link.lastAnswerAt = m_loop.now();
    link.unansweredRenewals = 0;
    link.slots = result.slots;
    link.reportedRunning = result.running;
    link.ownChangeSinceReport = 0;
    if (m_onChange)
        m_onChange();
}

bool WorkerLeases::isUsable(const WorkerLink& link) const
{
    if (link.lease.empty() || link.isLeaving || link.record.phase != InstancePhase::Active)
        return false;
    if (m_loop.now() < link.avoidUntil || m_loop.now() - link.lastAnswerAt > link.leaseTime)
        return false;
    const auto confirmedAt = m_membership.confirmedAt();
    return m_membership.isActive() && confirmedAt && *confirmedAt > link.openedAt;
}

WorkerLinkPtr WorkerLeases::choose(const PoolId& pool) const
{
    const auto found = m_byPool.find(pool);
    if (found == m_byPool.end())
        return nullptr;
    WorkerLinkPtr best;
    for (const auto& link : found->second) {
        if (link->freeSlots() <= 0 || !isUsable(*link))
            continue;
        if (!best || link->freeSlots() > best->freeSlots())
            best = link;
    }
    return best;
}

Slots WorkerLeases::freeSlots(const PoolId& pool) const
{
    const auto found = m_byPool.find(pool);
    if (found == m_byPool.end())
        return 0;
    Slots sum = 0;
    for (const auto& link : found->second) {
        if (isUsable(*link))
            sum += std::max<Slots>(0, link->freeSlots());
    }
    return sum;
}

void WorkerLeases::taskStarted(WorkerLink& link)
{
    ++link.ownRunning;
    ++link.ownChangeSinceReport;
}

void WorkerLeases::taskEnded(WorkerLink& link)
{
    --link.ownRunning;
    --link.ownChangeSinceReport;
}

void WorkerLeases::workerFull(WorkerLink& link)
{
    link.reportedRunning = link.slots;
    link.ownChangeSinceReport = 0;
}

void WorkerLeases::leaseLapsed(WorkerLink& link)
{
    if (link.lease.empty())
        return;
    s_log.info("A lease lapsed.", { { "worker", link.record.id.value() } });
    link.lease = LeaseId();
}

void WorkerLeases::taskFailed(WorkerLink& link)
{
    if (++link.consecutiveFailures < s_failuresBeforeAvoiding)
        return;
    // Half of a pool at most may be avoided, so that a bad task does not empty it.
    Slots all = 0;
    Slots avoided = 0;
    for (const auto& [id, other] : m_links) {
        all += other->record.pool == link.record.pool;
        avoided += other->record.pool == link.record.pool && m_loop.now() < other->avoidUntil;
    }
    if (2 * (avoided + 1) > all)
        return;
    s_log.warning(
        "A worker fails what it starts. It gets no work for a while.", { { "worker", link.record.id.value() } });
    link.consecutiveFailures = 0;
    avoid(link, s_failingWorkerPause);
}

void WorkerLeases::avoid(WorkerLink& link, Duration pause) { link.avoidUntil = m_loop.now() + pause; }

bool WorkerLeases::hasSurelyLapsed(const WorkerLink& link, const LeaseId& lease) const
{
    if (link.lease != lease)
        return true;
    const auto longest = link.leaseTime * (1 + link.unansweredRenewals) + s_lapseMargin;
    return m_loop.now() - link.lastAnswerAt > longest;
}

void WorkerLeases::reset()
{
    for (auto& [id, link] : m_links) {
        auto fresh = std::make_shared<WorkerLink>();
        fresh->record = link->record;
        fresh->isLeaving = link->isLeaving;
        link = std::move(fresh);
    }
    indexPools();
}

} // namespace marigoldlink
