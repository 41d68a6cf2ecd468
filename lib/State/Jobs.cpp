// Resource arithmetic and text forms of jobs, tasks and run results.
#include "marigoldlink/State/Jobs.h"

#include <algorithm>

namespace marigoldlink {

Resources& Resources::operator+=(const Resources& other)
{
    milliCores += other.milliCores;
    memoryMegabytes += other.memoryMegabytes;
    accelerators += other.accelerators;
    return *this;
}

Resources& Resources::operator-=(const Resources& other)
{
    milliCores -= other.milliCores;
    memoryMegabytes -= other.memoryMegabytes;
    accelerators -= other.accelerators;
    return *this;
}

Resources elementwiseMax(const Resources& left, const Resources& right)
{
    return { std::max(left.milliCores, right.milliCores), std::max(left.memoryMegabytes, right.memoryMegabytes),
        std::max(left.accelerators, right.accelerators) };
}

Resources elementwiseMin(const Resources& left, const Resources& right)
{
    return { std::min(left.milliCores, right.milliCores), std::min(left.memoryMegabytes, right.memoryMegabytes),
        std::min(left.accelerators, right.accelerators) };
}

Resources StepSpec::reserved() const
{
    auto reserved = need;
    if (isBestEffort)
        reserved.milliCores = 0;
    return reserved;
}

std::string StepKey::text() const
{
    return job.value() + '.' + std::to_string(occurrence) + '.' + std::to_string(step);
}

std::string TaskKey::text() const { return stepKey().text() + '.' + std::to_string(index); }

std::ostream& operator<<(std::ostream& out, const TaskKey& key) { return out << key.text(); }

const char* name(JobState state)
{
    switch (state) {
    case JobState::Pending:
        return "pending";
    case JobState::Running:
        return "running";
    case JobState::Complete:
        return "complete";
    case JobState::Failed:
        return "failed";
    case JobState::Cancelled:
        return "cancelled";
    }
    return "unknown";
}

const char* name(RunEnd end)
{
    switch (end) {
    case RunEnd::Done:
        return "done";
    case RunEnd::Failed:
        return "failed";
    case RunEnd::Stopped:
        return "stopped";
    case RunEnd::LeaseExpired:
        return "lapsed";
    case RunEnd::GangMemberEnded:
        return "broken";
    case RunEnd::GangIncomplete:
        return "alone";
    case RunEnd::Lost:
        return "lost";
    }
    return "unknown";
}

bool isConsistent(const JobSpec& job)
{
    constexpr std::int64_t maxNumber = 1'000'000'000;
    constexpr std::int64_t maxTimeMs = 10'000'000'000'000;
    const auto isWithin = [](std::int64_t value, std::int64_t bound) { return value >= -bound && value <= bound; };
    for (std::size_t i = 0; i < job.steps.size(); ++i) {
        const auto& step = job.steps[i];
        const bool followsEarlierOnly = std::all_of(step.after.begin(), step.after.end(),
            [i](int earlier) { return earlier >= 0 && static_cast<std::size_t>(earlier) < i; });
        if (step.tasks < 1 || !followsEarlierOnly || !isWithin(step.need.milliCores, maxNumber)
            || !isWithin(step.need.memoryMegabytes, maxNumber) || !isWithin(step.need.accelerators, maxNumber)
            || !isWithin(step.estimate.count(), maxTimeMs) || !isWithin(step.tailLatencyTarget.count(), maxTimeMs)
            || !isWithin(step.maxPerWorker, maxNumber) || !isWithin(step.maxUnavailable, maxNumber))
            return false;
    }
    return !job.steps.empty() && isWithin(job.schedule.firstUnixMs, maxTimeMs)
        && isWithin(job.schedule.intervalMs, maxTimeMs);
}

std::size_t memoryOfSpecification(const JobSpec& job)
{
    std::size_t bytes = sizeof(JobSpec) + job.payload.size();
    for (const auto& step : job.steps) {
        bytes += sizeof(StepSpec) + step.after.size() * sizeof(int) + step.requiredLabel.size()
            + step.dataRack.value().size() + step.image.value().size();
    }
    return bytes;
}

int Schedule::countDueBy(std::int64_t unixMs) const
{
    if (!isTimed() || firstUnixMs >= unixMs)
        return 1;
    if (intervalMs <= 0)
        return occurrences;
    return static_cast<int>(std::min<std::int64_t>(occurrences, (unixMs - firstUnixMs) / intervalMs + 1));
}

std::size_t maxOpenTasks(const JobSpec& job, std::int64_t nowUnixMs)
{
    constexpr std::int64_t horizonMs = 600'000; // occurrences that are far apart have ended before the next one
    std::size_t tasks = 0;
    for (const auto& step : job.steps)
        tasks += static_cast<std::size_t>(std::max(step.tasks, 0));
    return tasks * static_cast<std::size_t>(job.schedule.countDueBy(nowUnixMs + horizonMs));
}

std::size_t memoryOf(const JobSpec& job)
{
    constexpr std::size_t bytesOfTask = 256; // 183 were measured
    return memoryOfSpecification(job) + maxOpenTasks(job, job.acceptedUnixMs) * bytesOfTask;
}

} // namespace marigoldlink
