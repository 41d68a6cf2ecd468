// The coordinator of the fleet: holds all jobs, places tasks, tracks workers and journals the state that must survive
// a change of coordinator.
//
// It is a deterministic state machine without I/O, clock or log of its own. Each call takes the current time and an
// event, and queues orders that the caller fetches with takeOrders(). All durable state is in the key-value service or
// held by the workers.
#pragma once

#include "marigoldlink/Coordination/CancelledIds.h"
#include "marigoldlink/Coordination/JobTable.h"
#include "marigoldlink/Coordination/MaintenancePlanner.h"
#include "marigoldlink/Coordination/Placement.h"
#include "marigoldlink/Coordination/PlanSchedule.h"
#include "marigoldlink/Coordination/PoolSizer.h"
#include "marigoldlink/Coordination/WorkerTable.h"
#include "marigoldlink/Entry/Measurements.h"
#include "marigoldlink/Entry/Orders.h"
#include "marigoldlink/Protocol/JobCodec.h"
#include "marigoldlink/Scheduling/Admission.h"
#include "marigoldlink/Scheduling/Features.h"
#include "marigoldlink/Scheduling/PoolContention.h"

#include <functional>
#include <string_view>
#include <utility>

namespace marigoldlink {

struct CoordinatorSettings {
    Duration lease { 3000 }; // a worker keeps its runs this long after each start order or poll
    Duration maxLease { 6000 }; // upper limit that workers enforce
    Duration predecessorGracePeriod { 4000 }; // a predecessor may send orders this long after its lease ended
    Duration statusRetention { 120000 }; // the status of ended jobs is available for at least this long
    Duration maintenanceTime { 2000 }; // duration of the maintenance of an instance
    Duration moveTime { 1500 };
    Duration instanceCallTimeout { 1500 }; // an order for an instance takes effect within this time or never
    bool checksInstanceFences { true }; // instances refuse orders with a lower fence than an earlier one
    // Memory for jobs and their tasks. Submissions that would exceed it are refused. 0: no limit
    std::size_t jobBytes { 0 };
    SchedulingFeatures scheduling;
    std::string waveStatusPrefix { "wave-status/" }; // key prefix under which operators read the state of waves
};

// Why a run is stopped.
enum class StopReason {
    JobEnded,
    Maintenance, // its instance is about to be maintained
    StartUnanswered, // the start may have taken effect or may still do so
    NotCurrent, // its task is done, has another run, or belongs to no active job
    IncompleteGang,
};
const char* name(StopReason);

// An entry of the decision log. The adapter writes the log and limits its rate.
struct Decision {
    // About a step: "reservation". About a job: "submission", "cancelling", "uncertain_cancelling" (without a valid
    // election lease), "reply" (to one of these, that waited for the store), "job_end". Others: "task", "service" (a
    // task of one), "worker", "wave" ...
    std::string subject;
    std::string id;
    std::string text;
};

using DecisionLog = std::function<void(const Decision&)>;

// Receivers of decisions and measurements. Either may be empty.
struct CoordinatorSinks {
    DecisionLog log;
    MeasurementSink measure;
};

class Coordinator {
public:
    Coordinator(CoordinatorSettings, Term, Journal, TimePoint now, CoordinatorSinks);

    // Restore the stored state. To be called before the first tick.
    void restoreJob(JobSpec, const JobProgress&, TimePoint now);
    // To be called for all queues before any job is restored.
    void restoreQueue(const QueueId&, const QueueRecord&);
    // An id that a predecessor stored as cancelled, with the team that had cancelled it.
    void restoreCancelledId(const JobId&, const TeamId&, TimePoint now);
    void restoreWave(const WaveId&, std::set<std::string> finished);
    // onlyRuns: as in WorkerRecord.
    void restoreWorker(const WorkerEntry&, std::optional<std::set<TaskKey>> onlyRuns, TimePoint now);
    // Ends the restore. Before this call the coordinator polls the workers but places no tasks.
    void finishRestore(TimePoint now);

    // Input from operators and from the workers' registry.
    void setOperators(const OperatorState&, TimePoint now);
    void workerEntry(const WorkerEntry&, TimePoint now);
    void workerEntryRemoved(const WorkerId&, TimePoint now);
    void instancesListed(std::vector<FleetInstance>, TimePoint now);

