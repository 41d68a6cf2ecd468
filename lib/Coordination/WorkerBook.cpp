// Registry entries, incarnations and reserved resources of workers.
#include "marigoldlink/Coordination/WorkerBook.h"

#include <cassert>

namespace marigoldlink {

Worker* WorkerBook::find(const WorkerId& id)
{
    const auto found = m_workers.find(id);
    return found == m_workers.end() ? nullptr : &found->second;
}

const Worker* WorkerBook::find(const WorkerId& id) const { return const_cast<WorkerBook*>(this)->find(id); }

void WorkerBook::reborn(Worker& worker, std::int64_t bornUnixMs)
{
    assert(worker.runs.empty() && "the runs of the previous incarnation must have been released");
    Worker next;
    next.entry = worker.entry;
    next.entry.life.bornUnixMs = bornUnixMs;
    next.isRegistered = worker.isRegistered;
    next.isLookUnderWay = worker.isLookUnderWay;
    worker = std::move(next);
}

bool WorkerBook::isLaterLife(const WorkerEntry& entry) const
{
    const auto* worker = find(entry.life.id);
    return worker && worker->entry.life.bornUnixMs && entry.life.bornUnixMs > worker->entry.life.bornUnixMs;
}

void WorkerBook::entryChanged(const WorkerEntry& entry)
{
    auto& worker = m_workers[entry.life.id];
    const auto knownStartMs = worker.entry.life.bornUnixMs;
    if (knownStartMs && entry.life.bornUnixMs && entry.life.bornUnixMs < knownStartMs)
        return;
    setEntry(worker, entry);
    if (!entry.life.bornUnixMs)
        worker.entry.life.bornUnixMs = knownStartMs;
    worker.isRegistered = true;
}

void WorkerBook::entryRemoved(const WorkerId& id, TimePoint now)
{
    auto* worker = find(id);
    if (!worker || !worker->isRegistered)
        return;
    worker->isRegistered = false;
    worker->missingSince = now;
}

void WorkerBook::setEntry(Worker& worker, const WorkerEntry& entry)
{
    if (!worker.entry.life.id.empty() && worker.entry.service != entry.service)
        m_byService[worker.entry.service].erase(worker.entry.life.id);
    worker.entry = entry;
    m_byService[entry.service][entry.life.id] = &worker;
}

const std::map<WorkerId, const Worker*>& WorkerBook::ofService(const ServiceId& service) const
{
    static const std::map<WorkerId, const Worker*> none;
    const auto found = m_byService.find(service);
    return found == m_byService.end() ? none : found->second;
}

void WorkerBook::remove(const WorkerId& id)
{
    if (const auto* worker = find(id))
        m_byService[worker->entry.service].erase(id);
    m_workers.erase(id);
}

void WorkerBook::restore(const WorkerEntry& entry, std::optional<std::set<TaskKey>> onlyRuns, TimePoint now)
{
    auto& worker = m_workers[entry.life.id];
    worker.isRecorded = true;
    worker.isClosed = onlyRuns.has_value();
    worker.mayHoldEarlierRuns = !worker.isFenced && (!onlyRuns || !onlyRuns->empty());
    worker.earlierRuns = std::move(onlyRuns);
    if (worker.isRegistered)
        return;
    setEntry(worker, entry);
    worker.missingSince = now;
}

void WorkerBook::occupy(const WorkerId& id, const TaskKey& key, const HeldRun& run)
{
    auto* worker = find(id);
    assert(worker && "resources are reserved only on a known worker");
    if (!worker->runs.emplace(key, run).second)
        return;
    worker->used += run.reserved;
    worker->services += run.isService;
    ++worker->tasksByStep[{ key.job, key.occurrence, key.step }];
}

void WorkerBook::release(const WorkerId& id, const TaskKey& key, RunNumber run)
{
    auto* worker = find(id);
    if (!worker)
        return;
    const auto found = worker->runs.find(key);
    if (found == worker->runs.end() || found->second.number != run)
        return;
    worker->used -= found->second.reserved;
    worker->services -= found->second.isService;
    worker->runs.erase(found);
    const auto counted = worker->tasksByStep.find({ key.job, key.occurrence, key.step });
    if (counted != worker->tasksByStep.end() && --counted->second == 0)
        worker->tasksByStep.erase(counted);
}

} // namespace marigoldlink
