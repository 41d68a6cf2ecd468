// A model of the fleet around several coordinators: workers with fences and leases, a store, and links that lose, delay
// and cut. Virtual time; all luck comes from a list of choices.
//
// The checker reads only what workers and callers see, and records the first rule that breaks.
#pragma once

#include "../Coordination/Choices.h"
#include "marigoldlink/Entry/Coordinator.h"
#include "marigoldlink/Protocol/JobCodec.h"

#include <algorithm>
#include <list>
#include <memory>

namespace marigoldlink::testing {

enum class ModelJobs {
    AtOnce,
    SomeTimed, // some jobs run several times, each in its time
};

struct ModelFaults {
    bool losesMessages { true };
    bool cutsLinks { true };
    bool freezesOwners { true };
    bool restartsWorkers { true };
};

class FleetModel {
public:
    static constexpr std::int64_t taskMilliCores = 1000;
    static constexpr std::int64_t workerMilliCores = 3000;
    static constexpr int attempts = 3;

    FleetModel(Choices& choices, ModelFaults faults, int workers, ModelJobs jobs = ModelJobs::AtOnce)
        : m_choices(choices)
        , m_faults(faults)
        , m_jobs(jobs)
    {
        JobQueue queue;
        queue.id = QueueId("checks");
        queue.service = ServiceId("gates");
        queue.attempts = attempts;
        queue.slack = Duration(600);
        m_operators.config.version = 1;
        m_operators.config.queues.emplace(queue.id, queue);
        m_operators.config.pools.emplace(ServiceId("gates"), WorkerPool { ServiceId("gates"), false, false });
        for (int i = 0; i < workers; ++i)
            m_workers.emplace(WorkerId("w" + std::to_string(i)),
                ModelWorker { 0.98 + 0.01 * (i % 3), 1, {}, 0, 0, {}, {}, 0, {}, 0 });
    }

    // Lets the time pass, with faults and submissions drawn from the choices.
    void run(Duration time, bool isCalm);
    void heal();

    void submit();

    const std::string& broken() const { return m_broken; }
    // What happened, for the trace of a seed that breaks a rule.
    const std::vector<std::string>& trace() const { return m_trace; }

    // Accepted jobs that the current owner does not show as ended.
    std::vector<JobId> unfinished() const;

    // Jobs that are shown as failed though no task of them has failed often enough.
    std::vector<JobId> falselyFailed() const;
    std::size_t accepted() const { return m_accepted.size(); }
    std::size_t refused() const { return m_refused.size(); }
    int starts() const { return m_starts; }
    std::uint64_t terms() const { return m_term; }

private:
    static constexpr Duration step { 10 };
    static constexpr Duration s_interval { 700 }; // between two occurrences; shorter than most of them run
    static constexpr Duration s_early { 250 }; // a start may be this much before its time (platform's bounds)
    static constexpr Duration ownerTtl { 1200 };
    static constexpr Duration answerTimeout { 600 };

    struct ModelRun {
        RunNumber number {};
        TimePoint endsAt;
        bool fails { false };
    };

    struct ModelWorker {
        double rate { 1 };
        std::int64_t born { 1 };
        TimePoint bornAt;
        std::uint64_t fence { 0 };
        std::int64_t deadline { 0 };
        std::map<TaskKey, ModelRun> running;
        std::vector<ListedEnd> ended;
        std::int64_t lastEnd { 0 };
        std::map<TaskKey, RunNumber> highest; // stopped or ended
        std::int64_t lapsedEnd { 0 }; // last end before the lease lapsed
    };

    struct Node {
        Term term;
        std::unique_ptr<Coordinator> coordinator;
        Revision ownerRevision { noRevision };
        TimePoint nextRenewal;
        bool isRestored { false };
        bool isFrozen { false };
        bool isCutFromStore { false };
        bool isGone { false };
    };
    using NodePtr = std::shared_ptr<Node>;

    struct Message {
        TimePoint at;
        std::function<void()> run;
    };
    std::int64_t clock(const ModelWorker& worker) const;

    std::int64_t wallMs() const { return m_now.time_since_epoch().count(); }

    void note(const std::string& text);
    void breakRule(const std::string& text);

