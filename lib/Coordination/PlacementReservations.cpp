// Placement: steps that find no room, and the state of those with a reservation.
#include "marigoldlink/Coordination/Placement.h"

#include <algorithm>

namespace marigoldlink {

namespace {

    // A job that takes more than this many times its objective is of no use to its caller.
    constexpr int s_usefulObjectives = 3;
    // Steps of each service that may get a reservation after a pass. Some of them may find no place on any worker.
    constexpr std::size_t s_maxUnplaced = 2 * Reservations::maxPerPool;
    // Steps of a service, divided between the groups of the index, among which the most urgent ones are chosen. It
    // bounds the cost of a pass. With 4 of each group, large tasks in a queue of small ones were often not among them.
    constexpr std::size_t s_maxRead = 64;

} // namespace

ReadyStep readyStep(const Job& job, int number, const Occurrence& occurrence, int step, TimePoint now)
{
    const auto due = job.objective(occurrence);
    return { &job, number, step, due, now + occurrence.remainingPathLength > due, job.queue.priority,
        job.spec.steps[static_cast<std::size_t>(step)].isService };
}

Claimant claimantOf(const ReadyStep& step, TimePoint now)
{
    const auto& occurrence = step.job->occurrences.at(step.occurrence);
    const auto allowed = step.objective - occurrence.openedAt;
    return { step.key(), step.priority, step.isService, step.isLate,
        now > occurrence.openedAt + allowed * s_usefulObjectives,
        step.objective - now - occurrence.remainingPathLength };
}

WorkerOutlook outlookOf(const Worker& worker)
{
    WorkerOutlook outlook { &worker.entry, worker.freeCapacity(), {} };
    outlook.runs.reserve(worker.runs.size());
    for (const auto& [key, run] : worker.runs)
        outlook.runs.push_back({ run.reserved, run.since, run.expectedEnd, run.upperEnd });
    return outlook;
}

TimePoint Placement::upperEnd(const ReadyStep& ready, TimePoint now) const
{
    const auto& spec = ready.spec();
    return spec.isService ? TimePoint::max() : now + m_runTimes->upper(ready.job->queue.id, spec.image, spec.estimate);
}

int Placement::startableTasks(const ReadyStep& ready, TimePoint now) const
{
    const auto& spec = ready.spec();
    const auto& team = ready.job->spec.team;
    const auto limits = m_config.teams.find(team);
    if (!m_use.allows(limits == m_config.teams.end() ? nullptr : &limits->second, team, spec.need))
        return 0;
    const auto& tasks = ready.job->occurrences.at(ready.occurrence).steps[static_cast<std::size_t>(ready.step)].tasks;
    int count = 0;
    for (std::size_t i = 0; i < tasks.size(); ++i)
        count += canStart({ ready.job->spec.id, ready.occurrence, ready.step, static_cast<int>(i) }, tasks[i], now);
    return spec.isGang && count < spec.tasks ? 0 : count;
}

std::optional<ReadyStep> Placement::findReady(const ServiceId& service, const StepKey& key, TimePoint now) const
{
    const auto* job = m_jobs.find(key.job);
    if (!job || !job->isActive() || !job->storedVersion || job->queue.service != service || !m_isAccountedFor(*job)
        || job->finishedOccurrences.contains(key.occurrence))
        return std::nullopt;
    const auto found = job->occurrences.find(key.occurrence);
    if (found == job->occurrences.end() || !m_jobs.isStepReady(*job, found->second, key.step))
        return std::nullopt;
    return readyStep(*job, key.occurrence, found->second, key.step, now);
}

Reservations::StepStatus Placement::reservedStepStatus(
    const ServiceId& service, const StepKey& key, TimePoint now) const
{
    const auto step = findReady(service, key, now);
    return step ? Reservations::StepStatus { startableTasks(*step, now), claimantOf(*step, now) }
                : Reservations::StepStatus {};
}

UnplacedStep Placement::unplacedStep(const ReadyStep& ready, TimePoint now) const
{
    const auto& spec = ready.spec();
    UnplacedStep step { claimantOf(ready, now), startableTasks(ready, now), spec.reserved(), spec.isGang,
        spec.wantsOneRack, spec.requiredLabel, spec.maxPerWorker, {} };
    if (!spec.maxPerWorker || !step.tasks)
        return step;
    const auto& key = step.claimant.step;
    for (const auto& [id, worker] : m_workers.ofService(ready.job->queue.service)) {
        const auto runs = worker->tasksByStep.find({ key.job, key.occurrence, key.step });
        if (runs != worker->tasksByStep.end())
            step.tasksByWorker[id] = runs->second;
    }
    return step;
}

std::map<ServiceId, std::vector<UnplacedStep>> Placement::unplacedSteps(TimePoint now) const
{
    std::map<ServiceId, std::vector<UnplacedStep>> unplaced;
    for (const auto& [service, groups] : m_jobs.readyIndex(now).services()) {
        if (m_services && !m_services->contains(service))
            continue;
        std::vector<ReadyStep> first;
        for (const auto& [key, group] : groups) {
            if (!key.needsAdvice && m_reservations->mayReserve(service, key.priority, key.isService)
                && m_isAccountedFor(group.anyJob()))
                addFirstSteps(service, group, s_maxRead / (ReadyIndex::latenessCount * groups.size()) + 1, now, first);
        }
        std::sort(first.begin(), first.end(), [now](const ReadyStep& left, const ReadyStep& right) {
            return claimantOf(left, now).isMoreUrgentThan(claimantOf(right, now));
        });
        first.resize(std::min(first.size(), s_maxUnplaced));
        for (const auto& step : first) {
            auto row = unplacedStep(step, now);
            if (row.tasks)
                unplaced[service].push_back(std::move(row));
        }
    }
    return unplaced;
}

void Placement::addFirstSteps(const ServiceId& service, const ReadyIndex::Group& group, std::size_t count,
    TimePoint now, std::vector<ReadyStep>& steps) const
{
    const auto skipNone = [](const ReadyTree::Needs&) { return false; };
    for (const auto& tree : group.trees) {
        const ReadyTree::Node* node = nullptr;
        for (std::size_t i = 0; i < count; ++i) {
            node = tree.next(node, skipNone);
            if (!node)
                break;
            const auto& entry = node->entry;
            const StepKey key { entry.job->spec.id, entry.occurrence, entry.step };
            if (!entry.job->storedVersion || m_reservations->isReserved(service, key)
                || m_reservations->isBackingOff(key, now))
                continue;
            steps.push_back(
                readyStep(*entry.job, entry.occurrence, entry.job->occurrences.at(entry.occurrence), entry.step, now));
        }
    }
}

} // namespace marigoldlink
