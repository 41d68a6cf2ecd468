// Batches, retries and their resolution.
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

void Journal::put(const std::string& key, std::string value, RecordClass kind)
{
    queue(key, { std::move(value), kind });
}

void Journal::remove(const std::string& key) { queue(key, { std::nullopt, RecordClass::Removal }); }

void Journal::queue(const std::string& key, Waiting record)
{
    const auto [position, isNew] = m_waiting.try_emplace(key, record);
    auto& known = position->second;
    known.value = std::move(record.value);
    if (!isNew && known.kind <= record.kind)
        return;
    known.kind = record.kind;
    m_order[static_cast<std::size_t>(record.kind)].push_back(key);
}

void Journal::take(RecordClass kind, std::size_t most)
{
    auto& order = m_order[static_cast<std::size_t>(kind)];
    for (std::size_t count = 0; count < most && !order.empty();) {
        const auto found = m_waiting.find(order.front());
        order.pop_front();
        if (found == m_waiting.end() || found->second.kind != kind)
            continue;
        auto record = m_waiting.extract(found);
        if (record.mapped().value)
            m_current->puts.emplace_back(record.key(), std::move(*record.mapped().value));
        else
            m_current->removals.push_back(record.key());
        ++count;
    }
}

bool Journal::withdraw(const std::string& key)
{
    const bool isSent = m_current && (m_isWriting || m_isUncertain);
    const auto hasKey = [&key](const auto& put) { return put.first == key; };
    if (m_current && std::any_of(m_current->puts.begin(), m_current->puts.end(), hasKey)) {
        if (isSent)
            return false;
        std::erase_if(m_current->puts, hasKey);
        if (m_current->puts.empty() && m_current->removals.empty())
            m_current.reset();
    }
    m_waiting.erase(key);
    return true;
}

std::optional<JournalBatch> Journal::next()
{
    if (m_isWriting || m_needsHeadRead || m_hasLost)
        return std::nullopt;
    if (!m_current) {
        if (m_waiting.empty())
            return std::nullopt;
        m_current = JournalBatch { ++m_number, m_head, {}, {} };
        const auto size = [this] { return m_current->puts.size() + m_current->removals.size(); };
        take(RecordClass::Urgent, urgentPlaces);
        for (const auto kind : { RecordClass::Progress, RecordClass::Urgent, RecordClass::Removal })
            take(kind, mostRecords - size());
    }
    m_isWriting = true;
    return m_current;
}

std::optional<JournalBatch> Journal::answered(JournalAnswer answer, Revision head)
{
    assert(m_isWriting && "an answer follows a batch that was sent");
    m_isWriting = false;
    switch (answer) {
    case JournalAnswer::Stored:
        return finish(head);
    case JournalAnswer::Refused:
        return std::nullopt;
    case JournalAnswer::Unknown:
        m_isUncertain = true;
        return std::nullopt;
    case JournalAnswer::Conflict:
        if (m_isUncertain)
            m_needsHeadRead = true;
        else
            m_hasLost = true;
        return std::nullopt;
    }
    return std::nullopt;
}

std::optional<JournalBatch> Journal::headRead(Revision head, std::uint64_t number)
{
    assert(m_needsHeadRead && m_current && "the head is read after a conflict");
    m_needsHeadRead = false;
    if (number == m_current->number)
        return finish(head);
    m_hasLost = true;
    return std::nullopt;
}

std::optional<JournalBatch> Journal::finish(Revision head)
{
    m_head = head;
    m_isUncertain = false;
    auto stored = std::move(m_current);
    m_current.reset();
    return stored;
}

} // namespace marigoldlink
