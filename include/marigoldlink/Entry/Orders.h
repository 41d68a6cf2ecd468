// What a coordinator asks of the outside, and what it hears from there. The platform's adapter carries the orders out.
#pragma once

#include "marigoldlink/Coordination/AdviceBook.h"
#include "marigoldlink/Coordination/Journal.h"
#include "marigoldlink/State/Fleet.h"

#include <variant>

namespace marigoldlink {

// One period of ownership. Workers and instances refuse orders with a lower fence than they have seen.
struct Term {
    std::uint64_t fence { 0 };
    std::uint64_t number { 0 }; // counts the terms of the fleet from 1 on
    bool hasPredecessorResigned { false }; // the coordinator of the term before sends no more orders
};

// Names a call of a gateway that waits for its reply.
enum class CallToken : std::uint64_t {};

struct StartOrder {
    WorkerLife worker;
    Endpoint endpoint;
    TaskKey task;
    RunNumber run {};
    std::string payload;
    std::string checkpoint;
    std::string ticket; // of the advice service; empty when the queue needs none
    std::int64_t deadlineMs { 0 }; // on the worker's clock
};

struct StopOrder {
    WorkerLife worker;
    Endpoint endpoint;
    TaskKey task;
    RunNumber run {};
};

struct PaceOrder {
    WorkerLife worker;
    Endpoint endpoint;
    TaskKey task;
    RunNumber run {};
    int percent { 100 };
};

// Asks a worker for its runs and ends, and extends its lease.
struct LookOrder {
    WorkerLife worker;
    Endpoint endpoint;
    std::optional<std::int64_t> deadlineMs; // on the worker's clock; nothing: the lease is not extended
    std::int64_t acknowledged { 0 };
    Duration wait { 0 }; // the answer may wait this long for an end
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

// Asks which of the workers may run a step.
struct AdviceOrder {
    StepKey step;
    std::vector<WorkerLife> workers;
};

struct Reply {
    enum class Kind {
        Accepted, // the job is stored
        Cancelled, // the job is stored as ended
        State,
        Waiting,
        UnknownJob,
        Refused, // surely not stored, and never will be
        NotCoordinator, // nothing was done; another one decides
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

using Order = std::variant<StartOrder, StopOrder, PaceOrder, LookOrder, JournalOrder, ReadHeadOrder, ListInstancesOrder,
    MoveOrder, MaintainOrder, AdviceOrder, ReplyOrder>;

enum class StartAnswer {
    Started,
    StaleFence, // another coordinator has ordered since
    OldRun, // a run as high was stopped or ended there
    Late, // the order's deadline had passed
    NoRoom,
    NoTicket,
    Unhealthy, // nothing was done
    OtherLife, // another life or another worker is at the address
    Invalid,
    NotSent,
    Unknown, // it may run, or may start later
};

const char* name(StartAnswer);

enum class StopAnswer { Stopping, StaleFence, OtherLife, Invalid, NotSent, Unknown };

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

struct LookAnswer {
    enum class Status { Answered, StaleFence, OtherLife, Failed };

    Status status { Status::Failed };
    std::int64_t bornUnixMs { 0 };
    std::int64_t clockMs { 0 };
    std::vector<ListedRun> running;
    std::vector<ListedEnd> ended;
};

struct AdviceAnswer {
    bool isAnswered { false };
    std::map<WorkerId, std::string> tickets; // of the workers that may run the step
    Duration valid { 0 }; // of each ticket, from its making on
};

enum class InstanceAnswer { Done, StaleFence, Busy, NotInWave, Invalid, Refused, Unknown };
const char* name(InstanceAnswer);

} // namespace marigoldlink
