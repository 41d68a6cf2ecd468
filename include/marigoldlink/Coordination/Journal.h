// Serial journal of a coordinator's records into the key-value service.
//
// One write is under way at a time. Each one expects the journal's head at the revision of the write before it and
// changes the head, so a write that is carried out late finds another head and is void. A write without an answer is
// sent again as it was; a conflict then tells whether the first copy took effect.
#pragma once

#include "marigoldlink/State/Records.h"

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace marigoldlink {

// One write, all or nothing.
struct JournalBatch {
    std::uint64_t number { 0 }; // rises with each batch; the head's value
    Revision expectedHead { noRevision };
    std::vector<std::pair<std::string, std::string>> puts;
    std::vector<std::string> removals;
};

enum class JournalAnswer {
    Stored,
    Refused, // nothing was done; send it again later
    Unknown, // it may have been done, or may be done later
    Conflict, // the head has another revision or is gone
};
const char* name(JournalAnswer);

// What waits for a record.
enum class RecordClass {
    Urgent, // a caller waits to hear that its job is accepted, or starts wait for the worker's record
    Progress, // what has ended; it is acknowledged to the workers once it is stored
    Removal, // nothing waits for it
};
constexpr std::size_t recordClasses = 3;

class Journal {
public:
    // The key-value service takes at most this many entries in one write (platform's page on its store: 32); the head
    // and the owner's record take four of them.
    static constexpr std::size_t mostRecords = 28;

    explicit Journal(Revision head = noRevision, std::uint64_t number = 0)
        : m_head(head)
        , m_number(number)
    {
    }

    // Places of each batch that urgent records have before progress. Progress must not wait for long: workers list what
    // is not acknowledged again and again.
    static constexpr std::size_t urgentPlaces = mostRecords / 2;

    // Queues a record. A record that waits already under the key is replaced, and has the more urgent class of both.
    void put(const std::string& key, std::string value, RecordClass);
    void remove(const std::string& key);

    // Takes a record back that surely was not written and never will be. False when it may be written.
    bool withdraw(const std::string& key);

    // The batch to send now, or nothing while one is under way or none waits. A batch without an answer is returned
    // again, unchanged.
    std::optional<JournalBatch> next();

    // Takes the answer to the batch. Returns the batch when it is stored for good.
    std::optional<JournalBatch> answered(JournalAnswer, Revision head);

    // After a conflict that follows an unknown answer: the head was read. Returns the batch when it had taken effect;
    // nothing when another coordinator wrote, in which case hasLost() holds.
    std::optional<JournalBatch> headRead(Revision head, std::uint64_t number);

    bool needsHeadRead() const { return m_needsHeadRead; }
    bool hasLost() const { return m_hasLost; }
    bool isWriting() const { return m_isWriting; }
    std::size_t waiting() const { return m_waiting.size() + (m_current ? m_current->puts.size() : 0); }

private:
    struct Waiting {
        std::optional<std::string> value; // nothing: the key is removed
        RecordClass kind {};
    };
    void queue(const std::string& key, Waiting);
    // Moves the oldest records of the class to the batch, at most so many.
    void take(RecordClass, std::size_t most);
    std::optional<JournalBatch> finish(Revision head);

    Revision m_head;
    std::uint64_t m_number;
    std::map<std::string, Waiting> m_waiting;
    // Keys by class, oldest first. Invariant: each of m_waiting stands in the queue of its class; a key that is
    // not in m_waiting with that class means nothing.
    std::array<std::deque<std::string>, recordClasses> m_order;
    std::optional<JournalBatch> m_current;
    bool m_isWriting { false };
    bool m_isUncertain { false }; // some copy of the current batch had no answer
    bool m_needsHeadRead { false };
    bool m_hasLost { false };
};

} // namespace marigoldlink
