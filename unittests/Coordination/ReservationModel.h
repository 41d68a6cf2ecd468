// A pool in virtual time: places tasks with or without reservations, ends their runs, and checks the rules of
// placement.
#pragma once

#include "marigoldlink/Coordination/Placement.h"

#include <algorithm>
#include <functional>
#include <optional>
#include <stdexcept>

namespace marigoldlink::testing {

class ReservationModel {
public:
    explicit ReservationModel(bool hasReservations)
        : m_hasReservations(hasReservations)
    {
        m_config.version = 1;
        queue.id = QueueId("checks");
        queue.service = service;
        queue.maxTaskFailures = 2;
        queue.objectiveAllowance = Duration(60000);
    }

    void addWorker(
        const std::string& id, const std::string& rack, std::int64_t milliCores, std::set<std::string> labels = {})
    {
        WorkerEntry entry;
        entry.incarnation.id = WorkerId(id);
        entry.service = service;
        entry.capacity = { milliCores, 1000000, 0 };
        entry.rack = RackId(rack);
        entry.labels = std::move(labels);
        m_workers.entryChanged(entry);
    }

    static StepSpec step(int tasks, std::int64_t milliCores, int estimate)
    {
        StepSpec step;
        step.tasks = tasks;
        step.need = { milliCores, 1, 0 };
        step.estimate = Duration(estimate);
        return step;
    }

    void submitAt(TimePoint at, const std::string& id, std::vector<StepSpec> steps)
    {
        JobSpec spec;
        spec.id = JobId(id);
        spec.queue = queue.id;
        spec.steps = std::move(steps);
        m_arrivals.emplace(at, std::move(spec));
    }

    // Runs until no arrival, run or start is due before the given time.
    void run(TimePoint until)
    {
        for (;;) {
            auto next = std::min(
                m_arrivals.empty() ? until : m_arrivals.begin()->first, m_ends.empty() ? until : m_ends.begin()->first);
            next = std::min(next, reservations.nextLapse(service));
            if (next >= until)
                break;
            usedCoreMs += usedMilliCores() / 1000.0 * static_cast<double>((next - now).count());
            now = next;
            while (!m_arrivals.empty() && m_arrivals.begin()->first <= now) {
                auto& job = m_jobs.accept(std::move(m_arrivals.begin()->second), queue, now);
                job.version = job.storedVersion = 1;
                submitted[job.spec.id] = now;
                m_arrivals.erase(m_arrivals.begin());
            }
            while (!m_ends.empty() && m_ends.begin()->first <= now) {
                const auto [worker, task, number] = m_ends.begin()->second;
                m_ends.erase(m_ends.begin());
                end(worker, task, number);
            }
            pass();
        }
        now = until;
    }

    // Whether all steps of the job could start on an empty pool.
    bool isPossible(const Job& job) const
    {
        return std::all_of(job.spec.steps.begin(), job.spec.steps.end(), [this](const StepSpec& spec) {
            std::int64_t most = 0;
            for (const auto& [id, worker] : m_workers.workers()) {
                if (!spec.requiredLabel.empty() && !worker.entry.labels.contains(spec.requiredLabel))
                    continue;
                const auto fit = worker.entry.capacity.milliCores / spec.need.milliCores;
                most += spec.maxPerWorker ? std::min<std::int64_t>(fit, spec.maxPerWorker) : fit;
            }
            return spec.isGang ? most >= spec.tasks : most > 0;
        });
    }

    std::size_t running() const { return m_ends.size(); }
    const std::set<WorkerId>& workersOf(const std::string& id) const { return m_workersOf.at(JobId(id)); }
    Duration wait(const std::string& id) const { return lastStart.at(JobId(id)) - submitted.at(JobId(id)); }
    bool hasStarted(const std::string& id) const { return lastStart.contains(JobId(id)); }
    WorkerTable& workers() { return m_workers; }
    JobTable& jobs() { return m_jobs; }

    const ServiceId service { "gates" };
    JobQueue queue;
    TimePoint now { Duration(100000) };
    std::function<Duration(const TaskKey&, const StepSpec&)> runTime
        = [](const TaskKey&, const StepSpec& step) { return step.estimate; };
    bool learns { true };
    bool makesReservations { true };
    Reservations reservations;
    RunTimes runTimes;
    std::map<JobId, TimePoint> submitted;
    std::map<JobId, TimePoint> lastStart; // of any task
    std::map<JobId, int> starts;
    std::vector<ReservationChange> changes;
    std::set<WorkerId> unusable;
    double usedCoreMs { 0 };

private:
    void check(bool holds, const char* rule) const
    {
        if (!holds)
            throw std::logic_error(rule);
    }

    double usedMilliCores() const
    {
        double used = 0;
        for (const auto& [id, worker] : m_workers.workers())
            used += static_cast<double>(worker.used.milliCores);
        return used;
    }

