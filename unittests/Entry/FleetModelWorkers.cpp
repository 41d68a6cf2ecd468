// FleetModel: workers, and the checker that observes them.
#include "FleetModel.h"

namespace marigoldlink::testing {

void FleetModel::send(const NodePtr& node, const StartOrder& order)
{
    using Answer = std::pair<StartAnswer, std::int64_t>;
    call<Answer>(
        node, order.worker.id,
        [this, order, startedMs = m_workers.at(order.worker.id).startedMs] {
            // No coordinator can prevent a late start on a restarted worker that has not seen a later fence.
            if (m_isOrderLate && m_workers.at(order.worker.id).startedMs != startedMs)
                return Answer { StartAnswer::Unknown, 0 };
            return start(order);
        },
        [this, node, order](const Answer& answer) {
            node->coordinator->startAnswered(order.worker, order.task, order.run, answer.first, answer.second, m_now);
        },
        { StartAnswer::Unknown, 0 });
}

std::pair<StartAnswer, std::int64_t> FleetModel::start(const StartOrder& order)
{
    auto& worker = m_workers.at(order.worker.id);
    if (worker.startedMs != order.worker.startedUnixMs && m_choices.below(2))
        return { StartAnswer::OtherIncarnation, 0 };
    const auto now = clock(worker);
    if (order.fence < worker.fence)
        return { StartAnswer::StaleFence, now };
    worker.fence = order.fence;
    if (order.deadlineMs <= now)
        return { StartAnswer::Late, now };
    extendLease(worker, order.deadlineMs);
    const auto highest = worker.highest.find(order.task);
    const auto running = worker.running.find(order.task);
    if (running != worker.running.end() && running->second.number == order.run)
        return { StartAnswer::Started, now };
    if (highest != worker.highest.end() && order.run <= highest->second)
        return { StartAnswer::OldRun, now };
    if (!m_specs.contains(order.task.job)) {
        recordViolation("UNASKED: " + order.task.text() + " is of a job that no client submitted");
        return { StartAnswer::Unknown, now };
    }
    check(order);
    addTrace(order.worker.id.value() + " incarnation " + std::to_string(worker.startedMs) + " starts "
        + order.task.text() + " run " + std::to_string(number(order.run)) + " fence "
        + std::to_string(number(order.fence)));
    const auto length = Duration(100 + static_cast<std::int64_t>(m_choices.below(900)));
    const bool isService = m_specs.at(order.task.job).steps[static_cast<std::size_t>(order.task.step)].isService;
    worker.running[order.task]
        = { order.run, isService ? TimePoint::max() : m_now + length, m_choices.below(12) == 1 && !isService, m_now };
    ++m_starts;
    m_lastStartedAt[order.task] = m_now;
    m_startedJobs.insert(order.task.job);
    if (static_cast<std::int64_t>(worker.running.size()) * taskMilliCores > workerMilliCores)
        recordViolation("LIMIT: " + order.worker.id.value() + " exceeds its capacity");
    return { StartAnswer::Started, now };
}

void FleetModel::extendLease(ModelWorker& worker, std::int64_t deadlineMs) const
{
    // As the hosting platform specifies: a longer lease is shortened to the maximum.
    worker.deadline = std::max(worker.deadline, std::min(deadlineMs, clock(worker) + s_maxLease.count()));
}

void FleetModel::check(const StartOrder& order)
{
    for (const auto& [id, worker] : m_workers) {
        if (worker.running.contains(order.task))
            recordViolation("TWICE: " + order.task.text() + " is running on " + id.value() + " already");
    }
    const auto cancelled = m_cancelledAt.find(order.task.job);
    if (cancelled != m_cancelledAt.end() && m_now > cancelled->second + s_cancelBound && !m_isOrderLate)
        recordViolation("UNASKED: " + order.task.text() + " started after its job's cancelling was acknowledged");
    if (m_refused.contains(order.task.job))
        recordViolation("REFUSED: " + order.task.text() + " started although its job was refused");
    if (m_acknowledgedDone.contains(order.task))
        recordViolation("TWICE: " + order.task.text() + " started after its end was acknowledged");
    if (m_acknowledgedFailures[order.task] >= attempts)
        recordViolation("BUDGET: " + order.task.text() + " started after it used up its attempts");
    const auto& spec = m_specs.at(order.task.job);
    if (spec.schedule.isTimed()
        && wallMs() + s_earlyStartTolerance.count() < spec.schedule.dueUnixMs(order.task.occurrence))
        recordViolation("ORDER: " + order.task.text() + " started before it was due");
    if (order.task.step > 0) {
        for (int i = 0; i < spec.steps[0].tasks; ++i) {
            if (!m_completed.contains({ order.task.job, order.task.occurrence, 0, i }))
                recordViolation("ORDER: " + order.task.text() + " started before the preceding step was done");
        }
    }
}

void FleetModel::checkStop(const StopOrder& order, const ModelRun& run)
{
    const auto& step = m_specs.at(order.task.job).steps[static_cast<std::size_t>(order.task.step)];
    if (!step.isService || m_stopping.contains({ order.worker.id, order.task }))
        return;
    int unavailable = 0;
    for (int i = 0; i < step.tasks; ++i) {
        auto other = order.task;
        other.index = i;
        const auto since = m_notRunningSince.find(other);
        if (i != order.task.index && since != m_notRunningSince.end())
            unavailable += m_stoppedByOrder.contains(other) || m_now - since->second >= s_notice;
    }
    // As the hosting platform specifies: orders that were held up do not count.
    if (!m_isOrderLate && m_now - run.startedAt >= s_startup && unavailable >= step.maxUnavailable)
        recordViolation("AVAIL: " + order.task.text() + " is stopped while " + std::to_string(unavailable)
            + " others are unavailable");
    m_stoppedByOrder.insert(order.task);
}

void FleetModel::updateServices()
{
    for (const auto& [id, spec] : m_specs) {
        if (!spec.steps[0].isService)
            continue;
        for (int i = 0; i < spec.steps[0].tasks; ++i) {
            const TaskKey key { id, 0, 0, i };
            const bool isRunning = std::any_of(m_workers.begin(), m_workers.end(),
                [&key](const auto& entry) { return entry.second.running.contains(key); });
            if (isRunning) {
                m_notRunningSince.erase(key);
                if (!std::any_of(m_workers.begin(), m_workers.end(), [&](const auto& entry) {
                        return m_stopping.contains({ entry.first, key });
                    }))
                    m_stoppedByOrder.erase(key);
            } else {
                m_notRunningSince.try_emplace(key, m_now);
            }
        }
    }
}

void FleetModel::send(const NodePtr& node, const StopOrder& order)
{
    call<StopAnswer>(
        node, order.worker.id,
        [this, order] {
            auto& worker = m_workers.at(order.worker.id);
            if (order.fence < worker.fence)
                return StopAnswer::StaleFence;
            worker.fence = order.fence;
            auto& highest = worker.highest[order.task];
            highest = std::max(highest, order.run);
            const auto running = worker.running.find(order.task);
            if (running != worker.running.end() && running->second.number == order.run) {
                checkStop(order, running->second);
                running->second.endsAt = m_now + Duration(200); // time to shut down
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

void FleetModel::send(const NodePtr& node, const PollOrder& order)
{
    call<PollAnswer>(
        node, order.worker.id, [this, order] { return handlePoll(order); },
        [this, node, order](const PollAnswer& answer) { node->coordinator->pollAnswered(order.worker, answer, m_now); },
        PollAnswer {});
}

PollAnswer FleetModel::handlePoll(const PollOrder& order)
{
    auto& worker = m_workers.at(order.worker.id);
    PollAnswer answer;
    answer.startedUnixMs = worker.startedMs;
    answer.clockMs = clock(worker);
    if (order.fence < worker.fence) {
        answer.status = PollAnswer::Status::StaleFence;
        return answer;
    }
    worker.fence = order.fence;
    answer.status = PollAnswer::Status::Answered;
    if (order.deadlineMs)
        extendLease(worker, *order.deadlineMs);
    for (const auto& end : worker.ended) {
        if (end.number > order.acknowledged)
            continue;
        // As the hosting platform specifies: an end counts as acknowledged unless the lease expired after it.
        if (worker.lastEndBeforeExpiry >= end.number)
            continue;
        if (end.how == RunEnd::Done) {
            if (m_lastStartedAt[end.task] > m_endedAt.at({ order.worker.id, worker.startedMs, end.number }))
                recordViolation("TWICE: " + end.task.text() + " was started after the end that is acknowledged now");
            m_acknowledgedDone.insert(end.task);
        }
        m_acknowledgedFailures[end.task] += end.how == RunEnd::Failed;
    }
    std::erase_if(worker.ended, [&](const ListedEnd& end) { return end.number <= order.acknowledged; });
    for (const auto& [task, run] : worker.running)
        answer.running.push_back({ task, run.number, "", 100, 0 });
    const auto listed = std::min(worker.ended.size(), s_maxListedEnds);
    answer.ended.assign(worker.ended.begin(), worker.ended.begin() + static_cast<std::ptrdiff_t>(listed));
    answer.mayHaveMoreEnds = listed == s_maxListedEnds;
    return answer;
}

void FleetModel::advance(const WorkerId& id, ModelWorker& worker)
{
    const bool isLapsed = clock(worker) >= worker.deadline;
    if (isLapsed)
        worker.lastEndBeforeExpiry = worker.lastEnd;
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
            how = RunEnd::LeaseExpired;
        if (stopping != m_stopping.end())
            m_stopping.erase(stopping);
        if (how == RunEnd::Done)
            m_completed.insert(run->first);
        m_failureCounts[run->first] += how == RunEnd::Failed;
        addTrace(id.value() + " ends " + run->first.text() + " run " + std::to_string(number(run->second.number)) + ' '
            + name(how));
        worker.ended.push_back({ ++worker.lastEnd, run->first, run->second.number, how, "" });
        m_endedAt[{ id, worker.startedMs, worker.lastEnd }] = m_now;
        auto& highest = worker.highest[run->first];
        highest = std::max(highest, run->second.number);
        run = worker.running.erase(run);
    }
}

} // namespace marigoldlink::testing