    // Callers' calls.
    // Replies AlreadyCancelled if the job was cancelled before it arrived.
    // Replies Refused if the job's record cannot be stored within the given time, in which the caller needs the reply,
    // or NotStoredHere without a valid election lease. nullopt: no limit by the caller.
    void submit(CallToken, JobSpec, TimePoint now, std::optional<Duration> wait = std::nullopt, const CallOrigin& = {});
    // Replies UnknownJob once the id of a job that no coordinator has accepted is stored as cancelled, so that a
    // submission of it that arrives later is not accepted. Replies NotCancelled if the team has too many such ids.
    void cancel(CallToken, const JobId&, TimePoint now, const CallOrigin& = {});
    Reply jobStatus(const JobId&) const;
    Reply waiting(const QueueId&) const;

    // No other coordinator can have been elected before this time, given the last confirmed renewal of the lease.
    void setLeaseValidUntil(TimePoint time) { m_leaseValidUntil = time; }

    // Answers to orders.
    void startAnswered(
        const WorkerIncarnation&, const TaskKey&, RunNumber, StartAnswer, std::int64_t clockMs, TimePoint now);
    void stopAnswered(const WorkerIncarnation&, const TaskKey&, RunNumber, StopAnswer, TimePoint now);
    void pollAnswered(const WorkerIncarnation&, const PollAnswer&, TimePoint now);
    void journalAnswered(JournalAnswer, Revision head, TimePoint now);
    void headRead(Revision head, std::uint64_t number, TimePoint now);
    void adviceAnswered(const AdviceOrder&, const AdviceAnswer&, TimePoint now);
    void instanceAnswered(const std::string& instance, InstanceAnswer, TimePoint now);

    // Performs all work that is due. wallMs is the wall clock in Unix milliseconds.
    void tick(TimePoint now, std::int64_t wallMs);
    // The latest time of the next tick().
    TimePoint nextTick() const { return m_nextTick; }

    std::vector<Order> takeOrders() { return std::exchange(m_orders, {}); }

    // Another coordinator has taken over; this one must send no more orders.
    bool isSuperseded() const { return m_isSuperseded || m_journal.isSuperseded(); }

    const JobTable& jobs() const { return m_jobs; }
    const WorkerTable& workers() const { return m_workers; }
    const Term& term() const { return m_term; }

private:
    struct PendingReply {
        CallToken token {};
        std::uint64_t version { 0 };
        Reply reply;
        TimePoint since;
    };
    struct CallOfCancelledId {
        CallToken token {};
        Reply::Kind reply {};
        TimePoint since;
    };
    struct RecordVersion {
        JobId job;
        std::uint64_t version { 0 };
        JobState state { JobState::Pending };
    };

    void log(const std::string& subject, const std::string& id, const std::string& text) const;
    // Logs the decision on a caller's call, with all that tells whether another coordinator may decide otherwise.
    void logCall(
        const char* subject, const JobId&, const std::string& decision, const CallOrigin&, TimePoint now) const;
    // State and versions of a job, for the log.
    static std::string progressText(const Job&);
    void measure(const Measurement&) const;
    const JobQueue& queueOf(const JobSpec&) const;

    // Queues.
    // Notes the queues of the present configuration and their services, for their records.
    void noteQueues();
    void queueStored(const QueueId&, const std::string& record);
    // Removes the queues that are neither in the configuration nor in the given set.
    void removeUnusedQueues(const std::set<QueueId>& used);
    // A successor finds the runs of a job by the services in the record of its queue, so nothing is started on a
    // service before the record that names it is stored.
    bool isServiceRecorded(const Job&) const;
    // Whether a predecessor may have started tasks of the job on the service, or on one of the services.
    bool mayHaveRunsOn(const Job&, const ServiceId&) const;
    bool mayHaveRunsOn(const Job&, const std::set<ServiceId>&) const;

    // Cancelling of ids whose submission has not arrived.
    void cancelUnknown(CallToken, const JobId&, TimePoint now, const CallOrigin&);
    // Replies to a submission of a kept id.
    void refuseCancelled(CallToken, const JobId&, TimePoint now, const CallOrigin&);
    void flushCancelledIds();
    void cancelledIdStored(const JobId&, TimePoint now);
    void removeExpiredIds(TimePoint now);

