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

} // namespace marigoldlink
