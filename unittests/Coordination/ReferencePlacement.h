// A placement pass that reads all jobs and workers for each decision. The indexed one must start the same tasks.
#pragma once

#include "marigoldlink/Coordination/Placement.h"

namespace marigoldlink::testing {

class ReferencePlacement {
public:
    ReferencePlacement(const JobTable& jobs, const WorkerTable& workers, const FleetConfig& config,
        const TeamUsageTotals& use, Placement::IsUsable isUsable, Placement::IsAccountedFor isAccountedFor)
        : jobs(jobs)
        , workers(workers)
        , config(config)
        , use(use)
        , isUsable(std::move(isUsable))
        , isAccountedFor(std::move(isAccountedFor))
    {
    }

    bool onlyNeverStarted { false };
    std::set<TaskKey> blockedTasks;
    std::optional<std::set<ServiceId>> services;

    std::vector<PlannedStart> plan(TimePoint now, std::size_t most);

private:
    using Planned = std::map<WorkerId, std::vector<TaskKey>>;

    std::vector<ReadyStep> readySteps(TimePoint now) const;
    bool canStart(const TaskKey&, const Task&, TimePoint now) const;
    const Worker* bestWorker(const ReadyStep&, const RackId&) const;
    double cost(const ReadyStep&, const Worker&) const;
    int tasksOfStep(const ReadyStep&, const Worker&) const;
    Resources remaining(const Worker&) const;
    // Plans a task if its team's limit and the workers allow it. Returns the worker, or null.
    const Worker* start(const ReadyStep&, int index, const RackId&, std::vector<PlannedStart>&);

    const JobTable& jobs;
    const WorkerTable& workers;
    const FleetConfig& config;
    TeamUsageTotals use;
    Placement::IsUsable isUsable;
    Placement::IsAccountedFor isAccountedFor;
    Planned m_planned;
};

} // namespace marigoldlink::testing
