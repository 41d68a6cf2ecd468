// Model of a fleet with several coordinators: workers with fences and leases, a store, and a network that loses and
// delays messages and partitions. Time is virtual, and all random decisions are drawn from a list of choices.
//
// The checker uses only what workers and callers observe, and records the first violated rule.
#pragma once

#include "../Coordination/Choices.h"
#include "marigoldlink/Entry/Coordinator.h"
#include "marigoldlink/Entry/PeerCalls.h"
#include "marigoldlink/Protocol/JobCodec.h"

#include <algorithm>
#include <list>
#include <memory>

namespace marigoldlink::testing {

enum class ModelJobs {
    AtOnce,
    SomeTimed, // some jobs have several occurrences, each with a due time
    SomeServices, // a few jobs are services, of which one task may be unavailable
};

struct ModelStore {
    std::size_t recordsPerWrite { Journal::maxRecords };
    Duration writeTime { 20 };
};

struct ModelFaults {
    bool losesMessages { true };
    bool partitionsLinks { true };
    bool pausesOwners { true };
    bool restartsWorkers { true };
};

// How callers' calls reach a coordinator.
struct ModelCalls {
    // Calls pass through entry instances, which try them again. Calls and replies are on their way for some time, and
    // some submissions arrive twice. Otherwise calls and replies arrive at once.
    bool travel { false };
    // The longest times on the way; a change of coordinator takes about two seconds.
    Duration submission { 5500 }; // from a client to its entry instance
    Duration attempt { 0 }; // of a submission, from an entry instance to a coordinator
    Duration reply { 5500 }; // each of the way to the entry instance and the way to the client
};

class FleetModel {
public:
    static constexpr std::int64_t taskMilliCores = 1000;
    static constexpr std::int64_t workerMilliCores = 3000;
    static constexpr int attempts = 3;

    FleetModel(Choices& choices, ModelFaults faults, int workers, ModelJobs jobs = ModelJobs::AtOnce,
        ModelStore store = {}, ModelCalls calls = {})
        : m_choices(choices)
        , m_faults(faults)
        , m_jobs(jobs)
        , m_store(store)
        , m_calls(calls)
    {
        JobQueue queue;
        queue.id = QueueId("checks");
        queue.service = ServiceId("gates");
        queue.maxTaskFailures = attempts;
        queue.objectiveAllowance = Duration(600);
        m_operators.config.version = 1;
        m_operators.config.queues.emplace(queue.id, queue);
        m_operators.config.pools.emplace(ServiceId("gates"), WorkerPool { ServiceId("gates"), false, false });
        for (int i = 0; i < workers; ++i)
            m_workers.emplace(WorkerId("w" + std::to_string(i)),
                ModelWorker { 0.98 + 0.01 * (i % 3), 1, {}, {}, 0, {}, {}, 0, {}, 0 });
    }

    // Advances time, with faults and submissions drawn from the choices unless withoutFaults is set.
    void run(Duration time, bool withoutFaults);
    void clearFaults();

    void submit();
    // Cancels an accepted job at any coordinator, which may have been replaced without knowing.
    void cancel();
    // Cancels a job whose submission was sent and has no answer.
    void cancelUnanswered();
    // Cancels an id that no client submits.
    void cancelNeverSubmitted();

    const std::string& violation() const { return m_violation; }
    // Event trace, to analyse a seed that violates a rule.
    const std::vector<std::string>& trace() const { return m_trace; }

    // Accepted jobs that the current owner does not report as ended.
    std::vector<JobId> unfinished() const;

    // Jobs reported as failed although none of their tasks used up its attempts.
    std::vector<JobId> failedWithoutCause() const;
    std::size_t accepted() const { return m_accepted.size(); }
    std::size_t refused() const { return m_refused.size(); }
    // Acknowledged cancels of jobs whose submission had no answer.
    std::size_t unansweredCancelled() const { return m_unansweredCancelled; }
    int starts() const { return m_starts; }
    std::uint64_t terms() const { return m_term; }

private:
    static constexpr Duration step { 10 };
    static constexpr Duration s_occurrenceInterval { 700 }; // between two occurrences; shorter than most of them take
    // A start may be this much before its due time (hosting platform's bounds).
    static constexpr Duration s_earlyStartTolerance { 250 };
    static constexpr int s_maxServices = 2; // leaves capacity for other jobs
    static constexpr int s_serviceTasks = 3;
    static constexpr int s_maxUnavailable = 1;
    static constexpr Duration s_startup { 300 }; // after which a service task is at full capacity
    // A service task that does not run for this long is unavailable, whatever the cause (hosting platform's bounds).
    static constexpr Duration s_notice { 4500 };
    // A worker lists this many ends in one answer, few enough that most takeovers find some that are left out.
    static constexpr std::size_t s_maxListedEnds = 2;
    static constexpr Duration s_maxLease = CoordinatorSettings {}.maxLease;
    // After its cancelling was acknowledged, a job may have starts for this long (hosting platform's bounds).
    static constexpr Duration s_cancelBound { 3000 };
    static constexpr Duration ownerTtl { 1200 };
    static constexpr Duration answerTimeout { 600 };
    static constexpr std::size_t s_entryInstances = 3;
    // As entry instances do (FleetNode).
    static constexpr Duration s_peerTimeout { 1000 };
    static constexpr Duration s_maxWait { 2000 };
    static constexpr Duration s_callRetry { 40 };
    static constexpr int s_maxSends = 3; // of one submission by its client, while it has no answer
    static constexpr Duration s_lookPeriod { 500 };
    static constexpr Duration s_shortestLongDelay { 500 };

