// Measures the processor time of one coordinator for each task run. There are no sockets: workers, journal and instance
// list are simulated in virtual time. The load resembles that of users' large deployments, in which each queue
// in turn asks for five times its mean. See s_peakFactor for the factor that is used here.
#include "Measures.h"

#include "marigoldlink/Entry/Coordinator.h"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <functional>
#include <map>

namespace marigoldlink::benchmarks {

namespace {

    constexpr int s_poolCount = 4;
    constexpr Duration s_seconds { 20000 };
    constexpr Duration s_peakTime { 5000 }; // of one queue
    // Load of the queue at its peak, relative to the mean over the queues. The others get a twentieth of that mean.
    constexpr double s_peakFactor = 3.5;
    constexpr Duration s_orderLatency { 2 }; // time until an order is answered
    constexpr Duration s_storeLatency { 5 };
    constexpr Duration s_moveLatency { 1500 };
    const ServiceId s_spare("office");

    struct Fleet {
        int workers { 0 };
        double jobsPerSecond { 0 }; // mean over time, all queues together
        // If true, move orders are refused and instances stay in their pools. If false, all instances start in the
        // spare pool and the coordinator moves them.
        bool isFixed { true };
    };

    struct Tally {
        std::size_t runs { 0 };
        std::size_t ticks { 0 };
        std::size_t polls { 0 };
        std::size_t moves { 0 };
        double processorSeconds { 0 };
        double maxCallSeconds { 0 };
        std::vector<std::int64_t> startWaitsMs; // from the submission of a job to its first start
    };

    // Simulates the environment of one coordinator: workers, key-value service and instance list.
    class Model {
    public:
        explicit Model(const Fleet& fleet)
            : m_fleet(fleet)
            , m_coordinator({}, { 10, 1 }, Journal(Revision(1)), m_now,
                  { {}, [this](const Measurement& measurement) { take(measurement); } })
        {
            OperatorState operators;
            operators.config.version = 1;
            for (int i = 0; i < s_poolCount; ++i) {
                JobQueue queue;
                queue.id = QueueId("queue-" + std::to_string(i));
                queue.service = service(i);
                queue.maxTaskFailures = 3;
                queue.objectiveFactor = 1.5;
                queue.objectiveAllowance = Duration(600);
                operators.config.queues.emplace(queue.id, queue);
                operators.config.pools.emplace(queue.service, WorkerPool { queue.service, false, false });
            }
            operators.config.pools.emplace(s_spare, WorkerPool { s_spare, false, true });
            m_coordinator.setOperators(operators, m_now);
            for (int i = 0; i < fleet.workers; ++i)
                addInstance(i);
            run(Duration(10));
            m_coordinator.finishRestore(m_now);
            m_coordinator.instancesListed(m_instances, m_now);
            run(Duration(500));
        }

        Tally simulate()
        {
            m_tally = {};
            for (Duration at { 0 }; at < s_seconds; at += Duration(1))
                later(at, [this] { arrivals(); });
            run(s_seconds + Duration(3000));
            return m_tally;
        }

    private:
        static ServiceId service(int pool) { return ServiceId("service-" + std::to_string(pool)); }

        void addInstance(int index)
        {
            FleetInstance instance;
            instance.id = "m-" + std::to_string(index);
            instance.pool = m_fleet.isFixed ? service(index % s_poolCount) : s_spare;
            instance.dataCenter = DataCenterId("dc-" + std::to_string(index % 5));
            instance.capacity = { 64000, 128000, 0 };
            m_instances.push_back(instance);
            addWorker(m_instances.back());
        }

        // Registers a new worker on the instance.
        void addWorker(FleetInstance& instance)
        {
            WorkerEntry entry;
            entry.incarnation = { WorkerId("i-" + std::to_string(1000000 + m_createdWorkers++)), 1 };
            entry.service = instance.pool;
            entry.dataCenter = instance.dataCenter;
            entry.capacity = instance.capacity;
            entry.rack = RackId("r-" + instance.id.substr(0, instance.id.size() - 1));
            entry.endpoint = { "127.0.0.1", 1 };
            instance.worker = entry.incarnation.id;
            instance.state = InstanceState::Up;
            measured([&] { m_coordinator.workerEntry(entry, m_now); });
        }

