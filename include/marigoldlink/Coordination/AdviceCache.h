// Caches the answers of the advice service: which workers may run a step, and the tickets that their starts must carry.
//
// A verdict is valid for the lifetime of the step and of the worker's incarnation; a ticket only for some seconds. The
// duration of a call grows with the number of workers it names, and the service handles one call of a coordinator at a
// time, so each call names only the best few workers without a valid verdict.
#pragma once

#include "marigoldlink/State/Fleet.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace marigoldlink {

class AdviceCache {
public:
    struct Limits {
        // Maximum in one call; by the platform's rules a job's objective allows for a call of this size.
        std::size_t maxWorkers { 30 };
        std::size_t minWorkers { 4 };
        // The service handles one call at a time. A second call is queued there, so that it is not idle between calls.
        std::size_t maxCalls { 2 };
        Duration ticketSafetyMargin { 200 }; // a ticket with less validity left may have expired when its start arrives
        Duration retryDelay { 200 }; // after a failed call
    };

    explicit AdviceCache(Limits limits)
        : m_limits(limits)
    {
    }

    // Returns the valid ticket for starts of the step on this incarnation of the worker, or null.
    const std::string* ticket(const StepKey&, const WorkerIncarnation&, TimePoint now) const;

    // Whether the service has said that the worker may not run the step.
    bool isRefused(const StepKey&, const WorkerIncarnation&) const;

    // Given the workers that could run the step, in order of preference, and how many of them its waiting tasks need,
    // returns the workers to ask about now, and counts the call as in flight. Returns none if there is nothing to ask,
    // or if no call may be made now.
    std::vector<WorkerIncarnation> nextCall(
        const StepKey&, const std::vector<WorkerIncarnation>& candidates, std::size_t needed, TimePoint now);

    // Records the answer to the call about these workers. Those with a ticket may run the step, the others may not.
    void answered(const StepKey&, const std::vector<WorkerIncarnation>& asked,
        const std::map<WorkerId, std::string>& tickets, Duration valid, TimePoint now);
    void failed(const StepKey&, TimePoint now);

    // Records that the worker rejected its ticket.
    void rejected(const StepKey&, const WorkerIncarnation&);
    void forget(const JobId&);

    // Earliest time of the next call after a failed one.
    TimePoint nextCallAt() const { return m_nextCallAt; }

private:
    struct Verdict {
        std::string ticket; // empty: the worker may not run the step
        TimePoint validUntil;
    };
    struct StepAdvice {
        std::map<WorkerIncarnation, Verdict> verdicts;
        bool isCallInFlight { false };
    };

    Limits m_limits;
    std::map<StepKey, StepAdvice> m_steps;
    // Invariant: number of calls in flight, including those for steps that have been removed since.
    std::size_t m_callsInFlight { 0 };
    TimePoint m_nextCallAt;
    // Moving average of the fraction of workers that were approved; follows changes of the service's policy.
    double m_approvalRate { 0.5 };
};

} // namespace marigoldlink
