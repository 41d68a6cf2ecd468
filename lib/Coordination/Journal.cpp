// Assembly of batches, and resolution of retried writes.
#include "marigoldlink/Coordination/Journal.h"

#include <algorithm>
#include <cassert>

namespace marigoldlink {

const char* name(JournalAnswer answer)
{
    switch (answer) {
    case JournalAnswer::Stored:
        return "stored";
    case JournalAnswer::Refused:
        return "refused";
    case JournalAnswer::Unknown:
        return "unknown";
    case JournalAnswer::Conflict:
        return "conflict";
    }
    return "unknown";
}

void Journal::put(const std::string& key, std::string value, RecordClass recordClass)
{
    enqueue(key, { std::move(value), recordClass });
}

void Journal::remove(const std::string& key) { enqueue(key, { std::nullopt, RecordClass::Removal }); }

void Journal::removeTogether(const std::string& first, const std::string& second)
{
    assert(first != second && "a record does not go together with itself");
    assert(m_batchSize >= 2 && "both fit into a batch");
    remove(first);
    remove(second);
    m_together[first] = second;
    m_together[second] = first;
}

void Journal::enqueue(const std::string& key, QueuedRecord record)
{
    const auto [position, isNew] = m_queued.try_emplace(key, record);
    auto& queued = position->second;
    queued.hasReplacedRemoval = record.value && !isNew && (!queued.value || queued.hasReplacedRemoval);
    queued.value = std::move(record.value);
    if (!isNew && queued.recordClass <= record.recordClass)
        return;
    queued.recordClass = record.recordClass;
    m_queuedUrgent += record.recordClass == RecordClass::Urgent;
    m_keysByClass[static_cast<std::size_t>(record.recordClass)].push_back(key);
}

void Journal::moveToBatch(RecordClass recordClass, std::size_t most)
{
    auto& keys = m_keysByClass[static_cast<std::size_t>(recordClass)];
    for (const auto before = batchRecords(); batchRecords() - before < most && !keys.empty();) {
        const auto key = keys.front();
        const auto found = m_queued.find(key);
        if (found == m_queued.end() || found->second.recordClass != recordClass) {
            keys.pop_front();
            continue;
        }
        const bool isPair = m_together.contains(key);
        if (isPair && batchRecords() + 2 > m_batchSize)
            return;
        keys.pop_front();
        moveToBatch(key);
        if (!isPair)
            continue;
        const auto other = m_together.extract(key).mapped();
        m_together.erase(other);
        // A stale key would let a later record overtake the one that it must follow.
        if (const auto otherClass = m_queued.at(other).recordClass; otherClass != RecordClass::Removal)
            std::erase(m_keysByClass[static_cast<std::size_t>(otherClass)], other);
        moveToBatch(other);
    }
}

void Journal::moveToBatch(const std::string& key)
{
    auto record = m_queued.extract(key);
    assert(record && "a record that goes into the batch is queued");
    m_queuedUrgent -= record.mapped().recordClass == RecordClass::Urgent;
    if (record.mapped().hasReplacedRemoval)
        m_removalsReplacedInBatch.insert(key);
    if (record.mapped().value)
        m_batch->puts.emplace_back(key, std::move(*record.mapped().value));
    else
        m_batch->removals.push_back(key);
}

bool Journal::cancelPut(const std::string& key)
{
    const bool isSent = m_batch && (m_isWriteInFlight || m_isOutcomeUnknown);
    const auto hasKey = [&key](const auto& put) { return put.first == key; };
    if (m_batch && std::any_of(m_batch->puts.begin(), m_batch->puts.end(), hasKey)) {
        if (isSent)
            return false;
        std::erase_if(m_batch->puts, hasKey);
        if (m_removalsReplacedInBatch.erase(key))
            m_batch->removals.push_back(key);
        if (m_batch->puts.empty() && m_batch->removals.empty())
            m_batch.reset();
    }
    // A queued removal is no put and stays.
    if (const auto queued = m_queued.find(key); queued != m_queued.end() && queued->second.value) {
        if (queued->second.hasReplacedRemoval) {
            queued->second.value.reset();
            queued->second.hasReplacedRemoval = false;
            return true;
        }
        m_queuedUrgent -= queued->second.recordClass == RecordClass::Urgent;
        m_queued.erase(queued);
    }
    return true;
}

std::size_t Journal::batchesUntilStored() const
{
    return (m_batch ? 1 : 0) + m_queuedUrgent / std::max<std::size_t>(1, urgentRecordsPerBatch()) + 1;
}

std::optional<JournalBatch> Journal::next()
{
    if (m_isWriteInFlight || m_needsHeadRead || m_isSuperseded)
        return std::nullopt;
    if (!m_batch) {
        if (m_queued.empty())
            return std::nullopt;
        m_batch = JournalBatch { ++m_number, m_head, {}, {} };
        moveToBatch(RecordClass::Urgent, urgentRecordsPerBatch());
        moveToBatch(RecordClass::Removal, removalsPerBatch());
        for (const auto recordClass : { RecordClass::Progress, RecordClass::Urgent, RecordClass::Removal })
            moveToBatch(recordClass, m_batchSize - batchRecords());
    }
    m_isWriteInFlight = true;
    return m_batch;
}

std::optional<JournalBatch> Journal::answered(JournalAnswer answer, Revision head)
{
    assert(m_isWriteInFlight && "an answer requires a batch that is being written");
    m_isWriteInFlight = false;
    switch (answer) {
    case JournalAnswer::Stored:
        return completeBatch(head);
    case JournalAnswer::Refused:
        return std::nullopt;
    case JournalAnswer::Unknown:
        m_isOutcomeUnknown = true;
        return std::nullopt;
    case JournalAnswer::Conflict:
        if (m_isOutcomeUnknown)
            m_needsHeadRead = true;
        else
            m_isSuperseded = true;
        return std::nullopt;
    }
    return std::nullopt;
}

std::optional<JournalBatch> Journal::headRead(Revision head, std::uint64_t number)
{
    assert(m_needsHeadRead && m_batch && "the head is read only after a conflict on a batch with unknown outcome");
    m_needsHeadRead = false;
    if (number == m_batch->number)
        return completeBatch(head);
    m_isSuperseded = true;
    return std::nullopt;
}

std::optional<JournalBatch> Journal::completeBatch(Revision head)
{
    m_head = head;
    m_isOutcomeUnknown = false;
    auto stored = std::move(m_batch);
    m_batch.reset();
    m_removalsReplacedInBatch.clear();
    return stored;
}

} // namespace marigoldlink
