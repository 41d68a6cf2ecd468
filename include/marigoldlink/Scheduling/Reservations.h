// Reservations of workers for steps that find no room now, and the rule for backfilling other tasks beside them.
//
// A reservation restrains only the coordinator that made it. It is not stored: a new coordinator makes its own.
#pragma once

#include "marigoldlink/State/Fleet.h"

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace marigoldlink {

// When a run is expected to end, and by when it ends by the upper estimate. TimePoint::max(): it has no known end.
struct RunOutlook {
    Resources reserved;
    TimePoint since;
    TimePoint expectedEnd { TimePoint::max() };
    TimePoint upperEnd { TimePoint::max() };
};

// A worker on which tasks may start, with the runs that it has now.
struct WorkerOutlook {
    const WorkerEntry* entry { nullptr };
    Resources free;
    std::vector<RunOutlook> runs;
};

// What decides which of two tasks goes first where one of them has a reservation.
struct Claimant {
    StepKey step;
    int priority { 0 };
    bool isService { false };
    bool isLate { false }; // by its estimates it can no longer meet its objective
    bool isBeyondUse { false }; // past three times its objective
    Duration slack { 0 }; // time until it has to start to meet its objective

    // Whether a task of this step may ignore a reservation of the other.
    bool overrides(const Claimant& reserved) const;
    // Whether a task of this step may ignore reservations that hold back one of the other.
    bool goesBefore(const Claimant& other) const;
    // Order in which steps get reservations.
    bool isMoreUrgentThan(const Claimant&) const;
};

// A step with tasks for which no worker has room.
struct UnplacedStep {
    Claimant claimant;
    int tasks { 1 }; // that could start now
    Resources need; // of one task on its worker
    bool isGang { false };
    bool wantsOneRack { false };
    std::string requiredLabel;
    int maxPerWorker { 0 }; // 0: no limit
    std::map<WorkerId, int> tasksByWorker; // its runs; read only where maxPerWorker is set
};

// Room for one task of a step on a worker.
struct ReservedPlace {
    WorkerId worker;
    TimePoint at; // when there is room by the expected ends
};

struct Reservation {
    Claimant claimant;
    Resources need; // in each place
    bool isGang { false };
    std::vector<ReservedPlace> places; // a gang has one for each member, all at the same time
    TimePoint madeAt;
    bool isOverdue { false }; // some of its room should have been free by the expected ends
    TimePoint until; // by the upper estimates, all runs that the places wait for have ended; it lapses then

    TimePoint at() const;
};

enum class ReservationEvent { Made, Kept, Started, WorkerGone, Lapsed, Displaced, NotWaiting };
const char* name(ReservationEvent);

struct ReservationChange {
    ReservationEvent event {};
    Reservation reservation;
};

// The places on one worker in one placement pass, updated with each start that the pass plans.
class ReservedWorker {
public:
    struct Hold {
        Claimant claimant;
        Resources need;
        TimePoint at;
        TimePoint madeAt;
        // What is left at that time beside this hold and the earlier ones, by the expected ends.
        Resources spare;
    };

    ReservedWorker() = default;
    ReservedWorker(std::vector<Hold> holds, const WorkerOutlook&, TimePoint now);

    // Whether a task that takes `need` until `upperEnd` leaves the reserved room as it is.
    bool mayStart(const Claimant&, const Resources& need, TimePoint upperEnd) const;
    // The part of the free capacity that any task may take for any time.
    Resources unreserved(const Resources& free) const;
    void start(const Claimant&, const Resources& need, TimePoint upperEnd);

private:
    const Hold* holdOf(const StepKey&) const;
    // What a start takes from the spare room of a hold.
    Resources taken(const Hold&, const Claimant&, const Resources& need, TimePoint upperEnd) const;

    std::vector<Hold> m_holds; // by time
};

// Reservations of all pools. State is bounded by the number of pools.
class Reservations {
public:
    // Each reservation leaves room unused for a part of a task's run time. With more of them, the loss grows and the
    // last of them wait for rooms that those before them leave open again.
    static constexpr std::size_t maxPerPool = 4;
    // Places of a step that is no gang. The mean width of a step is 8 tasks.
    static constexpr int maxPlaces = 8;

    // Status of a step with a reservation: its tasks that could start now, and what may have changed since.
    struct StepStatus {
        int tasks { 0 };
        Claimant claimant;
    };

    // Removes the reservations of a pool that have ended. isUsable tells whether tasks may start on a worker, status
    // gives the state of a step.
    template <typename IsUsable, typename Status>
    std::vector<ReservationChange> refresh(const ServiceId&, TimePoint now, IsUsable isUsable, Status status);

    // Makes reservations for the most urgent of the steps, as far as the limit of the pool allows.
    std::vector<ReservationChange> reserve(
        const ServiceId&, std::vector<UnplacedStep>, const std::vector<WorkerOutlook>&, TimePoint now);

    // Removes one place of the step after a start on the worker, or its last place if it has none there.
    void started(const ServiceId&, const StepKey&, const WorkerId&, std::vector<ReservationChange>&);

    const std::map<ServiceId, std::vector<Reservation>>& byPool() const { return m_byPool; }
    const std::vector<Reservation>& ofPool(const ServiceId&) const;
    // Whether reserve() may make a reservation for a step of this kind.
    bool mayReserve(const ServiceId&, int priority, bool isService) const;
    bool isReserved(const ServiceId&, const StepKey&) const;
    // Whether a step whose reservation lapsed has to wait before the next one.
    bool isBackingOff(const StepKey&, TimePoint now) const;
    // The reserved places on a worker, or nothing.
    std::vector<ReservedWorker::Hold> holdsOn(const ServiceId&, const WorkerId&) const;
    // When the next reservation lapses.
    TimePoint nextLapse(const ServiceId&) const;
    std::size_t count() const;

private:
    std::optional<Reservation> place(const UnplacedStep&, const std::vector<Reservation>& others,
        const std::vector<WorkerOutlook>&, TimePoint now) const;
    bool makeRoom(std::vector<Reservation>&, const Claimant&, std::vector<ReservationChange>&) const;
    void lapse(const Reservation&, TimePoint now);

    std::map<ServiceId, std::vector<Reservation>>
        m_byPool; // invariant: at most maxPerPool in each, none without places
    std::map<StepKey, TimePoint> m_notBefore; // of steps whose reservation lapsed
};

template <typename IsUsable, typename Status>
std::vector<ReservationChange> Reservations::refresh(
    const ServiceId& pool, TimePoint now, IsUsable isUsable, Status status)
{
    std::vector<ReservationChange> changes;
    const auto found = m_byPool.find(pool);
    if (found == m_byPool.end())
        return changes;
    std::erase_if(m_notBefore, [now](const auto& entry) { return entry.second <= now; });
    std::erase_if(found->second, [&](Reservation& reservation) {
        const auto end = [&](ReservationEvent event) {
            changes.push_back({ event, reservation });
            return true;
        };
        const StepStatus current = status(reservation.claimant.step);
        if (!current.tasks)
            return end(ReservationEvent::NotWaiting);
        reservation.claimant = current.claimant;
        const auto lost
            = std::erase_if(reservation.places, [&](const ReservedPlace& place) { return !isUsable(place.worker); });
        // The other members of a gang cannot use their places alone.
        if (reservation.places.empty() || (lost && reservation.isGang))
            return end(ReservationEvent::WorkerGone);
        if (static_cast<std::size_t>(current.tasks) < reservation.places.size())
            reservation.places.resize(static_cast<std::size_t>(current.tasks));
        if (now < reservation.until) {
            if (now > reservation.at() && !std::exchange(reservation.isOverdue, true))
                changes.push_back({ ReservationEvent::Kept, reservation });
            return false;
        }
        lapse(reservation, now);
        return end(ReservationEvent::Lapsed);
    });
    if (found->second.empty())
        m_byPool.erase(found);
    return changes;
}

} // namespace marigoldlink
