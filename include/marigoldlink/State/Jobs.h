// Jobs as submitted by callers: steps of tasks with their resource needs and dependencies.
#pragma once

#include "marigoldlink/State/Types.h"

#include <map>
#include <string>
#include <tuple>
#include <vector>

namespace marigoldlink {

using JobId = Id<struct JobTag>;
using ImageId = Id<struct ImageTag>;

// Resources of a worker, or the amount that a task needs of them. Processors are counted in thousandths of a core.
struct Resources {
    std::int64_t milliCores { 0 };
    std::int64_t memoryMegabytes { 0 };
    std::int64_t accelerators { 0 };

    Resources& operator+=(const Resources&);
    Resources& operator-=(const Resources&);
    friend Resources operator+(Resources left, const Resources& right) { return left += right; }
    friend Resources operator-(Resources left, const Resources& right) { return left -= right; }
    friend bool operator==(const Resources&, const Resources&) = default;

    bool fitsInto(const Resources& freeCapacity) const
    {
        return milliCores <= freeCapacity.milliCores && memoryMegabytes <= freeCapacity.memoryMegabytes
            && accelerators <= freeCapacity.accelerators;
    }
};

Resources elementwiseMax(const Resources&, const Resources&);
Resources elementwiseMin(const Resources&, const Resources&);

// One step of a job: tasks with the same resource needs that may run concurrently.
struct StepSpec {
    int tasks { 1 };
    Resources need;
    Duration estimate { 0 }; // the caller's rough estimate of the run time of one task
    std::vector<int> after; // indices of earlier steps that must complete first
    bool savesCheckpoints { false };
    bool isGang { false }; // gang scheduling: tasks make progress only while all of them run
    bool wantsOneRack { false };
    std::string requiredLabel; // empty: no constraint
    RackId dataRack; // rack that holds the input data; empty: no preference
    int maxPerWorker { 0 }; // 0: no limit
    bool isSpeculative { false }; // redundant copies of a task may run concurrently
    bool isService { false }; // runs until the job is cancelled
    ImageId image;
    Duration tailLatencyTarget { 0 }; // of a service; 0: no target
    // Uses processor time left by others; no processors are reserved for it.
    bool isBestEffort { false };
    int maxUnavailable { 0 }; // disruption budget: tasks of a service that planned work may take down concurrently

    // Resources that a worker reserves for one task.
    Resources reserved() const;
};

// Number and times of the occurrences of a job.
struct Schedule {
    int occurrences { 0 }; // 0: run once, immediately
    std::int64_t firstUnixMs { 0 };
    std::int64_t intervalMs { 0 };

    bool isTimed() const { return occurrences > 0; }
    int count() const { return isTimed() ? occurrences : 1; }
    std::int64_t dueUnixMs(int occurrence) const { return firstUnixMs + occurrence * intervalMs; }
    // Number of occurrences that are due by this time; at least 1.
    int countDueBy(std::int64_t unixMs) const;
};

// Identifies one step of one occurrence of a job.
struct StepKey {
    JobId job;
    int occurrence { 0 };
    int step { 0 };

    friend auto operator<=>(const StepKey&, const StepKey&) = default;
    std::string text() const;
};

// Identifies one task of a job.
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

// Number of one start of a task. It increases with each start, also across a change of the coordinator.
enum class RunNumber : std::int64_t {};
constexpr std::int64_t number(RunNumber run) { return static_cast<std::int64_t>(run); }

enum class JobState { Pending, Running, Complete, Failed, Cancelled };
const char* name(JobState);

// An accepted job.
struct JobSpec {
    JobId id;
    QueueId queue;
    TeamId team; // empty if a queue without authentication accepted the job without an API key
    std::string payload; // opaque; passed to each task unchanged
    std::vector<StepSpec> steps;
    Schedule schedule;
    std::int64_t acceptedUnixMs { 0 };
};

// Whether a job that came over a network may be added: every step has tasks, follows earlier steps only, and has
// numbers within bounds that keep sums over many tasks from overflowing.
bool isConsistent(const JobSpec&);

// Approximate memory of a specification without its tasks.
std::size_t memoryOfSpecification(const JobSpec&);

// Number of tasks that a job may have open at once: those of the occurrences that are due within some minutes after its
// submission.
std::size_t maxOpenTasks(const JobSpec&, std::int64_t nowUnixMs);

// Approximate memory of a job and of the tasks that it may have open at once.
std::size_t memoryOf(const JobSpec&);

// How a run ended on its worker.
enum class RunEnd {
    Done,
    Failed, // task or worker error
    Stopped, // by a stop order
    LeaseExpired, // the lease on its worker expired
    GangMemberEnded, // another member of its gang ended, so the run was ended too
    GangIncomplete, // the other members of its gang did not start
    Lost, // the worker was removed or no longer knows the run
};
const char* name(RunEnd);

} // namespace marigoldlink
