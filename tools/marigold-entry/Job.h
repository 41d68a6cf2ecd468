// State of one request while an entry instance processes it.
#pragma once

#include "WorkerLeases.h"
#include "marigoldlink/Coordination/Escrow.h"
#include "marigoldlink/Coordination/FairQueue.h"
#include "marigoldlink/State/Errors.h"

#include <functional>
#include <optional>
#include <vector>

namespace marigoldlink {

// Result of a request: the complete response of its task, or an error.
struct JobOutcome {
    std::optional<ErrorKind> error;
    std::string body;

    // True when the task has not run and cannot run later under this attempt.
    bool isNotRun() const { return error && errorInfo(*error).runState == RunState::NotRun; }
};

// Identifies a request that this process has forwarded.
enum class ForwardId : std::uint64_t {};

struct JobRequest {
    TeamId team;
    QueueId queue;
    PoolId pool;
    Urgency urgency { Urgency::Normal };
    bool isIdempotent { false };
    bool isForwarded { false }; // received from a peer; not forwarded again
    std::string body;
    std::string checkpoint;
    TimePoint deadline;
};

struct Job {
    enum class Phase { Queued, Forwarded, Running, Resolving };

    JobRequest request;
    std::function<void(JobOutcome)> onDone; // empty after the caller has been answered
    Phase phase { Phase::Queued };
    EventLoop::Timer deadlineTimer;
    TimePoint submittedAt;
    TimePoint startedAt;
    int starts { 0 };
    int failures { 0 };
    // Set once any start may have run, even partially. From then on the request must not be answered with "not run".
    bool mayHaveRun { false };
    bool isCheckpointRequested { false };
    // Set once the request was cancelled. From then on it must not be started again.
    bool isCancelled { false };
    // Set once the task of a cancelled request is known not to run any more.
    bool isStopConfirmed { false };
    // Called once the task of a cancelled request is known not to run any more.
    std::vector<std::function<void()>> onStopped;
    // State of the current start:
    TaskId task;
    WorkerLinkPtr link;
    LeaseId lease;
    std::shared_ptr<EscrowHolder> escrow;
    // The open forwarding and those that ended with WorkerLost, which a peer may still run or start.
    std::vector<ForwardId> forwards;
};

// Error with which a request ends when it is not started again.
inline ErrorKind terminalError(const Job& job)
{
    if (job.failures > 0)
        return ErrorKind::TaskFailed;
    if (job.mayHaveRun)
        return ErrorKind::WorkerLost;
    return job.isCancelled ? ErrorKind::Cancelled : ErrorKind::DeadlinePassed;
}

} // namespace marigoldlink
