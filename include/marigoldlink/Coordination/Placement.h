// Chooses which task starts next, and on which worker.
//
// Placement has no side effects: it reads the jobs and workers and returns starts. The caller records and sends them.
#pragma once

#include "marigoldlink/Coordination/AdviceCache.h"
#include "marigoldlink/Coordination/JobTable.h"
#include "marigoldlink/Coordination/WorkerTable.h"
#include "marigoldlink/Scheduling/Reservations.h"
#include "marigoldlink/Scheduling/RunTimes.h"
#include "marigoldlink/Scheduling/TeamShares.h"

#include <functional>
#include <optional>
#include <set>
#include <vector>

namespace marigoldlink {

// Resources used by the running tasks of each team, checked against the team's limit.
class TeamUsageTotals {
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
    TimePoint objective; // the job has its full value only if it ends before this
    bool isLate { false }; // by its estimates it can no longer meet the objective
    int priority { 0 }; // of the job's queue
    bool isService { false };
    // If shares hold in its pool: whether it is of no more use to its caller, and whether its team has used up its
    // allotment.
    bool isShared { false };
    bool isUseless { false };
    bool isOverShare { false };
    int firstTask { 0 }; // the tasks before this one were planned or could not start

    StepKey key() const { return { job->spec.id, occurrence, step }; }
    const StepSpec& spec() const { return job->spec.steps[static_cast<std::size_t>(step)]; }
};

ReadyStep readyStep(const Job&, int occurrenceNumber, const Occurrence&, int step, TimePoint now);
// What decides which steps get reservations, and which tasks a reservation holds back.
Claimant claimantOf(const ReadyStep&, TimePoint now);
// The worker with the expected ends of its runs.
WorkerOutlook outlookOf(const Worker&);

// Workers that could run a step whose queue needs advice, in order of preference.
struct AdviceRequest {
    StepKey step;
    std::vector<WorkerIncarnation> candidates;
    std::size_t workers { 0 }; // number of these workers that the waiting tasks need
};

class Placement {
public:
    using IsUsable = std::function<bool(const Worker&)>;
    // False while a worker may have an active run of the job that is unknown here, or while a successor would not know
    // where to look for the job's runs. It must be the same for all jobs with the same queue, service and
    // Job::wasAcceptedHere, since a plan asks once for all of them.
    using IsAccountedFor = std::function<bool(const Job&)>;

    Placement(const JobTable& jobs, const WorkerTable& workers, const FleetConfig& config, const TeamUsageTotals& use,
        const AdviceCache& advice, IsUsable isUsable, IsAccountedFor isAccountedFor)
        : m_jobs(jobs)
        , m_workers(workers)
        , m_config(config)
        , m_use(use)
        , m_advice(advice)
        , m_isUsable(std::move(isUsable))
        , m_isAccountedFor(std::move(isAccountedFor))
    {
    }

    // If set, starts only tasks that have never run. Needed while another coordinator may be active: the end of an
    // earlier run may be known only there.
    void setOnlyNeverStarted(bool onlyNeverStarted) { m_onlyNeverStarted = onlyNeverStarted; }

    // Tasks that must not be started, since a run of them that is unknown here may be active.
    void setBlockedTasks(std::set<TaskKey> tasks) { m_blockedTasks = std::move(tasks); }

    // Restricts planning to the queues of these services. By default all services are planned.
    void setServices(std::set<ServiceId> services) { m_services = std::move(services); }

    // Divides the capacity of the short pools. Null: no shares. The allotments must outlive the plan.
    void setAllotments(const TeamAllotments* allotments) { m_allotments = allotments; }

    // Keeps reserved room free of other tasks, and reports the steps that find no room. By default there are no
    // reservations.
    void setReservations(const Reservations& reservations, const RunTimes& runTimes)
    {
        m_reservations = &reservations;
        m_runTimes = &runTimes;
    }

