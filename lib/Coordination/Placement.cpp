// Priority order of the waiting steps and the choice of starts.
#include "PlacementCandidates.h"

#include <algorithm>
#include <limits>
#include <tuple>
#include <utility>

namespace marigoldlink {

namespace {

    std::size_t index(int value) { return static_cast<std::size_t>(value); }

    bool isWithinLimit(std::int64_t value, std::int64_t limit) { return !limit || value <= limit; }

} // namespace

void TeamUsageTotals::add(const TeamId& team, const Resources& need) { m_used[team] += need; }
void TeamUsageTotals::subtract(const TeamId& team, const Resources& need) { m_used[team] -= need; }

double TeamUsageTotals::milliCores(const TeamId& team) const
{
    const auto found = m_used.find(team);
    return found == m_used.end() ? 0 : static_cast<double>(found->second.milliCores);
}

bool TeamUsageTotals::allows(const JobTeam* team, const TeamId& id, const Resources& more) const
{
    if (!team || !team->isLimited())
        return true;
    const auto found = m_used.find(id);
    const auto total = found == m_used.end() ? more : found->second + more;
    return isWithinLimit(total.milliCores, team->limit.milliCores)
        && isWithinLimit(total.memoryMegabytes, team->limit.memoryMegabytes)
        && isWithinLimit(total.accelerators, team->limit.accelerators);
}

namespace {

    // Priority order of the waiting steps.
    bool hasHigherPriority(const ReadyStep& left, const ReadyStep& right)
    {
        const auto rank = [](const ReadyStep& step) {
            return std::tuple(step.priority, !step.isService, step.isOverShare, step.isUseless, step.isLate,
                step.objective.time_since_epoch());
        };
        const auto leftRank = rank(left);
        const auto rightRank = rank(right);
        if (leftRank != rightRank)
            return leftRank < rightRank;
        return std::tie(left.job->spec.id, left.occurrence, left.step)
            < std::tie(right.job->spec.id, right.occurrence, right.step);
    }

} // namespace

// The position of a plan within a group of the index, or a step with a reservation, for which these are null.
struct Placement::Cursor {
    const ServiceId* service { nullptr };
    const ReadyIndex::GroupKey* key { nullptr };
    const ReadyIndex::Group* group { nullptr };
    const JobTeam* team { nullptr }; // null if it has no limits
    Candidates::Room* room { nullptr }; // of the workers that the group may run on
    ReadyIndex::Lateness lateness { ReadyIndex::Lateness::OnTime };
    ReadyIndex::Lateness last { ReadyIndex::Lateness::Late };
    bool isShared { false };
    const ReadyTree::Node* node { nullptr };
    ReadyStep step {}; // the next one to plan