    // Jobs and journal.
    // Schedules a flush for a record that a caller waits for.
    void scheduleFlush(TimePoint now);
    void flushJobs(TimePoint now);
    void sendJournal(TimePoint now);
    void batchStored(const JournalBatch&, TimePoint now);
    void releaseReplies(const JobId&, TimePoint now);
    void removeOldJobs(TimePoint now);
    // The reply to a submission that is not stored and will not be: a refusal only if no successor can have accepted an
    // earlier copy of it.
    Reply notStored(TimePoint now) const;
    // False if the job does not fit into the memory for jobs. Large jobs may use half of it.
    bool hasMemoryFor(const JobSpec&) const;
    // Refuses submissions whose record could not be sent to the store in time, so that their callers can retry.
    void refuseUnsent(TimePoint now);
    // Time until a record that is queued now is stored, judged by the recent writes.
    Duration expectedStoreTime(TimePoint now) const;

    // Admission control.
    // Counts a submission in the forecast of its pool's load.
    void noteArrival(const JobSpec&, const ServiceId&, TimePoint now);
    // The reply that refuses the job, or nullopt if it is admitted.
    std::optional<Reply> admissionRefusal(const JobSpec&, const JobQueue&, TimePoint now, const CallOrigin&);
    // After a takeover the restored state is incomplete; nothing is refused before it is known.
    bool isAdmissionActive(TimePoint now) const;
    // Capacity of the pool that is usable now and not used by services.
    double batchMilliCores(const ServiceId&) const;
    // Idle capacity of other pools that the pool could get if all pools that lack some divide it equally.
    double obtainableMilliCores(const ServiceId&) const;
    PoolBacklog poolBacklog(const QueueView&, const ServiceId&) const;
    TermsByTeam teamTerms() const;
    // Free milli-cores of the pool, in whole tasks of the steps that the job starts with.
    double freeRoom(const JobSpec&, const ServiceId&, TimePoint now) const;
    void updatePoolCapacities(const std::map<ServiceId, PoolDemand>&, const std::vector<SizedInstance>&, TimePoint now);
    void observeRunEnd(const TaskKey&, RunNumber, RunEnd, TimePoint now);

    // Runs.
    bool isUsable(const Worker&, TimePoint now) const;
    // As isUsable(), but also true on an instance that is leaving its pool.
    bool isUsableUnlessLeaving(const Worker&, TimePoint now) const;
    // Runs that a predecessor may have left on workers that have not listed all their runs and ends yet.
    struct PredecessorRuns {
        std::set<ServiceId> services; // any task of these services may be running
        std::set<TaskKey> tasks;
        std::size_t workers { 0 }; // number of workers that may hold such runs

        bool areAllKnown() const { return !workers; }
    };
    PredecessorRuns predecessorRuns() const;
    // The use of the teams with a limit, with the most that such runs may add to it.
    TeamUsageTotals useWithPredecessorRuns(const PredecessorRuns&, TimePoint now);
    // Upper bounds of what such runs use, by team with a limit.
    std::map<TeamId, Resources> possibleUse(const PredecessorRuns&) const;
    void placeTasks(TimePoint now);
    // Requests a placement pass, for one service or for all, in the next tick.
    void schedulePlacement(const ServiceId&);
    void scheduleFullPlacement();
    // Requests a placement pass at the given time, when a back-off of a task or the exclusion of a worker ends.
    void schedulePlacementAt(TimePoint time) { m_nextPlacementAt = std::min(m_nextPlacementAt, time); }
    void requestAdvice(const AdviceRequest&, TimePoint now);
    // Removes the reservations that have ended, of the services that are placed, before the pass.
    void refreshReservations(const Placement&, TimePoint now);
    // Makes reservations for steps that found no room in the pass, once its starts are ordered.
    void makeReservations(const Placement&, const Placement::Result&, TimePoint now);
    void reportReservations(const std::vector<ReservationChange>&, TimePoint now) const;
    // Learns the run time of a task that is done.
    void recordRunTime(const Job&, const TaskKey&, const ReservedRun&, TimePoint now);
    // Charges a run to the resources of its worker and its team.
    void reserveRun(const WorkerId&, const TaskKey&, RunNumber, TimePoint now);
    void orderStart(const PlannedStart&, TimePoint now);
    void orderStop(const WorkerId&, const TaskKey&, RunNumber, StopReason, TimePoint now);
    WorkerFence fenceFor(const Worker& worker) const { return workerFence(m_term, worker.incarnationNumber); }
    // Handles that a worker refused the fence of an order for the given incarnation.
    void fenceRefused(const Worker&, const WorkerIncarnation&);
    void sendStop(const Worker&, const TaskKey&, RunNumber, StopReason, TimePoint now);
    // Logs what is known of a service when one of its tasks is about to be stopped.
    void logServiceStop(const Worker&, const TaskKey&, StopReason, TimePoint now) const;
    // Describes when the worker last answered, for the log.
    static std::string lastAnswerText(const Worker&, TimePoint now);
    // Resends the stops without an answer, but not to a worker that does not answer polls either.
    void resendStops(TimePoint now);
    void stopRunsOf(const Job&, TimePoint now);
    void handleRunEnd(const WorkerId&, const TaskKey&, RunNumber, RunEnd, const std::string& checkpoint, TimePoint now);
    void stopIncompleteGangs(TimePoint now);

