// A coordinator with workers, journal and instance list in virtual time, under the load that makes pools contend: each
// queue in turn asks for several times its mean, and all together for more than there is.
#pragma once

#include "CoordinatorHarness.h"

#include <functional>
#include <random>

namespace marigoldlink {

class ContentionModel {
public:
    struct Queue {
        double jobsPerSecond { 0 }; // mean over time
        int steps { 1 };
        int tasks { 8 }; // of each step
        Duration taskTime { 800 };
        std::int64_t milliCores { 6200 }; // of each task
        int instances { 0 }; // of its pool at the start
        int serviceTasks { 0 }; // of a service that runs all the time, 8 cores each
        int maxUnavailable { 0 };
        Duration startsAfter { 0 }; // time of the first arrival
    };
    struct Load {
        std::vector<Queue> queues;
        int spareInstances { 0 }; // 0: there is no spare pool
        double burstFactor { 5 }; // of the queue whose turn it is
        double lullFactor { 0.05 }; // of the others
        Duration burstTime { 4000 };
        Duration time { 20000 };
        bool hasContention { true };
        unsigned seed { 1 };
    };
    struct Move {
        std::string instance;
        ServiceId from;
        ServiceId to;
        TimePoint at;
        bool isContended { false }; // ordered while the pools requested more than there was
    };
    struct Served {
        int submitted { 0 };
        int onTime { 0 };
        int late { 0 }; // within three times the objective
    };

    explicit ContentionModel(Load load)
        : m_load(std::move(load))
        , m_random(m_load.seed)
        , m_current(
              std::make_unique<Coordinator>(settings(m_load), Term { 10, 1 }, Journal(Revision(1)), m_now, sinks()))
    {
        m_operators.config.version = 1;
        for (std::size_t i = 0; i < m_load.queues.size(); ++i) {
            JobQueue queue;
            queue.id = QueueId("queue-" + std::to_string(i));
            queue.service = pool(i);
            queue.maxTaskFailures = 3;
            queue.objectiveFactor = 1.6;
            queue.objectiveAllowance = Duration(600);
            m_operators.config.queues.emplace(queue.id, queue);
            m_operators.config.pools.emplace(queue.service, WorkerPool { queue.service, false, false });
        }
        if (m_load.spareInstances)
            m_operators.config.pools.emplace(spare(), WorkerPool { spare(), false, true });
        m_current->setOperators(m_operators, m_now);
        for (std::size_t i = 0; i < m_load.queues.size(); ++i) {
            for (int n = 0; n < m_load.queues[i].instances; ++n)
                addInstance(pool(i));
        }
        for (int n = 0; n < m_load.spareInstances; ++n)
            addInstance(spare());
        run(Duration(10));
        m_current->finishRestore(m_now);
        m_current->instancesListed(m_instances, m_now);
        for (std::size_t i = 0; i < m_load.queues.size(); ++i)
            submitService(i);
        run(Duration(1500));
        moves.clear();
    }

    static ServiceId pool(std::size_t queue) { return ServiceId("pool-" + std::to_string(queue)); }
    static ServiceId spare() { return ServiceId("spare"); }

    // Plays the load, and then the given time without arrivals.
    void play(Duration rest = Duration(10000))
    {
        m_firstArrival = m_now;
        for (Duration at { 0 }; at < m_load.time; at += Duration(1))
            later(at, [this] { arrivals(); });
        run(m_load.time + rest);
    }

    void run(Duration time)
    {
        const auto end = m_now + time;
        while (m_now < end) {
            while (!m_events.empty() && m_events.begin()->first <= m_now) {
                auto event = std::move(m_events.begin()->second);
                m_events.erase(m_events.begin());
                event();
            }
            if (m_current->nextTick() <= m_now) {
                m_current->tick(m_now, m_now.time_since_epoch().count());
                checkServices();
            }
            for (auto& order : m_current->takeOrders())
                std::visit([this](auto& typed) { execute(typed); }, order);
            m_now += Duration(1);
        }
    }

    int instancesOf(const ServiceId& pool) const
    {
        return static_cast<int>(std::count_if(m_instances.begin(), m_instances.end(),
            [&pool](const FleetInstance& instance) { return instance.pool == pool; }));
    }

    // Number of moves during contention by which an instance returned to a pool that it had left less than this time
    // before.
    int returns(Duration within) const
    {
        int count = 0;
        for (std::size_t i = 0; i < moves.size(); ++i) {
            for (std::size_t earlier = 0; earlier < i; ++earlier)
                count += moves[i].isContended && moves[earlier].instance == moves[i].instance
                    && moves[earlier].from == moves[i].to && moves[i].at - moves[earlier].at < within;
        }
        return count;
    }

