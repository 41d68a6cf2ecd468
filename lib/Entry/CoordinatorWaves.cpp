// Coordinator: maintenance waves and the list of instances.
#include "marigoldlink/Entry/Coordinator.h"

#include <algorithm>

namespace marigoldlink {

namespace {

    // Percentage reported by a service task at full capacity. A lower value means that it is starting or throttled.
    constexpr int s_fullCapacityPercent = 100;
    // Maximum age of a poll answer that is relied upon. A busy worker answers a poll within 1 s (s_busyPollWait).
    constexpr Duration s_maxPollAge { 1500 };
    // A maintenance call of a predecessor may still be in flight for this long.
    constexpr Duration s_settleMargin { 500 };
    constexpr Duration s_listPeriod { 500 };
    // Minimum interval between two reads of the list while the results of accepted calls are pending.
    constexpr Duration s_minListPeriod { 150 };
    // Maximum age of what the list shows.
    constexpr Duration s_maxListLag { 1500 };
    // Changes by accepted calls within this time share a journal write.
    constexpr Duration s_recordDelay { 20 };

    // Room for tasks of services on the workers of some pools.
    class ServiceRoom {
    public:
        ServiceRoom(const AdviceCache& advice, std::function<std::vector<const Worker*>(const ServiceId&)> workersOf)
            : m_advice(advice)
            , m_workersOf(std::move(workersOf))
        {
        }

        // Takes room for a task of the step on the worker that then has the least left. Returns false if none has room.
        bool take(const Job& job, const StepKey& key)
        {
            const auto& spec = job.spec.steps[static_cast<std::size_t>(key.step)];
            Place* best = nullptr;
            for (auto& place : placesOf(job.queue.service)) {
                if (place.fits(key, spec) && !(job.queue.needsAdvice && isRefused(key, place))
                    && (!best || place.free.milliCores < best->free.milliCores))
                    best = &place;
            }
            if (!best)
                return false;
            best->free -= spec.reserved();
            ++best->taken[key];
            return true;
        }

        static bool fitsOn(const Worker& worker, const StepKey& key, const StepSpec& spec)
        {
            return Place { &worker, worker.freeCapacity(), {} }.fits(key, spec);
        }

    private:
        struct Place {
            const Worker* worker;
            Resources free;
            std::map<StepKey, int> taken;

            bool fits(const StepKey& key, const StepSpec& spec) const
            {
                if (!spec.reserved().fitsInto(free)
                    || (!spec.requiredLabel.empty() && !worker->entry.labels.contains(spec.requiredLabel)))
                    return false;
                if (!spec.maxPerWorker)
                    return true;
                const auto running = worker->tasksByStep.find({ key.job, key.occurrence, key.step });
                const auto added = taken.find(key);
                return (running == worker->tasksByStep.end() ? 0 : running->second)
                    + (added == taken.end() ? 0 : added->second)
                    < spec.maxPerWorker;
            }
        };

        std::vector<Place>& placesOf(const ServiceId& service)
        {
            const auto [found, isNew] = m_places.try_emplace(service);
            if (isNew) {
                for (const auto* worker : m_workersOf(service))
                    found->second.push_back({ worker, worker->freeCapacity(), {} });
            }
            return found->second;
        }

        bool isRefused(const StepKey& key, const Place& place) const
        {
            return m_advice.isRefused(key, place.worker->entry.incarnation);
        }

