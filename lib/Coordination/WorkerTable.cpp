// Registry entries, incarnations and reserved resources of workers.
#include "marigoldlink/Coordination/WorkerTable.h"

#include <cassert>

namespace marigoldlink {

Worker* WorkerTable::find(const WorkerId& id)
{
    const auto found = m_workersById.find(id);
    return found == m_workersById.end() ? nullptr : found->second;
}

Worker& WorkerTable::findOrAdd(const WorkerId& id)
{
    const auto [found, isNew] = m_workers.try_emplace(id);
    auto& worker = found->second;
    // An id may return after its worker was removed, so a new worker gets a number of its own.
    if (isNew)
        worker.incarnationNumber = ++m_lastIncarnationNumber;
    m_workersById[id] = &worker;
    return worker;
}

const Worker* WorkerTable::find(const WorkerId& id) const { return const_cast<WorkerTable*>(this)->find(id); }

void WorkerTable::startIncarnation(Worker& worker, std::int64_t startedUnixMs)
{
    assert(worker.runs.empty() && "the runs of the previous incarnation must have been released");
    Worker next;
    next.entry = worker.entry;
    next.incarnationNumber = ++m_lastIncarnationNumber;
    next.entry.incarnation.startedUnixMs = startedUnixMs;
    next.isRegistered = worker.isRegistered;
    next.isPollInFlight = worker.isPollInFlight;
    worker = std::move(next);
}

bool WorkerTable::isLaterIncarnation(const WorkerEntry& entry) const
{
    const auto* worker = find(entry.incarnation.id);
    return worker && worker->entry.incarnation.startedUnixMs
        && entry.incarnation.startedUnixMs > worker->entry.incarnation.startedUnixMs;
}

void WorkerTable::entryChanged(const WorkerEntry& entry)
{
    auto& worker = findOrAdd(entry.incarnation.id);
    const auto knownStartMs = worker.entry.incarnation.startedUnixMs;
    if (knownStartMs && entry.incarnation.startedUnixMs && entry.incarnation.startedUnixMs < knownStartMs)
        return;
    setEntry(worker, entry);
    if (!entry.incarnation.startedUnixMs)
        worker.entry.incarnation.startedUnixMs = knownStartMs;
    worker.isRegistered = true;
}

void WorkerTable::entryRemoved(const WorkerId& id, TimePoint now)
{
    auto* worker = find(id);
    if (!worker || !worker->isRegistered)
        return;
    worker->isRegistered = false;
    worker->missingSince = now;
}

void WorkerTable::setEntry(Worker& worker, const WorkerEntry& entry)
{
    if (!worker.entry.incarnation.id.empty() && worker.entry.service != entry.service) {
        m_byService[worker.entry.service].erase(worker.entry.incarnation.id);
        for (const auto& [key, run] : worker.runs) {
            countUse(worker.entry.service, run, -1);
            countUse(entry.service, run, 1);
        }
    }
    worker.entry = entry;
    m_byService[entry.service][entry.incarnation.id] = &worker;
}

const std::map<WorkerId, const Worker*>& WorkerTable::ofService(const ServiceId& service) const
{
    static const std::map<WorkerId, const Worker*> none;
    const auto found = m_byService.find(service);
    return found == m_byService.end() ? none : found->second;
}

const WorkerTable::Use& WorkerTable::useOf(const ServiceId& service) const
{
    static const Use none;
    const auto found = m_useByService.find(service);
    return found == m_useByService.end() ? none : found->second;
}

void WorkerTable::countUse(const ServiceId& service, const ReservedRun& run, int sign)
{
    auto& use = m_useByService[service];
    const auto change = sign * run.reserved.milliCores;
    if (run.isService)
        use.serviceMilliCores += change;
    else if (!(use.milliCores[run.team] += change))
        use.milliCores.erase(run.team);
}

void WorkerTable::remove(const WorkerId& id)
{
    if (const auto* worker = find(id)) {
        m_byService[worker->entry.service].erase(id);
        for (const auto& [key, run] : worker->runs)
            countUse(worker->entry.service, run, -1);
    }
    m_workersById.erase(id);
    m_workers.erase(id);
}

void WorkerTable::restore(const WorkerEntry& entry, std::optional<std::set<TaskKey>> onlyRuns, TimePoint now)
{
    auto& worker = findOrAdd(entry.incarnation.id);
    worker.isRecordStored = true;
    worker.isSealed = onlyRuns.has_value();
    worker.mayHavePredecessorRuns = !worker.hasSeenFence && (!onlyRuns || !onlyRuns->empty());
    worker.predecessorRuns = std::move(onlyRuns);
    if (worker.isRegistered)
        return;
    setEntry(worker, entry);
    worker.missingSince = now;
}

void WorkerTable::reserve(const WorkerId& id, const TaskKey& key, const ReservedRun& run)
{
    auto* worker = find(id);
    assert(worker && "resources are reserved only on a known worker");
    if (!worker->runs.emplace(key, run).second)
        return;
    worker->used += run.reserved;
    countUse(worker->entry.service, run, 1);
    worker->services += run.isService;
    ++worker->tasksByStep[{ key.job, key.occurrence, key.step }];
}

void WorkerTable::release(const WorkerId& id, const TaskKey& key, RunNumber run)
{
    auto* worker = find(id);
    if (!worker)
        return;
    const auto found = worker->runs.find(key);
    if (found == worker->runs.end() || found->second.number != run)
        return;
    worker->used -= found->second.reserved;
    countUse(worker->entry.service, found->second, -1);
    worker->services -= found->second.isService;
    worker->runs.erase(found);
    const auto counted = worker->tasksByStep.find({ key.job, key.occurrence, key.step });
    if (counted != worker->tasksByStep.end() && --counted->second == 0)
        worker->tasksByStep.erase(counted);
}

} // namespace marigoldlink
