// Opens, confirms and renews worker leases.
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
    // Added to the lease time before a lease counts as expired, because clocks may run at different rates.
    constexpr Duration s_clockDriftMargin { 300 };
    constexpr int s_renewalsPerLease = 3;
    // Minimum mean time between two lease renewals sent by this process.
    constexpr Duration s_renewalSpacing { 60 };
    constexpr int s_failuresBeforeBackoff = 5;
    constexpr Duration s_failingWorkerBackoff { 10000 };

} // namespace

Slots WorkerLink::freeSlots() const { return slots - std::max(ownRunning, reportedRunning + ownDeltaSinceReport); }

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
                applyInstanceRecord(decodeInstanceRecord(value.value));
            } catch (const Error& error) {
                s_log.error("Cannot parse an instance record.", { { "key", value.key } });
            }
        }
        watchRecords();
    });
}

void WorkerLeases::applyInstanceRecord(const InstanceRecord& record)
{
    auto& known = m_records[record.id];
    if (!known.id.empty() && record.epoch <= known.epoch)
        return;
    known = record;
    if (record.dataCenter != m_membership.selfMember().dataCenter)
        return;
    auto& link = m_links[record.id];
    // Tasks on the previous address keep the previous link. Its lease is not renewed and expires.
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
            if (!link->isOpening && now >= link->backoffUntil)
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

// The lease time grows with the number of workers, which bounds the rate of renewals. A dead member is then detected
// later, but it is a smaller part of the fleet.
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
            backOff(*link, jittered(s_openRetryDelay));
            return;
        }
        link->lease = result.lease;
        link->leaseTime = time;
        link->openedAt = m_loop.now();
        link->lastRenewalSentAt = sentAt;
        applyLeaseReport(*link, result);
        m_membership.confirm();
    });
}

void WorkerLeases::renewLease(const WorkerLinkPtr& link)
{
    // If the worker has not responded for a full lease time, the lease is not renewed any more. Once it has expired,
    // its tasks have certainly ended.
    if (m_loop.now() - link->lastAnswerAt > link->leaseTime) {
        if (hasExpiredAtWorker(*link, link->lease))
            leaseExpired(*link);
        return;
    }
    link->isRenewing = true;
    link->lastRenewalSentAt = m_loop.now();
    ++link->unansweredRenewals;
    // Until the response arrives, either lease time may be in effect at the worker, so the longer one is assumed.
    const auto time = nextLeaseTime();
    link->leaseTime = std::max(link->leaseTime, time);
    m_workers.renewLease(
        link->record.endpoint, link->lease, time, [this, link, time, lease = link->lease](LeaseResult result) {
            link->isRenewing = false;
            if (link->lease != lease)
                return;
            if (result.status == LeaseResult::Status::Expired)
                leaseExpired(*link);
            else if (result.status == LeaseResult::Status::Valid) {
                link->leaseTime = time;
                applyLeaseReport(*link, result);
            }
        });
}

void WorkerLeases::applyLeaseReport(WorkerLink& link, const LeaseResult& result)
{
    link.lastAnswerAt = m_loop.now();
    link.unansweredRenewals = 0;
    link.slots = result.slots;
    link.reportedRunning = result.running;
    link.ownDeltaSinceReport = 0;
    if (m_onChange)
        m_onChange();
}

bool WorkerLeases::isUsable(const WorkerLink& link) const
{
    if (link.lease.empty() || link.isLeaving || link.record.phase != InstancePhase::Active)
        return false;
    if (m_loop.now() < link.backoffUntil || m_loop.now() - link.lastAnswerAt > link.leaseTime)
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
    ++link.ownDeltaSinceReport;
}

void WorkerLeases::taskEnded(WorkerLink& link)
{
    --link.ownRunning;
    --link.ownDeltaSinceReport;
}

void WorkerLeases::markFull(WorkerLink& link)
{
    link.reportedRunning = link.slots;
    link.ownDeltaSinceReport = 0;
}

void WorkerLeases::leaseExpired(WorkerLink& link)
{
    if (link.lease.empty())
        return;
    s_log.info("Worker lease expired.", { { "worker", link.record.id.value() } });
    link.lease = LeaseId();
}

void WorkerLeases::taskFailed(WorkerLink& link)
{
    if (++link.consecutiveFailures < s_failuresBeforeBackoff)
        return;
    // At most half of the workers of a pool are backed off, so that a failing task does not take the whole pool out of
    // use.
    Slots all = 0;
    Slots backedOff = 0;
    for (const auto& [id, other] : m_links) {
        all += other->record.pool == link.record.pool;
        backedOff += other->record.pool == link.record.pool && m_loop.now() < other->backoffUntil;
    }
    if (2 * (backedOff + 1) > all)
        return;
    s_log.warning("Worker failed several tasks in a row; backing off.", { { "worker", link.record.id.value() } });
    link.consecutiveFailures = 0;
    backOff(link, s_failingWorkerBackoff);
}

void WorkerLeases::backOff(WorkerLink& link, Duration pause) { link.backoffUntil = m_loop.now() + pause; }

bool WorkerLeases::hasExpiredAtWorker(const WorkerLink& link, const LeaseId& lease) const
{
    if (link.lease != lease)
        return true;
    const auto longest = link.leaseTime * (1 + link.unansweredRenewals) + s_clockDriftMargin;
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
