// Coordinator: polls of workers, their runs, ends and leases, and the throttling of best-effort tasks.
#include "marigoldlink/Entry/Coordinator.h"

#include <algorithm>

namespace marigoldlink {

namespace {

    // Long-poll times for workers with and without runs.
    constexpr Duration s_busyPollWait { 1000 };
    constexpr Duration s_idlePollWait { 2000 };
    // Long-poll time for workers with best-effort tasks, so that their throttle follows the services' tail latency.
    constexpr Duration s_throttledPollWait { 400 };
    // Maximum number of polls per tick of workers that have not answered. The answers to the first ones are read before
    // the next ones are sent, so that polls do not time out while this process is busy sending.
    constexpr std::size_t s_maxFirstPollsPerTick = 64;
    constexpr Duration s_firstPollInterval { 1 }; // between two parts of such polls
    // Back-off after a failed poll. The longest one finds a worker again before its lease expires.
    constexpr Duration s_failedPollDelay { 300 };
    constexpr Duration s_maxFailedPollDelay { 2000 };
    // Rate that failed polls of registered workers share. A worker outside the registry has most likely ended.
    constexpr std::size_t s_repeatedPollsPerSecond = 500;
    // Delay of the next poll after ends were listed, so that they share a journal write before it.
    constexpr Duration s_endBatchDelay { 30 };
    // An order without an answer may take effect up to this much later (the platform delays orders by 2 to 12 s).
    constexpr Duration s_maxOrderDelay { 15000 };
    // Interval of polls while ends cannot be acknowledged because the store has not written them yet.
    constexpr Duration s_unstoredEndsDelay { 250 };
    // An acknowledgement is sent at most this long after an answer of its incarnation, in which the worker cannot have
    // restarted and ended a run.
    constexpr Duration s_maxAcknowledgementDelay { 100 };
    // Upper limit of the rate of polls of all workers with such ends, which answer at once.
    constexpr std::size_t s_maxImmediatePollsPerSecond = 1000;
    constexpr Duration s_missingCheckPeriod { 200 };
    constexpr Duration s_expiryCheckPeriod { 20 };
    // A worker that left the registry is removed after this time without an answer.
    constexpr Duration s_missingWorkerTimeout { 10000 };