    struct Result {
        std::vector<PlannedStart> starts; // in order of decreasing priority
        std::vector<AdviceRequest> adviceRequests; // of steps that lack advice, in order of decreasing priority
        bool hasTeamAtLimit { false }; // some task cannot start because of its team's limit
        std::size_t heldBack { 0 }; // steps of which a task would have started without reservations
    };
    // Returns the starts to send now, at most `most` of them; a gang is planned completely, even beyond that.
    Result plan(TimePoint now, std::size_t most) const;

    // With reservations: the most urgent steps of each service that found no room and have no reservation, a bounded
    // number. To be called once the starts of a plan are recorded that had less of them than were allowed.
    std::map<ServiceId, std::vector<UnplacedStep>> unplacedSteps(TimePoint now) const;
    // The tasks of a reserved step that could start now, given room.
    Reservations::StepStatus reservedStepStatus(const ServiceId&, const StepKey&, TimePoint now) const;

    // Returns the steps with waiting tasks, in order of decreasing priority.
    std::vector<ReadyStep> readySteps(TimePoint now) const;

private:
    struct Candidates;
    struct Cursor;
    // Returns a cursor before the first step of each group of the services that are planned.
    std::vector<Cursor> cursors(TimePoint now) const;
    // Moves the cursor to the next step of its group that is not skipped. Returns false if there is none.
    bool advance(Cursor&, const ReadyTree::Skip&) const;
    // Whether no step of the cursor's group with at least these needs can start.
    static bool cannotStart(const Cursor&, const ReadyTree::Needs&, Candidates&);
    // Adds the usable workers with room to the candidates and removes the cursors of groups that have none.
    void addWorkers(std::vector<Cursor>&, Candidates&) const;
    bool canStart(const TaskKey&, const Task&, TimePoint now) const;
    // Both return the number of tasks for which no worker was found.
    std::size_t planStep(
        const ReadyStep&, TimePoint now, Candidates&, std::size_t most, std::vector<PlannedStart>&) const;
    std::size_t planGang(
        const ReadyStep&, TimePoint now, Candidates&, std::size_t most, std::vector<PlannedStart>&) const;
    AdviceRequest adviceRequest(const ReadyStep&, std::size_t tasks, const Candidates&) const;
    // The tasks of a step that could start now, given room.
    int startableTasks(const ReadyStep&, TimePoint now) const;
    UnplacedStep unplacedStep(const ReadyStep&, TimePoint now) const;
    // Adds those of the first steps of each tree of the group that have no reservation.
    void addFirstSteps(
        const ServiceId&, const ReadyIndex::Group&, std::size_t count, TimePoint now, std::vector<ReadyStep>&) const;
    // Whether the step at the cursor has a reservation. Such steps are planned apart from their group.
    bool isReserved(const Cursor&) const;
    void addReservedSteps(std::vector<Cursor>&, const Candidates&) const;
    // The step, if it belongs to the service and its predecessors are done.
    std::optional<ReadyStep> findReady(const ServiceId&, const StepKey&, TimePoint now) const;
    // What is compared with the reservations of its service, if there are any.
    struct Attempt;
    std::optional<Attempt> attempt(const ReadyStep&, TimePoint now, Candidates&) const;
    // When a task of the step ends by the upper estimate, if it starts now.
    TimePoint upperEnd(const ReadyStep&, TimePoint now) const;

    const JobTable& m_jobs;
    const WorkerTable& m_workers;
    const FleetConfig& m_config;
    const TeamUsageTotals& m_use;
    const AdviceCache& m_advice;
    IsUsable m_isUsable;
    IsAccountedFor m_isAccountedFor;
    bool m_onlyNeverStarted { false };
    std::set<TaskKey> m_blockedTasks;
    std::optional<std::set<ServiceId>> m_services;
    const TeamAllotments* m_allotments { nullptr };
    const Reservations* m_reservations { nullptr };
    const RunTimes* m_runTimes { nullptr }; // set with m_reservations
};

} // namespace marigoldlink
