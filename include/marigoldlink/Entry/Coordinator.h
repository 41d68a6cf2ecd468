// The owner of the fleet's pools: keeps all jobs, places tasks, follows workers, journals what must last.
//
// It is a state machine without sockets, clocks or logs of its own: each call takes the time and an event, and leaves
// orders to be taken with takeOrders(). All that must outlast it lies in the key-value service and with the workers.
#pragma once

#include "marigoldlink/Coordination/JobBook.h"
#include "marigoldlink/Coordination/Placement.h"
#include "marigoldlink/Coordination/PoolSizer.h"
#include "marigoldlink/Coordination/WavePlan.h"
#include "marigoldlink/Coordination/WorkerBook.h"
#include "marigoldlink/Entry/Measurements.h"
#include "marigoldlink/Entry/Orders.h"

#include <functional>
#include <string_view>
#include <utility>

namespace marigoldlink {

struct CoordinatorSettings {
    Duration lease { 3000 }; // what runs is held this long after each order or look
    Duration longestLease { 6000 }; // what a worker grants at most
    Duration earlierOrders { 4000 }; // an earlier coordinator may order for this long after it lost the ownership
    Duration statusKept { 120000 }; // ended jobs are told of for at least this long
    Duration maintenanceTime { 2000 }; // an instance is away this long
    Duration moveTime { 1500 };
    Duration instanceCallTime { 1500 }; // an order for an instance is carried out within it, or never
    bool comparesInstanceFences { true }; // an order for an instance with a fence lower than an earlier one is refused
    std::string waveStatusPrefix { "wave-status/" }; // keys under which operators read the state of waves
};

// A line of the decision log. Bounded and written by the adapter.
struct Decision {
    std::string subject; // "job", "task", "worker", "wave" ...
    std::string id;
    std::string text;
};

using DecisionLog = std::function<void(const Decision&)>;

// Where a coordinator tells of what it decides and measures. Either may be empty.
struct CoordinatorSinks {
    DecisionLog log;
    MeasurementSink measure;
};

class Coordinator {
public:
    Coordinator(CoordinatorSettings, Term, Journal, TimePoint now, CoordinatorSinks);

    // The state of the store, to be told before the first tick.
    void restoreJob(JobSpec, const JobProgress&, TimePoint now);
    void restoreWave(const WaveId&, std::set<std::string> finished);
    // See WorkerRecord for the runs.
    void restoreWorker(const WorkerEntry&, std::optional<std::set<TaskKey>> onlyRuns, TimePoint now);
    // From here on it decides. Before, it only follows the workers.
    void restored(TimePoint now);

    // What operators and the registry say.
    void setOperators(const OperatorState&, TimePoint now);
    void workerEntry(const WorkerEntry&, TimePoint now);
    void workerEntryRemoved(const WorkerId&, TimePoint now);
    void instancesListed(std::vector<FleetInstance>, TimePoint now);

    // Callers.
    void submit(CallToken, JobSpec, TimePoint now);
    void cancel(CallToken, const JobId&, TimePoint now);
    Reply look(const JobId&) const;
    Reply waiting(const QueueId&) const;

    // Until this time no other coordinator can have been elected, as far as is known.
    void setSureUntil(TimePoint time) { m_sureUntil = time; }

    // Answers to orders.
    void startAnswered(const WorkerLife&, const TaskKey&, RunNumber, StartAnswer, std::int64_t clockMs, TimePoint now);
    void stopAnswered(const WorkerLife&, const TaskKey&, RunNumber, StopAnswer, TimePoint now);
    void lookAnswered(const WorkerLife&, const LookAnswer&, TimePoint now);
    void journalAnswered(JournalAnswer, Revision head, TimePoint now);
    void headRead(Revision head, std::uint64_t number, TimePoint now);
    void adviceAnswered(const AdviceOrder&, const AdviceAnswer&, TimePoint now);
    void instanceAnswered(const std::string& instance, InstanceAnswer, TimePoint now);

    // Does what is due. The wall clock is in Unix milliseconds.
    void tick(TimePoint now, std::int64_t wallMs);
    // When tick() is due next, at the latest.
    TimePoint nextTick() const { return m_nextTick; }

    std::vector<Order> takeOrders() { return std::exchange(m_orders, {}); }

    // Another coordinator has taken over; this one must not order any more.
    bool isDeposed() const { return m_isDeposed || m_journal.hasLost(); }

    const JobBook& jobs() const { return m_jobs; }
    const WorkerBook& workers() const { return m_workers; }
    const Term& term() const { return m_term; }

private:
    struct PendingReply {
        CallToken token {};
        std::uint64_t version { 0 };
        Reply reply;
    };
    struct StoredMark {
        JobId job;
        std::uint64_t version { 0 };
        JobState state { JobState::Pending };
    };

    void log(const std::string& subject, const std::string& id, const std::string& text) const;
    void measure(const Measurement&) const;
    const JobQueue& queueOf(const JobSpec&) const;

