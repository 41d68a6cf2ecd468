// Coordinator: cancelling of jobs, and of ids whose submission has not arrived.
//
// A cancelling can overtake its submission. What it leaves behind must outlive this coordinator, so an unknown id is
// stored before the cancelling is acknowledged. The condition of that write also proves that no other coordinator had
// taken over and accepted the job.
#include "marigoldlink/Entry/Coordinator.h"

#include "marigoldlink/Protocol/JobCodec.h"

namespace marigoldlink {

void Coordinator::cancel(CallToken token, const JobId& id, TimePoint now, const CallOrigin& origin)
{
    auto* job = m_jobs.find(id);
    if (!job) {
        cancelUnknown(token, id, now, origin);
        return;
    }
    const auto before = progressText(*job);
    const bool wasActive = m_jobs.cancel(id, now);
    logCall("cancelling", id, (wasActive ? "cancelled, was " : "cancelling: has ended, ") + before, origin, now);
    if (wasActive) {
        measure(JobEnded { job->spec.team, job->queue.priority, job->state, now - job->acceptedAt });
        stopRunsOf(*job, now);
        m_advice.forget(id);
        scheduleFlush(now);
    }
    const Reply reply { Reply::Kind::Cancelled, job->state, 0, {} };
    if (job->storedVersion >= job->version)
        m_orders.emplace_back(ReplyOrder { token, reply });
    else
        m_replies[id].push_back({ token, job->version, reply, now });
}

void Coordinator::cancelUnknown(CallToken token, const JobId& id, TimePoint now, const CallOrigin& origin)
{
    const auto reply = [&](Reply::Kind kind, Duration retryAfter = {}) {
        m_orders.emplace_back(ReplyOrder { token, { kind, {}, 0, retryAfter } });
    };
    // A successor may have accepted the job, and may have let an id expire that is still kept here.
    if (!isLeaseValid(now)) {
        // The entry instance repeats an uncertain call many times a second.
        logCall("uncertain_cancelling", id, "cancelling: unknown job, not certain", origin, now);
        reply(Reply::Kind::NotCoordinator);
        return;
    }
    if (m_cancelledIds.isStored(id)) {
        logCall("cancelling", id, "cancelling: unknown job, cancelled before", origin, now);
        m_cancelledIds.renew(id, now);
        reply(Reply::Kind::UnknownJob);
        return;
    }
    removeExpiredIds(now);
    if (!m_cancelledIds.contains(id) && !m_cancelledIds.add(id, origin.team)) {
        logCall("cancelling", id, "cancelling: unknown job, refused: the team has too many", origin, now);
        reply(Reply::Kind::NotCancelled, m_cancelledIds.nextExpiry(origin.team, now).value_or(s_storeRetryAfter));
        return;
    }
    logCall("cancelling", id, "cancelling: unknown job", origin, now);
    m_callsOfCancelledIds[id].push_back({ token, Reply::Kind::UnknownJob, now });
    scheduleFlush(now);
}

void Coordinator::refuseCancelled(CallToken token, const JobId& id, TimePoint now, const CallOrigin& origin)
{
    // A successor may have let the id expire.
    const bool isCertain = isLeaseValid(now);
    logCall("submission", id, isCertain ? "refused: cancelled before" : "cancelled before, not certain", origin, now);
    if (isCertain && !m_cancelledIds.isStored(id)) {
        m_callsOfCancelledIds[id].push_back({ token, Reply::Kind::AlreadyCancelled, now });
        return;
    }
    const auto kind = isCertain ? Reply::Kind::AlreadyCancelled : Reply::Kind::NotCoordinator;
    m_orders.emplace_back(ReplyOrder { token, { kind, {}, 0, {} } });
}

void Coordinator::restoreCancelledId(const JobId& id, const TeamId& team, TimePoint now)
{
    m_cancelledIds.restore(id, team, now);
}

void Coordinator::flushCancelledIds()
{
    for (const auto& id : m_cancelledIds.takeAdded())
        m_journal.put(records::cancelledId(id), encodeCancelledId(m_cancelledIds.team(id)), RecordClass::Progress);
}

void Coordinator::cancelledIdStored(const JobId& id, TimePoint now)
{
    m_cancelledIds.markStored(id, now);
    const auto calls = m_callsOfCancelledIds.extract(id);
    if (!calls)
        return;
    for (const auto& call : calls.mapped()) {
        log("reply", id.value(),
            std::string(call.reply == Reply::Kind::UnknownJob ? "cancelling" : "submission")
                + ": cancelled id stored after " + std::to_string((now - call.since).count()) + " ms");
        m_orders.emplace_back(ReplyOrder { call.token, { call.reply, {}, 0, {} } });
    }
}

void Coordinator::removeExpiredIds(TimePoint now)
{
    for (const auto& id : m_cancelledIds.takeExpired(now))
        m_journal.remove(records::cancelledId(id));
}

} // namespace marigoldlink
