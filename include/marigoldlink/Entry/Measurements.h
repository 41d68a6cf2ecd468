// Measurements that a coordinator and the caller API report to the metrics of the process.
#pragma once

#include "marigoldlink/Entry/Orders.h"
#include "marigoldlink/Scheduling/Reservations.h"

#include <chrono>
#include <functional>
#include <map>
#include <string>
#include <variant>

namespace marigoldlink {

// The start of the first task of a job was ordered.
struct JobStarted {
    TeamId team;
    int priority { 0 };
    Duration wait { 0 }; // since the coordinator accepted the job or took over
};

struct JobEnded {
    TeamId team;
    int priority { 0 };
    JobState state { JobState::Complete };
    Duration time { 0 }; // since the coordinator accepted the job or took over
};

struct RunEnded {
    RunEnd how { RunEnd::Done };
};

struct StartAnswered {
    StartAnswer answer { StartAnswer::Started };
};

struct JournalWritten {
    JournalAnswer answer { JournalAnswer::Stored };
    Duration time { 0 }; // since the batch was sent
};

struct PoolMeasured {
    ServiceId pool;
    int instances { 0 };
    double usableCores { 0 };
    double usedCores { 0 };
    double requestedCores { 0 };
    int leavingInstances { 0 }; // get no more tasks, so that they can move to another pool
};

// A move from a busy pool to one with lower coverage was ordered.
struct ContendedMove {
    ServiceId from;
    ServiceId to;
};

// A submission that admission control refused.
struct SubmissionRefused {
    ServiceId pool;
    std::string reason; // AdmissionDecision::reason
};

struct WaitMeasured {
    ServiceId pool;
    Duration expected { 0 }; // of a job of the lowest priority that arrives now
};

struct JobsMeasured {
    std::size_t active { 0 };
    std::size_t waiting { 0 }; // active jobs of which no task was ordered yet
};

// Use, demand and allotment of the teams in the short pools together. Empty while no pool is short.
struct TeamsMeasured {
    struct Team {
        TeamId id;
        double usedCores { 0 };
        double requestedCores { 0 };
        double allottedCores { 0 };
    };
    std::vector<Team> teams;
};

struct ReservationsMeasured {
    std::size_t active { 0 };
    std::size_t heldBack { 0 }; // steps that reservations held back in the last placement pass
};

struct ReservationEnded {
    ReservationEvent how { ReservationEvent::Started };
    Duration time { 0 }; // since it was made
};

// What the coordinator of this process used in the last interval. All but cpu is elapsed time, which includes time
// during which the process was not scheduled.
struct CoordinatorLoad {
    std::chrono::microseconds cpu { 0 }; // processor time of the whole process, transport included
    std::chrono::microseconds decisions { 0 }; // in the state machine
    std::chrono::microseconds sending { 0 }; // encoding orders and handing them to the transport
    std::uint64_t loopIterations { 0 }; // few and long ones show that the event loop never waits
    std::map<std::string, int> orders; // number of orders by kind
};

// Outcome of a caller's call.
enum class CallOutcome {
    Done,
    UnknownJob,
    Refused,
    NotReached,
    Unknown,
    KeyRejected,
    KeysNotCurrent, // the keys known here may have been revoked
    NoSuchQueue,
    Malformed
};
const char* name(CallOutcome);

// An answered caller's call.
struct CallReport {
    std::string kind; // submit, look, cancel, waiting, or other
    JobId job; // empty when the call names none
    QueueId queue;
    TeamId team;
    CallOutcome outcome { CallOutcome::Done };
    Duration time { 0 };
    std::int64_t configVersion { 0 }; // version of the configuration that was applied
    int attempts { 0 }; // how often the call was passed to a coordinator
    bool hasCallerLeft { false }; // the caller had disconnected when the answer was ready
};
using CallSink = std::function<void(const CallReport&)>;

using Measurement = std::variant<JobStarted, JobEnded, RunEnded, StartAnswered, JournalWritten, PoolMeasured,
    JobsMeasured, TeamsMeasured, CoordinatorLoad, SubmissionRefused, WaitMeasured, ContendedMove, ReservationsMeasured,
    ReservationEnded>;
using MeasurementSink = std::function<void(const Measurement&)>;

} // namespace marigoldlink
