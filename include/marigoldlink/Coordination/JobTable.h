// In-memory table of all accepted jobs: the state of each task, and which tasks may start next.
//
// Workers are known here only by their ids. Every change that must survive a change of coordinator marks the job
// dirty; the journal writes the job and reports which version of it is stored.
#pragma once

#include "marigoldlink/Coordination/PoolDemandIndex.h"
#include "marigoldlink/Coordination/ReadyIndex.h"
#include "marigoldlink/State/Fleet.h"
#include "marigoldlink/State/Jobs.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace marigoldlink {

// A run of a task that may be active on a worker.
struct ActiveRun {
    enum class Phase {
        Ordered, // the start request was sent and has no answer yet
        Running,
        Stopping, // a stop request was sent; its resources count as used until the worker reports its end
    };

    RunNumber number {};
    WorkerId worker;
    Phase phase { Phase::Ordered };
    TimePoint since; // when the start was requested
    int percent { 0 }; // last reported speed, in percent; less than 100 while throttled or starting
    // Last reported: tail latency in ms for a service with a target, else use in thousandths of a core.
    std::int64_t load { 0 };
};

struct Task {
    bool isDone { false };
    int failures { 0 };
    // Runs whose failures are included in the count. The set prevents double counting: a successor sees an end again if
    // it was stored but not acknowledged, and ends of abandoned runs may be reported after ends of later runs.
    std::set<RunNumber> countedRuns;
    RunNumber lastRun {};
    std::string checkpoint;
    std::optional<ActiveRun> run;
    // Runs that may still be active but are no longer tracked in `run`: abandoned ones, and those found on a worker
    // while the task had another run. Invariant: the task does not start while this is not 0.
    int orphanedRuns { 0 };
    TimePoint notBefore; // earliest next start, after a failed run
};

struct Step {
    std::vector<Task> tasks;
    int done { 0 }; // invariant: number of tasks with isDone
    int active { 0 }; // invariant: number of tasks with a run
};

struct Occurrence {
    std::vector<Step> steps;
    TimePoint openedAt; // when this coordinator opened it
    // Length of the critical path through the unfinished steps, from the caller's estimates.
    Duration remainingPathLength { 0 };
};

struct Job {
    JobSpec spec;
    JobQueue queue; // from the last configuration that contained it
    JobState state { JobState::Pending };
    TimePoint acceptedAt;
    // True when this coordinator accepted the job, so that it knows every run of it.
    bool wasAcceptedHere { false };
    bool hasStarted { false };
    // Length of the critical path through all steps, from the caller's estimates.
    Duration criticalPathLength { 0 };
    std::map<int, Occurrence> occurrences; // by number; only those that have been opened
    std::set<int> finishedOccurrences;
    std::optional<TimePoint> endedAt;
    // Invariant: storedVersion <= version; the job is dirty while they differ.
    std::uint64_t version { 0 };
    std::uint64_t storedVersion { 0 };
    // State in the store. Callers are shown only this one.
    JobState storedState { JobState::Pending };
    // Kept by JobTable: whether the job is included in its counts of unstarted and of waiting jobs.
    bool isCountedUnstarted { false };
    bool isCountedWaiting { false };

    // Time by which the occurrence should end. A job has its full value only if it ends before.
    TimePoint objective(const Occurrence& occurrence) const
    {
        const auto stretched = static_cast<double>(criticalPathLength.count()) * queue.objectiveFactor;
        return occurrence.openedAt + Duration(static_cast<std::int64_t>(stretched)) + queue.objectiveAllowance;
    }
    bool isActive() const { return state == JobState::Pending || state == JobState::Running; }
    bool isDirty() const { return storedVersion < version; }
    const StepSpec& stepSpec(const TaskKey& key) const { return spec.steps[static_cast<std::size_t>(key.step)]; }
};

// Whether all steps that precede this one are done.
bool isStepReady(const Job&, const Occurrence&, int step);

// The mutable part of a job, as it is stored.
struct JobProgress {
    JobState state { JobState::Pending };
    struct TaskProgress {
        bool isDone { false };
        int failures { 0 };
        std::string checkpoint;
        std::set<RunNumber> countedRuns; // see Task
    };
    std::map<TaskKey, TaskProgress> tasks; // only tasks that differ from a new one
    std::set<int> finishedOccurrences;
};

class JobTable {
public:
    // Adds a job that was just accepted. The caller has to store it before it may start.
    Job& accept(JobSpec, const JobQueue&, TimePoint now);
    // Adds a job that was read from the store. New runs of its tasks get numbers above firstRun.
    Job& restore(JobSpec, const JobProgress&, const JobQueue&, TimePoint now, RunNumber firstRun);