    // Jobs and the journal.
    void flushJobs(TimePoint now);
    void sendJournal(TimePoint now);
    void batchStored(const JournalBatch&, TimePoint now);
    void releaseReplies(const JobId&);
    void forgetOldJobs(TimePoint now);
    // Refuses submissions whose record has waited too long to be sent, so that their callers can come back.
    void refuseUnsent(TimePoint now);

    // Runs.
    bool isUsable(const Worker&, TimePoint now) const;
    // What an earlier coordinator may have running on workers that have not answered yet.
    struct EarlierRuns {
        std::set<ServiceId> services; // any task of these
        std::set<TaskKey> tasks;
        bool areKnown { true }; // no worker may hold any
    };
    EarlierRuns earlierRuns() const;
    void placeTasks(TimePoint now);
    // Something changed for the tasks of a service, or for all.
    void placeSoon(const ServiceId&);
    void placeAllSoon();
    // Places again at that time: a task or a worker that is left out for a while may be used again.
    void placeAgainAt(TimePoint time) { m_nextPlacement = std::min(m_nextPlacement, time); }
    void askAdvice(const AdviceNeed&, TimePoint now);
    // Counts a run against its worker and its team.
    void occupy(const WorkerId&, const TaskKey&, RunNumber);
    void orderStart(const PlannedStart&, TimePoint now);
    void orderStop(const WorkerId&, const TaskKey&, RunNumber, TimePoint now);
    void stopRunsOf(const Job&, TimePoint now);
    void runOver(const WorkerId&, const TaskKey&, RunNumber, RunEnd, const std::string& checkpoint, TimePoint now);
    void stopLoneGangs(TimePoint now);

    // Workers.
    void beginLife(Worker&, std::int64_t bornUnixMs, TimePoint now);
    void takeEnds(Worker&, const std::vector<ListedEnd>&, TimePoint now);
    void takeRunning(Worker&, const LookAnswer&, TimePoint now);
    void takeRun(Worker&, const ListedRun&, TimePoint now);
    void dropForgotten(Worker&, const LookAnswer&, TimePoint now);
    void advanceAcknowledged(Worker&) const;
    // While it is not sure, another coordinator may keep runs alive on workers that this one does not reach.
    bool isSure(TimePoint now) const { return now < m_sureUntil; }
    // A successor counts on no order after this time, and waits for leases that were given before it.
    bool mayOrder(TimePoint now) const
    {
        return m_sureUntil == TimePoint::max() || now < m_sureUntil + m_settings.earlierOrders;
    }
    void lookAtWorkers(TimePoint now);
    // Looks at the worker at that time, or at the end of the look that is under way.
    void lookAt(Worker&, TimePoint);
    void orderLook(Worker&, TimePoint now);
    void forgetMissing(TimePoint now);
    void forgetWorker(const WorkerId&);
    void dropLapsed(TimePoint now);
    // The worker does not answer: its record will say what may run there.
    void stoppedAnswering(Worker&);
    // No lease that an earlier coordinator gave holds from then on.
    TimePoint earlierLeasesLapsedBy() const;
    void paceFillers(Worker&, TimePoint now);

    // Instances.
    // The owner's lease is sure, and no order of an earlier coordinator can follow one of this.
    bool mayChangeInstances(TimePoint now) const;
    void listInstances(TimePoint now);
    void runWaves(TimePoint now);
    // Stops the services on a worker that is kept free, as far as each can spare a task.
    void drainServices(Worker&, TimePoint now);
    void sizePools(TimePoint now);
    // Needs by the label that they require; those of all tasks stand under the empty one.
    using LabelledNeed = std::map<std::string, Resources>;
    // The most that instances with a label have; of all instances under the empty one.
    using FleetBounds = std::map<std::string, Resources>;
    FleetBounds fleetBounds() const;
    LabelledNeed occurrenceNeed(const Job&, const Occurrence&, const FleetBounds&) const;
    bool followsOpenSteps(const Job&, const Occurrence&, const StepSpec&) const;
    std::map<ServiceId, PoolDemand> poolDemands(TimePoint now) const;
    void reportPools(const std::map<ServiceId, PoolDemand>&, const std::vector<SizedInstance>&) const;
    SizedInstance sized(const FleetInstance&, TimePoint now) const;
    void maintained(FleetInstance&, TimePoint now);
    void moveRefused(const std::string& instance, InstanceAnswer, TimePoint now);
    void moved(FleetInstance&, const ServiceId& pool, TimePoint now);
    // The instance has arrived, or stays where it was.
    void moveEnded(const std::string& instance, TimePoint now);
    // A call for its instance was accepted. It may have been carried out before, for an earlier coordinator or after a
    // lost answer, and then the worker of now goes on: the next list tells.
    void workerMayHaveEnded(const FleetInstance&, TimePoint now);
    void settleEndingWorkers(TimePoint now);
    void workerEnded(const WorkerId&, TimePoint now);
    WaveLoad waveLoad(const std::string& instance, TimePoint now) const;
    // A service's task that its worker has reported at full work a moment ago.
    bool isAtWork(const Task&, TimePoint now) const;
    // Tasks of a step that are not at work.
    int awayTasks(const Occurrence&, int step, TimePoint now) const;

