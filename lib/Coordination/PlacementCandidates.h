// Candidate workers of one placement pass: the room that they have left, and their costs for a task.
#pragma once

#include "marigoldlink/Coordination/Placement.h"

#include <algorithm>
#include <limits>

namespace marigoldlink {

namespace detail {
    // Steps of one service that a plan reads although reservations hold them back. It bounds the cost of a pass with a
    // long queue; later steps are still placed beside what is reserved.
    constexpr std::size_t maxHeldBack = 32;
} // namespace detail

// A start that is compared with the reservations of its service.
struct Placement::Attempt {
    Claimant claimant;
    Resources need;
    TimePoint upperEnd;
    bool isReserved { false }; // its step has a reservation
    bool isHeldBack { false }; // a worker had room for it but for a reservation
};

// Usable workers of the services that are planned, with the capacity that is left after the starts planned so far.
struct Placement::Candidates {
    struct CandidateWorker {
        const Worker* worker;
        Resources remaining; // free capacity less the planned starts
        struct Planned {
            const Job* job;
            int occurrence;
            int step;
            int tasks;
        };
        std::vector<Planned> planned;
        std::optional<ReservedWorker> reserved; // set if places on it are reserved
    };
    struct Service;
    // The remaining capacities of the workers with a label, or of all if it is empty, that are not exceeded by another
    // one in every resource.
    struct Room {
        const Service* service { nullptr };
        const std::string* label { nullptr };
        bool isCurrent { false }; // false after a planned start, until it is needed again
        std::vector<Resources> capacities;
    };
    struct Service {
        std::vector<CandidateWorker> workers;
        // Smallest need of each resource over the waiting steps. Nothing, if one of them needs advice, which is
        // requested whether workers have room or not.
        Resources minNeed;
        std::map<std::string, Room> rooms; // by required label
        bool hasReservations { false };
        // Starts without placement constraints that reservations prevented. One that takes at least as much for at
        // least as long, and does not go before it, is prevented as well.
        std::vector<Attempt> heldBack;
        std::size_t heldBackSteps { 0 };

        // From then on, rooms leave out what is reserved, so that the steps of a long queue are not read one by one.
        bool isReservedRoomClosed() const { return heldBackSteps >= detail::maxHeldBack; }
    };
    std::map<ServiceId, Service> byService;
    TeamUsageTotals use;
    const AdviceCache* advice;
    const JobTable* jobs;
    const TeamAllotments* allotments;
    TimePoint now;
    bool hasTeamAtLimit { false };
    std::map<TeamId, double> shareUse {}; // in the short pools, with the planned starts, without services
    // Set if planning of a step ended at this task because its team has used up its allotment.
    std::optional<int> deferredAt {};

    // Whether the tasks may only have what teams under their shares leave.
    bool isOverShare(const ReadyStep& step, int tasks)
    {
        const auto& team = step.job->spec.team;
        return step.isShared && !step.isOverShare
            && allotments->isExceeded(
                team, shareUse[team], static_cast<double>(tasks * step.spec().reserved().milliCores));
    }

    void addUse(const ReadyStep& step, int sign)
    {
        if (step.isShared)
            shareUse[step.job->spec.team] += static_cast<double>(sign * step.spec().reserved().milliCores);
    }

    std::optional<Attempt> attempt; // of the present step, where its service has reservations

    Service& serviceOf(const ReadyStep& step) { return byService.at(step.job->queue.service); }

    // Whether some worker has enough capacity left.
    static bool hasRoom(Room& room, const Resources& need)
    {
        auto& capacities = room.capacities;
        if (!std::exchange(room.isCurrent, true)) {
            capacities.clear();
            for (const auto& candidate : room.service->workers) {
                const auto left = room.service->isReservedRoomClosed() && candidate.reserved
                    ? candidate.reserved->unreserved(candidate.remaining)
                    : candidate.remaining;
                const auto includes = [&left](const Resources& other) { return left.fitsInto(other); };
                if ((!room.label->empty() && !candidate.worker->entry.labels.contains(*room.label))
                    || std::any_of(capacities.begin(), capacities.end(), includes))
                    continue;
                std::erase_if(capacities, [&left](const Resources& other) { return other.fitsInto(left); });
                capacities.push_back(left);
            }
        }
        return std::any_of(
            capacities.begin(), capacities.end(), [&need](const Resources& left) { return need.fitsInto(left); });
    }

