// The interface that an entry instance requires of the hosting platform, as a concept. The adapter in platform/ models
// it, and so do the stubs of the tests.
#pragma once

#include "marigoldlink/Entry/Orders.h"
#include "marigoldlink/Protocol/Adapters.h"

#include <concepts>
#include <functional>
#include <optional>

namespace marigoldlink {

// A lease of the key-value service. Its keys are removed when it ends.
enum class StoreLease : std::uint64_t { None = 0 };

struct StorePut {
    std::string key;
    std::string value;
    StoreLease lease { StoreLease::None };
};

// An atomic write.
struct StoreWrite {
    std::vector<std::pair<std::string, Revision>> expected; // noRevision: the key must not exist
    std::vector<StorePut> puts;
    std::vector<std::string> removals;
};

enum class StoreWriteStatus {
    Done,
    Conflict, // a key has another revision than expected; nothing was written
    LeaseEnded,
    Refused, // the service refused the call; nothing was written
    Unknown, // no answer; the write may have taken effect or may do so later
};

struct StoreWriteResult {
    StoreWriteStatus status { StoreWriteStatus::Unknown };
    Revision revision { noRevision };
};

enum class LeaseStatus { Valid, Ended, Refused, Unknown };

struct StoreLeaseResult {
    LeaseStatus status { LeaseStatus::Unknown };
    StoreLease lease { StoreLease::None };
    Duration ttl { 0 };
};

using StoreWriteCallback = std::function<void(StoreWriteResult)>;
using StoreLeaseCallback = std::function<void(StoreLeaseResult)>;
using StartCallback = std::function<void(StartAnswer, std::int64_t clockMs)>;
using StopOrderCallback = std::function<void(StopAnswer)>;
using PollCallback = std::function<void(PollAnswer)>;
using FleetListCallback = std::function<void(std::optional<std::vector<FleetInstance>>)>;
using AdviceCallback = std::function<void(AdviceAnswer)>;
using InstanceCallback = std::function<void(InstanceAnswer)>;

template <typename T>
concept FleetPlatform
    = requires(T platform, const std::string& text, Revision revision, Duration time, const StoreWrite& write,
        StoreLease lease, const StoredValue& value, const std::vector<StoredValue>& values, std::uint64_t fence,
        RangeCallback onRange, StoreWriteCallback onWrite, StoreLeaseCallback onLease, const StartOrder& start,
        StartCallback onStart, const StopOrder& stop, StopOrderCallback onStop, const PollOrder& poll,
        PollCallback onPoll, const ThrottleOrder& throttle, FleetListCallback onList, const MoveOrder& move,
        const MaintainOrder& maintain, InstanceCallback onInstance, const AdviceOrder& advise, AdviceCallback onAdvice)
{
    // The key-value service.
    platform.range(text, onRange);
    platform.watch(text, revision, time, onRange);
    platform.write(write, onWrite);
    platform.openLease(time, onLease);
    platform.renewLease(lease, onLease);
    platform.endLease(lease);

    // Records that operators and workers keep in the key-value service.
    {
        platform.operatorPrefix()
        } -> std::convertible_to<std::string>;
    {
        platform.workerPrefix()
        } -> std::convertible_to<std::string>;
    {
        platform.decodeOperators(values)
        } -> std::same_as<OperatorState>;
    {
        platform.decodeWorker(value)
        } -> std::same_as<std::optional<WorkerEntry>>;
    {
        platform.workerId(text)
        } -> std::same_as<WorkerId>;

    // The workers.
    platform.start(start, onStart);
    platform.stop(stop, onStop);
    platform.poll(poll, onPoll);
    platform.throttle(throttle);

    // The advice service, which decides which workers may run a step.
    platform.advise(advise, onAdvice);

    // The instances.
    platform.listInstances(onList);
    platform.move(move, fence, time, onInstance);
    platform.maintain(maintain, fence, time, onInstance);
};

} // namespace marigoldlink