    // Workers.
    void beginIncarnation(Worker&, std::int64_t startedUnixMs, TimePoint now);
    void processEnds(Worker&, const std::vector<ListedEnd>&, TimePoint now);
    void reconcileRuns(Worker&, const PollAnswer&, TimePoint now);
    void reconcileRun(Worker&, const ListedRun&, TimePoint now);
    // Stops the runs whose start had no answer and that a poll sent after it does not list, so that their tasks can
    // start elsewhere.
    void resolveUnconfirmedStarts(Worker&, TimePoint now);
    void dropUnlistedRuns(Worker&, const PollAnswer&, TimePoint now);
    void advanceAcknowledged(Worker&) const;
    // Once this is false, another coordinator may be keeping runs alive on workers that this one cannot reach.
    bool isLeaseValid(TimePoint now) const { return now < m_leaseValidUntil; }
    // A successor assumes that no order is sent after this time, and waits until leases granted before it have expired.
    bool mayOrder(TimePoint now) const
    {
        return m_leaseValidUntil == TimePoint::max() || now < m_leaseValidUntil + m_settings.predecessorGracePeriod;
    }
    void pollDueWorkers(TimePoint now);
    // Schedules the next poll of the worker. A poll that is in flight overrides it when it ends.
    void schedulePoll(Worker&, TimePoint);
    void sendPoll(Worker&, TimePoint now);
    // Whether a poll that is sent now may acknowledge ends. Its numbers would make a restarted worker forget new ends.
    bool mayAcknowledge(const Worker&, TimePoint now) const;
    // Delay of the next poll of a worker whose ends are not stored yet. Such polls share a rate, so that their number
    // does not grow when the store is slow.
    Duration immediatePollDelay(Duration minimum) const;
    // Delay until a worker is polled again after a failed poll.
    Duration failedPollDelay(const Worker&);
    void removeMissingWorkers(TimePoint now);
    void removeWorker(const WorkerId&);
    void expireLeases(TimePoint now);
    // Marks the worker as not answering. Its record is rewritten to list the runs that it may hold.
    void stoppedAnswering(Worker&);
    // The time by which all leases granted by predecessors have expired.
    TimePoint predecessorLeasesExpiredBy() const;
    void throttleBestEffortRuns(Worker&, TimePoint now);

    // Instances.
    // True if this coordinator still holds the election lease for certain, and no instance call of a
    // predecessor can take effect after one of this coordinator.
    bool mayChangeInstances(TimePoint now) const;
    void listInstances(TimePoint now);
    void runWaves(TimePoint now);
    // Where the tasks of services on a worker would run if they were stopped there.
    struct DrainOutlook {
        std::set<TaskKey> movable; // those for which other workers have room
        // Whether the others are few enough for their services to do without, and no waiting task of a service fits
        // only on this worker.
        bool isPossible { true };
    };
    DrainOutlook drainOutlook(const Worker&, TimePoint now) const;
    // Logs the reserved instances that cannot drain, or no longer cannot.
    void reportDraining();
    // Stops service tasks on a worker that is cordoned for maintenance, within the step's limit of unavailable tasks,
    // and only those that can run elsewhere, unless the maintenance can begin without them.
    void drainServices(const std::string& instance, Worker&, TimePoint now);
    void sizePools(TimePoint now);
    // Divides the capacity of short pools between teams, if the settings ask for it.
    void updateAllotments(TimePoint now);
    // Compares the use after a placement pass with the allotments.
    void observeShares(TimePoint now);
    void reportAllotments(const std::map<TeamId, double>& usedMilliCores, TimePoint now);
    void updateFleetBounds();
    std::map<ServiceId, PoolDemand> poolDemands(TimePoint now);
    void reportPools(const std::map<ServiceId, PoolDemand>&, const std::vector<SizedInstance>&) const;
    SizedInstance sized(const FleetInstance&, TimePoint now) const;
    void orderMove(const PlannedMove&, const std::string& reason, TimePoint now);

