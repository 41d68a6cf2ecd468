// Coordinator: jobs, callers' calls, and the journal.
#include "marigoldlink/Entry/Coordinator.h"

#include "marigoldlink/Protocol/JobCodec.h"

#include <algorithm>

namespace marigoldlink {

namespace {

    // Progress records that become dirty within this time share a write.
    constexpr Duration s_progressDelay { 40 };
    // Submissions that arrive within this time share a write.
    constexpr Duration s_submissionDelay { 4 };
    // Back-off before a write that the store refused or did not answer is resent.
    constexpr Duration s_journalRetryDelay { 150 };
    constexpr Duration s_jobRemovalPeriod { 5000 };
    // A submission whose record cannot be sent to the store within this time is refused. Must be shorter than
    // NodeSettings::peerTimeout: once the forwarding entry instance times out, it cannot tell whether the job was
    // accepted.
    constexpr Duration s_submissionTimeout { 700 };
    // Time for the reply to reach the caller through another entry instance.
    constexpr Duration s_replyMargin { 50 };
    // Weight of the past in the moving average of the time of a write.
    constexpr int s_writeTimeWeight = 8;
    // How long an instance is kept free of new tasks before maintenance ends the tasks on it. Most short tasks end
    // within this time.
    constexpr Duration s_drainTimeout { 1500 };
    // Longest interval between two ticks while nothing is due.
    constexpr Duration s_idleTickInterval { 1000 };
    // Runs of restored jobs are numbered from term * s_runsPerTerm, so that any run started by a predecessor
    // and unknown to this one has a lower number.
    constexpr std::int64_t s_runsPerTerm = 1000;

    // Decay time of the arrival rate. Bursts last several seconds; a shorter time would follow single jobs.
    constexpr Duration s_arrivalDecayTime { 800 };
    // Time from the end of a move to the first start: registration, first poll, and storing the worker's record.
    constexpr Duration s_joinDelay { 300 };
    constexpr std::size_t s_maxDescribedSteps = 6; // a job may have a thousand

    // Work in milli-core milliseconds that a job can do within the given time after its start, by the caller's
    // estimates. Services are not counted.
    double estimateWork(Duration time, const JobSpec& spec)
    {
        double work = 0;
        std::vector<Duration> endOf;
        for (const auto& step : spec.steps) {
            Duration begin { 0 };
            for (const int earlier : step.after)
                begin = std::max(begin, endOf[static_cast<std::size_t>(earlier)]);
            endOf.push_back(begin + step.estimate);
            const auto within = std::clamp(time - begin, Duration(0), step.estimate);
            if (!step.isService)
                work += static_cast<double>(step.tasks) * static_cast<double>(step.reserved().milliCores)
                    * static_cast<double>(within.count());
        }
        return work;
    }