    CoordinatorSettings m_settings;
    Term m_term;
    Journal m_journal;
    TimePoint m_startedAt;
    TimePoint m_sureUntil { TimePoint::max() };
    CoordinatorSinks m_sinks;
    OperatorState m_operators;
    JobBook m_jobs;
    WorkerBook m_workers;
    TeamUse m_use;
    AdviceBook m_advice { {} };
    std::map<JobId, std::vector<PendingReply>> m_replies;
    std::map<std::string, StoredMark> m_waitingMarks; // by record key
    std::map<std::string, StoredMark> m_batchMarks; // of the batch under way
    TimePoint m_batchSentAt;
    std::uint64_t m_batchNumber { 0 }; // of the batch that was sent last
    std::set<WorkerId> m_unrecorded; // workers whose record is not given to the journal yet
    std::set<JobId> m_unwritten; // accepted, and the record not given to the journal yet
    std::map<JobId, TimePoint> m_unstored; // accepted, and the record not stored yet
    std::map<std::pair<WorkerId, TaskKey>, TimePoint> m_stopRetries; // next time to send the stop again
    std::map<std::pair<WorkerId, TaskKey>, TimePoint> m_confirmedAt; // the worker surely knew the run from then on
    struct DoubtfulStart {
        RunNumber run {};
        TimePoint at;
    };
    // Starts that were not answered, by worker. They may be carried out late, even by the worker's next life.
    std::map<WorkerId, std::map<TaskKey, DoubtfulStart>> m_doubtfulStarts;
    std::map<WorkerId, TimePoint> m_nextPace;
    // Invariant: a worker without a look under way stands here with its next look; other entries mean nothing.
    std::multimap<TimePoint, WorkerId> m_looksDue;
    std::set<WorkerId> m_withPendingEnds; // invariant: the workers with ends that are not acknowledged
    bool m_mayHaveEarlierRuns { false }; // some worker may hold runs of an earlier coordinator
    TimePoint m_nextLapseCheck;
    TimePoint m_nextMissingCheck;

    std::map<std::string, FleetInstance> m_instances;
    WavePlan m_waves;
    bool m_areWorkersReserved { false }; // some may be kept free for a wave
    TimePoint m_nextList;
    TimePoint m_listAskedAt;
    bool m_isListing { false };
    struct EndingWorker {
        std::string instance;
        TimePoint since;
    };
    std::map<WorkerId, EndingWorker> m_endingWorkers;
    std::set<std::string> m_maintenanceUnderWay; // calls without an answer yet
    PoolSizer m_sizer { {} };
    std::map<ServiceId, ArrivalForecast> m_arrivals;
    struct Move {
        ServiceId pool;
        TimePoint since;
    };
    // Instances on their way, until the list shows them up in their new pool.
    std::map<std::string, Move> m_moves;
    std::map<std::string, std::set<ServiceId>> m_barredPools; // pools that refused an instance as of another kind
    std::map<std::string, TimePoint> m_moveNotBefore; // of instances whose move was refused
    std::map<std::string, TimePoint> m_idleSince; // of instances without runs
    TimePoint m_nextSizing;
    TimePoint m_nextPoolReport;
    // Writes of the journal since the last report.
    struct JournalTally {
        int stored { 0 };
        int notStored { 0 };
        std::size_t records { 0 };
        Duration longest { 0 };
    };
    JournalTally m_journalTally;
    Duration m_longestDelay { 0 }; // of a sizing after it was due, since the last report: the lag of the loop

    TimePoint m_nextFlush;
    TimePoint m_nextWaveStep;
    TimePoint m_nextForget;
    TimePoint m_nextTick;
    TimePoint m_nextPlacement { TimePoint::max() };
    bool m_isRestored { false };
    // Services whose room or waiting steps have changed since tasks were placed last; all, or those named.
    bool m_mustPlaceAll { true };
    std::set<ServiceId> m_mustPlace;
    bool m_hasTeamAtLimit { false }; // some task waited for its team's limit when tasks were placed last
    bool m_wasSure { true }; // in the last tick
    bool m_isDeposed { false };
    std::vector<Order> m_orders;
};

// Keys of a coordinator's records.
namespace records {
    inline const std::string jobPrefix = "marigold/job/";
    inline const std::string progressPrefix = "marigold/progress/";
    inline const std::string wavePrefix = "marigold/wave/";
    inline const std::string workerPrefix = "marigold/worker/";
    inline std::string job(const JobId& id) { return jobPrefix + id.value(); }
    inline std::string progress(const JobId& id) { return progressPrefix + id.value(); }
    inline std::string worker(const WorkerId& id) { return workerPrefix + id.value(); }
    inline std::string wave(const WaveId& id) { return wavePrefix + id.value(); }
} // namespace records

} // namespace marigoldlink