    // The worker of the instance answers no more.
    void silence(const std::string& instance)
    {
        for (const auto& other : m_instances) {
            if (other.id == instance)
                m_silent.insert(other.worker);
        }
    }

    // Replaces the coordinator by one that knows the stored records and what the workers report.
    void takeOver()
    {
        ++m_generation;
        m_current = std::make_unique<Coordinator>(settings(m_load),
            Term { 10 + static_cast<std::uint64_t>(m_generation), 2 }, Journal(Revision(m_revision)), m_now, sinks());
        m_current->setOperators(m_operators, m_now);
        CoordinatorHarness::restoreInto(*m_current, m_stored, m_now);
        for (const auto& instance : m_instances) {
            auto& worker = m_workers[instance.worker];
            if (worker.poll)
                worker.poll.reset();
            if (instance.state == InstanceState::Up)
                m_current->workerEntry(entryOf(instance), m_now);
        }
        run(Duration(20));
        m_current->finishRestore(m_now);
        m_current->instancesListed(m_instances, m_now);
    }

    // Number of starts on an instance after one time and before another.
    int startsOn(const std::string& instance, TimePoint after, TimePoint before = TimePoint::max()) const
    {
        return static_cast<int>(std::count_if(m_starts.begin(), m_starts.end(), [&](const auto& start) {
            return start.first == instance && start.second > after && start.second < before;
        }));
    }

    bool isAnswering(const std::string& instance) const
    {
        return std::any_of(m_instances.begin(), m_instances.end(), [&](const FleetInstance& other) {
            const auto* worker = std::as_const(*m_current).workers().find(other.worker);
            return other.id == instance && worker && worker->isAnswering;
        });
    }

    void addWave(const std::string& instance)
    {
        m_operators.waves[WaveId("1")] = CoordinatorHarness::wave("1", { instance });
        m_current->setOperators(m_operators, m_now);
    }

    // Instances that get no more tasks at present.
    std::vector<std::string> leavingInstances() const
    {
        std::vector<std::string> leaving;
        for (const auto& instance : m_instances) {
            const auto* worker = std::as_const(*m_current).workers().find(instance.worker);
            if (worker && worker->isLeavingPool)
                leaving.push_back(instance.id);
        }
        return leaving;
    }

    Coordinator& coordinator() { return *m_current; }
    TimePoint now() const { return m_now; }

    std::map<std::size_t, Served> served; // by queue
    std::vector<Move> moves;
    int runsEndedByMoves { 0 };
    int contendedMoves { 0 };
    int unavailableServiceTasks { 0 }; // most at a time beyond what the services allow, after the start
    int mostLeaving { 0 };
    std::vector<std::string> decisions; // log lines about instances and pools
    std::function<InstanceAnswer(const MoveOrder&)> answerMove; // instead of the regular answer

private:
    CoordinatorSinks sinks()
    {
        return { [this](const Decision& decision) { take(decision); },
            [this](const Measurement& measurement) { take(measurement); } };
    }

    static CoordinatorSettings settings(const Load& load)
    {
        CoordinatorSettings settings;
        settings.scheduling.contention = load.hasContention;
        return settings;
    }

    void addInstance(const ServiceId& pool)
    {
        FleetInstance instance;
        instance.id = "m-" + std::to_string(1000 + m_instances.size());
        instance.pool = pool;
        instance.dataCenter = DataCenterId("dc-1");
        instance.capacity = { 64000, 256000, 0 };
        m_instances.push_back(instance);
        addWorker(m_instances.back());
    }

    static WorkerEntry entryOf(const FleetInstance& instance)
    {
        WorkerEntry entry;
        entry.incarnation = { instance.worker, 1 };
        entry.service = instance.pool;
        entry.dataCenter = instance.dataCenter;
        entry.capacity = instance.capacity;
        entry.rack = RackId("r-1");
        entry.endpoint = { "127.0.0.1", 1 };
        entry.instance = instance.id;
        return entry;
    }

    void addWorker(FleetInstance& instance)
    {
        instance.worker = WorkerId("w-" + std::to_string(100000 + m_createdWorkers++));
        instance.state = InstanceState::Up;
        m_current->workerEntry(entryOf(instance), m_now);
    }

    JobSpec spec(const std::string& id, std::size_t queue, const std::string& team)
    {
        JobSpec spec;
        spec.id = JobId(id);
        spec.queue = QueueId("queue-" + std::to_string(queue));
        spec.team = TeamId(team);
        return spec;
    }

