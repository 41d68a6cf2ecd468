// Coordinator: reservations for steps that find no room, and the run times that they are based on.
#include "marigoldlink/Entry/Coordinator.h"

#include <algorithm>

namespace marigoldlink {

namespace {

    const char* description(ReservationEvent event)
    {
        switch (event) {
        case ReservationEvent::Made:
            return "made";
        case ReservationEvent::Kept:
            return "kept: the expected time has passed by less than the spread";
        case ReservationEvent::Started:
            return "ended: the step has started";
        case ReservationEvent::WorkerGone:
            return "given up: its worker is gone or unusable";
        case ReservationEvent::Lapsed:
            return "given up: the expected time has passed by more than the spread";
        case ReservationEvent::Displaced:
            return "given up for a more urgent step";
        case ReservationEvent::NotWaiting:
            return "given up: the step cannot start or does not wait any more";
        }
        return "";
    }

    std::string placesText(const Reservation& reservation, TimePoint now)
    {
        std::string text;
        for (const auto& place : reservation.places)
            text += place.worker.value() + " in " + std::to_string((place.at - now).count()) + " ms, ";
        return text + "lapses in " + std::to_string((reservation.until - now).count()) + " ms";
    }

} // namespace

void Coordinator::recordRunTime(const Job& job, const TaskKey& key, const ReservedRun& run, TimePoint now)
{
    if (!run.isTimed || run.isService)
        return;
    const auto& step = job.stepSpec(key);
    m_runTimes.record(job.queue.id, step.image, step.estimate, now - run.since);
}

void Coordinator::refreshReservations(const Placement& placement, TimePoint now)
{
    std::vector<ServiceId> services;
    for (const auto& [service, reservations] : m_reservations.byPool()) {
        if (m_mustPlaceAllServices || m_servicesToPlace.contains(service))
            services.push_back(service);
    }
    for (const auto& service : services) {
        const auto changes = m_reservations.refresh(
            service, now,
            [&](const WorkerId& id) {
                const auto* worker = m_workers.find(id);
                return worker && worker->entry.service == service && isUsable(*worker, now);
            },
            [&](const StepKey& step) { return placement.reservedStepStatus(service, step, now); });
        reportReservations(changes, now);
    }
}

void Coordinator::makeReservations(const Placement& placement, const Placement::Result& plan, TimePoint now)
{
    std::vector<ReservationChange> changes;
    if (m_reservations.count()) {
        for (const auto& start : plan.starts)
            m_reservations.started(
                m_jobs.find(start.task.job)->queue.service, start.task.stepKey(), start.worker, changes);
    }
    reportReservations(changes, now);
    // Steps that were held back for a reservation that has ended with this pass may start.
    if (!changes.empty() && plan.heldBack)
        schedulePlacementAt(now + Duration(1));
    // A pass that reached its limit of starts may have left steps although there is room for them.
    if (plan.starts.size() < s_maxStartsPerTick) {
        for (auto& [service, steps] : placement.unplacedSteps(now)) {
            std::vector<WorkerOutlook> workers;
            for (const auto& [id, worker] : m_workers.ofService(service)) {
                if (isUsable(*worker, now))
                    workers.push_back(outlookOf(*worker));
            }
            reportReservations(m_reservations.reserve(service, std::move(steps), workers, now), now);
        }
    }
    for (const auto& [service, reservations] : m_reservations.byPool())
        schedulePlacementAt(m_reservations.nextLapse(service));
    m_nextTick = std::min(m_nextTick, std::max(m_nextPlacementAt, now + Duration(1)));
    measure(ReservationsMeasured { m_reservations.count(), plan.heldBack });
}

void Coordinator::reportReservations(const std::vector<ReservationChange>& changes, TimePoint now) const
{
    for (const auto& [event, reservation] : changes) {
        log("reservation", reservation.claimant.step.text(),
            std::string(description(event)) + "; " + placesText(reservation, now));
        if (event != ReservationEvent::Made && event != ReservationEvent::Kept)
            measure(ReservationEnded { event, now - reservation.madeAt });
    }
}

} // namespace marigoldlink