        void arrivals()
        {
            const auto peakQueue = (m_now.time_since_epoch() / s_peakTime) % s_poolCount;
            for (int i = 0; i < s_poolCount; ++i) {
                const auto rate = m_fleet.jobsPerSecond / s_poolCount * (i == peakQueue ? s_peakFactor : 0.05);
                m_arrivalBacklog[i] += rate / 1000;
                for (; m_arrivalBacklog[i] >= 1; m_arrivalBacklog[i] -= 1)
                    submit(i);
            }
        }

        void submit(int queue)
        {
            JobSpec spec;
            char id[17];
            std::snprintf(id, sizeof(id), "%016llx", ++m_jobs * 0x9E3779B97F4A7C15ull);
            spec.id = JobId(id);
            spec.queue = QueueId("queue-" + std::to_string(queue));
            spec.team = TeamId("team-" + std::to_string(m_jobs % 60));
            spec.payload = "payload";
            const bool isLarge = queue % 2;
            StepSpec step;
            step.tasks = 8;
            step.need = { isLarge ? 18000 : 8400, 2000, 0 };
            step.estimate = Duration(isLarge ? 1300 : 800);
            spec.steps = { step, step };
            spec.steps[1].after = { 0 };
            measured([&] { m_coordinator.submit(CallToken(m_jobs), std::move(spec), m_now); });
        }

        void later(Duration delay, std::function<void()> event) { m_events.emplace(m_now + delay, std::move(event)); }

        template <typename Call> void measured(Call call)
        {
            const auto since = std::chrono::steady_clock::now();
            call();
            const auto seconds = std::chrono::duration<double>(std::chrono::steady_clock::now() - since).count();
            m_tally.processorSeconds += seconds;
            m_tally.maxCallSeconds = std::max(m_tally.maxCallSeconds, seconds);
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
                std::vector<Order> orders;
                measured([&] {
                    if (m_coordinator.nextTick() <= m_now) {
                        m_coordinator.tick(m_now, m_now.time_since_epoch().count());
                        ++m_tally.ticks;
                    }
                    orders = m_coordinator.takeOrders();
                });
                for (auto& order : orders)
                    std::visit([this](auto& typed) { execute(typed); }, order);
                m_now += Duration(1);
            }
        }

        struct ModelWorker {
            std::vector<ListedRun> running;
            std::vector<ListedEnd> ended;
            std::int64_t ends { 0 };
            std::optional<PollOrder> poll; // poll in flight, answered at the next end of a run or after its wait time
            std::uint64_t pollNumber { 0 };
        };

        void execute(const StartOrder& order)
        {
            ++m_tally.runs;
            m_workers[order.worker.id].running.push_back({ order.task, order.run, {}, 100, 0 });
            later(s_orderLatency, [this, order] {
                measured([&] {
                    m_coordinator.startAnswered(order.worker, order.task, order.run, StartAnswer::Started,
                        m_now.time_since_epoch().count(), m_now);
                });
            });
            const auto* job = m_coordinator.jobs().find(order.task.job);
            later(job->stepSpec(order.task).estimate, [this, order] {
                auto& worker = m_workers[order.worker.id];
                if (!std::erase_if(worker.running, [&](const ListedRun& run) { return run.task == order.task; }))
                    return; // the worker was removed by a move
                worker.ended.push_back({ ++worker.ends, order.task, order.run, RunEnd::Done, {} });
                if (worker.poll)
                    answer(worker);
            });
        }

        void execute(const PollOrder& order)
        {
            ++m_tally.polls;
            auto& worker = m_workers[order.worker.id];
            std::erase_if(worker.ended, [&](const ListedEnd& end) { return end.number <= order.acknowledged; });
            worker.poll = order;
            const auto number = ++worker.pollNumber;
            const auto wait = worker.ended.empty() ? order.wait : Duration(0);
            later(std::max(wait, s_orderLatency), [this, id = order.worker.id, number] {
                auto& waiting = m_workers[id];
                if (waiting.poll && waiting.pollNumber == number)
                    answer(waiting);
            });
        }

