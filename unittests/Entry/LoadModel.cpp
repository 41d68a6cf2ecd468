// The fleet, the callers and the clock of the load model.
#include "LoadModel.h"

#include <algorithm>
#include <cmath>

namespace marigoldlink {

namespace {

    constexpr Duration s_storeTime { 4 };
    constexpr Duration s_moveTime { 1500 };
    constexpr int s_maxRetries = 4;
    const ServiceId s_pool("pool");
    const ServiceId s_spare("spare");

} // namespace

std::string ModelResult::text() const
{
    const auto count = [](int number, const char* what) { return std::to_string(number) + what; };
    return count(jobs, " jobs, ") + count(accepted, " accepted: ") + count(inTime, " in time, ")
        + count(late, " late, ") + count(useless, " useless; ") + count(refusals, " refusals; half started within ")
        + std::to_string(medianStart.count()) + " ms";
}

LoadModel::LoadModel(SchedulingFeatures features, int workers, int spareWorkers)
    : m_features(features)
{
    m_operators.config.version = 1;
    for (const auto* id : { "short", "long" }) {
        JobQueue queue;
        queue.id = QueueId(id);
        queue.service = s_pool;
        queue.priority = 1;
        queue.objectiveFactor = 1.6;
        queue.objectiveAllowance = Duration(600);
        m_operators.config.queues.emplace(queue.id, queue);
    }
    m_operators.config.pools.emplace(s_pool, WorkerPool { s_pool, false, false });
    m_operators.config.pools.emplace(s_spare, WorkerPool { s_spare, false, true });
    createCoordinator();
    for (int i = 0; i < workers + spareWorkers; ++i) {
        FleetInstance instance;
        instance.id = "m-" + std::to_string(i);
        instance.pool = i < workers ? s_pool : s_spare;
        instance.capacity = { workerMilliCores, 256000, 0 };
        auto& added = m_instances[instance.id] = instance;
        if (i < workers)
            addWorker(added);
    }
    m_coordinator->finishRestore(m_now);
}

void LoadModel::createCoordinator()
{
    CoordinatorSettings settings;
    settings.scheduling = m_features;
    CoordinatorSinks sinks;
    sinks.log = [this](const Decision& decision) {
        if (decision.text.starts_with("refused"))
            m_refusalLog.push_back(decision);
    };
    sinks.measure = [this](const Measurement& measurement) {
        if (const auto* refused = std::get_if<SubmissionRefused>(&measurement))
            ++m_refusalReasons[refused->reason];
    };
    ++m_term;
    m_coordinator = std::make_unique<Coordinator>(
        settings, Term { 10 + m_term, m_term, true }, Journal(Revision(m_revision)), m_now, sinks);
    m_coordinator->setOperators(m_operators, m_now);
}

void LoadModel::takeOver()
{
    m_actions.clear();
    m_calls.clear();
    createCoordinator();
    for (const auto& [key, value] : m_stored) {
        if (key.starts_with(records::queuePrefix)) {
            const QueueId id(key.substr(records::queuePrefix.size()));
            m_coordinator->restoreQueue(id, decodeQueue(id, value));
        }
    }
    for (const auto& [key, value] : m_stored) {
        if (key.starts_with(records::jobPrefix)) {
            const JobId id(key.substr(records::jobPrefix.size()));
            const auto progress = m_stored.find(records::progress(id));
            m_coordinator->restoreJob(decodeJob(id, value),
                progress == m_stored.end() ? JobProgress {} : decodeProgress(id, progress->second), m_now);
        } else if (key.starts_with(records::workerPrefix)) {
            const auto record = decodeWorker(WorkerId(key.substr(records::workerPrefix.size())), value);
            m_coordinator->restoreWorker(record.entry, record.onlyRuns, m_now);
        }
    }
    for (auto& [id, worker] : m_workers) {
        worker.poll.reset();
        for (const auto& [task, run] : worker.running)
            endLater(id, task, run, m_jobs.at(task.job).runTime / 2);
    }
    for (const auto& [id, instance] : m_instances) {
        if (!instance.worker.empty())
            m_coordinator->workerEntry(entryOf(instance), m_now);
    }
    m_coordinator->finishRestore(m_now);
}

WorkerEntry LoadModel::entryOf(const FleetInstance& instance) const
{
    WorkerEntry entry;
    entry.incarnation = { instance.worker, 1 };
    entry.service = instance.pool;
    entry.capacity = instance.capacity;
    entry.endpoint = { "127.0.0.1", 1 };
    entry.instance = instance.id;
    return entry;
}

void LoadModel::addWorker(FleetInstance& instance)
{
    instance.worker = WorkerId("w-" + std::to_string(m_lastWorker++));
    m_workers[instance.worker];
    m_coordinator->workerEntry(entryOf(instance), m_now);
}

void LoadModel::endLater(const WorkerId& id, const TaskKey& task, RunNumber run, Duration delay)
{
    at(m_now + delay, [=, this] {
        const auto found = m_workers.find(id);
        if (found == m_workers.end())
            return;
        auto& worker = found->second;
        if (worker.running.erase(task))
            worker.ends.push_back({ static_cast<std::int64_t>(worker.ends.size() + 1), task, run, RunEnd::Done, {} });
    });
}

void LoadModel::arrive(ModelStream& stream)
{
    auto count = std::poisson_distribution<int>(stream.jobsPerSecond(m_now) / 1000)(m_random);
    while (count-- > 0) {
        ModelJob job;
        job.spec.id = JobId("job-" + std::to_string(m_jobs.size()));
        job.spec.queue = stream.queue;
        job.spec.team = stream.team;
        job.runTime = stream.runTime;
        const auto factor = std::uniform_real_distribution(stream.lowestEstimate, stream.highestEstimate)(m_random);
        for (int i = 0; i < stream.steps; ++i) {
            StepSpec step;
            step.tasks = stream.tasks;
            step.need = { stream.milliCores, 1000, 0 };
            step.estimate = Duration(std::llround(static_cast<double>(stream.runTime.count()) * factor));
            if (i)
                step.after.push_back(i - 1);
            job.spec.steps.push_back(step);
        }
        job.objective = stream.runTime * stream.steps * 16 / 10 + Duration(600);
        job.firstAttempt = m_now;
        submit(m_jobs[job.spec.id] = job);
    }
}

void LoadModel::submit(ModelJob& job)
{
    ++job.attempts;
    job.lastAttempt = m_now;
    m_calls[CallToken(++m_lastToken)] = job.spec.id;
    const bool hadRoom = job.attempts == 1 && hasRoomFor(job.spec.steps.front());
    const auto refusals = job.refusedAt.size();
    m_coordinator->submit(CallToken(m_lastToken), job.spec, m_now, Duration(2900));
    for (const auto& order : m_coordinator->takeOrders())
        handle(order);
    m_refusedWithRoom += hadRoom && job.refusedAt.size() > refusals;
}

bool LoadModel::hasRoomFor(const StepSpec& step) const
{
    for (const auto& [priority, teams] : m_coordinator->jobs().backlog().rows(s_pool)) {
        for (const auto& [team, row] : teams) {
            if (row.urgent.waitingMilliCores || row.yielding.waitingMilliCores)
                return false;
        }
    }
    std::int64_t tasks = 0;
    for (const auto& [id, worker] : m_coordinator->workers().ofService(s_pool)) {
        if (worker->isRegistered && worker->isAnswering && worker->isRecordStored && !worker->isChangingPool)
            tasks += worker->freeCapacity().milliCores / step.need.milliCores;
    }
    return tasks >= step.tasks;
}

void LoadModel::handle(const Order& order)
{
    if (const auto* start = std::get_if<StartOrder>(&order)) {
        auto& job = m_jobs.at(start->task.job);
        if (!job.startedAt)
            job.startedAt = m_now;
        auto& worker = m_workers[start->worker.id];
        worker.running[start->task] = start->run;
        at(m_now + Duration(2), [this, start = *start] {
            m_coordinator->startAnswered(
                start.worker, start.task, start.run, StartAnswer::Started, m_now.time_since_epoch().count(), m_now);
        });
        endLater(start->worker.id, start->task, start->run, job.runTime);
    } else if (const auto* poll = std::get_if<PollOrder>(&order)) {
        if (!m_workers.contains(poll->worker.id)) {
            at(m_now + Duration(2), [this, worker = poll->worker] { m_coordinator->pollAnswered(worker, {}, m_now); });
            return;
        }
        auto& worker = m_workers[poll->worker.id];
        worker.poll = *poll;
        worker.pollDue = m_now + std::max(Duration(1), poll->wait);
    } else if (const auto* journal = std::get_if<JournalOrder>(&order)) {
        at(std::max(m_now + s_storeTime, m_storeDownUntil), [this, batch = journal->batch] {
            for (const auto& [key, value] : batch.puts)
                m_stored[key] = value;
            for (const auto& key : batch.removals)
                m_stored.erase(key);
            m_coordinator->journalAnswered(JournalAnswer::Stored, Revision(++m_revision), m_now);
        });
    } else if (std::get_if<ListInstancesOrder>(&order)) {
        at(m_now + s_storeTime, [this] {
            std::vector<FleetInstance> instances;
            for (const auto& [id, instance] : m_instances)
                instances.push_back(instance);
            m_coordinator->instancesListed(std::move(instances), m_now);
        });
    } else if (const auto* move = std::get_if<MoveOrder>(&order)) {
        auto& instance = m_instances.at(move->instance);
        const auto worker = std::exchange(instance.worker, WorkerId());
        m_workers.erase(worker);
        instance.pool = move->pool;
        instance.state = InstanceState::Moving;
        at(m_now + Duration(2), [this, move = *move, worker] {
            m_coordinator->instanceAnswered(move.instance, InstanceAnswer::Done, m_now);
            if (!worker.empty())
                m_coordinator->workerEntryRemoved(worker, m_now);
        });
        at(m_now + s_moveTime, [this, move = *move] {
            auto& moved = m_instances.at(move.instance);
            moved.state = InstanceState::Up;
            if (moved.pool != s_spare)
                addWorker(moved);
        });
    } else if (const auto* reply = std::get_if<ReplyOrder>(&order)) {
        auto call = m_calls.extract(reply->token);
        if (!call)
            return;
        auto& job = m_jobs.at(call.mapped());
        if (reply->reply.kind == Reply::Kind::Accepted) {
            job.isAccepted = true;
            m_open.insert(job.spec.id);
        } else if (reply->reply.kind == Reply::Kind::Refused) {
            job.refusedAt.push_back(m_now);
            const Duration wire((reply->reply.retryAfter.count() + 999) / 1000 * 1000);
            if (job.attempts <= s_maxRetries)
                at(m_now + wire, [this, &job] { submit(job); });
        }
    }
}

void LoadModel::answerPolls()
{
    for (auto& [id, worker] : m_workers) {
        if (!worker.poll)
            continue;
        const auto acknowledged = static_cast<std::size_t>(worker.poll->acknowledged);
        if (m_now < worker.pollDue && worker.ends.size() <= acknowledged)
            continue;
        PollAnswer answer;
        answer.status = PollAnswer::Status::Answered;
        answer.startedUnixMs = 1;
        answer.clockMs = m_now.time_since_epoch().count();
        for (const auto& [task, run] : worker.running)
            answer.running.push_back({ task, run, {}, 100, 0 });
        answer.ended.assign(worker.ends.begin() + static_cast<std::ptrdiff_t>(acknowledged), worker.ends.end());
        const auto order = *std::exchange(worker.poll, std::nullopt);
        m_coordinator->pollAnswered(order.worker, answer, m_now);
    }
}

void LoadModel::run(Duration time)
{
    const auto end = m_now + time;
    for (; m_now < end; m_now += Duration(1)) {
        for (auto& stream : m_streams)
            arrive(stream);
        while (!m_actions.empty() && m_actions.begin()->first <= m_now)
            m_actions.extract(m_actions.begin()).mapped()();
        answerPolls();
        m_coordinator->tick(m_now, 1700000000000 + m_now.time_since_epoch().count());
        for (const auto& order : m_coordinator->takeOrders())
            handle(order);
        if (m_now.time_since_epoch().count() % 10 == 0)
            watchJobs();
    }
}

void LoadModel::watchJobs()
{
    std::erase_if(m_open, [this](const JobId& id) {
        if (m_coordinator->jobStatus(id).state != JobState::Complete)
            return false;
        m_jobs.at(id).completeAt = m_now;
        return true;
    });
}

int LoadModel::refusals(TimePoint from, TimePoint to) const
{
    int count = 0;
    for (const auto& [id, job] : m_jobs)
        count += static_cast<int>(std::count_if(
            job.refusedAt.begin(), job.refusedAt.end(), [&](TimePoint time) { return from <= time && time < to; }));
    return count;
}

ModelResult LoadModel::result(TimePoint from, TimePoint to, const TeamId& team) const
{
    ModelResult result;
    std::vector<Duration> starts;
    for (const auto& [id, job] : m_jobs) {
        if (job.firstAttempt < from || job.firstAttempt >= to || (!team.empty() && job.spec.team != team))
            continue;
        ++result.jobs;
        result.refusals += static_cast<int>(job.refusedAt.size());
        if (!job.isAccepted)
            continue;
        ++result.accepted;
        starts.push_back(job.startedAt.value_or(m_now) - job.lastAttempt);
        const auto time = job.completeAt.value_or(TimePoint::max()) - job.firstAttempt;
        ++(time <= job.objective ? result.inTime : time <= 3 * job.objective ? result.late : result.useless);
    }
    std::sort(starts.begin(), starts.end());
    if (!starts.empty())
        result.medianStart = starts[starts.size() / 2];
    return result;
}

} // namespace marigoldlink