    void remainingChanged(const ReadyStep& step)
    {
        for (auto& [label, room] : serviceOf(step).rooms)
            room.isCurrent = false;
    }

    static auto findPlanned(CandidateWorker& candidate, const ReadyStep& step)
    {
        return std::find_if(candidate.planned.begin(), candidate.planned.end(), [&step](const auto& planned) {
            return planned.job == step.job && planned.occurrence == step.occurrence && planned.step == step.step;
        });
    }

    void addReservations(Service& service, const ServiceId& id, const Reservations& reservations) const
    {
        service.hasReservations = true;
        for (auto& candidate : service.workers) {
            auto holds = reservations.holdsOn(id, candidate.worker->entry.incarnation.id);
            if (!holds.empty())
                candidate.reserved.emplace(std::move(holds), outlookOf(*candidate.worker), now);
        }
    }

    // Whether the present step may take room on the worker beside what is reserved there.
    bool isUnreserved(const CandidateWorker& candidate)
    {
        if (!candidate.reserved || !attempt
            || candidate.reserved->mayStart(attempt->claimant, attempt->need, attempt->upperEnd))
            return true;
        attempt->isHeldBack = true;
        return false;
    }

    // Whether an earlier step of this plan was held back that this one could not go before.
    bool isKnownHeldBack(const ReadyStep& step)
    {
        const auto& known = serviceOf(step).heldBack;
        const bool isKnown = attempt && !attempt->isReserved
            && std::any_of(known.begin(), known.end(), [this](const Attempt& earlier) {
                   return earlier.need.fitsInto(attempt->need) && earlier.upperEnd <= attempt->upperEnd
                       && !attempt->claimant.goesBefore(earlier.claimant);
               });
        if (isKnown)
            attempt->isHeldBack = true;
        return isKnown;
    }

    // Records that reservations hold back a task of the step.
    void recordHeldBack(const ReadyStep& step, bool isNew)
    {
        const auto& spec = step.spec();
        auto& service = serviceOf(step);
        if (isNew && spec.requiredLabel.empty() && !spec.maxPerWorker && !spec.isGang)
            service.heldBack.push_back(*attempt);
        if (++service.heldBackSteps == detail::maxHeldBack)
            remainingChanged(step);
    }

    // Plans a task of the step.
    void plan(CandidateWorker& candidate, const ReadyStep& step)
    {
        if (candidate.reserved && attempt)
            candidate.reserved->start(attempt->claimant, attempt->need, attempt->upperEnd);
        candidate.remaining -= step.spec().reserved();
        use.add(step.job->spec.team, step.spec().need);
        addUse(step, 1);
        remainingChanged(step);
        const auto planned = findPlanned(candidate, step);
        if (planned == candidate.planned.end())
            candidate.planned.push_back({ step.job, step.occurrence, step.step, 1 });
        else
            ++planned->tasks;
    }

    void undo(CandidateWorker& candidate, const ReadyStep& step)
    {
        candidate.remaining += step.spec().reserved();
        use.subtract(step.job->spec.team, step.spec().need);
        addUse(step, -1);
        remainingChanged(step);
        const auto planned = findPlanned(candidate, step);
        if (!--planned->tasks)
            candidate.planned.erase(planned);
    }

    // Whether the worker has a label that other steps require and this one does not. Such workers are left, where
    // possible, to the tasks that can run nowhere else.
    static bool isReservedForOtherLabel(
        const std::map<std::string, int>& requiredLabels, const CandidateWorker& candidate, const StepSpec& spec)
    {
        return std::any_of(requiredLabels.begin(), requiredLabels.end(), [&](const auto& label) {
            return label.first != spec.requiredLabel && candidate.worker->entry.labels.contains(label.first);
        });
    }