    Node* currentOwner();
    void disturb();

    // The owner's key lapses without renewal; then another coordinator is elected and reads the store.
    void elect();
    WorkerEntry entry(const WorkerId& id, const ModelWorker& worker) const;

    void load(Node& node);
    void drive(const NodePtr& node);

    void post(Duration delay, std::function<void()> action);
    void deliver();

    enum class Fate { Answered, AnswerLost, Late, Lost };
    Fate fate(const NodePtr& node, const WorkerId& worker);

    // Carries a call to a worker with its fate. A frozen node takes its answers when it wakes.
    template <typename Answer>
    void call(const NodePtr& node, const WorkerId& worker, std::function<Answer()> carryOut,
        std::function<void(const Answer&)> answered, const Answer& unknown)
    {
        const auto back = [this, node, answered](Duration delay, const Answer& answer) {
            post(delay, [this, node, answered, answer] { arrive(node, [answered, answer] { answered(answer); }); });
        };
        switch (fate(node, worker)) {
        case Fate::Answered:
            post(step, [back, carryOut] { back(step, carryOut()); });
            return;
        case Fate::AnswerLost:
            post(step, [carryOut] { carryOut(); });
            break;
        case Fate::Late:
            // The worker holds the order back; a restarted worker knows nothing of before.
            post(Duration(1000 + static_cast<std::int64_t>(m_choices.below(4000))),
                [this, worker, born = m_workers.at(worker).born, carryOut] {
                    if (m_workers.at(worker).born == born)
                        carryOut();
                });
            break;
        case Fate::Lost:
            break;
        }
        back(answerTimeout, unknown);
    }

    void arrive(const NodePtr& node, const std::function<void()>& action);
    void send(const NodePtr& node, const StartOrder& order);

    std::pair<StartAnswer, std::int64_t> start(const StartOrder& order, std::uint64_t fence);
    void check(const StartOrder& order);

    void send(const NodePtr& node, const StopOrder& order);
    void send(const NodePtr& node, const LookOrder& order);

    LookAnswer lookAt(const LookOrder& order, std::uint64_t fence);
    void advance(const WorkerId& id, ModelWorker& worker);

    void send(const NodePtr& node, const JournalOrder& order);
    void send(const NodePtr& node, const ReadHeadOrder&);

    void send(const NodePtr&, const ReplyOrder& order);
    void send(const NodePtr& node, const ListInstancesOrder&) { node->coordinator->instancesListed({}, m_now); }
    void send(const NodePtr&, const PaceOrder&) { }
    void send(const NodePtr&, const MoveOrder&) { }
    void send(const NodePtr&, const MaintainOrder&) { }
    void send(const NodePtr&, const AdviceOrder&) { }

    Choices& m_choices;
    ModelFaults m_faults;
    ModelJobs m_jobs;
    OperatorState m_operators;
    TimePoint m_now { Duration(100000) };
    std::map<WorkerId, ModelWorker> m_workers;
    std::vector<NodePtr> m_nodes;
    std::list<Message> m_messages;
    std::set<std::pair<std::uint64_t, WorkerId>> m_cuts; // by the fence of the node that is cut off
    std::set<std::pair<WorkerId, TaskKey>> m_stopping;

    std::map<std::string, std::string> m_records;
    Revision m_head { noRevision };
    std::uint64_t m_headNumber { 0 };
    std::uint64_t m_revision { 0 };
    std::uint64_t m_term { 0 };
    Revision m_ownerRevision { noRevision };
    TimePoint m_ownerUntil;

    std::map<JobId, JobSpec> m_specs;
    std::map<CallToken, JobId> m_tokens;
    std::set<JobId> m_accepted;
    std::set<JobId> m_refused;
    std::set<TaskKey> m_notedDone;
    std::set<TaskKey> m_everDone;
    std::map<TaskKey, int> m_everFailed;
    std::map<TaskKey, int> m_notedFailures;
    std::uint64_t m_nextJob { 0 };
    std::uint64_t m_nextToken { 1 };
    int m_starts { 0 };
    std::string m_broken;
    std::vector<std::string> m_trace;
};

} // namespace marigoldlink::testing