    // Adds the work of a submission to the forecast of its pool.

    // Contended pools: what PoolContention decides from, and the targets that result.
    struct Contention {
        ContentionView view;
        PoolTargets targets;
    };
    // Returns nothing while the pools request no more than the usable capacity. Instances that are leaving are used
    // again then. Otherwise the rows of leaving instances and excluded pools are changed.
    std::optional<Contention> contention(
        const std::map<ServiceId, PoolDemand>&, std::vector<SizedInstance>&, TimePoint now);
    // Excludes the pools to which an instance must not return yet. While pools are not contended, only instances that
    // moved while they were are concerned.
    void excludeLeftPools(std::vector<SizedInstance>&, bool isContended, TimePoint now);
    bool arePoolsContended(const std::map<ServiceId, PoolDemand>&, const std::vector<SizedInstance>&) const;
    ContentionView contentionView(
        const std::map<ServiceId, PoolDemand>&, const std::vector<SizedInstance>&, TimePoint now);
    // Recomputes m_pendingWork if it is due.
    void updatePendingWork(TimePoint now);
    static JobProspect prospectOf(const Job&, const Occurrence&, TimePoint now);
    // Whether an instance may leave its pool, and when its runs are expected to end.
    void addLeavingState(ContendedInstance&, const PoolDemand&, TimePoint now) const;
    // Time left of the runs on a worker; nullopt if one of them must not be waited for.
    std::optional<Duration> remainingTimeOfRuns(const Worker&, TimePoint now) const;
    void carryOutContention(Contention&, const std::map<ServiceId, PoolDemand>&, TimePoint now);
    void noteMove(const std::string& instance, const ServiceId& from, const ServiceId& to, TimePoint now);
    void stopLeaving(const std::string& instance, const std::string& reason, TimePoint now);
    void stopAllLeaving(const std::string& reason, TimePoint now);
    void setLeaving(const std::string& instance, bool isLeaving);
    void maintenanceAccepted(FleetInstance&, TimePoint now);
    void handleMoveRefusal(const std::string& instance, InstanceAnswer, TimePoint now);
    void moveAccepted(FleetInstance&, const ServiceId& pool, TimePoint now);
    // The instance has arrived in its new pool, or stays in the old one.
    void finishMove(const std::string& instance, TimePoint now);
    // A call for the worker's instance was accepted. If the call had already taken effect before (sent by a
    // predecessor, or repeated after a lost answer), the current worker keeps running. The next list of instances shows
    // which is the case.
    void workerMayHaveEnded(const FleetInstance&, TimePoint now);
    void resolveEndingWorkers(TimePoint now);
    void handleWorkerEnded(const WorkerId&, TimePoint now);
    // Removes workers of a predecessor that have not answered and whose life has ended by the list of instances. They
    // hold no runs.
    void removeReplacedWorkers(TimePoint now);
    InstanceLoad waveLoad(const std::string& instance, TimePoint now) const;
    // True for a service task that its worker recently reported as running at full capacity.
    bool isAtFullCapacity(const Task&, TimePoint now) const;
    // Number of tasks of a step for which isAtFullCapacity() is false.
    int unavailableTasks(const Occurrence&, int step, TimePoint now) const;

    // Retry-after of calls that wait for the store; its outages last seconds.
    static constexpr Duration s_storeRetryAfter { 1000 };
    // Maximum number of starts per tick, which keeps a tick short on a small machine.
    static constexpr std::size_t s_maxStartsPerTick = 64;
    static constexpr Duration s_planInterval { 100 }; // of the sizes of pools and of waves

