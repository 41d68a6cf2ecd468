// Runs a coordinator on the event loop: loads its state, follows the workers' registry and executes its orders.
#pragma once

#include "marigoldlink/Entry/Coordinator.h"
#include "marigoldlink/Entry/Election.h"
#include "marigoldlink/Protocol/JobCodec.h"

#include <array>
#include <chrono>
#include <ctime>
#include <memory>

namespace marigoldlink {

inline std::int64_t unixMilliseconds()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch())
        .count();
}

// Accumulates the load of a coordinator between two reports.
class LoadMeter {
public:
    using Clock = std::chrono::steady_clock;

    // Adds the time of the call to the given part of the load.
    template <typename Call> void measure(std::chrono::microseconds CoordinatorLoad::*part, Call call)
    {
        const auto begin = Clock::now();
        call();
        m_load.*part += std::chrono::duration_cast<std::chrono::microseconds>(Clock::now() - begin);
    }

    void countOrder(const char* kind) { ++m_load.orders[kind]; }

    // Returns the load since the last call.
    CoordinatorLoad take()
    {
        const auto cpu = processTime();
        m_load.cpu = cpu - std::exchange(m_lastProcessTime, cpu);
        return std::exchange(m_load, {});
    }

private:
    static std::chrono::microseconds processTime()
    {
        timespec time {};
        ::clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
        return std::chrono::duration_cast<std::chrono::microseconds>(
            std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
    }

    CoordinatorLoad m_load;
    std::chrono::microseconds m_lastProcessTime { processTime() };
};

template <FleetPlatform Platform>
class CoordinatorRunner : public std::enable_shared_from_this<CoordinatorRunner<Platform>> {
public:
    using OnReply = std::function<void(CallToken, const Reply&)>;
    using OnSuperseded = std::function<void()>; // the ownership has to be given up

    CoordinatorRunner(EventLoop& loop, Platform& platform, CoordinatorSettings settings, const Ownership& ownership,
        CoordinatorSinks sinks, OnReply onReply, OnSuperseded onSuperseded)
        : m_loop(loop)
        , m_platform(platform)
        , m_ownership(ownership)
        , m_instanceCallTimeout(settings.instanceCallTimeout)
        , m_comparesInstanceFences(settings.checksInstanceFences)
        , m_coordinator(std::move(settings), { fence(), ownership.term, ownership.hasPredecessorResigned },
              Journal(ownership.headRevision), loop.now(), sinks)
        , m_measure(std::move(sinks.measure))
        , m_lastLoopIterations(loop.iterations())
        , m_onReply(std::move(onReply))
        , m_onSuperseded(std::move(onSuperseded))
        , m_workers(std::make_shared<StoreFollower<Platform>>(loop, platform, platform.workerPrefix(),
              FollowerLimits { .batchDelay = s_workerBatchDelay },
              [this](const std::set<std::string>& changed) { workersChanged(changed); }))
    {
    }

    void start(const OperatorState& operators)
    {
        m_startedAt = m_loop.now();
        m_coordinator.setOperators(operators, m_loop.now());
        m_workers->start();
        reportLoad();
        loadFrom(0);
    }

    // Stops the coordinator. Answers that arrive later are dropped.
    void stop()
    {
        m_isStopped = true;
        m_workers->stop();
        if (m_timer)
            m_loop.cancel(*m_timer);
        if (m_reportTimer)
            m_loop.cancel(*m_reportTimer);
    }

    bool isReady() const { return m_isReady && !m_isStopped; }
    Coordinator& coordinator() { return m_coordinator; }

    // Called after each renewal of the election lease. No other owner can be elected before this time.
    void setLeaseValidUntil(TimePoint time)
    {
        m_leaseValidUntil = time;
        m_coordinator.setLeaseValidUntil(time);
    }

    // Schedules a tick and the execution of its orders. To be called after each call to the coordinator.
    void executeOrders()
    {
        if (m_isStopped || m_isExecutionScheduled)
            return;
        m_isExecutionScheduled = true;
        // Deferred, so that events of several sockets share one tick.
        m_loop.post([this, self = this->shared_from_this()] {
            m_isExecutionScheduled = false;
            run();
        });
    }

private:
    std::uint64_t fence() const { return static_cast<std::uint64_t>(m_ownership.ownerRevision); }

