// What a coordinator measures of its decisions, for the metrics of the process.
#pragma once

#include "marigoldlink/Entry/Orders.h"

#include <functional>
#include <variant>

namespace marigoldlink {

// The first task of a job was ordered.
struct JobStarted {
    TeamId team;
    int priority { 0 };
    Duration wait { 0 }; // since the coordinator accepted the job or took over
};

struct JobEnded {
    TeamId team;
    int priority { 0 };
    JobState state { JobState::Complete };
    Duration time { 0 }; // as the wait above
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
    double askedCores { 0 };
};

struct JobsMeasured {
    std::size_t active { 0 };
    std::size_t waiting { 0 }; // of them, without a start so far
};

// How a caller's call ended.
enum class CallOutcome {
    Done,
    UnknownJob,
    Refused,
    NotReached,
    Unknown,
    KeyRejected,
    KeysNotCurrent, // the keys that are known here may have been withdrawn
    NoSuchQueue,
    Malformed
};
const char* name(CallOutcome);

// A call of a caller that was answered.
struct CallReport {
    std::string kind; // submit, look, cancel, waiting, or other
    JobId job; // empty when the call names none
    QueueId queue;
    TeamId team;
    CallOutcome outcome { CallOutcome::Done };
    Duration time { 0 };
    std::int64_t configVersion { 0 }; // under which it was decided
};
using CallSink = std::function<void(const CallReport&)>;

using Measurement
    = std::variant<JobStarted, JobEnded, RunEnded, StartAnswered, JournalWritten, PoolMeasured, JobsMeasured>;
using MeasurementSink = std::function<void(const Measurement&)>;

} // namespace marigoldlink
