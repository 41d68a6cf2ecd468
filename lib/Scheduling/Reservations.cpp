// Choice of reserved places by the expected ends of runs, and the conditions of backfilling.
#include "marigoldlink/Scheduling/Reservations.h"

#include <algorithm>
#include <tuple>

namespace marigoldlink {

namespace {

    // Time for an end to be reported, a pass to follow and the start to be ordered. The event loop of an overloaded
    // coordinator makes about 30 iterations a second.
    constexpr Duration s_minLapse { 100 };

    bool isPositive(const Resources& resources)
    {
        return resources.milliCores > 0 || resources.memoryMegabytes > 0 || resources.accelerators > 0;
    }

    // Whether `taken` leaves the spare room as it is, or fits into it. A resource that is not taken may be short.
    bool fitsBeside(const Resources& taken, const Resources& spare)
    {
        const auto fits = [](std::int64_t take, std::int64_t room) { return take <= 0 || take <= room; };
        return fits(taken.milliCores, spare.milliCores) && fits(taken.memoryMegabytes, spare.memoryMegabytes)
            && fits(taken.accelerators, spare.accelerators);
    }

    TimePoint later(TimePoint time, Duration by) { return time > TimePoint::max() - by ? TimePoint::max() : time + by; }

    // The end of a run by what is known now. A run past its expected end counts until its upper one, and a run past
    // that as if it took as much longer again.
    TimePoint expectedEnd(const RunOutlook& run, TimePoint now)
    {
        if (run.expectedEnd > now)
            return run.expectedEnd;
        if (run.upperEnd > now)
            return run.upperEnd;
        return now + std::max(s_minLapse, run.upperEnd - run.expectedEnd);
    }

    TimePoint upperEnd(const RunOutlook& run, TimePoint now)
    {
        if (run.upperEnd > now)
            return run.upperEnd;
        return later(expectedEnd(run, now), std::max(s_minLapse, run.upperEnd - run.expectedEnd));
    }

    // Room for one more task of a step on a worker.
    struct Option {
        TimePoint at;
        const WorkerOutlook* worker { nullptr };
    };

    // Times at which a worker has room for one, two and more tasks by the expected ends of its runs.
    std::vector<TimePoint> roomTimes(
        const WorkerOutlook& worker, Resources available, const Resources& need, int most, TimePoint now)
    {
        std::vector<std::pair<TimePoint, const RunOutlook*>> ends;
        for (const auto& run : worker.runs)
            ends.emplace_back(expectedEnd(run, now), &run);
        std::sort(
            ends.begin(), ends.end(), [](const auto& left, const auto& right) { return left.first < right.first; });
        std::vector<TimePoint> times;
        auto time = now;
        auto next = ends.begin();
        while (static_cast<int>(times.size()) < most) {
            if (need.fitsInto(available)) {
                available -= need;
                times.push_back(time);
                continue;
            }
            if (next == ends.end() || next->first == TimePoint::max())
                break;
            time = next->first;
            available += next->second->reserved;
            ++next;
        }
        return times;
    }

    void addOptions(std::vector<Option>& options, const UnplacedStep& step, const WorkerOutlook& worker,
        const std::vector<Reservation>& others, TimePoint now)
    {
        if (!step.need.fitsInto(worker.entry->capacity)
            || (!step.requiredLabel.empty() && !worker.entry->labels.contains(step.requiredLabel)))
            return;
        const auto& id = worker.entry->incarnation.id;
        auto available = worker.free;
        for (const auto& other : others) {
            for (const auto& place : other.places) {
                if (place.worker == id)
                    available -= other.need;
            }
        }
        int most = step.isGang ? step.tasks : std::min(step.tasks, Reservations::maxPlaces);
        if (step.maxPerWorker) {
            const auto running = step.tasksByWorker.find(id);
            most = std::min(most, step.maxPerWorker - (running == step.tasksByWorker.end() ? 0 : running->second));
        }
        for (const auto time : roomTimes(worker, available, step.need, most, now))
            options.push_back({ time, &worker });
    }

    // Slack alone does not displace a reservation: the room that was held for it would be lost.
    bool mayDisplace(const Claimant& step, const Claimant& reserved)
    {
        const auto rank = [](const Claimant& claimant) {
            return std::tuple(claimant.priority, !claimant.isService, claimant.isBeyondUse);
        };
        return rank(step) < rank(reserved);
    }

