// Drives a coordinator with virtual time. The test answers each order or leaves it without an answer.
#pragma once

#include "marigoldlink/Entry/Coordinator.h"
#include "marigoldlink/Protocol/JobCodec.h"

#include <algorithm>

namespace marigoldlink {

class CoordinatorHarness {
public:
    // This long after a takeover every lease that a predecessor may have granted has expired: 4 s in which it may
    // order, and a lease of 3 s on a clock that is 2% slow.
    static constexpr Duration leasesExpireAfter { 7061 };

    explicit CoordinatorHarness(Term term = { 10, 1 }, CoordinatorSinks sinks = {}, CoordinatorSettings settings = {})
        : coordinator(std::move(settings), term, Journal(Revision(1)), now, std::move(sinks))
    {
        operators.config.version = 1;
        JobQueue queue;
        queue.id = QueueId("checks");
        queue.service = ServiceId("gates");
        queue.maxTaskFailures = 2;
        queue.objectiveAllowance = Duration(600);
        operators.config.queues.emplace(queue.id, queue);
        operators.config.pools.emplace(ServiceId("gates"), WorkerPool { ServiceId("gates"), false, false });
        coordinator.setOperators(operators, now);
    }

    WorkerEntry addWorker(const std::string& id, std::int64_t milliCores = 8000, std::int64_t born = 1)
    {
        WorkerEntry entry;
        entry.incarnation = { WorkerId(id), born };
        entry.service = ServiceId("gates");
        entry.dataCenter = DataCenterId("riga-1");
        entry.capacity = { milliCores, 100000, 0 };
        entry.rack = RackId("r-" + id);
        entry.endpoint = { "127.0.0.1", 1 };
        coordinator.workerEntry(entry, now);
        return entry;
    }

    static JobSpec job(const std::string& id, int tasks = 1)
    {
        JobSpec spec;
        spec.id = JobId(id);
        spec.queue = QueueId("checks");
        spec.payload = "payload of " + id;
        StepSpec step;
        step.tasks = tasks;
        step.need = { 1000, 100, 0 };
        step.estimate = Duration(500);
        spec.steps.push_back(step);
        return spec;
    }

    static MaintenanceWave wave(const std::string& number, std::vector<std::string> instances)
    {
        MaintenanceWave wave;
        wave.id = WaveId(number);
        wave.number = std::stoll(number);
        wave.instances = std::move(instances);
        return wave;
    }

    static TaskKey task(const std::string& id, int index = 0, int step = 0) { return { JobId(id), 0, step, index }; }

    // Starts the coordinator of a first term with workers that answered and whose records are stored.
    void begin(const std::vector<std::string>& workerIds)
    {
        for (const auto& id : workerIds)
            addWorker(id);
        run(Duration(5));
        answerPolls();
        coordinator.finishRestore(now);
        settle();
    }

    // Completes a takeover in which one worker answered its first poll and the other did not.
    void takeOverWithout(const std::string& silent, const std::string& answering)
    {
        run(Duration(5));
        answerPolls({}, {}, answering);
        failPolls(silent);
        coordinator.finishRestore(now);
        settle();
    }

    // Advances time until the given number of starts is pending, but no longer than the limit. Returns the elapsed
    // time.
    Duration waitForStarts(std::size_t count, Duration most, const std::string& silent, const std::string& answering)
    {
        const auto since = now;
        while (starts.size() < count && now < since + most) {
            run(Duration(50));
            answerPolls({}, {}, answering);
            failPolls(silent);
        }
        return now - since;
    }

    // Ticks the coordinator every millisecond for the given time and collects its orders.
    void run(Duration time)
    {
        const auto end = now + time;
        do {
            coordinator.tick(now, wallMs());
            for (auto& order : coordinator.takeOrders())
                take(order);
            now += Duration(1);
        } while (now < end);
    }

    // Answers pending polls, of all workers or only one.
    void answerPolls(const std::vector<ListedRun>& running = {}, const std::vector<ListedEnd>& ended = {},
        const std::string& onlyWorker = {})
    {
        for (const auto& order : std::exchange(polls, {})) {
            if (!onlyWorker.empty() && order.worker.id.value() != onlyWorker) {
                polls.push_back(order);
                continue;
            }
            PollAnswer answer;
            answer.status = PollAnswer::Status::Answered;
            answer.startedUnixMs = order.worker.startedUnixMs;
            answer.clockMs = now.time_since_epoch().count();
            answer.running = running;
            answer.ended = ended;
            answer.mayHaveMoreEnds = areEndsCutOff;
            coordinator.pollAnswered(order.worker, answer, now);
        }
    }

