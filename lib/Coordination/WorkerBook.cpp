// Registry entries, lives and room of workers.
#include "marigoldlink/Coordination/WorkerBook.h"

#include <cassert>

namespace marigoldlink {

Worker* WorkerBook::find(const WorkerId& id)
{
    const auto found = m_workers.find(id);
    return found == m_workers.end() ? nullptr : &found->second;
}

const Worker* WorkerBook::find(const WorkerId& id) const { return const_cast<WorkerBook*>(this)->find(id); }

std::map<TaskKey, RunNumber> WorkerBook::reborn(Worker& worker, std::int64_t bornUnixMs)
{
    auto lost = std::move(worker.runs);
    const auto entry = worker.entry;
    const bool isRegistered = worker.isRegistered;
    const bool isLookUnderWay = worker.isLookUnderWay;
    worker = Worker {};
    worker.entry = entry;
    worker.entry.life.bornUnixMs = bornUnixMs;
    worker.isRegistered = isRegistered;
    worker.isLookUnderWay = isLookUnderWay;
    // A new life runs nothing of before; an order of before may still come late, but its fence is checked here first.
    return lost;
}

std::map<TaskKey, RunNumber> WorkerBook::entryChanged(const WorkerEntry& entry, TimePoint)
{
    auto& worker = m_workers[entry.life.id];
    std::map<TaskKey, RunNumber> lost;
    const auto known = worker.entry.life.bornUnixMs;
    const bool isNewLife = known && entry.life.bornUnixMs && entry.life.bornUnixMs > known;
    const bool isOlderLife = known && entry.life.bornUnixMs && entry.life.bornUnixMs < known;
    if (isOlderLife)
        return lost;
    if (isNewLife)
        lost = reborn(worker, entry.life.bornUnixMs);
    worker.entry = entry;
    if (!entry.life.bornUnixMs)
        worker.entry.life.bornUnixMs = known;
    worker.isRegistered = true;
    return lost;
}

void WorkerBook::entryRemoved(const WorkerId& id, TimePoint now)
{
    auto* worker = find(id);
    if (!worker || !worker->isRegistered)
        return;
    worker->isRegistered = false;
    worker->missingSince = now;
}

void WorkerBook::remove(const WorkerId& id) { m_workers.erase(id); }

void WorkerBook::occupy(const WorkerId& id, const TaskKey& key, RunNumber run, const StepSpec& step)
{
    auto* worker = find(id);
    assert(worker && "a run is on a known worker");
    if (!worker->runs.emplace(key, run).second)
        return;
    worker->used += step.reserved();
    ++worker->tasksByStep[{ key.job, key.occurrence, key.step }];
}

void WorkerBook::release(const WorkerId& id, const TaskKey& key, RunNumber run, const StepSpec& step)
{
    auto* worker = find(id);
    if (!worker)
        return;
    const auto found = worker->runs.find(key);
    if (found == worker->runs.end() || found->second != run)
        return;
    worker->runs.erase(found);
    worker->used -= step.reserved();
    const auto counted = worker->tasksByStep.find({ key.job, key.occurrence, key.step });
    if (counted != worker->tasksByStep.end() && --counted->second == 0)
        worker->tasksByStep.erase(counted);
}

} // namespace marigoldlink