    struct ModelRun {
        RunNumber number {};
        TimePoint endsAt;
        bool fails { false };
        TimePoint startedAt;
    };

    struct ModelWorker {
        double rate { 1 };
        std::int64_t startedMs { 1 };
        TimePoint startedAt;
        WorkerFence fence {};
        std::int64_t deadline { 0 };
        std::map<TaskKey, ModelRun> running;
        std::vector<ListedEnd> ended;
        std::int64_t lastEnd { 0 };
        std::map<TaskKey, RunNumber> highest; // run numbers that were stopped or ended
        std::int64_t lastEndBeforeExpiry { 0 }; // last end before the lease expired
    };

    struct Node {
        Term term;
        std::unique_ptr<Coordinator> coordinator;
        Revision ownerRevision { noRevision };
        TimePoint nextRenewal;
        TimePoint leaseValidUntil;
        std::size_t home { 0 }; // the entry instance that shares its process
        bool isRestored { false };
        bool isPaused { false };
        bool isPartitionedFromStore { false };
        bool isGone { false };
    };
    using NodePtr = std::shared_ptr<Node>;

    // A call of a client, which an entry instance passes on until it has a reply.
    struct ModelCall {
        FleetCallRequest request;
        std::size_t entry { 0 };
        Duration clientTime { 0 }; // for which its client waits
        TimePoint latest; // until which the entry instance tries
        CallToken attempt {}; // the present one
        bool isInFlight { false };
        bool mayHaveTakenEffect { false };
        bool isFinished { false }; // at the entry instance
        bool isAnswered { false }; // at the client
        bool isGivenUp { false }; // by the client
    };
    using CallPtr = std::shared_ptr<ModelCall>;

    struct CallAttempt {
        CallPtr call;
        NodePtr node;
    };

    struct Message {
        TimePoint at;
        std::function<void()> run;
    };
    std::int64_t clock(const ModelWorker& worker) const;
    void extendLease(ModelWorker& worker, std::int64_t deadlineMs) const;

    std::int64_t wallMs() const { return m_now.time_since_epoch().count(); }

    void addTrace(const std::string& text);
    void recordViolation(const std::string& text);

    Node* currentOwner();
    void injectFaults();

    // Elects a new coordinator, which reads the store, once the owner's lease has expired.
    void elect();
    WorkerEntry entry(const WorkerId& id, const ModelWorker& worker) const;

    void load(Node& node);
    void advanceNode(const NodePtr& node);

    void post(Duration delay, std::function<void()> action);
    void deliver();

    enum class DeliveryOutcome { Answered, AnswerLost, Late, Lost };
    DeliveryOutcome drawOutcome(const NodePtr& node, const WorkerId& worker);

    // Delivers a call to a worker with a random outcome. A paused node receives its answers when it resumes.
    template <typename Answer>
    void call(const NodePtr& node, const WorkerId& worker, std::function<Answer()> execute,
        std::function<void(const Answer&)> answered, const Answer& unknown)
    {
        const auto back = [this, node, answered](Duration delay, const Answer& answer) {
            post(delay, [this, node, answered, answer] { arrive(node, [answered, answer] { answered(answer); }); });
        };
        switch (drawOutcome(node, worker)) {
        case DeliveryOutcome::Answered:
            post(step, [back, execute] { back(step, execute()); });
            return;
        case DeliveryOutcome::AnswerLost:
            post(step, [execute] { execute(); });
            break;
        case DeliveryOutcome::Late:
            // The worker executes the order late, also if it has restarted in the meantime.
            post(Duration(1000 + static_cast<std::int64_t>(m_choices.below(4000))), [this, execute] {
                m_isOrderLate = true;
                execute();
                m_isOrderLate = false;
            });
            break;
        case DeliveryOutcome::Lost:
            break;
        }
        back(answerTimeout, unknown);
    }

    void arrive(const NodePtr& node, const std::function<void()>& action);