    // The earliest options for the tasks of a gang: in one rack if the step wants that and some rack can hold it.
    std::vector<Option> gangOptions(const UnplacedStep& step, const std::vector<Option>& byTime)
    {
        const auto tasks = static_cast<std::size_t>(step.tasks);
        if (step.wantsOneRack) {
            std::map<RackId, std::vector<Option>> byRack;
            for (const auto& option : byTime) {
                auto& inRack = byRack[option.worker->entry->rack];
                inRack.push_back(option);
                if (inRack.size() == tasks)
                    return inRack;
            }
        }
        return byTime.size() < tasks ? std::vector<Option> {}
                                     : std::vector<Option>(byTime.begin(), byTime.begin() + step.tasks);
    }

} // namespace

bool Claimant::overrides(const Claimant& reserved) const
{
    const auto rank = [](const Claimant& claimant) { return std::tuple(claimant.priority, !claimant.isService); };
    if (rank(*this) != rank(reserved))
        return rank(*this) < rank(reserved);
    return reserved.isBeyondUse && !isLate;
}

bool Claimant::goesBefore(const Claimant& other) const
{
    return std::tuple(priority, !isService, isLate) < std::tuple(other.priority, !other.isService, other.isLate);
}

bool Claimant::isMoreUrgentThan(const Claimant& other) const
{
    const auto rank = [](const Claimant& claimant) {
        return std::tuple(claimant.priority, !claimant.isService, claimant.isBeyondUse, claimant.isLate, claimant.slack,
            std::cref(claimant.step));
    };
    return rank(*this) < rank(other);
}

TimePoint Reservation::at() const
{
    TimePoint latest;
    for (const auto& place : places)
        latest = std::max(latest, place.at);
    return latest;
}

const char* name(ReservationEvent event)
{
    switch (event) {
    case ReservationEvent::Made:
        return "made";
    case ReservationEvent::Kept:
        return "kept";
    case ReservationEvent::Started:
        return "started";
    case ReservationEvent::WorkerGone:
        return "worker_gone";
    case ReservationEvent::Lapsed:
        return "lapsed";
    case ReservationEvent::Displaced:
        return "displaced";
    case ReservationEvent::NotWaiting:
        return "not_waiting";
    }
    return "";
}

ReservedWorker::ReservedWorker(std::vector<Hold> holds, const WorkerOutlook& worker, TimePoint now)
    : m_holds(std::move(holds))
{
    std::stable_sort(
        m_holds.begin(), m_holds.end(), [](const Hold& left, const Hold& right) { return left.at < right.at; });
    Resources reserved;
    for (auto& hold : m_holds) {
        reserved += hold.need;
        hold.spare = worker.free - reserved;
        for (const auto& run : worker.runs) {
            // The reservation lapses by the upper end of a run that was there before. A task that was backfilled counts
            // as ended only if it was to end before the reserved time by its upper estimate.
            const auto end = run.since <= hold.madeAt ? expectedEnd(run, now) : upperEnd(run, now);
            if (end <= hold.at)
                hold.spare += run.reserved;
        }
    }
}

const ReservedWorker::Hold* ReservedWorker::holdOf(const StepKey& step) const
{
    const auto found = std::find_if(
        m_holds.begin(), m_holds.end(), [&step](const Hold& hold) { return hold.claimant.step == step; });
    return found == m_holds.end() ? nullptr : &*found;
}

Resources ReservedWorker::taken(
    const Hold& hold, const Claimant& claimant, const Resources& need, TimePoint upperEnd) const
{
    Resources taken;
    if (upperEnd > hold.at)
        taken += need;
    // The spare room of a hold leaves out the hold itself and those before it. One of the step itself is counted there.
    if (const auto* own = holdOf(claimant.step); own && own <= &hold)
        taken -= own->need;
    return taken;
}

bool ReservedWorker::mayStart(const Claimant& claimant, const Resources& need, TimePoint upperEnd) const
{
    const auto* own = holdOf(claimant.step);
    return std::all_of(m_holds.begin(), m_holds.end(), [&](const Hold& hold) {
        // A reservation that was made later left out the room of this one. It may wait for runs that end later.
        const bool isLater = own && own->madeAt < hold.madeAt;
        return hold.claimant.step == claimant.step || isLater || claimant.overrides(hold.claimant)
            || fitsBeside(taken(hold, claimant, need, upperEnd), hold.spare);
    });
}

Resources ReservedWorker::unreserved(const Resources& free) const
{
    auto unreserved = free;
    for (const auto& hold : m_holds)
        unreserved = elementwiseMin(unreserved, hold.spare);
    return elementwiseMax(unreserved, {});
}

void ReservedWorker::start(const Claimant& claimant, const Resources& need, TimePoint upperEnd)
{
    const auto* own = holdOf(claimant.step);
    const auto ownIndex = own - m_holds.data();
    for (auto& hold : m_holds)
        hold.spare -= taken(hold, claimant, need, upperEnd);
    if (own)
        m_holds.erase(m_holds.begin() + ownIndex);
}

void Reservations::lapse(const Reservation& reservation, TimePoint now)
{
    // Others have the room for as long as it was held, so that a run without an end keeps no worker empty.
    m_notBefore[reservation.claimant.step] = now + (now - reservation.madeAt);
}

bool Reservations::isBackingOff(const StepKey& step, TimePoint now) const
{
    const auto found = m_notBefore.find(step);
    return found != m_notBefore.end() && now < found->second;
}

bool Reservations::mayReserve(const ServiceId& id, int priority, bool isService) const
{
    const auto& pool = ofPool(id);
    const Claimant claimant { {}, priority, isService };
    return pool.size() < maxPerPool
        || std::any_of(pool.begin(), pool.end(),
            [&claimant](const Reservation& reservation) { return mayDisplace(claimant, reservation.claimant); });
}

std::optional<Reservation> Reservations::place(const UnplacedStep& step, const std::vector<Reservation>& others,
    const std::vector<WorkerOutlook>& workers, TimePoint now) const
{
    std::vector<Option> options;
    for (const auto& worker : workers)
        addOptions(options, step, worker, others, now);
    std::stable_sort(
        options.begin(), options.end(), [](const Option& left, const Option& right) { return left.at < right.at; });
    if (step.isGang)
        options = gangOptions(step, options);
    else if (const auto most = static_cast<std::size_t>(std::min(step.tasks, maxPlaces)); options.size() > most)
        options.resize(most);
    if (options.empty())
        return std::nullopt;
    Reservation reservation { step.claimant, step.need, step.isGang, {}, now, false, now };
    const auto last = options.back().at;
    for (const auto& option : options) {
        const auto at = step.isGang ? last : option.at;
        reservation.places.push_back({ option.worker->entry->incarnation.id, at });
        reservation.until = std::max(reservation.until, later(at, s_minLapse));
        for (const auto& run : option.worker->runs) {
            if (expectedEnd(run, now) <= at)
                reservation.until = std::max(reservation.until, later(upperEnd(run, now), s_minLapse));
        }
    }
    return reservation;
}

bool Reservations::makeRoom(
    std::vector<Reservation>& pool, const Claimant& claimant, std::vector<ReservationChange>& changes) const
{
    if (pool.size() < maxPerPool)
        return true;
    const auto least
        = std::max_element(pool.begin(), pool.end(), [](const Reservation& left, const Reservation& right) {
              return left.claimant.isMoreUrgentThan(right.claimant);
          });
    if (!mayDisplace(claimant, least->claimant))
        return false;
    changes.push_back({ ReservationEvent::Displaced, *least });
    pool.erase(least);
    return true;
}

std::vector<ReservationChange> Reservations::reserve(
    const ServiceId& id, std::vector<UnplacedStep> steps, const std::vector<WorkerOutlook>& workers, TimePoint now)
{
    std::vector<ReservationChange> changes;
    std::sort(steps.begin(), steps.end(), [](const UnplacedStep& left, const UnplacedStep& right) {
        return left.claimant.isMoreUrgentThan(right.claimant);
    });
    auto& pool = m_byPool[id];
    for (const auto& step : steps) {
        if (step.tasks <= 0 || !isPositive(step.need) || isBackingOff(step.claimant.step, now)
            || isReserved(id, step.claimant.step))
            continue;
        auto reservation = place(step, pool, workers, now);
        if (!reservation)
            continue;
        if (!makeRoom(pool, step.claimant, changes))
            break;
        changes.push_back({ ReservationEvent::Made, *reservation });
        pool.push_back(std::move(*reservation));
    }
    if (pool.empty())
        m_byPool.erase(id);
    return changes;
}

void Reservations::started(
    const ServiceId& id, const StepKey& step, const WorkerId& worker, std::vector<ReservationChange>& changes)
{
    const auto pool = m_byPool.find(id);
    if (pool == m_byPool.end())
        return;
    const auto reservation = std::find_if(pool->second.begin(), pool->second.end(),
        [&step](const Reservation& other) { return other.claimant.step == step; });
    if (reservation == pool->second.end())
        return;
    auto& places = reservation->places;
    auto place = std::find_if(
        places.begin(), places.end(), [&worker](const ReservedPlace& other) { return other.worker == worker; });
    if (place == places.end())
        place = std::prev(places.end());
    const bool isLast = places.size() == 1;
    if (isLast) {
        changes.push_back({ ReservationEvent::Started, *reservation });
        pool->second.erase(reservation);
        if (pool->second.empty())
            m_byPool.erase(pool);
        return;
    }
    places.erase(place);
}

const std::vector<Reservation>& Reservations::ofPool(const ServiceId& pool) const
{
    static const std::vector<Reservation> none;
    const auto found = m_byPool.find(pool);
    return found == m_byPool.end() ? none : found->second;
}

bool Reservations::isReserved(const ServiceId& pool, const StepKey& step) const
{
    const auto& reservations = ofPool(pool);
    return std::any_of(reservations.begin(), reservations.end(),
        [&step](const Reservation& reservation) { return reservation.claimant.step == step; });
}

std::vector<ReservedWorker::Hold> Reservations::holdsOn(const ServiceId& pool, const WorkerId& worker) const
{
    std::vector<ReservedWorker::Hold> holds;
    for (const auto& reservation : ofPool(pool)) {
        for (const auto& place : reservation.places) {
            if (place.worker == worker)
                holds.push_back({ reservation.claimant, reservation.need, place.at, reservation.madeAt, {} });
        }
    }
    return holds;
}

TimePoint Reservations::nextLapse(const ServiceId& pool) const
{
    auto next = TimePoint::max();
    for (const auto& reservation : ofPool(pool))
        next = std::min(next, reservation.until);
    return next;
}

std::size_t Reservations::count() const
{
    std::size_t count = 0;
    for (const auto& [pool, reservations] : m_byPool)
        count += reservations.size();
    return count;
}

} // namespace marigoldlink