    CoordinatorSettings m_settings;
    Term m_term;
    Journal m_journal;
    TimePoint m_startedAt;
    TimePoint m_leaseValidUntil { TimePoint::max() };
    CoordinatorSinks m_sinks;
    OperatorState m_operators;
    JobTable m_jobs;
    WorkerTable m_workers;
    TeamUsageTotals m_use;
    // possibleUse() as of the last placement pass. It can only have decreased since, so it may be a little old.
    struct PossibleUse {
        std::size_t workers { 0 };
        TimePoint validUntil;
        std::map<TeamId, Resources> byTeam;
    };
    PossibleUse m_possibleUse;
    AdviceCache m_advice { {} };
    RunTimes m_runTimes;
    Reservations m_reservations; // empty unless the settings ask for them
    std::map<JobId, std::vector<PendingReply>> m_replies;
    CancelledIds m_cancelledIds;
    // Cancellings and submissions that wait for a cancelled id to be stored. Invariant: each of the ids is in
    // m_cancelledIds and not stored.
    std::map<JobId, std::vector<CallOfCancelledId>> m_callsOfCancelledIds;
    std::map<std::string, RecordVersion> m_queuedVersions; // by record key
    std::map<std::string, RecordVersion> m_batchVersions; // records of the batch in flight, by key
    TimePoint m_batchSentAt;
    TimePoint m_batchFirstSentAt;
    Duration m_writeTime { 0 }; // moving average over the stored batches
    std::uint64_t m_batchNumber { 0 }; // of the last batch that was sent
    std::set<WorkerId> m_workersToRecord; // workers whose record is not yet queued in the journal
    struct KnownQueue {
        std::set<ServiceId> services; // on which its jobs may have runs
        std::set<ServiceId> stored; // those that the stored record names; a subset of the above
        // A predecessor's record was read. Without one, the services on which it started tasks are not known.
        bool isRestored { false };
        std::optional<JobQueue> settings; // from the last configuration that contained it
    };
    std::map<QueueId, KnownQueue> m_queues;
    std::set<QueueId> m_queuesToRecord; // queues whose record is not yet queued in the journal
    std::set<JobId> m_jobsToQueue; // accepted; record not yet queued in the journal
    std::map<JobId, TimePoint> m_unstoredJobs; // accepted; record not yet stored; refused if not sent by this time
    struct PendingStop {
        TimePoint resendAt;
        StopReason reason {};
        // The run may not have started. The stop is resent only if a poll does not list the run, and dropped if one
        // does.
        bool awaitsPoll { false };
    };
    std::map<std::pair<WorkerId, TaskKey>, PendingStop> m_pendingStops;
    struct UnconfirmedStart {
        RunNumber run {};
        TimePoint at;
    };
    // Start orders without an answer, by worker. They may take effect late, even after a restart of the worker.
    std::map<WorkerId, std::map<TaskKey, UnconfirmedStart>> m_unconfirmedStarts;
    std::map<WorkerId, TimePoint> m_nextThrottleAt;
    // Timer queue of polls. Invariant: every worker without a poll in flight has an entry at its nextPollAt; all other
    // entries are stale and ignored.
    std::multimap<TimePoint, WorkerId> m_pollQueue;
    std::set<WorkerId> m_withPendingEnds; // invariant: exactly the workers with unacknowledged ends
    std::set<WorkerId> m_silentWorkers; // registered workers whose last poll failed
    bool m_mayHavePredecessorRuns { false }; // some worker may hold runs of a predecessor
    TimePoint m_nextExpiryCheck;
    TimePoint m_nextMissingCheck;