    bool needsAdvice() const { return key && key->needsAdvice; }
};

std::vector<Placement::Cursor> Placement::cursors(TimePoint now) const
{
    std::vector<Cursor> cursors;
    for (const auto& [service, groups] : m_jobs.readyIndex(now).services()) {
        if (m_services && !m_services->contains(service))
            continue;
        const bool isShort = m_allotments && m_allotments->shortPools.contains(service);
        for (const auto& [key, group] : groups) {
            using enum ReadyIndex::Lateness;
            const bool isShared = isShort && !key.isService;
            cursors.push_back(
                { &service, &key, &group, nullptr, nullptr, OnTime, isShared ? Useless : Late, isShared });
            // Where nothing is short, useless steps are late ones like others.
            if (!isShared && !group.tree(Useless).isEmpty())
                cursors.push_back({ &service, &key, &group, nullptr, nullptr, Useless, Useless });
        }
    }
    return cursors;
}

bool Placement::advance(Cursor& cursor, const ReadyTree::Skip& skip) const
{
    const auto nextInTree = [&] {
        do
            cursor.node = cursor.group->tree(cursor.lateness).next(cursor.node, skip);
        while (cursor.node && (!cursor.node->entry.job->storedVersion || isReserved(cursor)));
        return cursor.node != nullptr;
    };
    while (!nextInTree()) {
        if (cursor.lateness == cursor.last)
            return false;
        cursor.lateness = static_cast<ReadyIndex::Lateness>(static_cast<int>(cursor.lateness) + 1);
    }
    const auto& entry = cursor.node->entry;
    cursor.step = { entry.job, entry.occurrence, entry.step, entry.objective,
        cursor.lateness != ReadyIndex::Lateness::OnTime, cursor.key->priority, cursor.key->isService, cursor.isShared,
        cursor.isShared && cursor.lateness == ReadyIndex::Lateness::Useless };
    return true;
}

std::vector<ReadyStep> Placement::readySteps(TimePoint now) const
{
    std::vector<ReadyStep> ready;
    for (auto& cursor : cursors(now)) {
        if (!m_isAccountedFor(cursor.group->anyJob()))
            continue;
        while (advance(cursor, [](const ReadyTree::Needs&) { return false; }))
            ready.push_back(cursor.step);
    }
    std::sort(ready.begin(), ready.end(), hasHigherPriority);
    return ready;
}

void Placement::addWorkers(std::vector<Cursor>& cursors, Candidates& candidates) const
{
    for (const auto& cursor : cursors) {
        const auto& need = cursor.group->least.reserved;
        const auto [position, isNew] = candidates.byService.try_emplace(*cursor.service);
        auto& minNeed = position->second.minNeed;
        if (cursor.key->needsAdvice)
            minNeed = Resources {};
        else
            minNeed = isNew ? need : elementwiseMin(minNeed, need);
    }
    for (auto& [id, service] : candidates.byService) {
        for (const auto& [workerId, worker] : m_workers.ofService(id)) {
            const auto free = worker->freeCapacity();
            if (service.minNeed.fitsInto(free) && m_isUsable(*worker))
                service.workers.push_back({ worker, free, {}, {} });
        }
        if (m_reservations && !m_reservations->ofPool(id).empty())
            candidates.addReservations(service, id, *m_reservations);
    }
    std::erase_if(cursors, [&](Cursor& cursor) {
        auto& service = candidates.byService.at(*cursor.service);
        if (service.workers.empty())
            return true;
        cursor.room = &service.rooms[cursor.key->requiredLabel];
        cursor.room->service = &service;
        cursor.room->label = &cursor.key->requiredLabel;
        if (!cursor.key->needsAdvice && !Candidates::hasRoom(*cursor.room, cursor.group->least.reserved))
            return true;
        if (!m_isAccountedFor(cursor.group->anyJob()))
            return true;
        const auto team = m_config.teams.find(cursor.key->team);
        if (team != m_config.teams.end() && team->second.isLimited())
            cursor.team = &team->second;
        return false;
    });
}

std::optional<Placement::Attempt> Placement::attempt(
    const ReadyStep& ready, TimePoint now, Candidates& candidates) const
{
    if (!candidates.serviceOf(ready).hasReservations)
        return std::nullopt;
    return Attempt { claimantOf(ready, now), ready.spec().reserved(), upperEnd(ready, now),
        m_reservations->isReserved(ready.job->queue.service, ready.key()), false };
}

bool Placement::isReserved(const Cursor& cursor) const
{
    const auto& entry = cursor.node->entry;
    return m_reservations
        && m_reservations->isReserved(*cursor.service, { entry.job->spec.id, entry.occurrence, entry.step });
}

void Placement::addReservedSteps(std::vector<Cursor>& cursors, const Candidates& candidates) const
{
    for (const auto& [id, service] : candidates.byService) {
        if (!service.hasReservations)
            continue;
        for (const auto& reservation : m_reservations->ofPool(id)) {
            if (const auto step = findReady(id, reservation.claimant.step, candidates.now)) {
                cursors.emplace_back();
                cursors.back().step = *step;
            }
        }
    }
}

bool Placement::cannotStart(const Cursor& cursor, const ReadyTree::Needs& needs, Candidates& candidates)
{
    // A step that needs advice is read in any case, since the advice is requested whether workers have room or not.
    if (cursor.key->needsAdvice)
        return false;
    if (!Candidates::hasRoom(*cursor.room, needs.reserved))
        return true;
    if (!cursor.team || candidates.use.allows(cursor.team, cursor.key->team, needs.need))
        return false;
    candidates.hasTeamAtLimit = true;
    return true;
}

Placement::Result Placement::plan(TimePoint now, std::size_t most) const
{
    Result result;
    auto waiting = cursors(now);
    Candidates candidates { {}, m_use, &m_advice, &m_jobs, m_allotments, now, false, {}, {}, std::nullopt };
    if (m_allotments) {
        for (const auto& pool : m_allotments->shortPools) {
            for (const auto& [team, milliCores] : m_workers.useOf(pool).milliCores)
                candidates.shareUse[team] += static_cast<double>(milliCores);
        }
    }
    addWorkers(waiting, candidates);
    const auto moveToNext = [&](Cursor& cursor) {
        return cursor.group
            && advance(cursor, [&](const ReadyTree::Needs& needs) { return cannotStart(cursor, needs, candidates); });
    };
    std::erase_if(waiting, [&](Cursor& cursor) { return !moveToNext(cursor); });
    addReservedSteps(waiting, candidates);
    // A heap of the next steps of all groups, by priority.
    const auto isAfter
        = [](const Cursor& left, const Cursor& right) { return hasHigherPriority(right.step, left.step); };
    std::make_heap(waiting.begin(), waiting.end(), isAfter);
    while (!waiting.empty() && result.starts.size() < most) {
        std::pop_heap(waiting.begin(), waiting.end(), isAfter);
        auto& cursor = waiting.back();
        const auto& step = cursor.step;
        // The capacity may have gone to a step that was planned after this one was chosen.
        const bool hasRoom
            = !cursor.room || cursor.needsAdvice() || Candidates::hasRoom(*cursor.room, step.spec().reserved());
        const auto plan = step.spec().isGang ? &Placement::planGang : &Placement::planStep;
        candidates.attempt = attempt(step, now, candidates);
        const bool isKnownHeldBack = candidates.isKnownHeldBack(step);
        const auto left = hasRoom && !isKnownHeldBack ? (this->*plan)(step, now, candidates, most, result.starts) : 1;
        if (const auto deferredAt = std::exchange(candidates.deferredAt, std::nullopt)) {
            cursor.step.isOverShare = true;
            cursor.step.firstTask = *deferredAt;
            std::push_heap(waiting.begin(), waiting.end(), isAfter);
            continue;
        }
        if (left && cursor.needsAdvice())
            result.adviceRequests.push_back(adviceRequest(step, left, candidates));
        if (left && hasRoom && candidates.attempt && candidates.attempt->isHeldBack) {
            candidates.recordHeldBack(step, !isKnownHeldBack);
            ++result.heldBack;
        }
        const bool isGangWithoutRoom = left && step.spec().isGang && !cursor.needsAdvice();
        if (!isGangWithoutRoom && moveToNext(cursor))
            std::push_heap(waiting.begin(), waiting.end(), isAfter);
        else
            waiting.pop_back();
    }
    result.hasTeamAtLimit = candidates.hasTeamAtLimit;
    return result;
}

AdviceRequest Placement::adviceRequest(const ReadyStep& ready, std::size_t tasks, const Candidates& candidates) const
{
    AdviceRequest request { ready.key(), {}, 0 };
    const auto& spec = ready.spec();
    const auto reserved = spec.reserved();
    const auto& service = candidates.byService.at(ready.job->queue.service);
    const auto& requiredLabels = m_jobs.requiredLabels(ready.job->queue.service);
    std::vector<std::pair<double, const Candidates::CandidateWorker*>> suitable;
    for (const auto& candidate : service.workers) {
        if (Candidates::isSuitable(candidate, spec, ready, reserved))
            suitable.emplace_back(Candidates::costOf(requiredLabels, candidate, spec, ready), &candidate);
    }
    std::stable_sort(
        suitable.begin(), suitable.end(), [](const auto& left, const auto& right) { return left.first < right.first; });
    std::size_t placed = 0;
    for (const auto& [cost, candidate] : suitable) {
        request.candidates.push_back(candidate->worker->entry.incarnation);
        if (placed >= tasks)
            continue;
        ++request.workers;
        placed += Candidates::tasksThatFit(*candidate, spec, ready);
    }
    return request;
}

bool Placement::canStart(const TaskKey& key, const Task& task, TimePoint now) const
{
    if ((!m_blockedTasks.empty() && m_blockedTasks.contains(key)) || task.isDone || task.run || task.orphanedRuns
        || task.notBefore > now)
        return false;
    return !m_onlyNeverStarted || task.lastRun == RunNumber();
}

std::size_t Placement::planStep(const ReadyStep& ready, TimePoint now, Candidates& candidates, std::size_t most,
    std::vector<PlannedStart>& starts) const
{
    const auto& job = *ready.job;
    const auto& spec = job.spec.steps[index(ready.step)];
    const auto team = m_config.teams.find(job.spec.team);
    const auto* limits = team == m_config.teams.end() ? nullptr : &team->second;
    const auto& tasks = job.occurrences.at(ready.occurrence).steps[index(ready.step)].tasks;
    const auto need = spec.reserved();
    RackId rack;
    std::size_t left = 0;
    Candidates::CandidateWorker* last = nullptr;
    for (auto i = static_cast<std::size_t>(ready.firstTask); i < tasks.size() && starts.size() < most; ++i) {
        const TaskKey key { job.spec.id, ready.occurrence, ready.step, static_cast<int>(i) };
        if (!canStart(key, tasks[i], now))
            continue;
        if (candidates.isOverShare(ready, 1)) {
            candidates.deferredAt = static_cast<int>(i);
            return left;
        }
        if (!candidates.use.allows(limits, job.spec.team, spec.need)) {
            candidates.hasTeamAtLimit = true;
            return left;
        }
        // The last worker stays the one with the lowest cost while it has room, since a task of a batch step only
        // lowers its cost.
        const bool isLastBest = last && !spec.isService && Candidates::isSuitable(*last, spec, ready, need)
            && candidates.isUnreserved(*last);
        auto* candidate = isLastBest ? last : candidates.bestWorker(spec, ready, need, rack);
        if (!candidate && !rack.empty())
            candidate = candidates.bestWorker(spec, ready, need, {});
        if (!candidate) {
            ++left;
            if (!job.queue.needsAdvice)
                return left;
            continue;
        }
        if (spec.wantsOneRack)
            rack = candidate->worker->entry.rack;
        starts.push_back({ key, m_jobs.nextRun(job, key), candidate->worker->entry.incarnation.id });
        candidates.plan(*candidate, ready);
        last = candidate;
    }
    return left;
}

std::size_t Placement::planGang(
    const ReadyStep& ready, TimePoint now, Candidates& candidates, std::size_t, std::vector<PlannedStart>& starts) const
{
    const auto& job = *ready.job;
    const auto& spec = job.spec.steps[index(ready.step)];
    const auto team = m_config.teams.find(job.spec.team);
    const auto* limits = team == m_config.teams.end() ? nullptr : &team->second;
    const auto& step = job.occurrences.at(ready.occurrence).steps[index(ready.step)];
    // A gang is restarted only when no member of its last run is left.
    if (step.active || step.done)
        return 0;
    for (std::size_t i = 0; i < step.tasks.size(); ++i) {
        if (!canStart({ job.spec.id, ready.occurrence, ready.step, static_cast<int>(i) }, step.tasks[i], now))
            return 0;
    }
    if (candidates.isOverShare(ready, spec.tasks)) {
        candidates.deferredAt = 0;
        return 0;
    }
    const auto need = spec.reserved();
    std::set<RackId> racks { {} };
    if (spec.wantsOneRack) {
        for (const auto& candidate : candidates.serviceOf(ready).workers)
            racks.insert(candidate.worker->entry.rack);
    }
    // Tries the rack of the data first, then each other rack, then any combination of racks.
    std::vector<RackId> order(racks.rbegin(), racks.rend());
    std::stable_sort(order.begin(), order.end(),
        [&](const RackId& left, const RackId&) { return !spec.dataRack.empty() && left == spec.dataRack; });
    for (const auto& rack : order) {
        std::vector<Candidates::CandidateWorker*> chosen;
        std::vector<std::optional<ReservedWorker>> reservedBefore;
        bool isAllowed = true;
        while (chosen.size() < step.tasks.size()) {
            isAllowed = candidates.use.allows(limits, job.spec.team, spec.need);
            auto* candidate = isAllowed ? candidates.bestWorker(spec, ready, need, rack) : nullptr;
            if (!candidate)
                break;
            reservedBefore.push_back(candidate->reserved);
            candidates.plan(*candidate, ready);
            chosen.push_back(candidate);
        }
        if (chosen.size() == step.tasks.size()) {
            for (std::size_t i = 0; i < chosen.size(); ++i) {
                const TaskKey key { job.spec.id, ready.occurrence, ready.step, static_cast<int>(i) };
                starts.push_back({ key, m_jobs.nextRun(job, key), chosen[i]->worker->entry.incarnation.id });
            }
            return 0;
        }
        for (auto i = chosen.size(); i-- > 0;) {
            candidates.undo(*chosen[i], ready);
            chosen[i]->reserved = std::move(reservedBefore[i]);
        }
        if (!isAllowed) {
            candidates.hasTeamAtLimit = true;
            return 0;
        }
    }
    return step.tasks.size();
}

} // namespace marigoldlink