    // Reads the records of all kinds, one kind after the other.
    void loadFrom(std::size_t kind)
    {
        static const std::array prefixes { &records::jobPrefix, &records::progressPrefix, &records::cancelledIdPrefix,
            &records::queuePrefix, &records::wavePrefix, &records::workerPrefix };
        if (kind == prefixes.size()) {
            loaded();
            return;
        }
        const auto& prefix = *prefixes[kind];
        m_platform.range(prefix, [this, self = this->shared_from_this(), prefix, kind](RangeResult result) {
            if (m_isStopped)
                return;
            if (result.status == StoreStatus::Ok) {
                m_stored[prefix] = std::move(result.values);
                loadFrom(kind + 1);
                return;
            }
            if (m_loop.now() - m_startedAt > s_maxFailingLoadTime) {
                s_log.warning("Records could not be read for too long. Resigning.", { { "prefix", prefix } });
                stop();
                m_onSuperseded();
                return;
            }
            s_log.warning("Records could not be read. Reading them again.", { { "prefix", prefix } });
            m_loop.after(Duration(s_loadRetryMs), [this, self, kind] { loadFrom(kind); });
        });
    }

    void loaded()
    {
        const auto now = m_loop.now();
        forEachStored(records::queuePrefix, [&](const std::string& name, const std::string& record) {
            const QueueId id(name);
            m_coordinator.restoreQueue(id, decodeQueue(id, record));
        });
        std::map<JobId, JobProgress> progressOf;
        forEachStored(records::progressPrefix, [&](const std::string& name, const std::string& record) {
            const JobId id(name);
            progressOf[id] = decodeProgress(id, record);
        });
        forEachStored(records::jobPrefix, [&](const std::string& name, const std::string& record) {
            const JobId id(name);
            m_coordinator.restoreJob(decodeJob(id, record), progressOf[id], now);
        });
        forEachStored(records::cancelledIdPrefix, [&](const std::string& name, const std::string& record) {
            m_coordinator.restoreCancelledId(JobId(name), decodeCancelledId(record), now);
        });
        forEachStored(records::wavePrefix, [&](const std::string& name, const std::string& record) {
            m_coordinator.restoreWave(WaveId(name), decodeWave(record));
        });
        forEachStored(records::workerPrefix, [&](const std::string& name, const std::string& value) {
            auto record = decodeWorker(WorkerId(name), value);
            m_coordinator.restoreWorker(record.entry, std::move(record.onlyRuns), now);
        });
        m_stored.clear();
        m_isLoaded = true;
        executeOrders();
        awaitWorkers();
    }

    // Calls restore(name, record) for each record that was read of a kind. Skips those that do not parse.
    template <typename Restore> void forEachStored(const std::string& prefix, Restore restore)
    {
        for (const auto& value : m_stored[prefix])
            decode(value, [&] { restore(value.key.substr(prefix.size()), value.value); });
    }

    template <typename Decoder> void decode(const StoredValue& value, Decoder decoder)
    {
        try {
            decoder();
        } catch (const Error& error) {
            s_log.error("Skipping a record that does not parse.", { { "key", value.key }, { "reason", error.what() } });
        }
    }

    // Waits until the first poll of each worker that may hold runs was answered or failed. Nothing starts before that.
    void awaitWorkers()
    {
        if (m_isStopped)
            return;
        const auto now = m_loop.now();
        const auto& workers = m_coordinator.workers().workers();
        const bool isSettled
            = m_workers->isLoaded() && std::all_of(workers.begin(), workers.end(), [](const auto& entry) {
                  return entry.second.hasSeenFence || !entry.second.mayHavePredecessorRuns
                      || (!entry.second.isPollInFlight && entry.second.pollSentAt != TimePoint());
              });
        if (!isSettled) {
            m_loop.after(Duration(s_readinessPollMs), [this, self = this->shared_from_this()] { awaitWorkers(); });
            return;
        }
        m_isReady = true;
        m_coordinator.finishRestore(now);
        executeOrders();
    }

    void workersChanged(const std::set<std::string>& changed)
    {
        const auto now = m_loop.now();
        for (const auto& key : changed) {
            const auto found = m_workers->values().find(key);
            if (found == m_workers->values().end()) {
                m_coordinator.workerEntryRemoved(m_platform.workerId(key), now);
                continue;
            }
            if (const auto entry = m_platform.decodeWorker(found->second))
                m_coordinator.workerEntry(*entry, now);
            else
                m_coordinator.workerEntryRemoved(m_platform.workerId(key), now);
        }
        executeOrders();
    }

    void run()
    {
        if (m_isStopped)
            return;
        const auto now = m_loop.now();
        // Polls are sent while the records load. All other work waits for the records.
        if (m_coordinator.nextTick() <= now && m_isLoaded)
            m_load.measure(&CoordinatorLoad::decisions, [&] { m_coordinator.tick(now, unixMilliseconds()); });
        sendOrders();
        if (m_coordinator.isSuperseded()) {
            stop();
            m_onSuperseded();
            return;
        }
        if (m_timer)
            m_loop.cancel(*m_timer);
        const auto delay = std::max(Duration(1), m_coordinator.nextTick() - now);
        m_timer = m_loop.after(delay, [this, self = this->shared_from_this()] {
            m_timer.reset();
            run();
        });
    }