    std::map<std::string, FleetInstance> m_instances;
    PoolDemandIndex::FleetBounds m_fleetBounds; // of m_instances
    MaintenancePlanner m_waves;
    std::set<std::string> m_cannotDrain; // reserved instances, as last logged
    bool m_areWorkersCordoned { false }; // some workers may be cordoned for a wave
    TimePoint m_nextList;
    TimePoint m_listAskedAt;
    bool m_isListing { false };
    struct EndingWorker {
        std::string instance;
        TimePoint since;
    };
    std::map<WorkerId, EndingWorker> m_endingWorkers;
    std::map<std::string, WaveId> m_maintenanceInFlight; // wave of the call in flight, by instance
    PoolSizer m_sizer { {} };
    std::map<ServiceId, ArrivalForecast> m_arrivals;
    struct Move {
        ServiceId pool;
        TimePoint since;
    };
    // Moves in progress, until the list of instances shows the instance up in its new pool.
    std::map<std::string, Move> m_moves;
    std::map<std::string, std::set<ServiceId>>
        m_excludedPools; // pools whose kind does not fit the instance, by instance
    std::map<std::string, TimePoint> m_moveNotBefore; // back-off of instances whose move was refused
    std::map<std::string, TimePoint> m_idleSince; // instances without runs
    PoolContention m_contention { {} };
    bool m_arePoolsContended { false };
    // Unfinished work of all active jobs, for contended pools.
    struct PendingWorkOfPools {
        std::vector<PendingWork> work; // without services
        std::map<ServiceId, double> serviceMilliCores;
        TimePoint dueAt; // time of the next update
    };
    PendingWorkOfPools m_pendingWork;
    // Instances that get no more tasks, so that they can be moved. Not stored: they only restrain this coordinator.
    std::map<std::string, LeavingInstance> m_leaving;
    struct LeftPool {
        TimePoint until; // the instance must not return before
        bool isContended { false }; // it left while pools were contended
    };
    std::map<std::string, std::map<ServiceId, LeftPool>> m_leftPools; // by instance
    std::map<ServiceId, TimePoint> m_receivedAt; // last move to a pool
    TeamAllotments m_allotments;
    AllotmentCorrections m_allotmentCorrections;
    TimePoint m_nextAllotment;
    TimePoint m_nextShareObservation;
    TimePoint m_nextAllotmentReport;
    std::string m_reportedShortage { ";" }; // short pools and held teams, as last logged
    PlanSchedule m_sizingSchedule { s_planInterval };
    // Capacity of a pool in milli-cores, as of the last sizing pass.
    struct PoolCapacity {
        double usable { 0 };
        double joining { 0 };
        double idle { 0 };
        double need { 0 };
        bool isSpare { false };
    };
    std::map<ServiceId, PoolCapacity> m_poolCapacities;
    EstimateBias m_estimateBias;
    RefusedCallers m_refusedCallers;
    std::optional<TimePoint> m_firstEndSeen; // first end of a run in this term
    TimePoint m_nextPoolReport;
    // Journal writes since the last report.
    struct JournalStats {
        int stored { 0 };
        int notStored { 0 };
        std::size_t records { 0 };
        Duration longest { 0 };
    };
    JournalStats m_journalStats;
    // Maximum delay of a sizing pass since the last report. Measures the lag of the event loop.
    Duration m_maxSizingDelay { 0 };

    TimePoint m_nextFlush;
    PlanSchedule m_waveSchedule { s_planInterval };
    TimePoint m_nextJobRemoval;
    TimePoint m_nextTick;
    TimePoint m_nextPlacementAt { TimePoint::max() };
    bool m_isRestored { false };
    // Services whose free capacity or pending steps changed since the last placement pass: all, or those in the set.
    bool m_mustPlaceAllServices { true };
    std::set<ServiceId> m_servicesToPlace;
    bool m_hasTeamAtLimit { false }; // in the last placement pass some task waited for its team's limit
    bool m_wasLeaseValid { true }; // value of isLeaseValid() in the last tick
    bool m_isSuperseded { false };
    std::vector<Order> m_orders;
};

// Keys of the coordinator's records in the key-value service.
namespace records {
    inline const std::string jobPrefix = "marigold/job/";
    inline const std::string progressPrefix = "marigold/progress/";
    inline const std::string cancelledIdPrefix = "marigold/cancelled/";
    inline const std::string queuePrefix = "marigold/queue/";
    inline const std::string wavePrefix = "marigold/wave/";
    inline const std::string workerPrefix = "marigold/worker/";
    inline std::string job(const JobId& id) { return jobPrefix + id.value(); }
    inline std::string progress(const JobId& id) { return progressPrefix + id.value(); }
    inline std::string cancelledId(const JobId& id) { return cancelledIdPrefix + id.value(); }
    inline std::string worker(const WorkerId& id) { return workerPrefix + id.value(); }
    inline std::string queue(const QueueId& id) { return queuePrefix + id.value(); }
    inline std::string wave(const WaveId& id) { return wavePrefix + id.value(); }
} // namespace records

} // namespace marigoldlink
