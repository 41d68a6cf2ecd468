// Sums over the steps of one job.
#include "marigoldlink/Coordination/JobLoads.h"

#include <algorithm>

namespace marigoldlink {

JobLoad loadOf(const JobTable& jobs, const Job& job)
{
    JobLoad load { job.queue.service, job.spec.team, job.queue.priority, {}, TimePoint::min() };
    if (!job.isActive())
        return load;
    for (const auto& [number, occurrence] : job.occurrences) {
        if (job.finishedOccurrences.contains(number))
            continue;
        // Placement::plan() counts a job as late after this time.
        load.yieldsAt
            = std::max(load.yieldsAt, job.objective(occurrence) - occurrence.remainingPathLength + Duration(1));
        for (std::size_t i = 0; i < occurrence.steps.size(); ++i) {
            const auto& step = occurrence.steps[i];
            const auto& spec = job.spec.steps[i];
            const auto milliCores = spec.reserved().milliCores;
            const auto open = static_cast<std::int64_t>(step.tasks.size()) - step.done;
            if (spec.isService) {
                load.sum.serviceMilliCores += open * milliCores;
                continue;
            }
            // A task that is done may have a run that is still being stopped.
            const auto running = std::min<std::int64_t>(open, step.active);
            load.sum.runningMilliCores += running * milliCores;
            load.sum.runningWork += running * milliCores * spec.estimate.count();
            load.sum.waitingWork += (open - running) * milliCores * spec.estimate.count();
            if (open > running && jobs.isStepReady(job, occurrence, static_cast<int>(i)))
                load.sum.waitingMilliCores += (open - running) * milliCores;
        }
    }
    return load;
}

} // namespace marigoldlink
