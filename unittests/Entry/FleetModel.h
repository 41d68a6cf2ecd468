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
    void run(Duration time, bool isCalm)
    {
        const auto end = m_now + time;
        while (m_now < end && m_broken.empty()) {
            if (!isCalm)
                disturb();
            elect();
            deliver();
            for (auto& [id, worker] : m_workers)
                advance(id, worker);
            for (auto& node : m_nodes)
                drive(node);
            m_now += step;
        }
    }

    void heal()
    {
        m_cuts.clear();
        for (auto& node : m_nodes) {
            node->isFrozen = false;
            node->isCutFromStore = false;
        }
        m_faults = { false, false, false, false };
    }

    void submit()
    {
        auto* owner = currentOwner();
        if (!owner || !owner->isRestored || owner->isFrozen)
            return;
        JobSpec spec;
        spec.id = JobId("job" + std::to_string(m_nextJob++));
        spec.queue = QueueId("checks");
        for (int i = 0; i < 2; ++i) {
            StepSpec stepSpec;
            stepSpec.tasks = 1 + static_cast<int>(m_choices.below(3));
            stepSpec.need = { taskMilliCores, 1, 0 };
            stepSpec.estimate = Duration(300);
            if (i)
                stepSpec.after.push_back(0);
            spec.steps.push_back(stepSpec);
        }
        if (m_jobs == ModelJobs::SomeTimed && m_choices.below(2))
            spec.schedule = { 2, wallMs() + static_cast<std::int64_t>(m_choices.below(2000)), s_interval.count() };
        m_specs[spec.id] = spec;
        owner->coordinator->submit(CallToken(m_nextToken), spec, m_now);
        m_tokens[CallToken(m_nextToken++)] = spec.id;
    }

    const std::string& broken() const { return m_broken; }
    // What happened, for the trace of a seed that breaks a rule.
    const std::vector<std::string>& trace() const { return m_trace; }

    // Accepted jobs that the current owner does not show as ended.
    std::vector<JobId> unfinished() const
    {
        std::vector<JobId> open;
        const auto* owner = const_cast<FleetModel*>(this)->currentOwner();
        for (const auto& id : m_accepted) {
            if (!owner || !owner->isRestored) {
                open.push_back(id);
                continue;
            }
            const auto reply = owner->coordinator->look(id);
            if (reply.kind != Reply::Kind::State || reply.state == JobState::Pending
                || reply.state == JobState::Running)
                open.push_back(id);
        }
        return open;
    }

    // Jobs that are shown as failed though no task of them has failed often enough.
    std::vector<JobId> falselyFailed() const
    {
        std::vector<JobId> jobs;
        const auto* owner = const_cast<FleetModel*>(this)->currentOwner();
        for (const auto& id : m_accepted) {
            if (!owner || owner->coordinator->look(id).state != JobState::Failed)
                continue;
            const bool hasCause = std::any_of(m_everFailed.begin(), m_everFailed.end(),
                [&id](const auto& row) { return row.first.job == id && row.second >= attempts; });
            if (!hasCause)
                jobs.push_back(id);
        }
        return jobs;
    }

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

    std::int64_t clock(const ModelWorker& worker) const
    {
        return static_cast<std::int64_t>(static_cast<double>((m_now - worker.bornAt).count()) * worker.rate);
    }

    std::int64_t wallMs() const { return m_now.time_since_epoch().count(); }

    void note(const std::string& text)
    {
        m_trace.push_back(std::to_string(m_now.time_since_epoch().count()) + ' ' + text);
    }

    void breakRule(const std::string& text)
    {
        if (m_broken.empty())
            m_broken = text + " at " + std::to_string(m_now.time_since_epoch().count());
    }

    Node* currentOwner()
    {
        for (auto& node : m_nodes) {
            if (!node->isGone && node->ownerRevision == m_ownerRevision && m_ownerRevision != noRevision)
                return node.get();
        }
        return nullptr;
    }

    void disturb()
    {
        const auto luck = m_choices.below(400);
        if (luck < 8)
            submit();
        auto* owner = currentOwner();
        if (luck == 10 && m_faults.freezesOwners && owner)
            owner->isFrozen = true, note("owner frozen");
        if (luck == 11 && m_faults.cutsLinks && owner)
            owner->isCutFromStore = true, note("owner cut from the store");
        if (luck == 12) {
            for (auto& node : m_nodes)
                node->isFrozen = false;
        }
        if (luck >= 13 && luck < 16 && m_faults.cutsLinks && owner)
            m_cuts.insert({ owner->term.fence, m_choices.pick(m_workers).first });
        if (luck == 16)
            m_cuts.clear();
        if (luck == 17 && m_faults.restartsWorkers) {
            auto& worker = m_choices.pick(m_workers).second;
            note("a worker restarts, life " + std::to_string(worker.born + 1));
            worker = ModelWorker { worker.rate, worker.born + 1, m_now, 0, 0, {}, {}, 0, {}, 0 };
        }
    }

    // The owner's key lapses without renewal; then another coordinator is elected and reads the store.
    void elect()
    {
        if (m_ownerRevision != noRevision && m_now < m_ownerUntil)
            return;
        auto node = std::make_shared<Node>();
        node->term = { ++m_revision, ++m_term, false };
        node->ownerRevision = Revision(m_revision);
        m_head = Revision(m_revision);
        m_headNumber = 0;
        m_ownerRevision = node->ownerRevision;
        m_ownerUntil = m_now + ownerTtl;
        node->coordinator = std::make_unique<Coordinator>(CoordinatorSettings {}, node->term, Journal(m_head), m_now,
            CoordinatorSinks { [this, term = m_term](const Decision& decision) {
                                  note("term " + std::to_string(term) + ' ' + decision.subject + ' ' + decision.id
                                      + ": " + decision.text);
                              },
                {} });
        note("term " + std::to_string(m_term) + " elected");
        node->coordinator->setSureUntil(m_now + ownerTtl);
        node->coordinator->setOperators(m_operators, m_now);
        for (const auto& [id, worker] : m_workers)
            node->coordinator->workerEntry(entry(id, worker), m_now);
        load(*node);
        m_nodes.push_back(node);
    }

    WorkerEntry entry(const WorkerId& id, const ModelWorker& worker) const
    {
        WorkerEntry entry;
        entry.life = { id, worker.born };
        entry.service = ServiceId("gates");
        entry.endpoint = { "127.0.0.1", 1 };
        entry.capacity = { workerMilliCores, 1000, 0 };
        return entry;
    }

    void load(Node& node)
    {
        for (const auto& [key, value] : m_records) {
            if (key.starts_with(records::jobPrefix)) {
                const JobId id(key.substr(records::jobPrefix.size()));
                const auto progress = m_records.find(records::progress(id));
                node.coordinator->restoreJob(decodeJob(id, value),
                    progress == m_records.end() ? JobProgress {} : decodeProgress(id, progress->second), m_now);
            } else if (key.starts_with(records::workerPrefix)) {
                const auto record = decodeWorker(WorkerId(key.substr(records::workerPrefix.size())), value);
                node.coordinator->restoreWorker(record.entry, record.onlyRuns, m_now);
            }
        }
    }

    void drive(const NodePtr& node)
    {
        if (node->isGone || node->isFrozen)
            return;
        if (node->coordinator->isDeposed()) {
            node->isGone = true;
            return;
        }
        if (node->nextRenewal <= m_now) {
            node->nextRenewal = m_now + Duration(350);
            if (!node->isCutFromStore && node->ownerRevision == m_ownerRevision && m_now < m_ownerUntil) {
                m_ownerUntil = m_now + ownerTtl;
                node->coordinator->setSureUntil(m_now + ownerTtl);
            }
        }
        if (!node->isRestored) {
            const auto& workers = node->coordinator->workers().workers();
            node->isRestored = std::all_of(workers.begin(), workers.end(), [](const auto& row) {
                return row.second.isFenced || (!row.second.isLookUnderWay && row.second.lookSentAt != TimePoint());
            });
            if (node->isRestored)
                node->coordinator->restored(m_now);
        }
        for (const auto& [id, worker] : m_workers) {
            if (const auto* known = node->coordinator->workers().find(id);
                !known || known->entry.life.bornUnixMs < worker.born)
                node->coordinator->workerEntry(entry(id, worker), m_now);
        }
        node->coordinator->tick(m_now, wallMs());
        for (auto& order : node->coordinator->takeOrders())
            std::visit([&](const auto& typed) { send(node, typed); }, order);
    }

    void post(Duration delay, std::function<void()> action)
    {
        m_messages.push_back({ m_now + delay, std::move(action) });
    }

    void deliver()
    {
        for (auto message = m_messages.begin(); message != m_messages.end();) {
            if (message->at > m_now) {
                ++message;
                continue;
            }
            const auto action = std::move(message->run);
            message = m_messages.erase(message);
            action();
        }
    }

    enum class Fate { Answered, AnswerLost, Late, Lost };

    Fate fate(const NodePtr& node, const WorkerId& worker)
    {
        if (m_cuts.contains({ node->term.fence, worker }))
            return Fate::Lost;
        if (!m_faults.losesMessages)
            return Fate::Answered;
        const auto luck = m_choices.below(60);
        if (luck == 1)
            return Fate::AnswerLost;
        if (luck == 2)
            return Fate::Late;
        return luck == 3 ? Fate::Lost : Fate::Answered;
    }

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

    void arrive(const NodePtr& node, const std::function<void()>& action)
    {
        if (node->isGone)
            return;
        if (node->isFrozen) {
            post(step, [this, node, action] { arrive(node, action); });
            return;
        }
        action();
    }

    void send(const NodePtr& node, const StartOrder& order)
    {
        using Answer = std::pair<StartAnswer, std::int64_t>;
        const auto fence = node->term.fence;
        call<Answer>(
            node, order.worker.id, [this, order, fence] { return start(order, fence); },
            [this, node, order](const Answer& answer) {
                node->coordinator->startAnswered(
                    order.worker, order.task, order.run, answer.first, answer.second, m_now);
            },
            { StartAnswer::Unknown, 0 });
    }

    std::pair<StartAnswer, std::int64_t> start(const StartOrder& order, std::uint64_t fence)
    {
        auto& worker = m_workers.at(order.worker.id);
        if (worker.born != order.worker.bornUnixMs && m_choices.below(2))
            return { StartAnswer::OtherLife, 0 };
        const auto now = clock(worker);
        if (fence < worker.fence)
            return { StartAnswer::StaleFence, now };
        worker.fence = fence;
        if (order.deadlineMs <= now)
            return { StartAnswer::Late, now };
        worker.deadline = std::max(worker.deadline, order.deadlineMs);
        const auto highest = worker.highest.find(order.task);
        const auto running = worker.running.find(order.task);
        if (running != worker.running.end() && running->second.number == order.run)
            return { StartAnswer::Started, now };
        if (highest != worker.highest.end() && order.run <= highest->second)
            return { StartAnswer::OldRun, now };
        check(order);
        note(order.worker.id.value() + " life " + std::to_string(worker.born) + " starts " + order.task.text() + " run "
            + std::to_string(number(order.run)) + " fence " + std::to_string(fence));
        worker.running[order.task] = { order.run,
            m_now + Duration(100 + static_cast<std::int64_t>(m_choices.below(900))), m_choices.below(12) == 1 };
        ++m_starts;
        if (static_cast<std::int64_t>(worker.running.size()) * taskMilliCores > workerMilliCores)
            breakRule("LIMIT: " + order.worker.id.value() + " is over its capacity");
        return { StartAnswer::Started, now };
    }

    void check(const StartOrder& order)
    {
        for (const auto& [id, worker] : m_workers) {
            if (worker.running.contains(order.task))
                breakRule("TWICE: " + order.task.text() + " runs on " + id.value() + " already");
        }
        if (m_refused.contains(order.task.job))
            breakRule("REFUSED: " + order.task.text() + " starts though its job was refused");
        if (m_notedDone.contains(order.task))
            breakRule("TWICE: " + order.task.text() + " started after its end was acknowledged");
        if (m_notedFailures[order.task] >= attempts)
            breakRule("BUDGET: " + order.task.text() + " has used its attempts");
        const auto& spec = m_specs.at(order.task.job);
        if (spec.schedule.isTimed() && wallMs() + s_early.count() < spec.schedule.dueUnixMs(order.task.occurrence))
            breakRule("ORDER: " + order.task.text() + " started before it was due");
        if (order.task.step > 0) {
            for (int i = 0; i < spec.steps[0].tasks; ++i) {
                if (!m_everDone.contains({ order.task.job, order.task.occurrence, 0, i }))
                    breakRule("ORDER: " + order.task.text() + " started before its time");
            }
        }
    }

    void send(const NodePtr& node, const StopOrder& order)
    {
        const auto fence = node->term.fence;
        call<StopAnswer>(
            node, order.worker.id,
            [this, order, fence] {
                auto& worker = m_workers.at(order.worker.id);
                if (fence < worker.fence)
                    return StopAnswer::StaleFence;
                worker.fence = fence;
                auto& highest = worker.highest[order.task];
                highest = std::max(highest, order.run);
                const auto running = worker.running.find(order.task);
                if (running != worker.running.end() && running->second.number == order.run) {
                    running->second.endsAt = m_now + Duration(200); // it takes a while to stop
                    running->second.fails = false;
                    m_stopping.insert({ order.worker.id, order.task });
                }
                return StopAnswer::Stopping;
            },
            [this, node, order](const StopAnswer& answer) {
                node->coordinator->stopAnswered(order.worker, order.task, order.run, answer, m_now);
            },
            StopAnswer::Unknown);
    }

    void send(const NodePtr& node, const LookOrder& order)
    {
        const auto fence = node->term.fence;
        call<LookAnswer>(
            node, order.worker.id, [this, order, fence] { return lookAt(order, fence); },
            [this, node, order](
                const LookAnswer& answer) { node->coordinator->lookAnswered(order.worker, answer, m_now); },
            LookAnswer {});
    }

    LookAnswer lookAt(const LookOrder& order, std::uint64_t fence)
    {
        auto& worker = m_workers.at(order.worker.id);
        LookAnswer answer;
        answer.bornUnixMs = worker.born;
        answer.clockMs = clock(worker);
        if (fence < worker.fence) {
            answer.status = LookAnswer::Status::StaleFence;
            return answer;
        }
        worker.fence = fence;
        answer.status = LookAnswer::Status::Answered;
        if (order.worker.bornUnixMs == worker.born) {
            if (order.deadlineMs)
                worker.deadline = std::max(worker.deadline, *order.deadlineMs);
            for (const auto& end : worker.ended) {
                if (end.number > order.acknowledged)
                    continue;
                // The platform's page: an end counts as noted unless the lease has lapsed since.
                if (worker.lapsedEnd >= end.number)
                    continue;
                if (end.how == RunEnd::Done)
                    m_notedDone.insert(end.task);
                m_notedFailures[end.task] += end.how == RunEnd::Failed;
            }
            std::erase_if(worker.ended, [&](const ListedEnd& end) { return end.number <= order.acknowledged; });
        }
        for (const auto& [task, run] : worker.running)
            answer.running.push_back({ task, run.number, "", 100, 0 });
        answer.ended = worker.ended;
        return answer;
    }

    void advance(const WorkerId& id, ModelWorker& worker)
    {
        const bool isLapsed = clock(worker) >= worker.deadline;
        if (isLapsed)
            worker.lapsedEnd = worker.lastEnd;
        for (auto run = worker.running.begin(); run != worker.running.end();) {
            const auto stopping = m_stopping.find({ id, run->first });
            if (!isLapsed && run->second.endsAt > m_now) {
                ++run;
                continue;
            }
            auto how = run->second.fails ? RunEnd::Failed : RunEnd::Done;
            if (stopping != m_stopping.end())
                how = RunEnd::Stopped;
            if (isLapsed && run->second.endsAt > m_now)
                how = RunEnd::Lapsed;
            if (stopping != m_stopping.end())
                m_stopping.erase(stopping);
            if (how == RunEnd::Done)
                m_everDone.insert(run->first);
            m_everFailed[run->first] += how == RunEnd::Failed;
            note(id.value() + " ends " + run->first.text() + " run " + std::to_string(number(run->second.number)) + ' '
                + name(how));
            worker.ended.push_back({ ++worker.lastEnd, run->first, run->second.number, how, "" });
            auto& highest = worker.highest[run->first];
            highest = std::max(highest, run->second.number);
            run = worker.running.erase(run);
        }
    }

    void send(const NodePtr& node, const JournalOrder& order)
    {
        const auto batch = order.batch;
        const auto ownerRevision = node->ownerRevision;
        const auto carryOut = [this, batch, ownerRevision] {
            if (m_ownerRevision != ownerRevision || m_now >= m_ownerUntil || batch.expectedHead != m_head)
                return JournalAnswer::Conflict;
            m_head = Revision(++m_revision);
            m_headNumber = batch.number;
            for (const auto& [key, value] : batch.puts)
                m_records[key] = value;
            for (const auto& key : batch.removals)
                m_records.erase(key);
            return JournalAnswer::Stored;
        };
        const auto back = [this, node](Duration delay, JournalAnswer answer, Revision head) {
            post(delay, [this, node, answer, head] {
                arrive(node, [this, node, answer, head] { node->coordinator->journalAnswered(answer, head, m_now); });
            });
        };
        if (node->isCutFromStore) {
            back(answerTimeout, JournalAnswer::Unknown, noRevision);
            return;
        }
        const auto luck = m_faults.losesMessages ? m_choices.below(30) : 0;
        if (luck == 1) { // the answer is lost
            post(step, [carryOut] { carryOut(); });
            back(answerTimeout, JournalAnswer::Unknown, noRevision);
        } else if (luck == 2) { // carried out late
            post(Duration(2000), [carryOut] { carryOut(); });
            back(answerTimeout, JournalAnswer::Unknown, noRevision);
        } else {
            post(step, [this, carryOut, back] {
                const auto answer = carryOut();
                back(step, answer, m_head);
            });
        }
    }

    void send(const NodePtr& node, const ReadHeadOrder&)
    {
        post(node->isCutFromStore ? answerTimeout : step, [this, node] {
            arrive(node, [this, node] {
                if (node->isCutFromStore)
                    send(node, ReadHeadOrder {});
                else
                    node->coordinator->headRead(
                        m_head, node->ownerRevision == m_ownerRevision ? m_headNumber : 0, m_now);
            });
        });
    }

    void send(const NodePtr&, const ReplyOrder& order)
    {
        const auto found = m_tokens.find(order.token);
        if (found == m_tokens.end())
            return;
        if (order.reply.kind == Reply::Kind::Accepted)
            m_accepted.insert(found->second);
        else if (order.reply.kind == Reply::Kind::Refused)
            m_refused.insert(found->second);
    }

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
