// Jobs as callers submit them: steps of tasks, their needs and their order.
#pragma once

#include "marigoldlink/State/Types.h"

#include <map>
#include <string>
#include <tuple>
#include <vector>

namespace marigoldlink {

using JobId = Id<struct JobTag>;
using ImageId = Id<struct ImageTag>;

// An amount of what a worker has. Processors are counted in thousandths of a core.
struct Resources {
    std::int64_t milliCores { 0 };
    std::int64_t memoryMegabytes { 0 };
    std::int64_t accelerators { 0 };

    Resources& operator+=(const Resources&);
    Resources& operator-=(const Resources&);
    friend Resources operator+(Resources left, const Resources& right) { return left += right; }
    friend Resources operator-(Resources left, const Resources& right) { return left -= right; }
    friend bool operator==(const Resources&, const Resources&) = default;

    bool fitsInto(const Resources& room) const
    {
        return milliCores <= room.milliCores && memoryMegabytes <= room.memoryMegabytes
            && accelerators <= room.accelerators;
    }
};

// One step of a job: tasks that need the same and may run side by side.
struct StepSpec {
    int tasks { 1 };
    Resources need;
    Duration estimate { 0 }; // the caller's rough guess of one task's run time
    std::vector<int> after; // earlier steps that must have ended first
    bool savesCheckpoints { false };
    bool isGang { false }; // the tasks work only while all of them run
    bool wantsOneRack { false };
    std::string requiredLabel; // empty when any worker will do
    RackId dataRack; // empty when the data lies nowhere in particular
    int mostPerWorker { 0 }; // 0: no limit
    bool isSpeculative { false }; // copies may run in parallel
    bool isService { false }; // runs until the job is cancelled
    ImageId image;
    Duration tailTarget { 0 }; // a service's tail of response times must stay below it; 0: no target
    bool isFiller { false }; // takes processor time that others leave; its processors are not reserved
    int mayMiss { 0 }; // tasks of a service that planned work may have away at once

    // What a worker has to reserve for one task.
    Resources reserved() const;
};

// How often and when the steps of a job run.
struct Schedule {
    int occurrences { 0 }; // 0: once, at once
    std::int64_t firstUnixMs { 0 };
    std::int64_t intervalMs { 0 };

    bool isTimed() const { return occurrences > 0; }
    int count() const { return isTimed() ? occurrences : 1; }
    std::int64_t dueUnixMs(int occurrence) const { return firstUnixMs + occurrence * intervalMs; }
};

// Names one step of one occurrence of a job.
struct StepKey {
    JobId job;
    int occurrence { 0 };
    int step { 0 };

    friend auto operator<=>(const StepKey&, const StepKey&) = default;
    std::string text() const;
};

// Names one task of a job.
struct TaskKey {
    JobId job;
    int occurrence { 0 };
    int step { 0 };
    int index { 0 };

    friend auto operator<=>(const TaskKey&, const TaskKey&) = default;
    friend std::ostream& operator<<(std::ostream&, const TaskKey&);
    std::string text() const;
    StepKey stepKey() const { return { job, occurrence, step }; }
};

// Number of one start of a task. It rises with each start, also when the coordinator changes.
enum class RunNumber : std::int64_t {};
constexpr std::int64_t number(RunNumber run) { return static_cast<std::int64_t>(run); }

enum class JobState { Pending, Running, Complete, Failed, Cancelled };
const char* name(JobState);

// A job as it was accepted.
struct JobSpec {
    JobId id;
    QueueId queue;
    TeamId team; // empty for a queue that is open without a key
    std::string payload; // handed to each task as it came
    std::vector<StepSpec> steps;
    Schedule schedule;
    std::int64_t acceptedUnixMs { 0 };
};

// How a run ended on its worker.
enum class RunEnd {
    Done,
    Failed, // by its own fault or by its worker's
    Stopped, // by an order
    Lapsed, // its lease ended
    Broken, // another member of its gang ended
    Alone, // the rest of its gang did not come
    Lost, // its worker is gone, or forgot it
};
const char* name(RunEnd);

} // namespace marigoldlink
