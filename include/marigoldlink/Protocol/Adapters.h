// Interfaces to the platform and to the workers, as concepts with one adapter each.
//
// Another wire form of the platform or of the workers needs a new adapter and nothing else.
#pragma once

#include "marigoldlink/State/Records.h"

#include <concepts>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace marigoldlink {

struct StoredValue {
    std::string key;
    std::string value;
    Revision revision { noRevision };
};

enum class StoreStatus {
    Ok,
    Missing, // the key has no value
    Conflict, // compare-and-swap found another revision; nothing was written
    Unavailable, // the service did not take the call; nothing was written
    Unknown, // no answer; a write may have taken effect or may do so later
};

struct ReadResult {
    StoreStatus status { StoreStatus::Unavailable };
    StoredValue value;
};

struct WriteResult {
    StoreStatus status { StoreStatus::Unavailable };
    Revision revision { noRevision };
};

struct RangeResult {
    StoreStatus status { StoreStatus::Unavailable };
    Revision revision { noRevision }; // every change up to it is in the values
    std::vector<StoredValue> values; // an empty value stands for a removed key
};

struct InstanceListResult {
    StoreStatus status { StoreStatus::Unavailable };
    std::vector<InstanceInfo> instances;
};

using ReadCallback = std::function<void(ReadResult)>;
using WriteCallback = std::function<void(WriteResult)>;
using RangeCallback = std::function<void(RangeResult)>;
using InstanceListCallback = std::function<void(InstanceListResult)>;

// The platform's key-value service and instance list.
template <typename T>
concept PlatformAdapter = requires(T platform, const std::string& text, Revision revision, ReadCallback onRead,
    WriteCallback onWrite, RangeCallback onRange, InstanceListCallback onInstances)
{
    platform.read(text, onRead);
    // Writes if the key still has the revision.
    platform.write(text, text, revision, onWrite);
    platform.range(text, onRange);
    // Answers with the changes after the revision as soon as there are some, or with none after a while.
    platform.watch(text, revision, onRange);
    platform.instances(onInstances);
};

using LeaseId = Id<struct LeaseTag>;
using TaskId = Id<struct TaskTag>;

// A worker's answer to a lease call. The worker times the lease; a lapsed lease never becomes valid again.
struct LeaseResult {
    enum class Status { Valid, Lapsed, Unreachable };
    Status status { Status::Unreachable };
    LeaseId lease;
    Slots slots { 0 };
    Slots running { 0 }; // tasks of all holders
};

struct TaskStart {
    TaskId task; // never used for two starts
    LeaseId lease;
    TeamId team;
    std::string body;
    std::string checkpoint; // state of an earlier run to go on from; empty for a first run
    Duration timeout { 0 };
};

struct TaskResult {
    enum class Status {
        Finished, // ran to its end; the body is the whole answer
        Failed, // ran and failed
        Checkpointed, // stopped on request; the body is the state to go on from
        Stopped, // started and stopped before its end
        Full, // not started: no free slot
        LeaseLapsed, // not started: the lease is not valid
        Refused, // not started: the worker leaves or saw the task's id before
        NotSent, // not started: the worker was not reached
        Lost, // unknown: no whole answer arrived
    };
    Status status { Status::Lost };
    std::string body;
};

// What a worker knows of a task that it was told to stop. A task that never started cannot start afterwards.
enum class StopResult { NeverStarted, Stopped, Finished, Unreachable };

struct HolderResult {
    bool reached { false };
    std::int64_t validLeases { 0 };
    Slots running { 0 }; // tasks of all holders
};

using LeaseCallback = std::function<void(LeaseResult)>;
using TaskCallback = std::function<void(TaskResult)>;
using StopCallback = std::function<void(StopResult)>;
using HolderCallback = std::function<void(HolderResult)>;

// A worker or backend server that runs tasks under leases.
template <typename T>
concept WorkerAdapter = requires(T workers, const Endpoint& endpoint, HolderId holder, Duration ttl,
    const LeaseId& lease, TaskStart start, const TaskId& task, LeaseCallback onLease, TaskCallback onTask,
    StopCallback onStop, HolderCallback onHolder, std::function<void(bool)> onDone)
{
    workers.openLease(endpoint, holder, ttl, onLease);
    // Extends the lease to the time from the worker's receipt on.
    workers.renewLease(endpoint, lease, ttl, onLease);
    workers.start(endpoint, start, onTask);
    workers.stop(endpoint, task, onStop);
    workers.checkpoint(endpoint, task, onStop);
    workers.leasesOf(endpoint, holder, onHolder);
    // Reboots a drained worker. Its leases and tasks do not survive.
    workers.reboot(endpoint, onDone);
};

} // namespace marigoldlink
