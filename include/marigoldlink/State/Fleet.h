// The coordinator's view of the fleet: active configuration, workers, instances and maintenance waves.
#pragma once

#include "marigoldlink/State/Jobs.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace marigoldlink {

using WorkerId = Id<struct WorkerTag>;
using WaveId = Id<struct WaveTag>;

// A job queue and the service whose workers run its jobs.
struct JobQueue {
    QueueId id;
    std::string host;
    std::string pathPrefix;
    ServiceId service;
    int priority { 0 }; // 0 is scheduled first
    int maxTaskFailures { 1 }; // number of failed runs of one task after which the job fails
    double objectiveFactor { 1 }; // completion objective: objectiveFactor * critical path + objectiveAllowance
    Duration objectiveAllowance { 0 };
    bool allowsAnonymous { false }; // without authentication: accepts requests without an API key
    bool needsAdvice { false }; // each start needs a ticket from the advice service
    Duration adviceBaseLatency { 0 }; // expected latency of an advice call without workers
    Duration adviceLatencyPerWorker { 0 }; // additional latency for each worker in the call

    friend bool operator==(const JobQueue&, const JobQueue&) = default;
};

// The worker pool of a service.
struct WorkerPool {
    ServiceId id;
    bool rejectsOverload { false }; // workers reject tasks that exceed their capacity
    bool isSpare { false }; // its instances are powered off and cost nothing
};

struct JobTeam {
    TeamId id;
    double weight { 1 };
    Resources limit; // a field of 0 means no limit
    std::vector<std::string> keys;

    bool isLimited() const { return limit != Resources {}; }
};

struct FleetConfig {
    std::int64_t version { 0 };
    std::map<QueueId, JobQueue> queues;
    std::map<ServiceId, WorkerPool> pools;
    std::map<TeamId, JobTeam> teams;
    std::map<std::string, TeamId> teamByKey;

    // Returns the queue of this host whose prefix is the longest match for the path, or null.
    const JobQueue* queueFor(std::string_view host, std::string_view path) const;
    const WorkerPool* sparePool() const;
};

// One incarnation of a worker. A worker that restarts under the same id is a new incarnation.
struct WorkerIncarnation {
    WorkerId id;
    std::int64_t startedUnixMs { 0 }; // start time of the process; 0: unknown

    friend auto operator<=>(const WorkerIncarnation&, const WorkerIncarnation&) = default;
};

// A worker's own entry in the registry.
struct WorkerEntry {
    WorkerIncarnation incarnation;
    ServiceId service;
    Endpoint endpoint;
    DataCenterId dataCenter;
    Resources capacity;
    std::set<std::string> labels;
    RackId rack;
    std::string instance; // instance that the worker runs on; empty if not reported
    bool isDraining { false };
    Duration remaining { 0 }; // while draining: lower bound of the time left
    Duration warmUpRemaining { 0 }; // remaining warm-up time, during which the worker is slower
};

enum class InstanceState { Up, Moving, Maintenance, Down };

// One entry of the platform's instance list.
struct FleetInstance {
    std::string id;
    ServiceId pool;
    InstanceState state { InstanceState::Up };
    DataCenterId dataCenter;
    std::set<std::string> labels;
    Resources capacity;
    WorkerId worker;
};

// A set of instances that must complete maintenance within a time limit.
struct MaintenanceWave {
    WaveId id;
    std::int64_t number { 0 };
    std::vector<std::string> instances;
    Duration timeLimit { 0 };
    int maxConcurrent { 1 };
};

// Desired state as set by operators.
struct OperatorState {
    FleetConfig config;
    std::set<DataCenterId> evacuatedDataCenters;
    std::map<WaveId, MaintenanceWave> waves;

    bool hasConfig() const { return config.version > 0; }
};

} // namespace marigoldlink