    void submitService(std::size_t queue)
    {
        const auto& load = m_load.queues[queue];
        if (!load.serviceTasks)
            return;
        auto service = spec("service-" + std::to_string(queue), queue, "owner");
        StepSpec step;
        step.tasks = load.serviceTasks;
        step.need = { 8000, 4000, 0 };
        step.isService = true;
        step.maxUnavailable = load.maxUnavailable;
        step.maxPerWorker = 2;
        service.steps = { step };
        m_current->submit(CallToken(++m_jobs), std::move(service), m_now);
    }

    void arrivals()
    {
        const auto turn = static_cast<std::size_t>((m_now - m_firstArrival) / m_load.burstTime) % m_load.queues.size();
        for (std::size_t i = 0; i < m_load.queues.size(); ++i) {
            if (m_now - m_firstArrival < m_load.queues[i].startsAfter)
                continue;
            const auto factor = i == turn ? m_load.burstFactor : m_load.lullFactor;
            m_arrivalBacklog[i] += m_load.queues[i].jobsPerSecond * factor / 1000;
            for (; m_arrivalBacklog[i] >= 1; m_arrivalBacklog[i] -= 1)
                submit(i);
        }
    }

    void submit(std::size_t queue)
    {
        const auto& load = m_load.queues[queue];
        ++m_jobs;
        char id[32];
        std::snprintf(id, sizeof(id), "%08x", static_cast<unsigned>(m_random()));
        auto job = spec(std::string(id) + "-" + std::to_string(m_jobs), queue, "team-" + std::to_string(m_jobs % 20));
        StepSpec step;
        step.tasks = load.tasks;
        step.need = { load.milliCores, 2000, 0 };
        step.estimate = load.taskTime;
        for (int i = 0; i < load.steps; ++i) {
            job.steps.push_back(step);
            if (i > 0)
                job.steps.back().after = { i - 1 };
        }
        ++served[queue].submitted;
        const auto chain = std::chrono::duration_cast<Duration>(load.taskTime * load.steps * 1.6) + Duration(600);
        m_open[job.id] = { queue, m_now, chain };
        m_current->submit(CallToken(m_jobs), std::move(job), m_now);
    }

    void later(Duration delay, std::function<void()> event) { m_events.emplace(m_now + delay, std::move(event)); }

    // For answers to the present coordinator.
    void answerLater(Duration delay, std::function<void()> answer)
    {
        later(delay, [this, generation = m_generation, answer = std::move(answer)] {
            if (generation == m_generation)
                answer();
        });
    }

    struct ModelWorker {
        std::vector<ListedRun> running;
        std::vector<ListedEnd> ended;
        std::int64_t ends { 0 };
        std::optional<PollOrder> poll; // in flight; answered at the next end of a run or after its wait time
        std::uint64_t pollNumber { 0 };
    };

    void execute(const StartOrder& order)
    {
        for (const auto& instance : m_instances) {
            if (instance.worker == order.worker.id)
                m_starts.emplace_back(instance.id, m_now);
        }
        const auto* job = m_current->jobs().find(order.task.job);
        const auto& step = job->stepSpec(order.task);
        m_workers[order.worker.id].running.push_back({ order.task, order.run, {}, 100, 0 });
        answerLater(Duration(2), [this, order] {
            m_current->startAnswered(
                order.worker, order.task, order.run, StartAnswer::Started, m_now.time_since_epoch().count(), m_now);
        });
        if (step.isService)
            return;
        // Callers' estimates are off by half.
        const auto time = step.estimate * std::uniform_int_distribution<int>(50, 150)(m_random) / 100;
        later(time, [this, order] {
            auto& worker = m_workers[order.worker.id];
            if (!std::erase_if(worker.running, [&](const ListedRun& run) { return run.task == order.task; }))
                return; // the worker ended with a move
            worker.ended.push_back({ ++worker.ends, order.task, order.run, RunEnd::Done, {} });
            if (worker.poll)
                answer(worker);
        });
    }

    void execute(const PollOrder& order)
    {
        auto& worker = m_workers[order.worker.id];
        std::erase_if(worker.ended, [&](const ListedEnd& end) { return end.number <= order.acknowledged; });
        worker.poll = order;
        const auto number = ++worker.pollNumber;
        const auto wait = worker.ended.empty() ? order.wait : Duration(0);
        if (m_silent.contains(order.worker.id)) {
            answerLater(Duration(100), [this, order] { m_current->pollAnswered(order.worker, {}, m_now); });
            worker.poll.reset();
            return;
        }
        answerLater(std::max(wait, Duration(2)), [this, id = order.worker.id, number] {
            auto& waiting = m_workers[id];
            if (waiting.poll && waiting.pollNumber == number)
                answer(waiting);
        });
    }

