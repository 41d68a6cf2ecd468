// Stub platform. The test answers calls of the key-value service, except those of leases that are renewed or ended; all
// other calls remain unanswered.
#pragma once

#include "marigoldlink/Entry/FleetPlatform.h"

#include <deque>

namespace marigoldlink {

class ScriptedPlatform {
public:
    struct Read {
        std::string prefix;
        Revision after { noRevision }; // of a watch
        RangeCallback callback;
    };
    std::deque<Read> reads; // unanswered, oldest first
    struct Write {
        StoreWrite write;
        StoreWriteCallback callback;
    };
    std::deque<Write> writes; // unanswered, oldest first
    std::deque<StoreLeaseCallback> leases; // leases being opened, oldest first
    std::vector<StoreLease> endedLeases;

    // Answers the oldest read of the prefix. Returns false if there is none.
    bool answer(const std::string& prefix, StoreStatus status, Revision revision, std::vector<StoredValue> values = {})
    {
        const auto found
            = std::find_if(reads.begin(), reads.end(), [&](const Read& read) { return read.prefix == prefix; });
        if (found == reads.end())
            return false;
        const auto callback = std::move(found->callback);
        reads.erase(found);
        callback({ status, revision, std::move(values) });
        return true;
    }

    void range(const std::string& prefix, RangeCallback callback)
    {
        reads.push_back({ prefix, noRevision, std::move(callback) });
    }
    void watch(const std::string& prefix, Revision after, Duration, RangeCallback callback)
    {
        reads.push_back({ prefix, after, std::move(callback) });
    }
    void write(const StoreWrite& write, StoreWriteCallback callback)
    {
        writes.push_back({ write, std::move(callback) });
    }
    void openLease(Duration, StoreLeaseCallback callback) { leases.push_back(std::move(callback)); }
    void renewLease(StoreLease, StoreLeaseCallback) { }
    void endLease(StoreLease lease) { endedLeases.push_back(lease); }

    std::string operatorPrefix() const { return "operators/"; }
    std::string workerPrefix() const { return "workers/"; }
    // The value of a record is the configuration's version.
    OperatorState decodeOperators(const std::vector<StoredValue>& values) const
    {
        OperatorState state;
        for (const auto& value : values)
            state.config.version = std::stoll(value.value);
        return state;
    }
    std::optional<WorkerEntry> decodeWorker(const StoredValue&) const { return std::nullopt; }
    WorkerId workerId(const std::string& key) const { return WorkerId(key); }

    void start(const StartOrder&, StartCallback) { }
    void stop(const StopOrder&, StopOrderCallback) { }
    void poll(const PollOrder&, PollCallback) { }
    void throttle(const ThrottleOrder&) { }
    void advise(const AdviceOrder&, AdviceCallback) { }
    void listInstances(FleetListCallback) { }
    void move(const MoveOrder&, std::uint64_t, Duration, InstanceCallback) { }
    void maintain(const MaintainOrder&, std::uint64_t, Duration, InstanceCallback) { }
};

static_assert(FleetPlatform<ScriptedPlatform>);

} // namespace marigoldlink
