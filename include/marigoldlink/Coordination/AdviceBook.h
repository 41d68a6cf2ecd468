// What the advice service said: which workers may run a step, and the tickets that their starts must carry.
//
// A verdict holds for as long as the step and the worker's life last; a ticket only for some seconds. A call takes
// longer the more workers it names, and the service takes one call of a coordinator at a time, so each call names the
// best few that are not known yet.
#pragma once

#include "marigoldlink/State/Fleet.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace marigoldlink {

class AdviceBook {
public:
    struct Limits {
        std::size_t mostWorkers {
            30
        }; // in a call; a job's objective allows for a call of this size (platform's rules)
        std::size_t leastWorkers { 4 };
        // The service takes one call at a time. The second one waits there, so that it is never idle between two.
        std::size_t mostCalls { 2 };
        Duration ticketReserve { 200 }; // a ticket that ends so soon may have ended when its start arrives
        Duration retryDelay { 200 }; // after a call that failed
    };

    explicit AdviceBook(Limits limits)
        : m_limits(limits)
    {
    }

    // The ticket for starts of the step on this life of the worker, if there is one that holds.
    const std::string* ticket(const StepKey&, const WorkerLife&, TimePoint now) const;

    // Takes the workers that could run the step, best first, and how many of them its waiting tasks need. Returns those
    // to ask about now, and counts the call as under way; none when there is nothing to ask, or it is not the time.
    std::vector<WorkerLife> nextCall(
        const StepKey&, const std::vector<WorkerLife>& candidates, std::size_t needed, TimePoint now);

    // The answer to the call about these workers. Those with a ticket may run the step, the others may not.
    void answered(const StepKey&, const std::vector<WorkerLife>& asked, const std::map<WorkerId, std::string>& tickets,
        Duration valid, TimePoint now);
    void failed(const StepKey&, TimePoint now);

    // A worker rejected the ticket.
    void rejected(const StepKey&, const WorkerLife&);
    void forget(const JobId&);

    // When the next call may be made after one that failed.
    TimePoint nextCallAt() const { return m_notBefore; }

private:
    struct Verdict {
        std::string ticket; // empty: the worker may not run the step
        TimePoint validUntil;
    };
    struct StepAdvice {
        std::map<WorkerLife, Verdict> verdicts;
        bool isUnderWay { false };
    };

    Limits m_limits;
    std::map<StepKey, StepAdvice> m_steps;
    std::size_t m_calls { 0 }; // invariant: calls under way, also for steps that were forgotten since
    TimePoint m_notBefore;
    // Share of the workers asked about that might run their step; fades, so that it follows the policy.
    double m_goodShare { 0.5 };
};

} // namespace marigoldlink