    void answer(ModelWorker& worker)
    {
        const auto order = *std::exchange(worker.poll, std::nullopt);
        if (m_silent.contains(order.worker.id)) {
            m_current->pollAnswered(order.worker, {}, m_now);
            return;
        }
        m_current->pollAnswered(order.worker,
            { PollAnswer::Status::Answered, order.worker.startedUnixMs, m_now.time_since_epoch().count(),
                worker.running, worker.ended },
            m_now);
    }

    void execute(const JournalOrder& order)
    {
        answerLater(Duration(4), [this, batch = order.batch] {
            for (const auto& [key, value] : batch.puts)
                m_stored[key] = value;
            for (const auto& key : batch.removals)
                m_stored.erase(key);
            m_current->journalAnswered(JournalAnswer::Stored, Revision(++m_revision), m_now);
        });
    }

    void execute(const ListInstancesOrder&)
    {
        answerLater(Duration(5), [this] {
            auto instances = m_instances;
            m_current->instancesListed(std::move(instances), m_now);
        });
    }

    void execute(const MoveOrder& order)
    {
        auto& instance = *std::find_if(m_instances.begin(), m_instances.end(),
            [&](const FleetInstance& other) { return other.id == order.instance; });
        moves.push_back({ order.instance, instance.pool, order.pool, m_now, m_isContended });
        const auto answer = answerMove ? answerMove(order) : InstanceAnswer::Done;
        if (answer == InstanceAnswer::Done) {
            runsEndedByMoves += static_cast<int>(m_workers[instance.worker].running.size());
            m_workers.erase(instance.worker);
            m_current->workerEntryRemoved(instance.worker, m_now);
            instance.pool = order.pool;
            instance.state = InstanceState::Moving;
            later(Duration(1500), [this, &instance] { addWorker(instance); });
        }
        answerLater(Duration(2), [this, order, answer] { m_current->instanceAnswered(order.instance, answer, m_now); });
    }

    template <typename Other> void execute(const Other&) { }

    // The services' tasks that do not run, less those that may be missing.
    void checkServices()
    {
        if (m_firstArrival == TimePoint())
            return;
        for (std::size_t i = 0; i < m_load.queues.size(); ++i) {
            const auto* job = m_current->jobs().find(JobId("service-" + std::to_string(i)));
            if (!job)
                continue;
            const auto& tasks = job->occurrences.at(0).steps[0].tasks;
            const auto missing = static_cast<int>(
                std::count_if(tasks.begin(), tasks.end(), [](const Task& task) { return !task.run.has_value(); }));
            unavailableServiceTasks = std::max(unavailableServiceTasks, missing - m_load.queues[i].maxUnavailable);
        }
    }

    void take(const Decision& decision)
    {
        if (decision.subject == "instance" || decision.subject == "coordinator")
            decisions.push_back(decision.id + ": " + decision.text);
        if (decision.id == "pools")
            m_isContended = decision.text == "pools request more than there is";
        if (decision.subject != "job_end")
            return;
        const auto found = m_open.find(JobId(decision.id));
        if (found == m_open.end())
            return;
        const auto& [queue, since, objective] = found->second;
        const auto time = m_now - since;
        served[queue].onTime += time <= objective;
        served[queue].late += time > objective && time <= 3 * objective;
        m_open.erase(found);
    }

    void take(const Measurement& measurement)
    {
        contendedMoves += std::holds_alternative<ContendedMove>(measurement);
        if (const auto* measured = std::get_if<PoolMeasured>(&measurement))
            mostLeaving = std::max(mostLeaving, measured->leavingInstances);
    }

    struct OpenJob {
        std::size_t queue { 0 };
        TimePoint since;
        Duration objective { 0 };
    };

    Load m_load;
    std::mt19937 m_random;
    TimePoint m_now { Duration(100000) };
    TimePoint m_firstArrival;
    OperatorState m_operators;
    std::unique_ptr<Coordinator> m_current;
    int m_generation { 0 }; // of the coordinator; answers to an earlier one are lost
    std::map<std::string, std::string> m_stored; // records by key
    std::set<WorkerId> m_silent;
    bool m_isContended { false };
    std::vector<std::pair<std::string, TimePoint>> m_starts; // by instance
    std::multimap<TimePoint, std::function<void()>> m_events;
    std::map<WorkerId, ModelWorker> m_workers;
    std::vector<FleetInstance> m_instances;
    std::map<std::size_t, double> m_arrivalBacklog;
    std::map<JobId, OpenJob> m_open;
    std::uint64_t m_jobs { 0 };
    int m_createdWorkers { 0 };
    std::uint64_t m_revision { 1 };
};

} // namespace marigoldlink