    // The steps of a job for the log: number of tasks, processors and memory of each, and its special properties.
    std::string describeSteps(const JobSpec& spec)
    {
        std::string text;
        for (std::size_t i = 0; i < spec.steps.size(); ++i) {
            const auto& step = spec.steps[i];
            if (i == s_maxDescribedSteps)
                return text + ", " + std::to_string(spec.steps.size() - i) + " more steps";
            text += (text.empty() ? "" : ", ") + std::to_string(step.tasks) + " x "
                + std::to_string(step.need.milliCores) + " m" + std::to_string(step.need.memoryMegabytes);
            if (step.isService)
                text += " service";
            if (step.isBestEffort)
                text += " best-effort";
            if (step.maxPerWorker)
                text += " max per worker " + std::to_string(step.maxPerWorker);
            if (step.maxUnavailable)
                text += " max unavailable " + std::to_string(step.maxUnavailable);
            if (step.tailLatencyTarget > Duration(0))
                text += " tail latency target " + std::to_string(step.tailLatencyTarget.count()) + " ms";
        }
        return text;
    }

} // namespace

Coordinator::Coordinator(
    CoordinatorSettings settings, Term term, Journal journal, TimePoint now, CoordinatorSinks sinks)
    : m_settings(std::move(settings))
    , m_term(term)
    , m_journal(std::move(journal))
    , m_startedAt(now)
    , m_sinks(std::move(sinks))
    , m_cancelledIds({ .retention = m_settings.statusRetention })
    , m_waves({ m_settings.maintenanceTime, s_drainTimeout })
    , m_nextTick(now)
{
    m_jobs.setSeparatesUseless(m_settings.scheduling.shares);
}

void Coordinator::log(const std::string& subject, const std::string& id, const std::string& text) const
{
    if (m_sinks.log)
        m_sinks.log({ subject, id, text });
}

void Coordinator::logCall(
    const char* subject, const JobId& id, const std::string& decision, const CallOrigin& origin, TimePoint now) const
{
    if (!m_sinks.log)
        return;
    const auto milliseconds = [](Duration time) { return std::to_string(time.count()) + " ms"; };
    auto text = decision + "; term " + std::to_string(m_term.number) + ", fence " + std::to_string(m_term.fence) + ", "
        + (m_leaseValidUntil == TimePoint::max() ? "no lease limit" : "lease " + milliseconds(m_leaseValidUntil - now));
    text += "; " + (origin.entry.empty() ? "entry unknown" : "entry " + origin.entry);
    text += origin.age ? ", age " + milliseconds(*origin.age) : ", age unknown";
    m_sinks.log({ subject, id.value(), std::move(text) });
}

std::string Coordinator::progressText(const Job& job)
{
    const bool isRunning = job.state == JobState::Pending && job.hasStarted;
    return std::string(name(isRunning ? JobState::Running : job.state)) + ", version " + std::to_string(job.version)
        + ", stored " + std::to_string(job.storedVersion);
}

void Coordinator::measure(const Measurement& measurement) const
{
    if (m_sinks.measure)
        m_sinks.measure(measurement);
}

const JobQueue& Coordinator::queueOf(const JobSpec& spec) const
{
    static const JobQueue unknown;
    if (const auto found = m_operators.config.queues.find(spec.queue); found != m_operators.config.queues.end())
        return found->second;
    // Jobs run on after their queue was removed from the configuration.
    const auto recorded = m_queues.find(spec.queue);
    return recorded != m_queues.end() && recorded->second.settings ? *recorded->second.settings : unknown;
}

void Coordinator::restoreJob(JobSpec spec, const JobProgress& progress, TimePoint now)
{
    const auto queue = queueOf(spec);
    const auto first = RunNumber(static_cast<std::int64_t>(m_term.number) * s_runsPerTerm);
    auto& job = m_jobs.restore(std::move(spec), progress, queue, now, first);
    job.version = 1;
    m_jobs.markStored(job.spec.id, job.version, job.state);
}

void Coordinator::restoreWave(const WaveId& id, std::set<std::string> finished)
{
    m_waves.restore(id, std::move(finished));
}

void Coordinator::restoreWorker(const WorkerEntry& entry, std::optional<std::set<TaskKey>> onlyRuns, TimePoint now)
{
    m_workers.restore(entry, std::move(onlyRuns), now);
    m_mayHavePredecessorRuns = true;
    schedulePoll(*m_workers.find(entry.incarnation.id), now);
}

void Coordinator::finishRestore(TimePoint now)
{
    m_isRestored = true;
    scheduleFullPlacement();
    m_nextTick = now;
    log("coordinator", std::to_string(m_term.fence),
        "took over in term " + std::to_string(m_term.number) + " with " + std::to_string(m_jobs.activeJobs().size())
            + " active jobs and " + std::to_string(m_workers.workers().size()) + " workers");
}

void Coordinator::setOperators(const OperatorState& operators, TimePoint now)
{
    m_operators = operators;
    noteQueues();
    if (!m_queuesToRecord.empty())
        m_nextFlush = std::min(m_nextFlush, now);
    for (const auto& [id, job] : m_jobs.jobs()) {
        const auto found = operators.config.queues.find(job->spec.queue);
        if (found != operators.config.queues.end())
            m_jobs.setQueue(id, found->second);
    }
    m_waves.setWaves(operators.waves);
    scheduleFullPlacement();
    m_nextTick = now;
}

void Coordinator::submit(
    CallToken token, JobSpec spec, TimePoint now, std::optional<Duration> wait, const CallOrigin& origin)
{
    const auto id = spec.id;
    if (const auto* known = m_jobs.find(id)) {
        logCall("submission", id, "submitted again: " + progressText(*known), origin, now);
        if (known->storedVersion)
            m_orders.emplace_back(ReplyOrder { token, { Reply::Kind::Accepted, {}, 0, {} } });
        else
            m_replies[id].push_back({ token, 1, { Reply::Kind::Accepted, {}, 0, {} }, now });
        return;
    }
    if (m_cancelledIds.contains(id)) {
        refuseCancelled(token, id, now, origin);
        return;
    }
    if (!hasMemoryFor(spec)) {
        logCall("submission", id,
            "refused: no memory for further jobs, " + std::to_string(m_jobs.bytes()) + " bytes in use", origin, now);
        m_orders.emplace_back(ReplyOrder { token, notStored(now) });
        return;
    }
    const auto limit = wait ? std::min(s_submissionTimeout, *wait - s_replyMargin) : s_submissionTimeout;
    const auto expected = expectedStoreTime(now);
    if (expected > limit) {
        logCall("submission", id,
            std::string(isLeaseValid(now) ? "refused" : "not stored, not certain") + ": record would be stored in "
                + std::to_string(expected.count()) + " ms, limit " + std::to_string(limit.count()) + " ms",
            origin, now);
        m_orders.emplace_back(ReplyOrder { token, notStored(now) });
        if (m_settings.scheduling.admission)
            m_refusedCallers.note(id, now);
        return;
    }
    const auto queue = queueOf(spec);
    if (const auto refusal = admissionRefusal(spec, queue, now, origin)) {
        m_orders.emplace_back(ReplyOrder { token, *refusal });
        return;
    }
    auto& job = m_jobs.accept(std::move(spec), queue, now);
    ++job.version;
    m_jobsToQueue.insert(id);
    // The record must be sent early enough for its write to end within the limit.
    m_unstoredJobs[id] = now + limit - (wait ? std::min(m_writeTime, limit) : Duration(0));
    noteArrival(job.spec, queue.service, now);
    logCall("submission", id,
        "submitted to " + job.spec.queue.value() + " by " + job.spec.team.value() + ": " + describeSteps(job.spec),
        origin, now);
    m_replies[id].push_back({ token, job.version, { Reply::Kind::Accepted, {}, 0, {} }, now });
    scheduleFlush(now);
}

void Coordinator::noteArrival(const JobSpec& spec, const ServiceId& service, TimePoint now)
{
    if (!spec.schedule.isTimed())
        m_arrivals.try_emplace(service, s_arrivalDecayTime)
            .first->second.add(now, estimateWork(m_settings.moveTime + s_joinDelay, spec));
}

Reply Coordinator::jobStatus(const JobId& id) const
{
    const auto* job = m_jobs.find(id);
    if (!job)
        return { Reply::Kind::UnknownJob, {}, 0, {} };
    auto state = job->storedState;
    if (state == JobState::Pending && job->hasStarted)
        state = JobState::Running;
    return { Reply::Kind::State, state, 0, {} };
}

Reply Coordinator::waiting(const QueueId& queue) const
{
    return { Reply::Kind::Waiting, {}, m_jobs.waitingJobs(queue), {} };
}

void Coordinator::scheduleFlush(TimePoint now)
{
    m_nextFlush = std::min(m_nextFlush, now + s_submissionDelay);
    m_nextTick = std::min(m_nextTick, now + s_submissionDelay);
}

void Coordinator::flushJobs(TimePoint now)
{
    flushCancelledIds();
    for (const auto& id : std::exchange(m_queuesToRecord, {}))
        m_journal.put(records::queue(id), encodeQueue({ m_queues.at(id).services, m_queues.at(id).settings }),
            RecordClass::Urgent);
    for (const auto& id : std::exchange(m_jobsToQueue, {})) {
        const auto* job = m_jobs.find(id);
        if (!job)
            continue;
        const auto key = records::job(id);
        m_journal.put(key, encodeJob(job->spec), RecordClass::Urgent);
        m_queuedVersions[key] = { id, 1, JobState::Pending };
    }
    for (const auto& id : m_jobs.takeDirty()) {
        const auto* job = m_jobs.find(id);
        if (!job)
            continue;
        const auto key = records::progress(id);
        // A successor ignores the progress of a job without a record, so it must not be stored before that record.
        const auto recordClass = job->storedVersion ? RecordClass::Progress : RecordClass::Urgent;
        m_journal.put(key, encodeProgress(m_jobs.progress(*job)), recordClass);
        m_queuedVersions[key] = { id, job->version, job->state };
    }
    for (const auto& id : std::exchange(m_workersToRecord, {})) {
        const auto* worker = m_workers.find(id);
        // For a worker that has not answered yet, the stored record is the only source of the runs it may hold. It must
        // not be overwritten until all predecessors' leases have expired.
        if (!worker || (!worker->hasSeenFence && (worker->mayHavePredecessorRuns || !worker->isSealed)))
            continue;
        WorkerRecord record { worker->entry, std::nullopt };
        if (worker->isSealed) {
            record.onlyRuns.emplace();
            for (const auto& [task, run] : worker->runs)
                record.onlyRuns->insert(task);
            // This record may be stored before the progress that results from the ends.
            for (const auto& end : worker->pendingEnds)
                record.onlyRuns->insert(end.task);
        }
        m_journal.put(records::worker(id), encodeWorker(record), RecordClass::Urgent);
    }
    for (const auto& change : m_waves.takeChanges()) {
        m_journal.put(records::wave(change.wave), encodeWave(change.finished), RecordClass::Progress);
        m_journal.put(m_settings.waveStatusPrefix + change.wave.value(), encodeWaveStatus(change.isComplete),
            RecordClass::Progress);
        log("wave", change.wave.value(),
            std::to_string(change.finished.size()) + " instances finished" + (change.isComplete ? ", complete" : ""));
    }
    m_nextFlush = now + s_progressDelay;
}

void Coordinator::sendJournal(TimePoint now)
{
    auto batch = m_journal.next();
    if (!batch)
        return;
    // A resent batch keeps its versions. The queued versions belong to records that are not part of it.
    const bool isNew = std::exchange(m_batchNumber, batch->number) != batch->number;
    for (const auto& [key, value] : batch->puts) {
        if (!isNew)
            break;
        if (auto recordVersion = m_queuedVersions.extract(key))
            m_batchVersions.insert_or_assign(key, recordVersion.mapped());
    }
    m_batchSentAt = now;
    if (isNew)
        m_batchFirstSentAt = now;
    m_orders.emplace_back(JournalOrder { std::move(*batch) });
}

void Coordinator::journalAnswered(JournalAnswer answer, Revision head, TimePoint now)
{
    measure(JournalWritten { answer, now - m_batchSentAt });
    const auto stored = m_journal.answered(answer, head);
    ++(stored ? m_journalStats.stored : m_journalStats.notStored);
    m_journalStats.records += stored ? stored->puts.size() + stored->removals.size() : 0;
    m_journalStats.longest = std::max(m_journalStats.longest, now - m_batchSentAt);
    if (m_journal.needsHeadRead())
        m_orders.emplace_back(ReadHeadOrder {});
    if (stored) {
        m_writeTime = (m_writeTime * (s_writeTimeWeight - 1) + (now - m_batchSentAt)) / s_writeTimeWeight;
        batchStored(*stored, now);
        m_nextTick = std::min(m_nextTick, std::max(now, m_nextFlush));
        sendJournal(now);
        return;
    }
    if (m_journal.isSuperseded())
        log("coordinator", std::to_string(m_term.fence), "superseded: the journal has writes of another coordinator");
    else if (answer != JournalAnswer::Conflict)
        m_nextFlush = now + s_journalRetryDelay;
    m_nextTick = std::min(m_nextTick, m_nextFlush);
}

void Coordinator::headRead(Revision head, std::uint64_t number, TimePoint now)
{
    if (const auto stored = m_journal.headRead(head, number))
        batchStored(*stored, now);
    m_nextTick = now;
}

void Coordinator::batchStored(const JournalBatch& batch, TimePoint now)
{
    const auto versions = std::exchange(m_batchVersions, {});
    for (const auto& [key, value] : batch.puts) {
        if (key.starts_with(records::workerPrefix)) {
            const WorkerId id(key.substr(records::workerPrefix.size()));
            // The batch may hold a sealed record, written before the worker answered again; an unsealed one then
            // follows.
            if (auto* worker = m_workers.find(id);
                worker && !worker->isSealed && !m_workersToRecord.contains(id) && !decodeWorker(id, value).onlyRuns) {
                worker->isRecordStored = true;
                m_nextAllotment = now; // the pool has more capacity than the last allotments assumed
                schedulePlacement(worker->entry.service);
            }
        }
        if (key.starts_with(records::queuePrefix))
            queueStored(QueueId(key.substr(records::queuePrefix.size())), value);
        if (key.starts_with(records::cancelledIdPrefix))
            cancelledIdStored(JobId(key.substr(records::cancelledIdPrefix.size())), now);
        const auto recordVersion = versions.find(key);
        if (recordVersion == versions.end())
            continue;
        if (const auto* job = m_jobs.find(recordVersion->second.job); job && !job->storedVersion)
            schedulePlacement(job->queue.service);
        m_jobs.markStored(recordVersion->second.job, recordVersion->second.version, recordVersion->second.state);
        releaseReplies(recordVersion->second.job, now);
    }
    std::erase_if(m_withPendingEnds, [&](const WorkerId& id) {
        auto* worker = m_workers.find(id);
        if (!worker)
            return true;
        advanceAcknowledged(*worker);
        if (!worker->pendingEnds.empty())
            return false;
        schedulePoll(*worker, std::min(worker->nextPollAt, now));
        return true;
    });
    m_nextTick = now;
}

void Coordinator::releaseReplies(const JobId& id, TimePoint now)
{
    const auto found = m_replies.find(id);
    const auto* job = m_jobs.find(id);
    if (found == m_replies.end() || !job)
        return;
    std::erase_if(found->second, [&](const PendingReply& pending) {
        if (pending.version > job->storedVersion)
            return false;
        log("reply", id.value(),
            std::string(pending.reply.kind == Reply::Kind::Cancelled ? "cancelling" : "submission") + " stored after "
                + std::to_string((now - pending.since).count()) + " ms, version " + std::to_string(pending.version));
        m_orders.emplace_back(ReplyOrder { pending.token, pending.reply });
        return true;
    });
    if (found->second.empty())
        m_replies.erase(found);
}

Duration Coordinator::expectedStoreTime(TimePoint now) const
{
    // The age of an unstored batch shows that the store has become slower, or does not answer.
    const auto age = m_journal.hasUnstoredBatch() ? now - m_batchFirstSentAt : Duration(0);
    return std::max(m_writeTime, age) * static_cast<std::int64_t>(m_journal.batchesUntilStored());
}

bool Coordinator::hasMemoryFor(const JobSpec& spec) const
{
    const auto bytes = memoryOf(spec);
    if (!m_settings.jobBytes || m_jobs.bytes() + bytes <= m_settings.jobBytes / 2)
        return true;
    if (JobTable::isLarge(bytes) && m_jobs.bytesOfLargeJobs() + bytes > m_settings.jobBytes / 2)
        return false;
    return m_jobs.bytes() + bytes <= m_settings.jobBytes;
}

Reply Coordinator::notStored(TimePoint now) const
{
    // A refusal says that the job never runs.
    if (!isLeaseValid(now))
        return { Reply::Kind::NotStoredHere, {}, 0, {} };
    return { Reply::Kind::Refused, {}, 0, s_storeRetryAfter };
}

void Coordinator::refuseUnsent(TimePoint now)
{
    std::vector<JobId> late;
    std::erase_if(m_unstoredJobs, [&](const auto& entry) {
        const auto* job = m_jobs.find(entry.first);
        if (!job || job->storedVersion)
            return true;
        if (now < entry.second)
            m_nextTick = std::min(m_nextTick, entry.second);
        else
            late.push_back(entry.first);
        return false;
    });
    for (const auto& id : late) {
        const auto* job = m_jobs.find(id);
        if (!job->isActive() || !m_journal.cancelPut(records::job(id)))
            continue;
        log("submission", id.value(),
            std::string(isLeaseValid(now) ? "refused" : "not stored, not certain")
                + ": record could not be sent to the store in time");
        m_queuedVersions.erase(records::job(id));
        m_batchVersions.erase(records::job(id));
        m_unstoredJobs.erase(id);
        m_jobsToQueue.erase(id);
        m_jobs.remove(id);
        if (const auto replies = m_replies.extract(id)) {
            for (const auto& pending : replies.mapped())
                m_orders.emplace_back(ReplyOrder { pending.token, notStored(now) });
        }
    }
}

void Coordinator::removeOldJobs(TimePoint now)
{
    m_nextJobRemoval = now + s_jobRemovalPeriod;
    std::vector<JobId> old;
    std::set<QueueId> queues;
    for (const auto& [id, job] : m_jobs.jobs()) {
        queues.insert(job->spec.queue);
        if (job->endedAt && now - *job->endedAt > m_settings.statusRetention + s_jobRemovalPeriod && !job->isDirty())
            old.push_back(id);
    }
    for (const auto& id : old) {
        // A successor would take the progress for that of a later job with this id, or start the job again.
        m_journal.removeTogether(records::job(id), records::progress(id));
        m_jobs.remove(id);
    }
    removeUnusedQueues(queues);
    removeExpiredIds(now);
}

void Coordinator::resendStops(TimePoint now)
{
    const auto isAwaitingWorker = [this](const WorkerId& id) {
        const auto* worker = m_workers.find(id);
        return worker && !worker->isAnswering;
    };
    for (auto& [key, stop] : m_pendingStops) {
        if (stop.resendAt > now || stop.awaitsPoll || isAwaitingWorker(key.first))
            continue;
        const auto* task = m_jobs.findTask(key.second);
        const auto* worker = m_workers.find(key.first);
        if (worker && worker->runs.contains(key.second))
            sendStop(*worker, key.second, worker->runs.at(key.second).number, stop.reason, now);
        else if (!task)
            stop.resendAt = now + s_idleTickInterval;
    }
    std::erase_if(m_pendingStops, [this](const auto& entry) {
        const auto* worker = m_workers.find(entry.first.first);
        return !worker || !worker->runs.contains(entry.first.second);
    });
    for (const auto& [key, stop] : m_pendingStops) {
        if (!stop.awaitsPoll && !isAwaitingWorker(key.first))
            m_nextTick = std::min(m_nextTick, std::max(stop.resendAt, now + Duration(1)));
    }
}

void Coordinator::tick(TimePoint now, std::int64_t wallMs)
{
    m_nextTick = now + s_idleTickInterval;
    if (isSuperseded() || !mayOrder(now))
        return;
    pollDueWorkers(now);
    if (!m_isRestored)
        return;
    expireLeases(now);
    if (std::exchange(m_wasLeaseValid, isLeaseValid(now)) != isLeaseValid(now))
        scheduleFullPlacement();
    const auto due = m_jobs.openDueOccurrences(now, wallMs);
    if (due.hasOpened)
        scheduleFullPlacement();
    if (due.nextUnixMs)
        m_nextTick = std::min(m_nextTick, now + Duration(std::max<std::int64_t>(1, *due.nextUnixMs - wallMs)));
    resendStops(now);
    stopIncompleteGangs(now);
    listInstances(now);
    runWaves(now);
    sizePools(now);
    placeTasks(now);
    refuseUnsent(now);
    if (m_nextJobRemoval <= now)
        removeOldJobs(now);
    if (m_nextFlush <= now) {
        flushJobs(now);
        sendJournal(now);
    }
    m_nextTick = std::min(m_nextTick, std::max(m_nextFlush, now + Duration(1)));
}

} // namespace marigoldlink