    static int tasksOfStep(const CandidateWorker& candidate, const ReadyStep& step)
    {
        const auto running = candidate.worker->tasksByStep.find({ step.job->spec.id, step.occurrence, step.step });
        int tasks = running == candidate.worker->tasksByStep.end() ? 0 : running->second;
        for (const auto& planned : candidate.planned) {
            if (planned.job == step.job && planned.occurrence == step.occurrence && planned.step == step.step)
                tasks += planned.tasks;
        }
        return tasks;
    }

    bool hasRequiredTicket(const CandidateWorker& candidate, const ReadyStep& step) const
    {
        return !step.job->queue.needsAdvice || advice->ticket(step.key(), candidate.worker->entry.incarnation, now);
    }

    static bool isSuitable(
        const CandidateWorker& candidate, const StepSpec& spec, const ReadyStep& step, const Resources& need)
    {
        if (!need.fitsInto(candidate.remaining))
            return false;
        if (!spec.requiredLabel.empty() && !candidate.worker->entry.labels.contains(spec.requiredLabel))
            return false;
        return !spec.maxPerWorker || tasksOfStep(candidate, step) < spec.maxPerWorker;
    }

    // Estimates how many more tasks of the step fit on a suitable worker; at least 1.
    static std::size_t tasksThatFit(const CandidateWorker& candidate, const StepSpec& spec, const ReadyStep& step)
    {
        auto count = std::numeric_limits<std::int64_t>::max();
        const auto limitBy = [&count](std::int64_t available, std::int64_t need) {
            if (need > 0)
                count = std::min(count, available / need);
        };
        const auto reserved = spec.reserved();
        limitBy(candidate.remaining.milliCores, reserved.milliCores);
        limitBy(candidate.remaining.memoryMegabytes, reserved.memoryMegabytes);
        limitBy(candidate.remaining.accelerators, reserved.accelerators);
        if (spec.maxPerWorker)
            count = std::min<std::int64_t>(count, spec.maxPerWorker - tasksOfStep(candidate, step));
        return static_cast<std::size_t>(std::max<std::int64_t>(1, count));
    }

    // Returns the suitable worker with the lowest cost for one more task of the step, or null if there is none.
    CandidateWorker* bestWorker(const StepSpec& spec, const ReadyStep& step, const Resources& need, const RackId& rack)
    {
        CandidateWorker* chosen = nullptr;
        auto lowest = std::numeric_limits<double>::max();
        const auto& requiredLabels = jobs->requiredLabels(step.job->queue.service);
        for (auto& candidate : serviceOf(step).workers) {
            if (!isSuitable(candidate, spec, step, need) || (!rack.empty() && candidate.worker->entry.rack != rack)
                || !hasRequiredTicket(candidate, step) || !isUnreserved(candidate))
                continue;
            const auto cost = costOf(requiredLabels, candidate, spec, step);
            if (cost < lowest) {
                lowest = cost;
                chosen = &candidate;
            }
        }
        return chosen;
    }

    static bool runsService(const CandidateWorker& candidate)
    {
        return candidate.worker->services > 0 || !candidate.planned.empty();
    }

    static double costOf(const std::map<std::string, int>& requiredLabels, const CandidateWorker& candidate,
        const StepSpec& spec, const ReadyStep& step)
    {
        double cost = 0;
        if (!spec.dataRack.empty() && candidate.worker->entry.rack != spec.dataRack)
            cost += 100;
        if (candidate.worker->entry.warmUpRemaining > Duration(0))
            cost += 10;
        cost += 20 * candidate.worker->recentFailures;
        cost += isReservedForOtherLabel(requiredLabels, candidate, spec) ? 3 : 0;
        const auto capacity
            = static_cast<double>(std::max<std::int64_t>(1, candidate.worker->entry.capacity.milliCores));
        const auto free = static_cast<double>(candidate.remaining.milliCores) / capacity;
        // Batch and service tasks are both bin-packed, which leaves whole workers free for large tasks and for other
        // pools. Tasks of the same service step are spread, so that the loss of one worker affects few of them.
        if (spec.isService)
            cost += tasksOfStep(candidate, step) * 5 + (runsService(candidate) ? 0 : 2)
                + (candidate.worker->hasPendingMaintenance ? 4 : 0);
        cost += free;
        return cost;
    }
};

} // namespace marigoldlink
