// Coordinator: what it knows of queues beyond the present configuration.
//
// Operators may give a queue another service, or remove it, while its jobs run. The record of a queue names all its
// services, so that a successor that cannot reach a worker of an earlier one does not start that worker's tasks again.
// It also holds the queue's last settings, with which a successor runs the jobs of a removed queue.
#include "marigoldlink/Entry/Coordinator.h"

#include <algorithm>

namespace marigoldlink {

void Coordinator::restoreQueue(const QueueId& id, const QueueRecord& record)
{
    auto& queue = m_queues[id];
    queue.isRestored = true;
    queue.stored = record.services;
    queue.services.insert(record.services.begin(), record.services.end());
    if (!queue.settings)
        queue.settings = record.queue;
    const QueueRecord current { queue.services, queue.settings };
    if (encodeQueue(current) == encodeQueue(record))
        m_queuesToRecord.erase(id);
    else
        m_queuesToRecord.insert(id);
}

void Coordinator::noteQueues()
{
    for (const auto& [id, configured] : m_operators.config.queues) {
        auto& queue = m_queues[id];
        const bool hasNewService = queue.services.insert(configured.service).second;
        if (!hasNewService && queue.settings == configured)
            continue;
        queue.settings = configured;
        m_queuesToRecord.insert(id);
    }
}

void Coordinator::queueStored(const QueueId& id, const std::string& record)
{
    const auto queue = m_queues.find(id);
    if (queue == m_queues.end())
        return;
    queue->second.stored = decodeQueue(id, record).services;
    scheduleFullPlacement();
}

void Coordinator::removeUnusedQueues(const std::set<QueueId>& used)
{
    std::erase_if(m_queues, [&](const auto& entry) {
        const auto& id = entry.first;
        if (used.contains(id) || m_operators.config.queues.contains(id))
            return false;
        m_queuesToRecord.erase(id);
        m_journal.remove(records::queue(id));
        return true;
    });
}

bool Coordinator::isServiceRecorded(const Job& job) const
{
    const auto queue = m_queues.find(job.spec.queue);
    return queue != m_queues.end() && queue->second.stored.contains(job.queue.service);
}

bool Coordinator::mayHaveRunsOn(const Job& job, const ServiceId& service) const
{
    if (job.wasAcceptedHere)
        return false;
    const auto queue = m_queues.find(job.spec.queue);
    return queue == m_queues.end() || !queue->second.isRestored || queue->second.services.contains(service);
}

bool Coordinator::mayHaveRunsOn(const Job& job, const std::set<ServiceId>& services) const
{
    return std::any_of(services.begin(), services.end(),
        [this, &job](const ServiceId& service) { return mayHaveRunsOn(job, service); });
}

} // namespace marigoldlink