        const AdviceCache& m_advice;
        std::function<std::vector<const Worker*>(const ServiceId&)> m_workersOf;
        std::map<ServiceId, std::vector<Place>> m_places;
    };

} // namespace

void Coordinator::instancesListed(std::vector<FleetInstance> instances, TimePoint now)
{
    m_isListing = false;
    m_nextList = now + s_listPeriod;
    m_nextTick = now;
    if (instances.empty())
        return;
    m_instances.clear();
    for (auto& instance : instances) {
        const auto id = instance.id;
        m_instances.emplace(id, std::move(instance));
    }
    m_waves.instancesListed(m_instances, m_listAskedAt);
    updateFleetBounds();
    resolveEndingWorkers(now);
    removeReplacedWorkers(now);
}

void Coordinator::removeReplacedWorkers(TimePoint now)
{
    // A list that is older than this coordinator may be older than a worker that its predecessor recorded.
    if (!m_mayHavePredecessorRuns || m_listAskedAt <= m_startedAt + s_maxListLag)
        return;
    std::vector<WorkerId> replaced;
    for (const auto& [id, worker] : m_workers.workers()) {
        const auto found = m_instances.find(worker.entry.instance);
        if (!worker.mayHavePredecessorRuns || found == m_instances.end())
            continue;
        const auto& instance = found->second;
        const bool hasOtherWorker
            = instance.state == InstanceState::Up && !instance.worker.empty() && instance.worker != id;
        if (hasOtherWorker || instance.state == InstanceState::Moving || instance.state == InstanceState::Maintenance)
            replaced.push_back(id);
    }
    for (const auto& id : replaced) {
        log("worker", id.value(), "ended before the takeover: its instance has another worker or restarts");
        handleWorkerEnded(id, now);
        scheduleFullPlacement();
    }
}

bool Coordinator::isAtFullCapacity(const Task& task, TimePoint now) const
{
    if (!task.run || task.run->phase != ActiveRun::Phase::Running || task.run->percent < s_fullCapacityPercent)
        return false;
    // An answer that is too old, or from before the worker became unreachable, does not show the current state.
    const auto* worker = m_workers.find(task.run->worker);
    return worker && worker->isAnswering && !worker->isBeingMaintained && now - worker->lastAnswer <= s_maxPollAge;
}

int Coordinator::unavailableTasks(const Occurrence& occurrence, int step, TimePoint now) const
{
    const auto& tasks = occurrence.steps[static_cast<std::size_t>(step)].tasks;
    return static_cast<int>(
        std::count_if(tasks.begin(), tasks.end(), [&](const Task& task) { return !isAtFullCapacity(task, now); }));
}

InstanceLoad Coordinator::waveLoad(const std::string& instance, TimePoint now) const
{
    InstanceLoad load;
    const auto found = m_instances.find(instance);
    if (found == m_instances.end())
        return load;
    const auto* worker = m_workers.find(found->second.worker);
    // Nothing was ever started on a worker that is neither registered nor recorded.
    if (!worker)
        return load;
    if (worker->mayHavePredecessorRuns) {
        load.isKnown = false;
        load.mayStopServices = false;
    }
    for (const auto& [key, run] : worker->runs) {
        const auto* job = m_jobs.find(key.job);
        if (!job || !job->isActive())
            continue;
        const auto& spec = job->stepSpec(key);
        if (!spec.isService) {
            ++load.tasks;
            continue;
        }
        ++load.services;
        const auto& occurrence = job->occurrences.at(key.occurrence);
        const auto* task
            = &occurrence.steps[static_cast<std::size_t>(key.step)].tasks[static_cast<std::size_t>(key.index)];
        const bool isThisAtFullCapacity = isAtFullCapacity(*task, now) && task->run->number == run.number;
        const int others = unavailableTasks(occurrence, key.step, now) - (isThisAtFullCapacity ? 0 : 1);
        const int here = worker->tasksByStep.at({ key.job, key.occurrence, key.step });
        if (spec.maxUnavailable > 0 && others + here > spec.maxUnavailable)
            load.mayStopServices = false;
    }
    return load;
}

bool Coordinator::mayChangeInstances(TimePoint now) const
{
    if (!isLeaseValid(now))
        return false;
    // A predecessor sent no instance calls after its lease ended, but calls sent before may still take effect.
    return m_settings.checksInstanceFences || m_term.number <= 1 || now >= m_startedAt + m_settings.instanceCallTimeout;
}

void Coordinator::listInstances(TimePoint now)
{
    if (m_isListing)
        return;
    const auto next = std::max(m_nextList, m_listAskedAt + s_minListPeriod);
    if (next > now) {
        m_nextTick = std::min(m_nextTick, next);
        return;
    }
    m_isListing = true;
    m_listAskedAt = now;
    m_orders.emplace_back(ListInstancesOrder {});
}

void Coordinator::runWaves(TimePoint now)
{
    if (!m_waves.hasWork()) {
        if (std::exchange(m_areWorkersCordoned, false)) {
            for (auto& [id, worker] : m_workers.workers())
                worker.isCordoned = false;
            scheduleFullPlacement();
        }
        return;
    }
    m_areWorkersCordoned = true;
    const bool isDue = m_waveSchedule.takeDue(now);
    m_nextTick = std::min(m_nextTick, std::max(m_waveSchedule.next(), now + Duration(1)));
    if (!isDue)
        return;
    // A predecessor may have sent calls that it did not record. After this wait the instances concerned are
    // back. No calls are sent either while there may be a successor, which does not expect any.
    const bool isSettled = m_term.number <= 1 || now > m_startedAt + m_settings.maintenanceTime + s_settleMargin;
    if (!isSettled || !mayChangeInstances(now))
        return;
    // Each started maintenance changes how many tasks the services can spare, so the load is checked again per step.
    for (auto& [id, worker] : m_workers.workers()) {
        worker.isCordoned = false;
        worker.hasPendingMaintenance = false;
    }
    const auto steps = m_waves.plan(
        m_instances, [this, now](const std::string& instance) { return waveLoad(instance, now); }, now,
        [this, now](const std::string& instance) {
            const auto* worker = m_workers.find(m_instances.at(instance).worker);
            return !worker || drainOutlook(*worker, now).isPossible;
        });
    for (const auto& step : steps) {
        const bool isRepeated = m_waves.isUnderMaintenance(step.instance);
        if (m_maintenanceInFlight.contains(step.instance) || m_moves.contains(step.instance)
            || (!isRepeated && !waveLoad(step.instance, now).mayStopServices))
            continue;
        m_waves.callSent(step.wave, step.instance, now);
        m_maintenanceInFlight[step.instance] = step.wave;
        auto* worker = m_workers.find(m_instances.at(step.instance).worker);
        const auto load = waveLoad(step.instance, now);
        log("maintenance", step.instance,
            std::string(isRepeated ? "repeating" : "starting") + " maintenance, wave " + step.wave.value() + ", "
                + std::to_string(load.services) + " service tasks, " + std::to_string(load.tasks) + " other tasks; "
                + (worker ? "worker " + worker->entry.incarnation.id.value() + lastAnswerText(*worker, now)
                          : "its worker is not known"));
        m_orders.emplace_back(MaintainOrder { step.instance, step.wave, step.number });
        if (worker)
            worker->isBeingMaintained = true;
    }
    // The set of cordoned workers may have changed.
    scheduleFullPlacement();
    reportDraining();
    const auto due = m_waves.dueInstances();
    for (const auto& [id, instance] : m_instances) {
        auto* worker = m_workers.find(instance.worker);
        if (!worker)
            continue;
        worker->isCordoned = m_waves.draining().contains(id) || m_waves.isUnderMaintenance(id);
        worker->hasPendingMaintenance = due.contains(id);
        if (m_waves.draining().contains(id) && !m_waves.isUnderMaintenance(id))
            drainServices(id, *worker, now);
    }
}

void Coordinator::reportDraining()
{
    std::set<std::string> cannotDrain;
    std::set_difference(m_waves.reserved().begin(), m_waves.reserved().end(), m_waves.draining().begin(),
        m_waves.draining().end(), std::inserter(cannotDrain, cannotDrain.end()));
    for (const auto& instance : cannotDrain) {
        if (!m_cannotDrain.contains(instance))
            log("maintenance", instance, "waits: its services cannot spare its tasks, which have no room elsewhere");
    }
    for (const auto& instance : m_cannotDrain) {
        if (!cannotDrain.contains(instance))
            log("maintenance", instance, "no longer waits for room for its tasks");
    }
    m_cannotDrain = std::move(cannotDrain);
}

Coordinator::DrainOutlook Coordinator::drainOutlook(const Worker& worker, TimePoint now) const
{
    DrainOutlook outlook;
    std::set<WorkerId> excluded { worker.entry.incarnation.id };
    for (const auto& instance : m_waves.draining())
        excluded.insert(m_instances.at(instance).worker);
    ServiceRoom room(m_advice, [this, &excluded, now](const ServiceId& service) {
        std::vector<const Worker*> others;
        for (const auto& [id, other] : m_workers.ofService(service)) {
            if (!excluded.contains(id) && !other->isBeingMaintained && isUsable(*other, now))
                others.push_back(other);
        }
        return others;
    });
    std::map<StepKey, int> lacking; // tasks without room elsewhere, by step
    // The tasks that wait already take their room first.
    const auto& waiting = m_jobs.readyIndex(now).services();
    if (const auto groups = waiting.find(worker.entry.service); groups != waiting.end()) {
        for (const auto& [groupKey, group] : groups->second) {
            if (!groupKey.isService)
                continue;
            for (const auto& tree : group.trees) {
                const auto all = [](const ReadyTree::Needs&) { return false; };
                for (const auto* node = tree.next(nullptr, all); node; node = tree.next(node, all)) {
                    const StepKey key { node->entry.job->spec.id, node->entry.occurrence, node->entry.step };
                    int left = node->entry.tasks;
                    while (left && room.take(*node->entry.job, key))
                        --left;
                    if (left && ServiceRoom::fitsOn(worker, key, node->entry.spec())) {
                        outlook.isPossible = false;
                        return outlook;
                    }
                    lacking[key] += left;
                }
            }
        }
    }
    // Then those that are being stopped on other workers.
    for (const auto& [place, stop] : m_pendingStops) {
        const auto* job = m_jobs.find(place.second.job);
        if (stop.reason == StopReason::Maintenance && place.first != worker.entry.incarnation.id && job
            && job->isActive() && !room.take(*job, place.second.stepKey()))
            ++lacking[place.second.stepKey()];
    }
    std::set<StepKey> steps;
    for (const auto& [key, run] : worker.runs) {
        const auto* job = m_jobs.find(key.job);
        if (!run.isService || !job || !job->isActive())
            continue;
        steps.insert(key.stepKey());
        if (room.take(*job, key.stepKey()))
            outlook.movable.insert(key);
        else
            ++lacking[key.stepKey()];
    }
    outlook.isPossible = std::all_of(steps.begin(), steps.end(), [&](const StepKey& key) {
        const auto limit = m_jobs.find(key.job)->spec.steps[static_cast<std::size_t>(key.step)].maxUnavailable;
        return !limit || lacking[key] <= limit;
    });
    return outlook;
}

void Coordinator::drainServices(const std::string& instance, Worker& worker, TimePoint now)
{
    const bool isAllowedToLack = waveLoad(instance, now).mayStopServices;
    const auto outlook = isAllowedToLack ? DrainOutlook {} : drainOutlook(worker, now);
    for (const auto& [key, run] : std::map(worker.runs)) {
        const auto* job = m_jobs.find(key.job);
        const auto* task = m_jobs.findTask(key);
        if (!run.isService || !job || !job->isActive() || !task || !task->run || task->run->number != run.number
            || task->run->phase != ActiveRun::Phase::Running)
            continue;
        const auto& spec = job->stepSpec(key);
        const int unavailable = unavailableTasks(job->occurrences.at(key.occurrence), key.step, now);
        if (spec.maxUnavailable > 0 && (unavailable >= spec.maxUnavailable || !isAtFullCapacity(*task, now)))
            continue;
        if (!isAllowedToLack && !outlook.movable.contains(key))
            continue;
        orderStop(worker.entry.incarnation.id, key, run.number, StopReason::Maintenance, now);
    }
}

void Coordinator::instanceAnswered(const std::string& instance, InstanceAnswer answer, TimePoint now)
{
    m_nextTick = now;
    const auto inFlight = m_maintenanceInFlight.extract(instance);
    const bool isMove = !inFlight;
    const auto wave = inFlight ? inFlight.mapped() : WaveId();
    if (answer == InstanceAnswer::StaleFence) {
        m_isSuperseded = true;
        log("coordinator", std::to_string(m_term.fence), "superseded: instance " + instance + " has a higher fence");
        return;
    }
    const auto found = m_instances.find(instance);
    if (isMove && !m_moves.contains(instance)) {
        // The list of instances has shown the end of the move, or the move was given up, before this answer.
        if (answer == InstanceAnswer::Done && found != m_instances.end())
            workerMayHaveEnded(found->second, now);
        return;
    }
    if (answer == InstanceAnswer::Done) {
        if (isMove && found != m_instances.end())
            moveAccepted(found->second, m_moves.at(instance).pool, now);
        else if (!isMove)
            m_waves.callAccepted(wave, instance, now);
        if (!isMove && found != m_instances.end())
            maintenanceAccepted(found->second, now);
        m_nextFlush = std::min(m_nextFlush, now + s_recordDelay);
        return;
    }
    log("instance", instance, std::string(isMove ? "move" : "maintenance") + " call failed: " + name(answer));
    if (isMove) {
        handleMoveRefusal(instance, answer, now);
    } else if (answer == InstanceAnswer::Unknown) {
        m_waves.callUnanswered(wave, instance, now);
    } else {
        m_waves.callRejected(instance, now);
        auto* worker = found == m_instances.end() ? nullptr : m_workers.find(found->second.worker);
        // An earlier call without an answer may still take effect.
        if (worker && !m_waves.isUnderMaintenance(instance))
            worker->isBeingMaintained = false;
    }
}

void Coordinator::maintenanceAccepted(FleetInstance& instance, TimePoint now)
{
    instance.state = InstanceState::Maintenance;
    workerMayHaveEnded(instance, now);
}

void Coordinator::workerMayHaveEnded(const FleetInstance& instance, TimePoint now)
{
    if (!m_workers.find(instance.worker))
        return;
    m_endingWorkers[instance.worker] = { instance.id, now };
    m_nextList = now;
}

void Coordinator::resolveEndingWorkers(TimePoint now)
{
    for (const auto& [id, ending] : std::map(m_endingWorkers)) {
        if (m_listAskedAt <= ending.since) {
            m_nextList = now;
            continue;
        }
        m_endingWorkers.erase(id);
        const auto found = m_instances.find(ending.instance);
        const bool goesOn
            = found != m_instances.end() && found->second.state == InstanceState::Up && found->second.worker == id;
        if (goesOn) {
            if (auto* worker = m_workers.find(id))
                worker->isBeingMaintained = false;
            log("instance", ending.instance,
                "the accepted call had taken effect before; worker " + id.value() + " keeps running");
        } else {
            handleWorkerEnded(id, now);
        }
    }
}

void Coordinator::handleWorkerEnded(const WorkerId& id, TimePoint now)
{
    auto* worker = m_workers.find(id);
    if (!worker)
        return;
    for (const auto& [key, run] : std::map(worker->runs))
        handleRunEnd(id, key, run.number, RunEnd::Lost, {}, now);
    removeWorker(id); // the instance returns with a new worker
}

} // namespace marigoldlink
