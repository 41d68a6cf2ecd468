// FleetModel: coordinators, store, network and faults.
#include "FleetModel.h"

namespace marigoldlink::testing {

void FleetModel::run(Duration time, bool withoutFaults)
{
    const auto end = m_now + time;
    while (m_now < end && m_violation.empty()) {
        if (!withoutFaults)
            injectFaults();
        elect();
        deliver();
        for (auto& [id, worker] : m_workers)
            advance(id, worker);
        updateServices();
        for (auto& node : m_nodes)
            advanceNode(node);
        if (m_calls.travel && m_nextLook <= m_now)
            checkLooks();
        m_now += step;
    }
}

void FleetModel::clearFaults()
{
    m_partitions.clear();
    for (auto& node : m_nodes) {
        node->isPaused = false;
        node->isPartitionedFromStore = false;
    }
    m_faults = { false, false, false, false };
    m_calls.submission = m_calls.attempt = m_calls.reply = Duration(0);
}

std::vector<JobId> FleetModel::unfinished() const
{
    std::vector<JobId> open;
    const auto* owner = const_cast<FleetModel*>(this)->currentOwner();
    for (const auto& id : m_accepted) {
        if (!owner || !owner->isRestored) {
            open.push_back(id);
            continue;
        }
        const auto reply = owner->coordinator->jobStatus(id);
        if (m_specs.at(id).steps[0].isService)
            continue;
        if (m_calls.travel && m_cancelSent.contains(id) && reply.kind == Reply::Kind::UnknownJob)
            continue;
        if (reply.kind != Reply::Kind::State || reply.state == JobState::Pending || reply.state == JobState::Running)
            open.push_back(id);
    }
    return open;
}

std::vector<JobId> FleetModel::failedWithoutCause() const
{
    std::vector<JobId> jobs;
    const auto* owner = const_cast<FleetModel*>(this)->currentOwner();
    for (const auto& id : m_accepted) {
        if (!owner || owner->coordinator->jobStatus(id).state != JobState::Failed)
            continue;
        const bool hasCause = std::any_of(m_failureCounts.begin(), m_failureCounts.end(),
            [&id](const auto& row) { return row.first.job == id && row.second >= attempts; });
        if (!hasCause)
            jobs.push_back(id);
    }
    return jobs;
}

std::int64_t FleetModel::clock(const ModelWorker& worker) const
{
    return static_cast<std::int64_t>(static_cast<double>((m_now - worker.startedAt).count()) * worker.rate);
}

void FleetModel::addTrace(const std::string& text)
{
    m_trace.push_back(std::to_string(m_now.time_since_epoch().count()) + ' ' + text);
}

void FleetModel::recordViolation(const std::string& text)
{
    if (m_violation.empty())
        m_violation = text + " at " + std::to_string(m_now.time_since_epoch().count());
}

FleetModel::Node* FleetModel::currentOwner()
{
    for (auto& node : m_nodes) {
        if (!node->isGone && node->ownerRevision == m_ownerRevision && m_ownerRevision != noRevision)
            return node.get();
    }
    return nullptr;
}

void FleetModel::injectFaults()
{
    const auto draw = m_choices.below(400);
    if (draw < 8)
        submit();
    if (draw >= 18 && draw < 21)
        cancel();
    if (m_calls.travel && draw >= 21 && draw < 25)
        cancelUnanswered();
    if (m_calls.travel && draw == 25)
        cancelNeverSubmitted();
    auto* owner = currentOwner();
    if (draw == 10 && m_faults.pausesOwners && owner)
        owner->isPaused = true, addTrace("owner paused");
    if (draw == 11 && m_faults.partitionsLinks && owner)
        owner->isPartitionedFromStore = true, addTrace("owner partitioned from the store");
    if (draw == 12) {
        for (auto& node : m_nodes)
            node->isPaused = false;
    }
    if (draw >= 13 && draw < 16 && m_faults.partitionsLinks && owner)
        m_partitions.insert({ owner->term.fence, m_choices.pick(m_workers).first });
    if (draw == 16)
        m_partitions.clear();
    if (draw == 17 && m_faults.restartsWorkers) {
        auto& worker = m_choices.pick(m_workers).second;
        addTrace("a worker restarts, incarnation " + std::to_string(worker.startedMs + 1));
        worker = ModelWorker { worker.rate, worker.startedMs + 1, m_now, {}, 0, {}, {}, 0, {}, 0 };
    }
}

void FleetModel::elect()
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
    node->coordinator = std::make_unique<Coordinator>(CoordinatorSettings {}, node->term,
        Journal(m_head, 0, m_store.recordsPerWrite), m_now,
        CoordinatorSinks { [this, term = m_term](const Decision& decision) {
                              addTrace("term " + std::to_string(term) + ' ' + decision.subject + ' ' + decision.id
                                  + ": " + decision.text);
                          },
            {} });
    addTrace("term " + std::to_string(m_term) + " elected");
    node->leaseValidUntil = m_now + ownerTtl;
    node->coordinator->setLeaseValidUntil(node->leaseValidUntil);
    node->coordinator->setOperators(m_operators, m_now);
    for (const auto& [id, worker] : m_workers)
        node->coordinator->workerEntry(entry(id, worker), m_now);
    load(*node);
    m_nodes.push_back(node);
    if (m_calls.travel)
        learnOwner(node);
}