    Job* find(const JobId&);
    const Job* find(const JobId&) const;
    Task* findTask(const TaskKey&);
    const std::map<JobId, std::unique_ptr<Job>>& jobs() const { return m_jobs; }
    // The jobs that are neither ended nor cancelled.
    const std::map<JobId, Job*>& activeJobs() const { return m_active; }
    // Active jobs with a step whose predecessors are done and which has a task that neither runs nor is done.
    const std::map<JobId, Job*>& schedulableJobs() const { return m_schedulable; }
    // Active jobs that have a gang step, and those that have a step with a required label.
    const std::map<JobId, Job*>& gangJobs() const { return m_gangs; }
    const std::map<JobId, Job*>& labelledJobs() const { return m_labelled; }
    // Jobs of gangJobs() with a gang of which some, but not all, members have a run.
    const std::map<JobId, Job*>& incompleteGangJobs() const { return m_incompleteGangs; }
    // Labels that steps of active jobs of the service require, with the number of these steps.
    const std::map<std::string, int>& requiredLabels(const ServiceId&) const;
    // The waiting steps, with their lateness at this time.
    const ReadyIndex& readyIndex(TimePoint now) const;
    const std::map<ServiceId, PoolDemand>& poolDemands(const PoolDemandIndex::FleetBounds& bounds)
    {
        return m_demands.demands(bounds);
    }
    // Number of active jobs that have not started: all of them, and the stored ones of a queue.
    std::size_t unstartedJobs() const { return m_unstarted; }
    std::int64_t waitingJobs(const QueueId&) const;
    void setQueue(const JobId&, const JobQueue&);
    void remove(const JobId&);

    struct OpenDueResult {
        std::optional<std::int64_t> nextUnixMs; // due time of the next occurrence that is not yet open
        bool hasOpened { false };
    };
    // Opens all occurrences whose wall-clock time has come.
    OpenDueResult openDueOccurrences(TimePoint now, std::int64_t wallMs);
    // Opens the occurrence of a run that a worker reports. A predecessor started the run, so it was due then.
    void openReportedOccurrence(const TaskKey&, TimePoint now);

    bool isStepReady(const Job& job, const Occurrence& occurrence, int step) const
    {
        return marigoldlink::isStepReady(job, occurrence, step);
    }

    // nextRun() returns the number for the next run, and runOrdered() records its start. All members of a gang get the
    // same number; call runOrdered() for each of them.
    RunNumber nextRun(const Job&, const TaskKey&) const;
    void runOrdered(const TaskKey&, RunNumber, const WorkerId&, TimePoint now);
    // Whether a run that a worker reports may be adopted as the current run of its task.
    bool mayAdopt(const TaskKey&, RunNumber) const;
    // Adopts a run of a predecessor that was found on a worker.
    void adoptRun(const TaskKey&, RunNumber, const WorkerId&, TimePoint now);

    // Records the end of a run. Returns false if the task is unknown, or if its job or the task has already ended and
    // the run is not the current one.
    bool runEnded(const TaskKey&, RunNumber, RunEnd, const std::string& checkpoint, TimePoint now);

    // Cancels a job. The caller has to stop its runs.
    bool cancel(const JobId&, TimePoint now);

    JobProgress progress(const Job&) const;
    void markStored(const JobId&, std::uint64_t version, JobState);
    std::vector<JobId> takeDirty();
    void markDirty(Job&);

private:
    Occurrence& open(Job&, int occurrence, TimePoint now);
    // Update the indices after a change of the job.
    void updateIndices(Job&);
    void updateCounts(Job&, bool isUnstarted);
    void addRequiredLabels(const Job&, int change);
    void removeFromIndices(Job&);
    void taskDone(Job&, const TaskKey&, TimePoint now);
    void taskFailed(Job&, const TaskKey&, RunNumber, TimePoint now);
    void end(Job&, JobState, TimePoint now);
    void finishOccurrence(Job&, int occurrence, TimePoint now);

    std::map<JobId, std::unique_ptr<Job>> m_jobs;
    std::unordered_map<JobId, Job*> m_jobsById; // invariant: exactly the jobs of m_jobs
    std::map<JobId, Job*> m_active; // invariant: exactly the jobs that are neither ended nor cancelled
    // Invariant: subsets of m_active. For the first three see schedulableJobs(), gangJobs() and labelledJobs(); m_timed
    // holds the jobs with a schedule.
    std::map<JobId, Job*> m_schedulable;
    std::map<JobId, Job*> m_gangs;
    std::map<JobId, Job*> m_labelled;
    std::map<JobId, Job*> m_timed;
    std::map<JobId, Job*> m_incompleteGangs;
    std::map<ServiceId, std::map<std::string, int>> m_requiredLabels;
    // Its order depends on the time, so readyIndex() changes it.
    mutable ReadyIndex m_ready;
    PoolDemandIndex m_demands;
    std::size_t m_unstarted { 0 };
    std::map<QueueId, std::int64_t> m_waitingByQueue;
    std::set<JobId> m_dirty;
    // For restored jobs: runs that this coordinator starts get numbers above these, so that a reported run with a lower
    // number was started by a predecessor.
    std::map<JobId, RunNumber> m_firstRun;
};

} // namespace marigoldlink
