// Orders that a coordinator issues, and the answers to them. The platform's adapter executes the orders.
#pragma once

#include "marigoldlink/Coordination/AdviceCache.h"
#include "marigoldlink/Coordination/Journal.h"
#include "marigoldlink/State/Fleet.h"

#include <algorithm>
#include <variant>

namespace marigoldlink {

// One period of ownership. Workers and instances refuse orders with a lower fence than they have seen.
struct Term {
    std::uint64_t fence { 0 };
    std::uint64_t number { 0 }; // consecutive number of the term, from 1
    bool hasPredecessorResigned { false }; // the coordinator of the previous term has stopped sending orders
};

// The fence of an order for a worker. It rises with each term and, within a term, with each incarnation of a worker
// that the coordinator learns of. So a worker that has seen an order for its present incarnation refuses those that
// were sent to an earlier one, whose numbers of ends and clock mean nothing to it.
enum class WorkerFence : std::uint64_t {};
constexpr std::uint64_t number(WorkerFence fence) { return static_cast<std::uint64_t>(fence); }

// All fences of a term are lower than those of later terms. Incarnations beyond the last that fits share its fence.
constexpr WorkerFence workerFence(const Term& term, std::uint64_t incarnation)
{
    constexpr int incarnationBits = 20;
    constexpr std::uint64_t lastIncarnation = (std::uint64_t { 1 } << incarnationBits) - 1;
    return WorkerFence((term.fence << incarnationBits) | std::min(incarnation, lastIncarnation));
}

// Identifies a pending call of a gateway.
enum class CallToken : std::uint64_t {};

// Where a caller's call comes from. Only part of it may be known, as earlier versions do not send it.
struct CallOrigin {
    TeamId team; // that makes the call; empty if it is anonymous
    std::string entry; // endpoint of the entry instance that received the call; empty if not known
    std::optional<Duration> age; // since that instance received it; the time in its socket is not included

    bool operator==(const CallOrigin&) const = default;
};

struct StartOrder {
    WorkerIncarnation worker;
    Endpoint endpoint;
    WorkerFence fence {};
    TaskKey task;
    RunNumber run {};
    std::string payload;
    std::string checkpoint;
    std::string ticket; // issued by the advice service; empty if the queue needs no advice
    std::int64_t deadlineMs { 0 }; // end of the lease on the worker's clock
};

struct StopOrder {
    WorkerIncarnation worker;
    Endpoint endpoint;
    WorkerFence fence {};
    TaskKey task;
    RunNumber run {};
};

struct ThrottleOrder {
    WorkerIncarnation worker;
    Endpoint endpoint;
    WorkerFence fence {};
    TaskKey task;
    RunNumber run {};
    int percent { 100 };
};

// Queries a worker for its current runs and the ends since the last acknowledged one, and extends its lease.
struct PollOrder {
    WorkerIncarnation worker;
    Endpoint endpoint;
    WorkerFence fence {};
    std::optional<std::int64_t> deadlineMs; // end of the lease on the worker's clock; nullopt: no extension
    std::int64_t acknowledged { 0 };
    Duration wait { 0 }; // long poll: the worker may hold the answer this long until a run ends
};

struct JournalOrder {
    JournalBatch batch;
};

struct ReadHeadOrder { };

struct ListInstancesOrder { };

struct MoveOrder {
    std::string instance;
    ServiceId pool;
};

struct MaintainOrder {
    std::string instance;
    WaveId wave;
    std::int64_t waveNumber { 0 };
};

// Queries the advice service for the workers that may run a step.
struct AdviceOrder {
    StepKey step;
    std::vector<WorkerIncarnation> workers;
};

struct Reply {
    enum class Kind {
        Accepted, // the job is stored
        Cancelled, // the job is stored as ended
        State,
        Waiting,
        UnknownJob, // to a cancelling: its id is stored as cancelled
        Refused, // not stored, and never will be
        NotCoordinator, // the call had no effect; another instance is the coordinator
        AlreadyCancelled, // not accepted: the job was cancelled before this submission of it arrived
        NotCancelled, // an unknown id that cannot be kept as cancelled; a submission of it may still be accepted
        NotStoredHere, // to a submission: not accepted here; a successor may have accepted an earlier copy of it
    };

    Kind kind { Kind::NotCoordinator };
    JobState state { JobState::Pending };
    std::int64_t waiting { 0 };
    Duration retryAfter { 0 };
};

struct ReplyOrder {
    CallToken token {};
    Reply reply;
};

using Order = std::variant<StartOrder, StopOrder, ThrottleOrder, PollOrder, JournalOrder, ReadHeadOrder,
    ListInstancesOrder, MoveOrder, MaintainOrder, AdviceOrder, ReplyOrder>;

enum class StartAnswer {
    Started,
    StaleFence, // the worker has seen an order of a later coordinator, or for a later incarnation
    OldRun, // a run of the task with this or a higher number has ended or was stopped there
    Late, // the order's deadline had passed
    NoCapacity,
    NoTicket,
    Unhealthy, // the order had no effect
    OtherIncarnation, // the worker has restarted, or another worker has its address
    Invalid,
    NotSent,
    Unknown, // the task may be running or may start later
};

const char* name(StartAnswer);

enum class StopAnswer { Stopping, StaleFence, OtherIncarnation, Invalid, NotSent, Unknown };

struct ListedRun {
    TaskKey task;
    RunNumber run {};
    std::string checkpoint;
    int percent { 0 };
    std::int64_t load { 0 };
};

struct ListedEnd {
    std::int64_t number { 0 };
    TaskKey task;
    RunNumber run {};
    RunEnd how { RunEnd::Lost };
    std::string checkpoint;
};

struct PollAnswer {
    enum class Status { Answered, StaleFence, OtherIncarnation, Failed };

    Status status { Status::Failed };
    std::int64_t startedUnixMs { 0 };
    std::int64_t clockMs { 0 };
    std::vector<ListedRun> running;
    std::vector<ListedEnd> ended;
    // The worker may have further ends, which it lists once these are acknowledged. A run that the answer does not name
    // may be among them.
    bool mayHaveMoreEnds { false };
};

struct AdviceAnswer {
    bool isAnswered { false };
    std::map<WorkerId, std::string> tickets; // by worker that may run the step
    Duration valid { 0 }; // lifetime of each ticket from its issue
};

enum class InstanceAnswer { Done, StaleFence, Busy, NotInWave, Invalid, Refused, Unknown };
const char* name(InstanceAnswer);

} // namespace marigoldlink
