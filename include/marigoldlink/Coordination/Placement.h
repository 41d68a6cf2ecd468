// Which task starts next, and on which worker.
//
// Pure: it reads the books and returns starts; the caller records and sends them.
#pragma once

#include "marigoldlink/Coordination/AdviceBook.h"
#include "marigoldlink/Coordination/JobBook.h"
#include "marigoldlink/Coordination/WorkerBook.h"

#include <functional>
#include <optional>
#include <set>
#include <vector>

namespace marigoldlink {

// Running tasks of each team, against its limit.
class TeamUse {
public:
    void add(const TeamId&, const Resources&);
    void subtract(const TeamId&, const Resources&);
    bool allows(const JobTeam*, const TeamId&, const Resources& more) const;
    double milliCores(const TeamId&) const;

private:
    std::map<TeamId, Resources> m_used;
};

struct PlannedStart {
    TaskKey task;
    RunNumber run {};
    WorkerId worker;
};

// A step of one occurrence with tasks that could start now.
struct ReadyStep {
    const Job* job { nullptr };
    int occurrence { 0 };
    int step { 0 };
    TimePoint objective; // the job is worth most when it ends before this
    bool isLate { false }; // it cannot meet the objective any more

    StepKey key() const { return { job->spec.id, occurrence, step }; }
    const StepSpec& spec() const { return job->spec.steps[static_cast<std::size_t>(step)]; }
};

// Workers that could run a step whose queue needs advice, best first.
struct AdviceNeed {
    StepKey step;
    std::vector<WorkerLife> candidates;
    std::size_t workers { 0 }; // so many of them would take the tasks that wait
};

class Placement {
public:
    using IsUsable = std::function<bool(const Worker&)>;
    // False while a run of the job that is not known here may be active on a worker of its service.
    using IsAccountedFor = std::function<bool(const Job&)>;

    Placement(const JobBook& jobs, const WorkerBook& workers, const FleetConfig& config, const TeamUse& use,
        const AdviceBook& advice, IsUsable isUsable, IsAccountedFor isAccountedFor)
        : m_jobs(jobs)
        , m_workers(workers)
        , m_config(config)
        , m_use(use)
        , m_advice(advice)
        , m_isUsable(std::move(isUsable))
        , m_isAccountedFor(std::move(isAccountedFor))
    {
    }

    // While another coordinator may exist, a task that has run before is not started: its end may be known only there.
    void setFirstRunsOnly(bool isFirstRunsOnly) { m_isFirstRunsOnly = isFirstRunsOnly; }

    // Tasks that are not started: a run of them that is not known here may be active.
    void setTasksOutOfReach(std::set<TaskKey> tasks) { m_outOfReach = std::move(tasks); }

    // Plans for the queues of these services alone. Without a call it plans for all.
    void setServices(std::set<ServiceId> services) { m_services = std::move(services); }

    struct Result {
        std::vector<PlannedStart> starts; // most urgent first
        std::vector<AdviceNeed> adviceNeeds; // of steps that wait for it, most urgent first
        bool hasTeamAtLimit { false }; // some task waits for its team's limit, whatever room there is
    };
    // Starts to order now, at most so many.
    Result plan(TimePoint now, std::size_t most) const;

    // Steps that wait, most urgent first.
    std::vector<ReadyStep> readySteps(TimePoint now) const;

private:
    struct Candidates;
    // Steps that wait, in no order.
    std::vector<ReadyStep> waitingSteps(TimePoint now) const;
    bool mayStart(const TaskKey&, const Task&, TimePoint now) const;
    // Both return how many tasks of the step are left without a worker.
    std::size_t planStep(
        const ReadyStep&, TimePoint now, Candidates&, std::size_t most, std::vector<PlannedStart>&) const;
    std::size_t planGang(const ReadyStep&, TimePoint now, Candidates&, std::vector<PlannedStart>&) const;
    AdviceNeed adviceNeed(const ReadyStep&, std::size_t tasks, const Candidates&) const;

    const JobBook& m_jobs;
    const WorkerBook& m_workers;
    const FleetConfig& m_config;
    const TeamUse& m_use;
    const AdviceBook& m_advice;
    IsUsable m_isUsable;
    IsAccountedFor m_isAccountedFor;
    bool m_isFirstRunsOnly { false };
    std::set<TaskKey> m_outOfReach;
    std::optional<std::set<ServiceId>> m_services;
};

} // namespace marigoldlink