    // Throttle of best-effort tasks: lowered quickly when a service's tail latency nears its target, raised slowly.
    constexpr double s_throttleDownAbove = 0.85; // of the target
    constexpr double s_throttleUpBelow = 0.6;
    constexpr int s_fullSpeed = 100;
    constexpr int s_throttleStepUp = 15;
    constexpr Duration s_throttleInterval { 300 };

} // namespace

void Coordinator::workerEntry(const WorkerEntry& entry, TimePoint now)
{
    const auto* known = m_workers.find(entry.incarnation.id);
    const bool isNew = !known;
    const bool isChanged
        = isNew || known->entry.isDraining != entry.isDraining || known->entry.service != entry.service;
    if (m_workers.isLaterIncarnation(entry))
        beginIncarnation(*m_workers.find(entry.incarnation.id), entry.incarnation.startedUnixMs, now);
    const bool isMoved = !isNew && (known->entry.endpoint != entry.endpoint || known->entry.service != entry.service);
    const bool isBack = known && !known->isRegistered && !known->isAnswering && !known->isPollInFlight;
    m_workers.entryChanged(entry);
    if (isNew || isBack)
        schedulePoll(*m_workers.find(entry.incarnation.id), now);
    if (isNew || isMoved || !m_workers.find(entry.incarnation.id)->isRecordStored)
        m_workersToRecord.insert(entry.incarnation.id);
    if (isChanged)
        log("worker", entry.incarnation.id.value(),
            std::string(isNew ? "registered" : "changed") + (entry.isDraining ? ", draining" : "") + ", pool "
                + entry.service.value());
    schedulePlacement(entry.service);
    m_nextTick = now;
}

void Coordinator::workerEntryRemoved(const WorkerId& id, TimePoint now)
{
    m_workers.entryRemoved(id, now);
    m_silentWorkers.erase(id);
    log("worker", id.value(), "left the registry");
}

void Coordinator::beginIncarnation(Worker& worker, std::int64_t startedUnixMs, TimePoint now)
{
    const auto id = worker.entry.incarnation.id;
    log("worker", id.value(), "restarted; " + std::to_string(worker.runs.size()) + " runs lost");
    auto unconfirmed = m_unconfirmedStarts[id];
    auto lastUnanswered = worker.lastUnansweredOrder;
    if (worker.isPollInFlight)
        lastUnanswered = now;
    for (const auto& [key, run] : std::map(worker.runs)) {
        if (!run.confirmedAt) {
            unconfirmed[key] = { run.number, now };
            lastUnanswered = now;
        }
        handleRunEnd(id, key, run.number, RunEnd::Lost, {}, now);
    }
    m_workers.startIncarnation(worker, startedUnixMs);
    worker.lastUnansweredOrder = lastUnanswered;
    if (lastUnanswered && now - *lastUnanswered < s_maxOrderDelay)
        worker.lease.expectOrdersToEarlierIncarnation(*lastUnanswered + s_maxOrderDelay, m_settings.maxLease);
    schedulePoll(worker, now);
    // A start order without an answer may still reach the restarted worker. The order's deadline refers to the clock of
    // the previous incarnation, so it does not prevent the start.
    for (const auto& [key, start] : unconfirmed) {
        if (now - start.at > s_maxOrderDelay)
            continue;
        reserveRun(id, key, start.run, now);
        if (auto* task = m_jobs.findTask(key))
            ++task->orphanedRuns;
        orderStop(id, key, start.run, StopReason::StartUnanswered, now);
    }
}

void Coordinator::fenceRefused(const Worker& worker, const WorkerIncarnation& incarnation)
{
    // A worker that restarted may have seen a fence of this coordinator for its present incarnation.
    if (incarnation != worker.entry.incarnation) {
        log("worker", incarnation.id.value(), "refused an order for an earlier incarnation");
        return;
    }
    m_isSuperseded = true;
    log("coordinator", std::to_string(m_term.fence),
        "superseded: worker " + incarnation.id.value() + " has a higher fence");
}

void Coordinator::schedulePoll(Worker& worker, TimePoint at)
{
    worker.nextPollAt = at;
    m_pollQueue.emplace(at, worker.entry.incarnation.id);
    m_nextTick = std::min(m_nextTick, at);
}

void Coordinator::pollDueWorkers(TimePoint now)
{
    removeMissingWorkers(now);
    std::size_t firstPolls = 0;
    while (!m_pollQueue.empty() && m_pollQueue.begin()->first <= now) {
        const auto id = m_pollQueue.extract(m_pollQueue.begin()).mapped();
        // A poll in flight schedules the next one when it ends.
        if (auto* worker = m_workers.find(id); worker && !worker->isPollInFlight && worker->nextPollAt <= now) {
            const auto part = worker->isAnswering ? 0 : firstPolls++ / s_maxFirstPollsPerTick;
            if (part)
                schedulePoll(*worker, now + s_firstPollInterval * static_cast<std::int64_t>(part));
            else
                sendPoll(*worker, now);
        }
    }
    if (!m_pollQueue.empty())
        m_nextTick = std::min(m_nextTick, m_pollQueue.begin()->first);
}

void Coordinator::sendPoll(Worker& worker, TimePoint now)
{
    const auto pool = m_operators.config.pools.find(worker.entry.service);
    if (pool != m_operators.config.pools.end() && pool->second.isSpare && worker.runs.empty() && worker.hasSeenFence) {
        schedulePoll(worker, now + s_idlePollWait);
        return;
    }
    advanceAcknowledged(worker);
    const bool hasAcknowledgement = worker.acknowledged > worker.acknowledgementAnswered;
    const bool acknowledges = hasAcknowledgement && mayAcknowledge(worker, now);
    worker.acknowledgedInPoll = acknowledges ? worker.acknowledged : 0;
    PollOrder order { worker.entry.incarnation, worker.entry.endpoint, fenceFor(worker), std::nullopt,
        worker.acknowledgedInPoll, Duration(0) };
    if (worker.hasSeenFence && worker.isAnswering) {
        order.wait = worker.runs.empty() ? s_idlePollWait : s_busyPollWait;
        if (m_nextThrottleAt.contains(worker.entry.incarnation.id))
            order.wait = s_throttledPollWait;
        // So that a poll without an answer is given up before it can take effect late.
        if (acknowledges)
            order.wait = std::min(order.wait, s_busyPollWait);
        if (!worker.pendingEnds.empty() || hasAcknowledgement != acknowledges)
            order.wait = Duration(0);
    }
    // The lease of a worker that does not answer is not extended, so that its tasks can start elsewhere once it
    // expires.
    if (worker.lease.hasReading() && worker.isAnswering && !worker.runs.empty())
        order.deadlineMs = worker.lease.extend(now, m_settings.lease);
    worker.isPollInFlight = true;
    worker.pollSentAt = now;
    m_orders.emplace_back(std::move(order));
}

bool Coordinator::mayAcknowledge(const Worker& worker, TimePoint now) const
{
    return worker.isAnswering && now - worker.lastAnswer <= s_maxAcknowledgementDelay;
}

void Coordinator::removeMissingWorkers(TimePoint now)
{
    if (now < m_nextMissingCheck || !m_isRestored)
        return;
    m_nextMissingCheck = now + s_missingCheckPeriod;
    std::vector<WorkerId> missing;
    for (const auto& [id, worker] : m_workers.workers()) {
        const bool isExpired = worker.hasSeenFence && !worker.mayHavePredecessorRuns && worker.lease.expiresBy() <= now;
        if (!worker.isRegistered && !worker.isAnswering && worker.runs.empty()
            && (isExpired || now - std::max(worker.missingSince, worker.lastAnswer) > s_missingWorkerTimeout))
            missing.push_back(id);
    }
    for (const auto& id : missing) {
        log("worker", id.value(), "removed: not registered and no answer");
        removeWorker(id);
    }
}

void Coordinator::removeWorker(const WorkerId& id)
{
    m_workers.remove(id);
    m_silentWorkers.erase(id);
    m_nextThrottleAt.erase(id);
    m_workersToRecord.erase(id);
    m_journal.remove(records::worker(id));
}

void Coordinator::pollAnswered(const WorkerIncarnation& incarnation, const PollAnswer& answer, TimePoint now)
{
    auto* worker = m_workers.find(incarnation.id);
    if (!worker)
        return;
    worker->isPollInFlight = false;
    m_nextTick = now;
    if (answer.status == PollAnswer::Status::StaleFence)
        fenceRefused(*worker, incarnation);
    if (m_isSuperseded)
        return;
    if (answer.status != PollAnswer::Status::Answered) {
        if (worker->isAnswering)
            log("worker", incarnation.id.value(),
                answer.status == PollAnswer::Status::OtherIncarnation ? "another worker is at its address"
                                                                      : "does not answer");
        stoppedAnswering(*worker);
        worker->lastUnansweredOrder = now;
        schedulePoll(*worker, now + failedPollDelay(*worker));
        return;
    }
    if (answer.startedUnixMs && answer.startedUnixMs != worker->entry.incarnation.startedUnixMs) {
        if (worker->entry.incarnation.startedUnixMs && answer.startedUnixMs < worker->entry.incarnation.startedUnixMs) {
            schedulePoll(*worker, worker->nextPollAt); // late answer from before a restart of the worker
            return;
        }
        const bool isFirstAnswer = !worker->entry.incarnation.startedUnixMs;
        if (isFirstAnswer) {
            worker->entry.incarnation.startedUnixMs = answer.startedUnixMs;
        } else {
            beginIncarnation(*worker, answer.startedUnixMs, now);
            worker->isPollInFlight = false;
        }
    }
    if (!worker->isAnswering)
        log("worker", incarnation.id.value(), "answers polls");
    if (worker->isSealed || !worker->hasSeenFence) {
        // Its record must be rewritten and stored before anything is started on it.
        worker->isSealed = false;
        worker->isRecordStored = false;
        m_workersToRecord.insert(incarnation.id);
    }
    if (!worker->isAnswering || !worker->hasSeenFence || worker->mayHavePredecessorRuns) {
        m_nextAllotment = now; // the pool has more capacity than the last allotments assumed
        scheduleFullPlacement();
    }
    worker->isAnswering = true;
    m_silentWorkers.erase(incarnation.id);
    if (!worker->hasSeenFence)
        worker->fencedAt = now;
    worker->hasSeenFence = true;
    // A run that this answer does not name may be among the ends that it leaves out.
    worker->mayHavePredecessorRuns &= answer.mayHaveMoreEnds;
    worker->lastAnswer = now;
    worker->acknowledgementAnswered = std::max(worker->acknowledgementAnswered, worker->acknowledgedInPoll);
    worker->lease.recordReading(now, answer.clockMs);
    const auto endsBefore = worker->lastEndSeen;
    processEnds(*worker, answer.ended, now);
    reconcileRuns(*worker, answer, now);
    throttleBestEffortRuns(*worker, now);
    advanceAcknowledged(*worker);
    if (worker->lastEndSeen > endsBefore)
        schedulePoll(*worker, now + immediatePollDelay(s_endBatchDelay));
    else
        schedulePoll(*worker, worker->pendingEnds.empty() ? now : now + immediatePollDelay(s_unstoredEndsDelay));
}

Duration Coordinator::failedPollDelay(const Worker& worker)
{
    if (!worker.isRegistered)
        return s_maxFailedPollDelay;
    m_silentWorkers.insert(worker.entry.incarnation.id);
    const Duration shared(m_silentWorkers.size() * 1000 / s_repeatedPollsPerSecond);
    return std::clamp(shared, s_failedPollDelay, s_maxFailedPollDelay);
}

Duration Coordinator::immediatePollDelay(Duration minimum) const
{
    // At most the interval of long polls, which extends the leases in time.
    const Duration shared(m_withPendingEnds.size() * 1000 / s_maxImmediatePollsPerSecond);
    return std::clamp(shared, minimum, s_busyPollWait);
}

void Coordinator::processEnds(Worker& worker, const std::vector<ListedEnd>& ends, TimePoint now)
{
    const auto id = worker.entry.incarnation.id;
    for (const auto& end : ends) {
        if (end.number <= worker.lastEndSeen)
            continue;
        worker.lastEndSeen = end.number;
        m_jobs.openReportedOccurrence(end.task, now);
        handleRunEnd(id, end.task, end.run, end.how, end.checkpoint, now);
        const auto* job = m_jobs.find(end.task.job);
        const auto version = job && job->isDirty() ? job->version : 0;
        worker.pendingEnds.push_back({ end.number, end.task, version });
        m_withPendingEnds.insert(id);
    }
}

void Coordinator::reconcileRuns(Worker& worker, const PollAnswer& answer, TimePoint now)
{
    for (const auto& listed : answer.running)
        reconcileRun(worker, listed, now);
    if (answer.mayHaveMoreEnds)
        return;
    resolveUnconfirmedStarts(worker, now);
    dropUnlistedRuns(worker, answer, now);
}

void Coordinator::reconcileRun(Worker& worker, const ListedRun& listed, TimePoint now)
{
    const auto id = worker.entry.incarnation.id;
    m_jobs.openReportedOccurrence(listed.task, now);
    auto* task = m_jobs.findTask(listed.task);
    const auto held = worker.runs.find(listed.task);
    if (held == worker.runs.end() || held->second.number != listed.run) {
        // A run of a predecessor, or one that was presumed lost here and started late.
        if (held != worker.runs.end())
            return;
        reserveRun(id, listed.task, listed.run, now);
        worker.runs.at(listed.task).confirmedAt = now;
        if (!m_jobs.mayAdopt(listed.task, listed.run)) {
            if (task)
                ++task->orphanedRuns;
            orderStop(id, listed.task, listed.run, StopReason::NotCurrent, now);
            return;
        }
        m_jobs.adoptRun(listed.task, listed.run, id, now);
    }
    if (!task || !task->run || task->run->number != listed.run)
        return;
    if (const auto stop = m_pendingStops.find({ id, listed.task });
        stop != m_pendingStops.end() && stop->second.awaitsPoll)
        m_pendingStops.erase(stop);
    if (!m_pendingStops.contains({ id, listed.task }))
        task->run->phase = ActiveRun::Phase::Running;
    if (auto& confirmedAt = worker.runs.at(listed.task).confirmedAt; !confirmedAt)
        confirmedAt = now;
    task->run->percent = listed.percent;
    task->run->load = listed.load;
    if (!listed.checkpoint.empty())
        task->checkpoint = listed.checkpoint;
}

void Coordinator::resolveUnconfirmedStarts(Worker& worker, TimePoint now)
{
    const auto& id = worker.entry.incarnation.id;
    const auto unconfirmed = m_unconfirmedStarts.find(id);
    if (unconfirmed == m_unconfirmedStarts.end())
        return;
    std::erase_if(unconfirmed->second, [now](const auto& start) { return now - start.second.at > s_maxOrderDelay; });
    for (const auto& [key, start] : unconfirmed->second) {
        const auto run = worker.runs.find(key);
        const bool isOpen = run != worker.runs.end() && run->second.number == start.run && !run->second.confirmedAt;
        if (!isOpen || start.at > worker.pollSentAt)
            continue;
        const auto stop = m_pendingStops.find({ id, key });
        if (stop == m_pendingStops.end() || (stop->second.awaitsPoll && stop->second.resendAt <= now))
            orderStop(id, key, start.run, StopReason::StartUnanswered, now);
    }
    if (unconfirmed->second.empty())
        m_unconfirmedStarts.erase(unconfirmed);
}

void Coordinator::dropUnlistedRuns(Worker& worker, const PollAnswer& answer, TimePoint now)
{
    std::set<std::pair<TaskKey, RunNumber>> listed;
    for (const auto& run : answer.running)
        listed.emplace(run.task, run.run);
    std::vector<std::pair<TaskKey, RunNumber>> gone;
    for (const auto& [key, run] : worker.runs) {
        if (run.confirmedAt && *run.confirmedAt < worker.pollSentAt && !listed.contains({ key, run.number }))
            gone.emplace_back(key, run.number);
    }
    const auto id = worker.entry.incarnation.id;
    for (const auto& [key, run] : gone)
        handleRunEnd(id, key, run, RunEnd::Lost, {}, now);
}

void Coordinator::advanceAcknowledged(Worker& worker) const
{
    while (!worker.pendingEnds.empty()) {
        const auto& end = worker.pendingEnds.front();
        const auto* job = m_jobs.find(end.task.job);
        if (job && end.jobVersion > job->storedVersion)
            return;
        worker.acknowledged = end.number;
        worker.pendingEnds.pop_front();
    }
}

void Coordinator::stoppedAnswering(Worker& worker)
{
    worker.isAnswering = false;
    // A sealed record has to name all tasks that may have run there.
    if (!worker.hasSeenFence || worker.mayHavePredecessorRuns || worker.isSealed)
        return;
    worker.isSealed = true;
    worker.isRecordStored = false;
    m_workersToRecord.insert(worker.entry.incarnation.id);
}

void Coordinator::expireLeases(TimePoint now)
{
    if (!isLeaseValid(now) || now < m_nextExpiryCheck)
        return;
    m_nextExpiryCheck = now + s_expiryCheckPeriod;
    std::vector<WorkerId> expired;
    for (auto& [id, worker] : m_workers.workers()) {
        const bool mayHoldRuns = worker.mayHavePredecessorRuns || (worker.hasSeenFence && !worker.runs.empty());
        if (worker.isAnswering || !mayHoldRuns)
            continue;
        auto expiresBy = worker.hasSeenFence ? worker.lease.expiresBy() : TimePoint();
        if (worker.mayHavePredecessorRuns)
            expiresBy = std::max(expiresBy, predecessorLeasesExpiredBy());
        if (expiresBy <= now)
            expired.push_back(id);
        else
            m_nextTick = std::min(m_nextTick, std::max(expiresBy, m_nextExpiryCheck));
    }
    for (const auto& id : expired) {
        auto& worker = *m_workers.find(id);
        log("worker", id.value(), "lease expired; " + std::to_string(worker.runs.size()) + " runs lost");
        worker.mayHavePredecessorRuns = false;
        worker.isSealed = true;
        scheduleFullPlacement();
        for (const auto& [key, run] : std::map(worker.runs))
            handleRunEnd(id, key, run.number, RunEnd::LeaseExpired, {}, now);
        m_workersToRecord.insert(id);
    }
}

void Coordinator::throttleBestEffortRuns(Worker& worker, TimePoint now)
{
    double worst = 0;
    bool hasTarget = false;
    std::vector<std::pair<TaskKey, const ActiveRun*>> bestEffortRuns;
    for (const auto& [key, run] : worker.runs) {
        const auto* task = m_jobs.findTask(key);
        const auto* job = m_jobs.find(key.job);
        if (!task || !task->run || task->run->number != run.number)
            continue;
        const auto& step = job->stepSpec(key);
        if (step.tailLatencyTarget > Duration(0) && task->run->percent >= s_fullSpeed) {
            hasTarget = true;
            worst = std::max(
                worst, static_cast<double>(task->run->load) / static_cast<double>(step.tailLatencyTarget.count()));
        }
        if (step.isBestEffort && task->run->phase == ActiveRun::Phase::Running)
            bestEffortRuns.emplace_back(key, &*task->run);
    }
    const auto id = worker.entry.incarnation.id;
    if (bestEffortRuns.empty()) {
        m_nextThrottleAt.erase(id);
        return;
    }
    auto& next = m_nextThrottleAt.try_emplace(id, now).first->second;
    if (next > now)
        return;
    for (const auto& [key, run] : bestEffortRuns) {
        auto percent = run->percent;
        if (hasTarget && worst > s_throttleDownAbove)
            percent = worst > 1 ? percent / 4 : percent / 2;
        else if (!hasTarget || worst < s_throttleUpBelow)
            percent = std::min(s_fullSpeed, percent + (hasTarget ? s_throttleStepUp : s_fullSpeed));
        if (percent == run->percent)
            continue;
        m_orders.emplace_back(ThrottleOrder {
            worker.entry.incarnation, worker.entry.endpoint, fenceFor(worker), key, run->number, percent });
        next = now + s_throttleInterval;
    }
}

} // namespace marigoldlink
