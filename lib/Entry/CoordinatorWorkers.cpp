// Looks at workers: runs, ends, leases and pace.
#include "marigoldlink/Entry/Coordinator.h"

#include <algorithm>

namespace marigoldlink {

namespace {

    // A look waits this long for an end on a worker that runs something, and on one that runs nothing.
    constexpr Duration s_busyWait { 1000 };
    constexpr Duration s_idleWait { 2000 };
    // Workers with services and fillers are looked at this often, so that the pace follows the tails.
    constexpr Duration s_pacedWait { 400 };
    // Wait after a look that failed.
    constexpr Duration s_failedLookDelay { 300 };
    // Ends that arrive within this time are written together before the next look.
    constexpr Duration s_endDelay { 30 };
    // An order without an answer may be carried out this much later (platform's kinds of trouble: 2 to 12 s).
    constexpr Duration s_longestDelay { 15000 };
    // Time between looks while ends wait for a store that does not write.
    constexpr Duration s_unstoredDelay { 250 };
    constexpr Duration s_missingCheckPeriod { 200 };
    constexpr Duration s_lapseCheckPeriod { 20 };
    // A worker that left the registry is forgotten after this time without an answer.
    constexpr Duration s_forgetMissing { 10000 };

    // Pace of fillers: down fast when a tail comes near its target, up slowly.
    constexpr double s_paceDownAbove = 0.85; // of the target
    constexpr double s_paceUpBelow = 0.6;
    constexpr int s_fullPace = 100;
    constexpr int s_paceStepUp = 15;
    constexpr Duration s_pacePause { 300 };

} // namespace

void Coordinator::workerEntry(const WorkerEntry& entry, TimePoint now)
{
    const auto* known = m_workers.find(entry.life.id);
    const bool isNew = !known;
    const bool isChanged
        = isNew || known->entry.isDraining != entry.isDraining || known->entry.service != entry.service;
    if (m_workers.isLaterLife(entry))
        beginLife(*m_workers.find(entry.life.id), entry.life.bornUnixMs, now);
    const bool isMoved = !isNew && (known->entry.endpoint != entry.endpoint || known->entry.service != entry.service);
    m_workers.entryChanged(entry);
    if (isNew)
        lookAt(*m_workers.find(entry.life.id), now);
    if (isNew || isMoved || !m_workers.find(entry.life.id)->isRecorded)
        m_unrecorded.insert(entry.life.id);
    if (isChanged)
        log("worker", entry.life.id.value(),
            std::string(isNew ? "known" : "changed") + (entry.isDraining ? ", draining" : "") + ", pool "
                + entry.service.value());
    placeSoon(entry.service);
    m_nextTick = now;
}

void Coordinator::workerEntryRemoved(const WorkerId& id, TimePoint now)
{
    m_workers.entryRemoved(id, now);
    log("worker", id.value(), "left the registry");
}

void Coordinator::beginLife(Worker& worker, std::int64_t bornUnixMs, TimePoint now)
{
    const auto id = worker.entry.life.id;
    log("worker", id.value(), "began another life; " + std::to_string(worker.runs.size()) + " runs lost");
    auto doubtful = m_doubtfulStarts[id];
    for (const auto& [key, run] : std::map(worker.runs)) {
        if (!m_confirmedAt.contains({ id, key }))
            doubtful[key] = { run.number, now };
        runOver(id, key, run.number, RunEnd::Lost, {}, now);
    }
    m_workers.reborn(worker, bornUnixMs);
    lookAt(worker, now);
    // A start without an answer may still reach the new life, whose clock makes nothing of the order's deadline.
    for (const auto& [key, start] : doubtful) {
        if (now - start.at > s_longestDelay)
            continue;
        occupy(id, key, start.run);
        if (auto* task = m_jobs.findTask(key))
            ++task->strays;
        orderStop(id, key, start.run, now);
    }
}

void Coordinator::lookAt(Worker& worker, TimePoint at)
{
    worker.nextLook = at;
    m_looksDue.emplace(at, worker.entry.life.id);
    m_nextTick = std::min(m_nextTick, at);
}

void Coordinator::lookAtWorkers(TimePoint now)
{
    forgetMissing(now);
    while (!m_looksDue.empty() && m_looksDue.begin()->first <= now) {
        const auto id = m_looksDue.extract(m_looksDue.begin()).mapped();
        // A look that is under way sets the next one when it ends.
        if (auto* worker = m_workers.find(id); worker && !worker->isLookUnderWay && worker->nextLook <= now)
            orderLook(*worker, now);
    }
    if (!m_looksDue.empty())
        m_nextTick = std::min(m_nextTick, m_looksDue.begin()->first);
}

void Coordinator::orderLook(Worker& worker, TimePoint now)
{
    const auto pool = m_operators.config.pools.find(worker.entry.service);
    if (pool != m_operators.config.pools.end() && pool->second.isSpare && worker.runs.empty() && worker.isFenced) {
        lookAt(worker, now + s_idleWait);
        return;
    }
    advanceAcknowledged(worker);
    LookOrder order { worker.entry.life, worker.entry.endpoint, std::nullopt, worker.acknowledged, Duration(0) };
    if (worker.isFenced && worker.isAnswering) {
        order.wait = worker.runs.empty() ? s_idleWait : s_busyWait;
        if (m_nextPace.contains(worker.entry.life.id))
            order.wait = s_pacedWait;
        if (!worker.pendingEnds.empty())
            order.wait = Duration(0);
    }
    // The lease of a worker that does not answer is left to lapse, so that its tasks can start elsewhere.
    if (worker.lease.hasReading() && worker.isAnswering && !worker.runs.empty())
        order.deadlineMs = worker.lease.extend(now, m_settings.lease);
    worker.isLookUnderWay = true;
    worker.lookSentAt = now;
    m_orders.emplace_back(std::move(order));
}

void Coordinator::forgetMissing(TimePoint now)
{
    if (now < m_nextMissingCheck || !m_isRestored)
        return;
    m_nextMissingCheck = now + s_missingCheckPeriod;
    std::vector<WorkerId> forgotten;
    for (const auto& [id, worker] : m_workers.workers()) {
        const bool isLapsed = worker.isFenced && worker.lease.lapsesBy() <= now;
        if (!worker.isRegistered && !worker.isAnswering && worker.runs.empty()
            && (isLapsed || now - std::max(worker.missingSince, worker.lastAnswer) > s_forgetMissing))
            forgotten.push_back(id);
    }
    for (const auto& id : forgotten) {
        log("worker", id.value(), "forgotten");
        forgetWorker(id);
    }
}

void Coordinator::forgetWorker(const WorkerId& id)
{
    m_workers.remove(id);
    m_nextPace.erase(id);
    m_unrecorded.erase(id);
    m_journal.remove(records::worker(id));
}

void Coordinator::lookAnswered(const WorkerLife& life, const LookAnswer& answer, TimePoint now)
{
    auto* worker = m_workers.find(life.id);
    if (!worker)
        return;
    worker->isLookUnderWay = false;
    m_nextTick = now;
    if (answer.status == LookAnswer::Status::StaleFence) {
        m_isDeposed = true;
        log("coordinator", std::to_string(m_term.fence), "deposed: worker " + life.id.value() + " has a higher fence");
        return;
    }
    if (answer.status != LookAnswer::Status::Answered) {
        if (worker->isAnswering)
            log("worker", life.id.value(),
                answer.status == LookAnswer::Status::OtherLife ? "another worker is at its address"
                                                               : "does not answer");
        stoppedAnswering(*worker);
        lookAt(*worker, now + s_failedLookDelay);
        return;
    }
    if (answer.bornUnixMs && answer.bornUnixMs != worker->entry.life.bornUnixMs) {
        if (worker->entry.life.bornUnixMs && answer.bornUnixMs < worker->entry.life.bornUnixMs) {
            lookAt(*worker, worker->nextLook); // an answer of an earlier life came late
            return;
        }
        const bool isFirstAnswer = !worker->entry.life.bornUnixMs;
        if (isFirstAnswer) {
            worker->entry.life.bornUnixMs = answer.bornUnixMs;
        } else {
            beginLife(*worker, answer.bornUnixMs, now);
            worker->isLookUnderWay = false;
        }
    }
    if (!worker->isAnswering)
        log("worker", life.id.value(), "answers");
    if (worker->isClosed || !worker->isFenced) {
        // Its record is stored anew before anything is started on it.
        worker->isClosed = false;
        worker->isRecorded = false;
        m_unrecorded.insert(life.id);
    }
    if (!worker->isAnswering || !worker->isFenced || worker->mayHoldEarlierRuns)
        placeAllSoon();
    worker->isAnswering = true;
    if (!worker->isFenced)
        worker->fencedAt = now;
    worker->isFenced = true;
    worker->mayHoldEarlierRuns = false;
    worker->lastAnswer = now;
    worker->lease.reading(now, answer.clockMs);
    const auto endsBefore = worker->lastEndSeen;
    takeEnds(*worker, answer.ended, now);
    takeRunning(*worker, answer, now);
    paceFillers(*worker, now);
    advanceAcknowledged(*worker);
    if (worker->lastEndSeen > endsBefore)
        lookAt(*worker, now + s_endDelay);
    else
        lookAt(*worker, worker->pendingEnds.empty() ? now : now + s_unstoredDelay);
}

void Coordinator::takeEnds(Worker& worker, const std::vector<ListedEnd>& ends, TimePoint now)
{
    const auto id = worker.entry.life.id;
    for (const auto& end : ends) {
        if (end.number <= worker.lastEndSeen)
            continue;
        worker.lastEndSeen = end.number;
        m_jobs.openListed(end.task, now);
        runOver(id, end.task, end.run, end.how, end.checkpoint, now);
        const auto* job = m_jobs.find(end.task.job);
        const auto version = job && job->isDirty() ? job->version : 0;
        worker.pendingEnds.push_back({ end.number, end.task.job, version });
        m_withPendingEnds.insert(id);
    }
}

void Coordinator::takeRunning(Worker& worker, const LookAnswer& answer, TimePoint now)
{
    for (const auto& listed : answer.running)
        takeRun(worker, listed, now);
    dropForgotten(worker, answer, now);
}

void Coordinator::takeRun(Worker& worker, const ListedRun& listed, TimePoint now)
{
    const auto id = worker.entry.life.id;
    m_jobs.openListed(listed.task, now);
    auto* task = m_jobs.findTask(listed.task);
    const auto held = worker.runs.find(listed.task);
    if (held == worker.runs.end() || held->second.number != listed.run) {
        // A run of an earlier coordinator, or one that was given up here and started late.
        if (held != worker.runs.end())
            return;
        occupy(id, listed.task, listed.run);
        m_confirmedAt[{ id, listed.task }] = now;
        if (!m_jobs.mayAdopt(listed.task, listed.run)) {
            if (task)
                ++task->strays;
            orderStop(id, listed.task, listed.run, now);
            return;
        }
        m_jobs.runFound(listed.task, listed.run, id, now);
    }
    if (!task || !task->run || task->run->number != listed.run)
        return;
    if (!m_stopRetries.contains({ id, listed.task }))
        task->run->phase = ActiveRun::Phase::Running;
    m_confirmedAt.try_emplace({ id, listed.task }, now);
    task->run->percent = listed.percent;
    task->run->load = listed.load;
    if (!listed.checkpoint.empty())
        task->checkpoint = listed.checkpoint;
}

void Coordinator::dropForgotten(Worker& worker, const LookAnswer& answer, TimePoint now)
{
    std::set<std::pair<TaskKey, RunNumber>> listed;
    for (const auto& run : answer.running)
        listed.emplace(run.task, run.run);
    std::vector<std::pair<TaskKey, RunNumber>> gone;
    for (const auto& [key, run] : worker.runs) {
        const auto confirmed = m_confirmedAt.find({ worker.entry.life.id, key });
        if (!listed.contains({ key, run.number }) && confirmed != m_confirmedAt.end()
            && confirmed->second < worker.lookSentAt)
            gone.emplace_back(key, run.number);
    }
    const auto id = worker.entry.life.id;
    for (const auto& [key, run] : gone)
        runOver(id, key, run, RunEnd::Lost, {}, now);
}

void Coordinator::advanceAcknowledged(Worker& worker) const
{
    while (!worker.pendingEnds.empty()) {
        const auto& end = worker.pendingEnds.front();
        const auto* job = m_jobs.find(end.job);
        if (job && end.jobVersion > job->storedVersion)
            return;
        worker.acknowledged = end.number;
        worker.pendingEnds.pop_front();
    }
}

void Coordinator::stoppedAnswering(Worker& worker)
{
    worker.isAnswering = false;
    if (!worker.isFenced || worker.isClosed)
        return;
    worker.isClosed = true;
    worker.isRecorded = false;
    m_unrecorded.insert(worker.entry.life.id);
}

void Coordinator::dropLapsed(TimePoint now)
{
    if (!isSure(now) || now < m_nextLapseCheck)
        return;
    m_nextLapseCheck = now + s_lapseCheckPeriod;
    std::vector<WorkerId> lapsed;
    for (auto& [id, worker] : m_workers.workers()) {
        const bool isWaitedFor = worker.mayHoldEarlierRuns || (worker.isFenced && !worker.runs.empty());
        if (worker.isAnswering || !isWaitedFor)
            continue;
        const auto lapsesBy = worker.isFenced ? worker.lease.lapsesBy() : earlierLeasesLapsedBy();
        if (lapsesBy <= now)
            lapsed.push_back(id);
        else
            m_nextTick = std::min(m_nextTick, std::max(lapsesBy, m_nextLapseCheck));
    }
    for (const auto& id : lapsed) {
        auto& worker = *m_workers.find(id);
        log("worker", id.value(), "lease lapsed; " + std::to_string(worker.runs.size()) + " runs lost");
        worker.mayHoldEarlierRuns = false;
        worker.isClosed = true;
        placeAllSoon();
        for (const auto& [key, run] : std::map(worker.runs))
            runOver(id, key, run.number, RunEnd::Lapsed, {}, now);
        m_unrecorded.insert(id);
    }
}

void Coordinator::paceFillers(Worker& worker, TimePoint now)
{
    double worst = 0;
    bool hasTarget = false;
    std::vector<std::pair<TaskKey, const ActiveRun*>> fillers;
    for (const auto& [key, run] : worker.runs) {
        const auto* task = m_jobs.findTask(key);
        const auto* job = m_jobs.find(key.job);
        if (!task || !task->run || task->run->number != run.number)
            continue;
        const auto& step = job->stepSpec(key);
        if (step.tailTarget > Duration(0) && task->run->percent >= s_fullPace) {
            hasTarget = true;
            worst
                = std::max(worst, static_cast<double>(task->run->load) / static_cast<double>(step.tailTarget.count()));
        }
        if (step.isFiller && task->run->phase == ActiveRun::Phase::Running)
            fillers.emplace_back(key, &*task->run);
    }
    const auto id = worker.entry.life.id;
    if (fillers.empty()) {
        m_nextPace.erase(id);
        return;
    }
    auto& next = m_nextPace.try_emplace(id, now).first->second;
    if (next > now)
        return;
    for (const auto& [key, run] : fillers) {
        auto percent = run->percent;
        if (hasTarget && worst > s_paceDownAbove)
            percent = worst > 1 ? percent / 4 : percent / 2;
        else if (!hasTarget || worst < s_paceUpBelow)
            percent = std::min(s_fullPace, percent + (hasTarget ? s_paceStepUp : s_fullPace));
        if (percent == run->percent)
            continue;
        m_orders.emplace_back(PaceOrder { worker.entry.life, worker.entry.endpoint, key, run->number, percent });
        next = now + s_pacePause;
    }
}

} // namespace marigoldlink