WorkerEntry FleetModel::entry(const WorkerId& id, const ModelWorker& worker) const
{
    WorkerEntry entry;
    entry.incarnation = { id, worker.startedMs };
    entry.service = ServiceId("gates");
    entry.endpoint = { "127.0.0.1", 1 };
    entry.capacity = { workerMilliCores, 1000, 0 };
    return entry;
}

void FleetModel::load(Node& node)
{
    for (const auto& [key, value] : m_records) {
        if (!key.starts_with(records::queuePrefix))
            continue;
        const QueueId id(key.substr(records::queuePrefix.size()));
        node.coordinator->restoreQueue(id, decodeQueue(id, value));
    }
    for (const auto& [key, value] : m_records) {
        const auto idAfter = [&key](const std::string& prefix) {
            return key.starts_with(prefix) ? std::optional(key.substr(prefix.size())) : std::nullopt;
        };
        if (const auto job = idAfter(records::jobPrefix)) {
            const JobId id(*job);
            const auto progress = m_records.find(records::progress(id));
            node.coordinator->restoreJob(decodeJob(id, value),
                progress == m_records.end() ? JobProgress {} : decodeProgress(id, progress->second), m_now);
        } else if (const auto cancelled = idAfter(records::cancelledIdPrefix)) {
            node.coordinator->restoreCancelledId(JobId(*cancelled), decodeCancelledId(value), m_now);
        } else if (const auto worker = idAfter(records::workerPrefix)) {
            const auto record = decodeWorker(WorkerId(*worker), value);
            node.coordinator->restoreWorker(record.entry, record.onlyRuns, m_now);
        }
    }
}

void FleetModel::advanceNode(const NodePtr& node)
{
    if (node->isGone || node->isPaused)
        return;
    if (node->coordinator->isSuperseded()) {
        node->isGone = true;
        loseCalls(node);
        return;
    }
    if (node->nextRenewal <= m_now) {
        node->nextRenewal = m_now + Duration(350);
        if (!node->isPartitionedFromStore && node->ownerRevision == m_ownerRevision && m_now < m_ownerUntil) {
            m_ownerUntil = m_now + ownerTtl;
            node->leaseValidUntil = m_now + ownerTtl;
            node->coordinator->setLeaseValidUntil(node->leaseValidUntil);
        }
    }
    if (!node->isRestored) {
        const auto& workers = node->coordinator->workers().workers();
        node->isRestored = std::all_of(workers.begin(), workers.end(), [](const auto& row) {
            return row.second.hasSeenFence || (!row.second.isPollInFlight && row.second.pollSentAt != TimePoint());
        });
        if (node->isRestored)
            node->coordinator->finishRestore(m_now);
    }
    for (const auto& [id, worker] : m_workers) {
        if (const auto* known = node->coordinator->workers().find(id);
            !known || known->entry.incarnation.startedUnixMs < worker.startedMs)
            node->coordinator->workerEntry(entry(id, worker), m_now);
    }
    node->coordinator->tick(m_now, wallMs());
    for (auto& order : node->coordinator->takeOrders())
        std::visit([&](const auto& typed) { send(node, typed); }, order);
}

void FleetModel::post(Duration delay, std::function<void()> action)
{
    m_messages.push_back({ m_now + delay, std::move(action) });
}

void FleetModel::deliver()
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

FleetModel::DeliveryOutcome FleetModel::drawOutcome(const NodePtr& node, const WorkerId& worker)
{
    if (m_partitions.contains({ node->term.fence, worker }))
        return DeliveryOutcome::Lost;
    if (!m_faults.losesMessages)
        return DeliveryOutcome::Answered;
    // Services start rarely, so their starts need more lost answers for two of them to meet.
    const auto draw = m_choices.below(m_jobs == ModelJobs::SomeServices ? 12 : 60);
    if (draw == 1)
        return DeliveryOutcome::AnswerLost;
    if (draw == 2)
        return DeliveryOutcome::Late;
    return draw == 3 ? DeliveryOutcome::Lost : DeliveryOutcome::Answered;
}

void FleetModel::arrive(const NodePtr& node, const std::function<void()>& action)
{
    if (node->isGone)
        return;
    if (node->isPaused) {
        post(step, [this, node, action] { arrive(node, action); });
        return;
    }
    action();
}

void FleetModel::send(const NodePtr& node, const JournalOrder& order)
{
    const auto batch = order.batch;
    const auto ownerRevision = node->ownerRevision;
    const auto execute = [this, batch, ownerRevision] {
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
    if (node->isPartitionedFromStore) {
        back(answerTimeout, JournalAnswer::Unknown, noRevision);
        return;
    }
    const auto draw = m_faults.losesMessages ? m_choices.below(30) : 0;
    if (draw == 1) { // the answer is lost
        post(step, [execute] { execute(); });
        back(answerTimeout, JournalAnswer::Unknown, noRevision);
    } else if (draw == 2) { // takes effect late
        post(Duration(2000), [execute] { execute(); });
        back(answerTimeout, JournalAnswer::Unknown, noRevision);
    } else {
        post(m_store.writeTime / 2, [this, execute, back] {
            const auto answer = execute();
            back(m_store.writeTime / 2, answer, m_head);
        });
    }
}

void FleetModel::send(const NodePtr& node, const ReadHeadOrder&)
{
    post(node->isPartitionedFromStore ? answerTimeout : step, [this, node] {
        arrive(node, [this, node] {
            if (node->isPartitionedFromStore)
                send(node, ReadHeadOrder {});
            else
                node->coordinator->headRead(m_head, node->ownerRevision == m_ownerRevision ? m_headNumber : 0, m_now);
        });
    });
}

} // namespace marigoldlink::testing
