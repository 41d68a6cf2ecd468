// All accepted jobs with the state of each task, and what may start next.
//
// The book knows nothing of workers beyond their names. Every change that must outlast the coordinator makes the job
// dirty; the journal writes it, and tells the book which version of the job is stored.
#pragma once

#include "marigoldlink/State/Fleet.h"
#include "marigoldlink/State/Jobs.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace marigoldlink {

// One run of a task that may be active on a worker.
struct ActiveRun {
    enum class Phase {
        Ordered, // the start was sent and not answered
        Running,
        Stopping, // a stop was sent; its room is in use until its end is listed
    };

    RunNumber number {};
    WorkerId worker;
    Phase phase { Phase::Ordered };
    TimePoint since; // of the order
    int percent { 0 }; // last reported pace
    std::int64_t load { 0 }; // last reported: tail in ms of a service with a target, else thousandths of a core
};

struct Task {
    bool isDone { false };
    int failures { 0 };
    // The runs whose failures are in the count. A successor sees an end again that was stored and not acknowledged, and
    // ends of given-up runs may be listed after those of later ones.
    std::set<RunNumber> countedRuns;
    RunNumber lastRun {};
    std::string checkpoint;
    std::optional<ActiveRun> run;
    // Runs that are not the task's own any more and may still be active: given up, or found when another was there.
    // Invariant: the task does not start while there are some.
    int strays { 0 };
    TimePoint notBefore; // waits after a failed run
};

struct Step {
    std::vector<Task> tasks;
    int done { 0 }; // invariant: number of tasks with isDone
    int active { 0 }; // invariant: number of tasks with a run
};

struct Occurrence {
    std::vector<Step> steps;
    TimePoint readySince; // when it was due here
    // Time that the steps which are not done need at the least, by the caller's estimates.
    Duration remainingChain { 0 };
};

struct Job {
    JobSpec spec;
    JobQueue queue; // as the last configuration that knew it had it
    JobState state { JobState::Pending };
    TimePoint acceptedAt;
    // True when this coordinator accepted it, so that no run of it is unknown here.
    bool isOwn { false };
    bool hasStarted { false };
    // Time that the whole job needs at the least, by the caller's estimates.
    Duration longestChain { 0 };
    std::map<int, Occurrence> occurrences; // those that are due and not done
    std::set<int> finishedOccurrences;
    std::optional<TimePoint> endedAt;
    // Invariant: storedVersion <= version; the job is dirty while they differ.
    std::uint64_t version { 0 };
    std::uint64_t storedVersion { 0 };
    // State that the store holds; only this is shown to callers.
    JobState storedState { JobState::Pending };

    // When the occurrence should have ended: it is worth most before.
    TimePoint objective(const Occurrence& occurrence) const
    {
        const auto stretched = static_cast<double>(longestChain.count()) * queue.stretch;
        return occurrence.readySince + Duration(static_cast<std::int64_t>(stretched)) + queue.slack;
    }
    bool isActive() const { return state == JobState::Pending || state == JobState::Running; }
    bool isDirty() const { return storedVersion < version; }
    const StepSpec& stepSpec(const TaskKey& key) const { return spec.steps[static_cast<std::size_t>(key.step)]; }
};

// The part of a job that changes, as it is stored.
struct JobProgress {
    JobState state { JobState::Pending };
    struct TaskProgress {
        bool isDone { false };
        int failures { 0 };
        std::string checkpoint;
        std::set<RunNumber> countedRuns; // see Task
    };
    std::map<TaskKey, TaskProgress> tasks; // only tasks with something to tell
    std::set<int> finishedOccurrences;
};

class JobBook {
public:
    // Adds a job that was just accepted. It counts as dirty until the journal stored it.
    Job& accept(JobSpec, const JobQueue&, TimePoint now);
    // Adds a job as the store holds it. Its runs are numbered from the first number on.
    Job& restore(JobSpec, const JobProgress&, const JobQueue&, TimePoint now, RunNumber firstRun);

    Job* find(const JobId&);
    const Job* find(const JobId&) const;
    Task* findTask(const TaskKey&);
    const std::map<JobId, std::unique_ptr<Job>>& jobs() const { return m_jobs; }
    // The jobs that are neither ended nor cancelled.
    const std::map<JobId, Job*>& activeJobs() const { return m_active; }
    // Those of them with a step whose turn has come and some task of which neither runs nor is done.
    const std::map<JobId, Job*>& openJobs() const { return m_open; }
    // Those with gangs, and those with steps that require a label.
    const std::map<JobId, Job*>& gangJobs() const { return m_gangs; }
    const std::map<JobId, Job*>& labelledJobs() const { return m_labelled; }
    void remove(const JobId&);

    struct Due {
        std::optional<std::int64_t> nextUnixMs; // due time of the next occurrence that is not open yet
        bool hasOpened { false };
    };
    // Opens the occurrences that are due by the wall clock.
    Due openDue(TimePoint now, std::int64_t wallMs);
    // Opens the occurrence of a run that a worker lists: it was due when an earlier coordinator started it.
    void openListed(const TaskKey&, TimePoint now);

    // Whether a task may start: its step's turn has come, it is not done and nothing of it runs.
    bool isStepReady(const Job&, const Occurrence&, int step) const;

    // A run begins. For a gang, call it for each member with one number.
    RunNumber nextRun(const Job&, const TaskKey&) const;
    void runOrdered(const TaskKey&, RunNumber, const WorkerId&, TimePoint now);
    // Whether a run that a worker lists may go on as the task's own.
    bool mayAdopt(const TaskKey&, RunNumber) const;
    // A run of an earlier coordinator was found on a worker.
    void runFound(const TaskKey&, RunNumber, const WorkerId&, TimePoint now);

    // A run has ended. Returns false when the end changes nothing, as the run is not known or counted already.
    bool runEnded(const TaskKey&, RunNumber, RunEnd, const std::string& checkpoint, TimePoint now);

    // Cancels a job. Its runs have to be stopped by the caller.
    bool cancel(const JobId&, TimePoint now);

    JobProgress progress(const Job&) const;
    void stored(const JobId&, std::uint64_t version, JobState);
    std::vector<JobId> takeDirty();
    void markDirty(Job&);

private:
    Occurrence& open(Job&, int occurrence, TimePoint now);
    // Brings m_open and what remains of the occurrences up to date after a change of the job's tasks.
    void updateOpen(Job&);
    void forgetActive(const JobId&);
    void taskDone(Job&, const TaskKey&, TimePoint now);
    void taskFailed(Job&, const TaskKey&, RunNumber, TimePoint now);
    void end(Job&, JobState, TimePoint now);
    void finishOccurrence(Job&, int occurrence, TimePoint now);

    std::map<JobId, std::unique_ptr<Job>> m_jobs;
    std::map<JobId, Job*> m_active; // invariant: the jobs that are neither ended nor cancelled
    // Invariant: parts of m_active, see openJobs() and what follows it; those with a schedule.
    std::map<JobId, Job*> m_open;
    std::map<JobId, Job*> m_gangs;
    std::map<JobId, Job*> m_labelled;
    std::map<JobId, Job*> m_timed;
    std::set<JobId> m_dirty;
    // Runs of restored jobs that start here are numbered above these; what is listed below is of an earlier
    // coordinator.
    std::map<JobId, RunNumber> m_firstRun;
};

} // namespace marigoldlink
