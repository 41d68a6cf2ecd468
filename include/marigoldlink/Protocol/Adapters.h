// Interfaces to the platform and to the workers, as concepts with one adapter each.
//
// Support for another wire format of the platform or of the workers only requires a new adapter.
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
    Conflict, // compare-and-swap found a different revision; nothing was written
    Unavailable, // the service did not accept the call; nothing was written
    Unknown, // no response; a write may have taken effect or may still do so
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
    Revision revision { noRevision }; // the values include every change up to this revision
    std::vector<StoredValue> values; // an empty value denotes a removed key
};

struct InstanceListResult {
    StoreStatus status { StoreStatus::Unavailable };
    std::vector<ListedInstance> instances;
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
    // Compare-and-swap: writes only if the key still has the given revision.
    platform.write(text, text, revision, onWrite);
    platform.range(text, onRange);
    // Long poll: calls back with the changes after the revision as soon as there are any, or with none after a timeout.
    platform.watch(text, revision, onRange);
    platform.instances(onInstances);
};

using LeaseId = Id<struct LeaseTag>;
using TaskId = Id<struct TaskTag>;

// A worker's response to a lease call. The worker's clock decides when the lease expires. An expired lease never
// becomes valid again.
struct LeaseResult {
    enum class Status { Valid, Expired, Unreachable };
    Status status { Status::Unreachable };
    LeaseId lease;
    Slots slots { 0 };
    Slots running { 0 }; // total over all holders
};

struct TaskStart {
    TaskId task; // unique for each start
    LeaseId lease;
    TeamId team;
    std::string body;
    std::string checkpoint; // state from which to resume an earlier run; empty for a first run
    Duration timeout { 0 };
};

struct TaskResult {
    enum class Status {
        Finished, // ran to completion; the body is the complete response
        Failed, // ran and failed
        Checkpointed, // stopped on request; the body is the state from which to resume
        Stopped, // started, but stopped before completion
        Full, // not started: no free slot
        LeaseExpired, // not started: the lease is not valid
        Refused, // not started: the worker is leaving or has already seen the task id
        NotSent, // not started: the worker was unreachable
        NoAnswer, // unknown: no complete response arrived
    };
    Status status { Status::NoAnswer };
    std::string body;
};

// State of a task on a worker that was ordered to stop it. A task that was never started cannot start afterwards.
enum class StopResult { NeverStarted, Stopped, Finished, Unreachable };

struct HolderResult {
    bool isReachable { false };
    std::int64_t validLeases { 0 };
    Slots running { 0 }; // total over all holders
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
    // Extends the lease by the TTL, counted from the time at which the worker receives the call.
    workers.renewLease(endpoint, lease, ttl, onLease);
    workers.start(endpoint, start, onTask);
    workers.stop(endpoint, task, onStop);
    workers.checkpoint(endpoint, task, onStop);
    workers.queryHolder(endpoint, holder, onHolder);
    // Reboots a drained worker. Its leases and tasks are lost.
    workers.reboot(endpoint, onDone);
};

} // namespace marigoldlink