    void failPolls(const std::string& worker)
    {
        for (const auto& order : std::exchange(polls, {})) {
            if (order.worker.id.value() == worker)
                coordinator.pollAnswered(order.worker, {}, now);
            else
                polls.push_back(order);
        }
    }

    void answerJournal(JournalAnswer answer = JournalAnswer::Stored)
    {
        if (!batch)
            return;
        batch.reset();
        coordinator.journalAnswered(answer, Revision(++revision), now);
    }

    void answerStarts(StartAnswer answer = StartAnswer::Started)
    {
        for (const auto& order : std::exchange(starts, {}))
            coordinator.startAnswered(order.worker, order.task, order.run, answer, now.time_since_epoch().count(), now);
    }

    // Submits a job and stores its record.
    void accept(const JobSpec& spec)
    {
        coordinator.submit(CallToken(++lastToken), spec, now);
        run(Duration(60));
        answerJournal();
    }

    // Stores the records of new workers.
    void settle()
    {
        run(Duration(60));
        answerJournal();
        run(Duration(5));
    }

    // Applies the batch in flight to the records and confirms it.
    void storeBatch(std::map<std::string, std::string>& stored)
    {
        if (!batch)
            return;
        for (const auto& [key, value] : batch->puts)
            stored[key] = value;
        for (const auto& key : batch->removals)
            stored.erase(key);
        answerJournal();
    }

    // Restores what a predecessor stored.
    void restore(const std::map<std::string, std::string>& stored) { restoreInto(coordinator, stored, now); }

    static void restoreInto(Coordinator& coordinator, const std::map<std::string, std::string>& stored, TimePoint now)
    {
        for (const auto& [key, value] : stored) {
            if (!key.starts_with(records::queuePrefix))
                continue;
            const QueueId id(key.substr(records::queuePrefix.size()));
            coordinator.restoreQueue(id, decodeQueue(id, value));
        }
        for (const auto& [key, value] : stored) {
            if (key.starts_with(records::jobPrefix)) {
                const JobId id(key.substr(records::jobPrefix.size()));
                const auto progress = stored.find(records::progress(id));
                coordinator.restoreJob(decodeJob(id, value),
                    progress == stored.end() ? JobProgress {} : decodeProgress(id, progress->second), now);
            } else if (key.starts_with(records::cancelledIdPrefix)) {
                const JobId id(key.substr(records::cancelledIdPrefix.size()));
                coordinator.restoreCancelledId(id, decodeCancelledId(value), now);
            } else if (key.starts_with(records::workerPrefix)) {
                const auto record = decodeWorker(WorkerId(key.substr(records::workerPrefix.size())), value);
                coordinator.restoreWorker(record.entry, record.onlyRuns, now);
            }
        }
    }

    std::int64_t wallMs() const { return 1700000000000 + now.time_since_epoch().count(); }

    TimePoint now { Duration(100000) };
    OperatorState operators;
    Coordinator coordinator;
    std::vector<StartOrder> starts;
    std::vector<StopOrder> stops;
    std::vector<ThrottleOrder> paces;
    std::vector<PollOrder> polls;
    std::vector<MaintainOrder> maintenance;
    std::vector<MoveOrder> moves;
    std::vector<ReplyOrder> replies;
    std::vector<AdviceOrder> adviceCalls;
    std::optional<JournalBatch> batch;
    int lists { 0 };
    std::uint64_t revision { 1 };
    std::uint64_t lastToken { 0 };
    bool areEndsCutOff { false }; // workers answer polls with a full list of ends, which may leave out others

private:
    void take(const Order& order)
    {
        std::visit(
            [this](const auto& typed) {
                using Type = std::decay_t<decltype(typed)>;
                if constexpr (std::is_same_v<Type, StartOrder>)
                    starts.push_back(typed);
                else if constexpr (std::is_same_v<Type, StopOrder>)
                    stops.push_back(typed);
                else if constexpr (std::is_same_v<Type, ThrottleOrder>)
                    paces.push_back(typed);
                else if constexpr (std::is_same_v<Type, PollOrder>)
                    polls.push_back(typed);
                else if constexpr (std::is_same_v<Type, MaintainOrder>)
                    maintenance.push_back(typed);
                else if constexpr (std::is_same_v<Type, MoveOrder>)
                    moves.push_back(typed);
                else if constexpr (std::is_same_v<Type, ReplyOrder>)
                    replies.push_back(typed);
                else if constexpr (std::is_same_v<Type, AdviceOrder>)
                    adviceCalls.push_back(typed);
                else if constexpr (std::is_same_v<Type, JournalOrder>)
                    batch = typed.batch;
                else if constexpr (std::is_same_v<Type, ListInstancesOrder>)
                    ++lists;
            },
            order);
    }
};

} // namespace marigoldlink