    void note(std::vector<ReservationChange> more) { changes.insert(changes.end(), more.begin(), more.end()); }

    // As Coordinator::placeTasks().
    void pass()
    {
        const auto isUsable = [this](const WorkerId& id) { return m_workers.find(id) && !unusable.contains(id); };
        Placement placement(
            m_jobs, m_workers, m_config, m_use, m_advice,
            [&](const Worker& worker) { return isUsable(worker.entry.incarnation.id); },
            [](const Job&) { return true; });
        if (m_hasReservations) {
            note(reservations.refresh(service, now, isUsable,
                [&](const StepKey& key) { return placement.reservedStepStatus(service, key, now); }));
            placement.setReservations(reservations, runTimes);
        }
        const auto plan = placement.plan(now, 1000);
        for (const auto& planned : plan.starts)
            start(planned);
        checkGangs(plan.starts);
        std::vector<ReservationChange> started;
        for (const auto& planned : plan.starts)
            reservations.started(service, planned.task.stepKey(), planned.worker, started);
        const bool hasEnded = !started.empty();
        note(std::move(started));
        if (hasEnded && plan.heldBack) {
            pass();
            return;
        }
        std::vector<WorkerOutlook> outlooks;
        for (const auto& [id, worker] : m_workers.workers()) {
            if (isUsable(id))
                outlooks.push_back(outlookOf(worker));
        }
        if (!makesReservations)
            return;
        if (!m_hasReservations)
            return;
        for (auto& [id, steps] : placement.unplacedSteps(now))
            note(reservations.reserve(id, std::move(steps), outlooks, now));
    }

    void start(const PlannedStart& planned)
    {
        const auto& job = *m_jobs.find(planned.task.job);
        const auto& spec = job.stepSpec(planned.task);
        auto& worker = *m_workers.find(planned.worker);
        check(!unusable.contains(planned.worker), "starts on an unusable worker");
        check(spec.reserved().fitsInto(worker.freeCapacity()), "exceeds the capacity of a worker");
        check(spec.requiredLabel.empty() || worker.entry.labels.contains(spec.requiredLabel), "ignores a label");
        const auto here = worker.tasksByStep.find({ planned.task.job, planned.task.occurrence, planned.task.step });
        check(!spec.maxPerWorker || here == worker.tasksByStep.end() || here->second < spec.maxPerWorker,
            "ignores the limit per worker");
        check(m_jobs.isStepReady(job, job.occurrences.at(0), planned.task.step), "starts before its predecessors end");
        check(!m_jobs.findTask(planned.task)->run, "starts a running task");
        m_jobs.runOrdered(planned.task, planned.run, planned.worker, now);
        ReservedRun held;
        held.number = planned.run;
        held.reserved = spec.reserved();
        held.need = spec.need;
        held.since = now;
        held.expectedEnd = now + runTimes.expected(queue.id, spec.image, spec.estimate);
        held.upperEnd = now + runTimes.upper(queue.id, spec.image, spec.estimate);
        m_workers.reserve(planned.worker, planned.task, held);
        m_ends.emplace(now + std::max(Duration(1), runTime(planned.task, spec)),
            std::tuple(planned.worker, planned.task, planned.run));
        lastStart[planned.task.job] = now;
        ++starts[planned.task.job];
        m_workersOf[planned.task.job].insert(planned.worker);
    }

    void checkGangs(const std::vector<PlannedStart>& planned) const
    {
        std::map<StepKey, int> count;
        for (const auto& start : planned)
            ++count[start.task.stepKey()];
        for (const auto& [key, tasks] : count) {
            const auto& spec = m_jobs.find(key.job)->spec.steps[static_cast<std::size_t>(key.step)];
            check(!spec.isGang || tasks == spec.tasks, "starts a part of a gang");
        }
    }

    void end(const WorkerId& id, const TaskKey& task, RunNumber number)
    {
        const auto& job = *m_jobs.find(task.job);
        const auto& run = m_workers.find(id)->runs.at(task);
        const auto& spec = job.stepSpec(task);
        if (learns)
            runTimes.record(queue.id, spec.image, spec.estimate, now - run.since);
        m_workers.release(id, task, number);
        m_jobs.runEnded(task, number, RunEnd::Done, {}, now);
    }

    bool m_hasReservations;
    JobTable m_jobs;
    WorkerTable m_workers;
    FleetConfig m_config;
    TeamUsageTotals m_use;
    AdviceCache m_advice { {} };
    std::map<JobId, std::set<WorkerId>> m_workersOf;
    std::multimap<TimePoint, JobSpec> m_arrivals;
    std::multimap<TimePoint, std::tuple<WorkerId, TaskKey, RunNumber>> m_ends;
};

} // namespace marigoldlink::testing