    void sendOrders()
    {
        m_load.measure(&CoordinatorLoad::sending, [this] {
            for (auto& order : m_coordinator.takeOrders()) {
                std::visit(
                    [this](auto& typed) {
                        m_load.countOrder(kindOf(typed));
                        execute(typed);
                    },
                    order);
            }
        });
    }

    // Wraps a callback that passes an answer to the coordinator; it is ignored after stop().
    template <typename Answer> auto answered(Answer answer)
    {
        return [this, self = this->shared_from_this(), answer](auto&&... values) {
            if (m_isStopped)
                return;
            m_load.measure(&CoordinatorLoad::decisions, [&] { answer(std::forward<decltype(values)>(values)...); });
            executeOrders();
        };
    }

    // Logs and reports once a second what the coordinator used.
    void reportLoad()
    {
        auto load = m_load.take();
        load.loopIterations = m_loop.iterations() - std::exchange(m_lastLoopIterations, m_loop.iterations());
        const auto milliseconds = [](std::chrono::microseconds time) { return std::to_string(time.count() / 1000); };
        std::string orders;
        for (const auto& [kind, count] : load.orders)
            orders += (orders.empty() ? "" : ", ") + std::to_string(count) + ' ' + kind;
        if (!load.orders.empty())
            s_log.info("Load of the coordinator.",
                { { "cpu_ms", milliseconds(load.cpu) }, { "decisions_ms", milliseconds(load.decisions) },
                    { "sending_ms", milliseconds(load.sending) },
                    { "loop_iterations", std::to_string(load.loopIterations) }, { "orders", orders } });
        if (m_measure)
            m_measure(load);
        m_reportTimer = m_loop.after(s_reportPeriod, [this, self = this->shared_from_this()] { reportLoad(); });
    }

    static const char* kindOf(const StartOrder&) { return "starts"; }
    static const char* kindOf(const StopOrder&) { return "stops"; }
    static const char* kindOf(const ThrottleOrder&) { return "throttles"; }
    static const char* kindOf(const PollOrder&) { return "polls"; }
    static const char* kindOf(const JournalOrder&) { return "writes"; }
    static const char* kindOf(const ReadHeadOrder&) { return "head reads"; }
    static const char* kindOf(const ListInstancesOrder&) { return "instance lists"; }
    static const char* kindOf(const MoveOrder&) { return "moves"; }
    static const char* kindOf(const MaintainOrder&) { return "maintenance"; }
    static const char* kindOf(const AdviceOrder&) { return "advice"; }
    static const char* kindOf(const ReplyOrder&) { return "replies"; }

    void execute(const StartOrder& order)
    {
        m_platform.start(order,
            answered([this, incarnation = order.worker, task = order.task, run = order.run](
                         StartAnswer answer, std::int64_t clockMs) {
                m_coordinator.startAnswered(incarnation, task, run, answer, clockMs, m_loop.now());
            }));
    }

    void execute(const StopOrder& order)
    {
        m_platform.stop(
            order, answered([this, incarnation = order.worker, task = order.task, run = order.run](StopAnswer answer) {
                m_coordinator.stopAnswered(incarnation, task, run, answer, m_loop.now());
            }));
    }

    void execute(const ThrottleOrder& order) { m_platform.throttle(order); }

    void execute(const PollOrder& order)
    {
        m_platform.poll(order, answered([this, incarnation = order.worker](const PollAnswer& answer) {
            if (answer.status != PollAnswer::Status::Answered)
                m_load.countOrder("failed polls");
            m_coordinator.pollAnswered(incarnation, answer, m_loop.now());
        }));
    }

    void execute(const JournalOrder& order)
    {
        StoreWrite call;
        call.expected = { { records::owner, m_ownership.ownerRevision }, { records::head, order.batch.expectedHead } };
        call.puts.push_back(
            { records::head, JournalHead { m_ownership.term, order.batch.number }.text(), StoreLease::None });
        for (const auto& [key, value] : order.batch.puts)
            call.puts.push_back({ key, value, StoreLease::None });
        call.removals = order.batch.removals;
        auto callback = answered([this](const StoreWriteResult& result) {
            m_coordinator.journalAnswered(journalAnswer(result.status), result.revision, m_loop.now());
        });
        // The next write is sent now and not at the end of the iteration, since only one is in flight.
        m_platform.write(call, [this, callback](const StoreWriteResult& result) mutable {
            callback(result);
            if (!m_isStopped && !m_coordinator.isSuperseded())
                sendOrders();
        });
    }