        void answer(ModelWorker& worker)
        {
            const auto order = *std::exchange(worker.poll, std::nullopt);
            PollAnswer answer { PollAnswer::Status::Answered, order.worker.startedUnixMs,
                m_now.time_since_epoch().count(), worker.running, worker.ended };
            measured([&] { m_coordinator.pollAnswered(order.worker, answer, m_now); });
        }

        void execute(const JournalOrder&)
        {
            later(s_storeLatency, [this] {
                measured([&] { m_coordinator.journalAnswered(JournalAnswer::Stored, Revision(++m_revision), m_now); });
            });
        }

        void execute(const ListInstancesOrder&)
        {
            later(s_storeLatency, [this] {
                auto instances = m_instances;
                measured([&] { m_coordinator.instancesListed(std::move(instances), m_now); });
            });
        }

        void execute(const MoveOrder& order)
        {
            ++m_tally.moves;
            later(s_orderLatency, [this, order] {
                auto answer = InstanceAnswer::Invalid;
                if (!m_fleet.isFixed) {
                    answer = InstanceAnswer::Done;
                    auto& instance = *std::find_if(m_instances.begin(), m_instances.end(),
                        [&](const FleetInstance& other) { return other.id == order.instance; });
                    m_workers.erase(instance.worker);
                    measured([&] { m_coordinator.workerEntryRemoved(instance.worker, m_now); });
                    instance.pool = order.pool;
                    instance.state = InstanceState::Moving;
                    later(s_moveLatency, [this, &instance] { addWorker(instance); });
                }
                measured([&] { m_coordinator.instanceAnswered(order.instance, answer, m_now); });
            });
        }

        template <typename Other> void execute(const Other&) { }

        void take(const Measurement& measurement)
        {
            if (const auto* started = std::get_if<JobStarted>(&measurement))
                m_tally.startWaitsMs.push_back(started->wait.count());
        }

        Fleet m_fleet;
        TimePoint m_now { Duration(100000) };
        Coordinator m_coordinator;
        std::multimap<TimePoint, std::function<void()>> m_events;
        std::map<WorkerId, ModelWorker> m_workers;
        std::vector<FleetInstance> m_instances;
        std::map<int, double> m_arrivalBacklog;
        std::uint64_t m_jobs { 0 };
        int m_createdWorkers { 0 };
        std::uint64_t m_revision { 1 };
        Tally m_tally;
    };

} // namespace

void measureCoordinator()
{
    std::printf("%-8s %-6s %-7s %8s %8s %8s %8s %8s %10s %8s %8s %8s\n", "workers", "fixed", "jobs/s", "runs", "polls",
        "ticks", "moves", "cpu s", "us/run", "p50 ms", "p95 ms", "max ms");
    for (const Fleet& fleet : { Fleet { 49, 10, true }, Fleet { 350, 60, true }, Fleet { 1100, 100, true },
             Fleet { 1100, 100, false }, Fleet { 1100, 200, true }, Fleet { 1100, 200, false },
             Fleet { 3300, 300, true }, Fleet { 3300, 300, false } }) {
        auto tally = Model(fleet).simulate();
        std::sort(tally.startWaitsMs.begin(), tally.startWaitsMs.end());
        const auto at = [&](double part) {
            return tally
                .startWaitsMs[static_cast<std::size_t>(part * static_cast<double>(tally.startWaitsMs.size() - 1))];
        };
        std::printf("%-8d %-6s %-7.0f %8zu %8zu %8zu %8zu %8.2f %10.1f %8lld %8lld %8.1f\n", fleet.workers,
            fleet.isFixed ? "yes" : "no", fleet.jobsPerSecond, tally.runs, tally.polls, tally.ticks, tally.moves,
            tally.processorSeconds,
            tally.processorSeconds * 1e6 / static_cast<double>(std::max<std::size_t>(1, tally.runs)),
            static_cast<long long>(at(0.5)), static_cast<long long>(at(0.95)), tally.maxCallSeconds * 1000);
        std::fflush(stdout);
    }
}

} // namespace marigoldlink::benchmarks
