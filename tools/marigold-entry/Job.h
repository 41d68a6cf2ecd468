// One request on its way through an entry instance.
#pragma once

#include "WorkerLeases.h"
#include "marigoldlink/Coordination/Escrow.h"
#include "marigoldlink/Coordination/FairQueue.h"
#include "marigoldlink/State/Errors.h"

#include <functional>
#include <optional>

namespace marigoldlink {

// How a request ended: with the whole answer of its task, or with an error.
struct JobOutcome {
    std::optional<ErrorKind> error;
    std::string body;

    // True when the task surely did not run and never will under this attempt.
    bool isNotRun() const { return error && errorRow(*error).runState == RunState::NotRun; }
};

struct JobRequest {
    TeamId team;
    QueueId queue;
    PoolId pool;
    Urgency urgency { Urgency::Normal };
    bool isIdempotent { false };
    bool isForwarded { false }; // came from a peer; it is not passed on again
    std::string body;
    std::string checkpoint;
    TimePoint deadline;
};

struct Job {
    enum class Phase { Queued, Forwarded, Running, Resolving };

    JobRequest request;
    std::function<void(JobOutcome)> onDone; // empty once the caller was answered
    Phase phase { Phase::Queued };
    EventLoop::Timer deadlineTimer;
    TimePoint submittedAt;
    TimePoint startedAt;
    int starts { 0 };
    int failures { 0 };
    // Set once some start may have run, even in part. "Not run" is never answered after that.
    bool mayHaveRun { false };
    bool isPreempting { false };
    // Of the current start:
    TaskId task;
    WorkerLinkPtr link;
    LeaseId lease;
    std::shared_ptr<EscrowHolder> escrow;
};

// The error of a request that ends without another start.
inline ErrorKind endingError(const Job& job)
{
    if (job.failures > 0)
        return ErrorKind::TaskFailed;
    return job.mayHaveRun ? ErrorKind::WorkerLost : ErrorKind::DeadlinePassed;
}

} // namespace marigoldlink