    static JournalAnswer journalAnswer(StoreWriteStatus status)
    {
        switch (status) {
        case StoreWriteStatus::Done:
            return JournalAnswer::Stored;
        case StoreWriteStatus::Refused:
            return JournalAnswer::Refused;
        case StoreWriteStatus::Unknown:
            return JournalAnswer::Unknown;
        case StoreWriteStatus::Conflict:
        case StoreWriteStatus::LeaseEnded:
            return JournalAnswer::Conflict;
        }
        return JournalAnswer::Unknown;
    }

    void execute(const ReadHeadOrder&)
    {
        m_platform.range(records::head, answered([this](const RangeResult& result) {
            if (result.status != StoreStatus::Ok) {
                m_loop.after(
                    Duration(s_loadRetryMs), [this, self = this->shared_from_this()] { execute(ReadHeadOrder {}); });
                return;
            }
            Revision revision { noRevision };
            JournalHead head;
            for (const auto& value : result.values) {
                if (value.key != records::head)
                    continue;
                revision = value.revision;
                head = JournalHead::parse(value.value);
            }
            const auto number = head.term == m_ownership.term ? head.number : 0;
            m_coordinator.headRead(revision, number, m_loop.now());
        }));
    }

    void execute(const ListInstancesOrder&)
    {
        m_platform.listInstances(answered([this](std::optional<std::vector<FleetInstance>> instances) {
            m_coordinator.instancesListed(
                instances ? std::move(*instances) : std::vector<FleetInstance> {}, m_loop.now());
        }));
    }

    void execute(const MoveOrder& order)
    {
        changeInstance(order.instance, [this, &order](Duration allowed, InstanceCallback callback) {
            m_platform.move(order, fence(), allowed, std::move(callback));
        });
    }

    void execute(const MaintainOrder& order)
    {
        changeInstance(order.instance, [this, &order](Duration allowed, InstanceCallback callback) {
            m_platform.maintain(order, fence(), allowed, std::move(callback));
        });
    }

    // Sends an order for an instance. If instances do not compare fences, the order must not take effect once another
    // owner may have been elected, even if this process was paused after the order was issued.
    template <typename Send> void changeInstance(const std::string& instance, Send send)
    {
        const auto allowed = m_comparesInstanceFences
            ? m_instanceCallTimeout
            : std::min(m_instanceCallTimeout, m_leaseValidUntil - m_loop.now());
        auto callback = answered([this, instance](InstanceAnswer answer) {
            m_coordinator.instanceAnswered(instance, answer, m_loop.now());
        });
        if (allowed > Duration(0))
            send(allowed, std::move(callback));
        else
            m_loop.post([callback]() mutable { callback(InstanceAnswer::Refused); });
    }

    void execute(const AdviceOrder& order)
    {
        m_platform.advise(order, answered([this, order](const AdviceAnswer& answer) {
            m_coordinator.adviceAnswered(order, answer, m_loop.now());
        }));
    }

    void execute(const ReplyOrder& order) { m_onReply(order.token, order.reply); }

    static constexpr Log s_log { "coordinator" };
    static constexpr Duration s_workerBatchDelay { 25 };
    static constexpr Duration s_reportPeriod { 1000 };
    static constexpr int s_loadRetryMs = 100;
    // A small instance may not be able to read a page before the call times out. It then leaves the ownership to
    // another.
    static constexpr Duration s_maxFailingLoadTime { 2000 };
    static constexpr int s_readinessPollMs = 5;

    EventLoop& m_loop;
    Platform& m_platform;
    Ownership m_ownership;
    Duration m_instanceCallTimeout;
    bool m_comparesInstanceFences;
    TimePoint m_leaseValidUntil; // set before the first order is executed
    TimePoint m_startedAt;
    Coordinator m_coordinator;
    MeasurementSink m_measure;
    LoadMeter m_load;
    std::uint64_t m_lastLoopIterations { 0 };
    OnReply m_onReply;
    OnSuperseded m_onSuperseded;
    std::shared_ptr<StoreFollower<Platform>> m_workers;
    std::optional<EventLoop::Timer> m_timer;
    std::optional<EventLoop::Timer> m_reportTimer;
    std::map<std::string, std::vector<StoredValue>> m_stored; // by prefix, until all records are read
    bool m_isLoaded { false };
    bool m_isReady { false };
    bool m_isExecutionScheduled { false };
    bool m_isStopped { false };
};

} // namespace marigoldlink
