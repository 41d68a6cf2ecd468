// Writes a coordinator's records to the key-value service, one batch at a time.
//
// Each write is conditional on the head key having the revision of the previous write, and changes the head. So a write
// that is carried out late fails its condition and has no effect. A write without an answer is repeated unchanged; if
// the repetition conflicts, the number in the head shows whether an earlier copy took effect.
#pragma once

#include "marigoldlink/State/Records.h"

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace marigoldlink {

// One atomic write.
struct JournalBatch {
    std::uint64_t number { 0 }; // increases with each batch; written as the head's value
    Revision expectedHead { noRevision };
    std::vector<std::pair<std::string, std::string>> puts;
    std::vector<std::string> removals;
};

enum class JournalAnswer {
    Stored,
    Refused, // not carried out; retry later
    Unknown, // may have been carried out, or may be carried out later
    Conflict, // the head has another revision or does not exist
};
const char* name(JournalAnswer);

// Priority of a record, by what waits for it to be stored.
enum class RecordClass {
    // A caller waits for its job to be accepted, or starts wait for the worker's record. Records of one class keep
    // their order, so progress that must not be stored before its job is of this class too.
    Urgent,
    Progress, // ended runs, which are acknowledged to the workers once stored, and cancellings
    Removal, // nothing waits for it here, but a successor that finds the record has to poll the worker
};
constexpr std::size_t recordClasses = 3;

class Journal {
public:
    // Maximum number of records in a batch. The key-value service accepts at most 32 entries in one write (see the
    // platform's documentation of its store); the head and the owner's record take four of them.
    static constexpr std::size_t maxRecords = 28;

    // batchSize: maximum number of records in a batch of this journal.
    explicit Journal(Revision head = noRevision, std::uint64_t number = 0, std::size_t batchSize = maxRecords)
        : m_head(head)
        , m_number(number)
        , m_batchSize(batchSize)
    {
    }

    // Number of records in each batch for which urgent records take precedence over progress. Progress is not delayed
    // further, since workers report an ended run again and again until it is acknowledged.
    std::size_t urgentRecordsPerBatch() const { return m_batchSize / 2; }
    // Number of records in each batch for which removals take precedence over progress.
    std::size_t removalsPerBatch() const { return m_batchSize / 4; }

    // Queues a record. It replaces a queued record with the same key and then has the more urgent of the two classes.
    void put(const std::string& key, std::string value, RecordClass);
    void remove(const std::string& key);
    // Removes two records in one write. If one of them is put again before, that record is written together with the
    // removal of the other one.
    void removeTogether(const std::string& first, const std::string& second);

    // Removes a record that was not written and will not be, and queues the removal that it had replaced, if any.
    // Returns false if it may be or may have been written.
    bool cancelPut(const std::string& key);

    // Returns the batch to send now, or nothing while a write is in flight or no record is queued. A batch that was
    // refused or has no answer is returned again unchanged.
    std::optional<JournalBatch> next();

    // Handles the answer to the batch. Returns the batch once it is known to be stored.
    std::optional<JournalBatch> answered(JournalAnswer, Revision head);

    // Handles the head that was read because of needsHeadRead(), that is after a conflict that followed an unknown
    // answer. Returns the batch if it had taken effect; otherwise another coordinator wrote, and isSuperseded() becomes
    // true.
    std::optional<JournalBatch> headRead(Revision head, std::uint64_t number);

    bool needsHeadRead() const { return m_needsHeadRead; }
    bool isSuperseded() const { return m_isSuperseded; }
    bool isWriteInFlight() const { return m_isWriteInFlight; }
    std::size_t waiting() const { return m_queued.size() + (m_batch ? m_batch->puts.size() : 0); }
    // True while a batch was assembled and is not known to be stored.
    bool hasUnstoredBatch() const { return m_batch.has_value(); }
    // Number of batches, the current one included, until an urgent record that is queued now is stored.
    std::size_t batchesUntilStored() const;

private:
    struct QueuedRecord {
        std::optional<std::string> value; // empty: the key is removed
        RecordClass recordClass {};
        bool hasReplacedRemoval { false }; // a put that replaced a queued removal
    };
    void enqueue(const std::string& key, QueuedRecord);
    // Moves the oldest records of the class to the batch, about `most` of them. Records that go together are not
    // parted.
    void moveToBatch(RecordClass, std::size_t most);
    void moveToBatch(const std::string& key);
    std::size_t batchRecords() const { return m_batch->puts.size() + m_batch->removals.size(); }
    std::optional<JournalBatch> completeBatch(Revision head);

    Revision m_head;
    std::uint64_t m_number;
    std::size_t m_batchSize;
    std::map<std::string, QueuedRecord> m_queued;
    std::size_t m_queuedUrgent { 0 }; // number of urgent records in m_queued
    // Keys by class, oldest first. Invariant: each key of m_queued is in the queue of its class. Keys that are not in
    // m_queued with that class are stale and skipped.
    std::array<std::deque<std::string>, recordClasses> m_keysByClass;
    std::map<std::string, std::string> m_together; // queued records that go into one batch; both directions
    std::set<std::string> m_removalsReplacedInBatch; // keys whose put in the batch had replaced a queued removal
    std::optional<JournalBatch> m_batch;
    bool m_isWriteInFlight { false };
    bool m_isOutcomeUnknown { false }; // at least one copy of the current batch had no answer
    bool m_needsHeadRead { false };
    bool m_isSuperseded { false };
};

} // namespace marigoldlink