    JobSpec drawJob();
    Duration drawDelay(Duration longest);
    void sendCall(FleetCallRequest::Kind kind, const JobSpec& job);
    void giveUp(const CallPtr& call);
    void receive(const CallPtr& call, const Reply& reply);
    void receiveSubmitted(const ModelCall& call, const Reply& reply);
    void learnOwner(const NodePtr& node);
    // Runs the action once the process of the entry instance is not paused.
    void atEntry(std::size_t entry, const std::function<void()>& action);
    void attemptCall(const CallPtr& call);
    void serveCall(const NodePtr& node, CallToken token, const FleetCallRequest& request);
    void replyToCall(const NodePtr& node, CallToken token, const Reply& reply, bool mayHaveTakenEffect);
    void handleAttemptResult(const CallPtr& call, CallToken attempt, const Reply& reply, bool mayHaveTakenEffect);
    // A coordinator that has learnt of its successor does not know what becomes of the calls that it holds.
    void loseCalls(const NodePtr& node);
    void expire(const CallPtr& call);
    void finish(const CallPtr& call, const std::optional<Reply>& reply);
    // Checks what coordinators show of accepted jobs and of ids that nobody submitted.
    void checkLooks();

    void send(const NodePtr& node, const StartOrder& order);

    std::pair<StartAnswer, std::int64_t> start(const StartOrder& order);
    void check(const StartOrder& order);
    // Checks that a stop order does not end a service task at full capacity while too many others are unavailable.
    void checkStop(const StopOrder& order, const ModelRun& run);
    void updateServices();

    void send(const NodePtr& node, const StopOrder& order);
    void send(const NodePtr& node, const PollOrder& order);

    PollAnswer handlePoll(const PollOrder& order);
    void advance(const WorkerId& id, ModelWorker& worker);

    void send(const NodePtr& node, const JournalOrder& order);
    void send(const NodePtr& node, const ReadHeadOrder&);

    void send(const NodePtr& node, const ReplyOrder& order);
    void send(const NodePtr& node, const ListInstancesOrder&) { node->coordinator->instancesListed({}, m_now); }
    void send(const NodePtr&, const ThrottleOrder&) { }
    void send(const NodePtr&, const MoveOrder&) { }
    void send(const NodePtr&, const MaintainOrder&) { }
    void send(const NodePtr&, const AdviceOrder&) { }

    Choices& m_choices;
    ModelFaults m_faults;
    ModelJobs m_jobs;
    ModelStore m_store;
    ModelCalls m_calls;
    OperatorState m_operators;
    TimePoint m_now { Duration(100000) };
    std::map<WorkerId, ModelWorker> m_workers;
    std::vector<NodePtr> m_nodes;
    std::list<Message> m_messages;
    std::set<std::pair<std::uint64_t, WorkerId>> m_partitions; // by the fence of the node that cannot reach the worker
    std::set<std::pair<WorkerId, TaskKey>> m_stopping;

    std::map<std::string, std::string> m_records;
    Revision m_head { noRevision };
    std::uint64_t m_headNumber { 0 };
    std::uint64_t m_revision { 0 };
    std::uint64_t m_term { 0 };
    Revision m_ownerRevision { noRevision };
    TimePoint m_ownerUntil;

    std::map<JobId, JobSpec> m_specs;
    std::map<CallToken, JobId> m_tokens; // of submissions
    std::map<CallToken, JobId> m_cancelTokens;
    std::map<JobId, TimePoint> m_cancelledAt; // when the cancelling was acknowledged
    std::set<JobId> m_accepted;
    std::set<JobId> m_refused; // jobs all of whose submissions were refused
    std::vector<NodePtr> m_believedOwners { s_entryInstances }; // by entry instance
    std::map<CallToken, CallAttempt> m_attempts; // without a reply
    std::map<JobId, int> m_sends; // submissions of a job by its client
    std::map<JobId, int> m_openSubmissions; // those that were not refused
    std::set<JobId> m_unanswered; // jobs whose submission has no answer
    std::set<JobId> m_cancelSent; // ids that some client cancels
    std::set<JobId> m_neverSubmitted;
    std::set<JobId> m_startedJobs;
    TimePoint m_nextLook;
    std::size_t m_unansweredCancelled { 0 };
    std::set<TaskKey> m_acknowledgedDone;
    std::map<TaskKey, TimePoint> m_lastStartedAt;
    std::map<std::tuple<WorkerId, std::int64_t, std::int64_t>, TimePoint> m_endedAt; // by worker, incarnation and end
    std::set<TaskKey> m_completed;
    std::map<TaskKey, TimePoint> m_notRunningSince; // tasks of services
    std::set<TaskKey> m_stoppedByOrder; // tasks of services that do not run since a stop order ended them
    int m_services { 0 };
    bool m_isOrderLate { false }; // while a worker carries out an order that the network held up
    std::map<TaskKey, int> m_failureCounts;
    std::map<TaskKey, int> m_acknowledgedFailures;
    std::uint64_t m_nextJob { 0 };
    std::uint64_t m_nextToken { 1 };
    int m_starts { 0 };
    std::string m_violation;
    std::vector<std::string> m_trace;
};

} // namespace marigoldlink::testing
