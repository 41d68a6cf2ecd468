// The fleet as the coordinator sees it: configuration in force, workers, instances and maintenance waves.
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

// A queue of jobs and the service whose workers run them.
struct JobQueue {
    QueueId id;
    std::string host;
    std::string pathPrefix;
    ServiceId service;
    int priority { 0 }; // 0 goes first
    int attempts { 1 }; // failed runs of one task that fail the job
    double stretch { 1 }; // objective: this many times the longest chain of work ...
    Duration slack { 0 }; // ... and this much more
    bool isOpen { false }; // needs no key
    bool needsAdvice { false }; // starts carry a ticket of the advice service
    Duration adviceBase { 0 }; // time that one call for advice takes ...
    Duration advicePerWorker { 0 }; // ... and more for each worker named
};

// A service's pool of workers.
struct WorkerPool {
    ServiceId id;
    bool guardsCapacity { false }; // workers reject what does not fit
    bool isSpare { false }; // its instances are off and cost nothing
};

struct JobTeam {
    TeamId id;
    double weight { 1 };
    Resources limit; // 0 in a field: no limit
    std::vector<std::string> keys;
};

struct FleetConfig {
    std::int64_t version { 0 };
    std::map<QueueId, JobQueue> queues;
    std::map<ServiceId, WorkerPool> pools;
    std::map<TeamId, JobTeam> teams;
    std::map<std::string, TeamId> teamByKey;

    // The queue with the longest prefix of the path on this host, or null.
    const JobQueue* queueFor(std::string_view host, std::string_view path) const;
    const WorkerPool* sparePool() const;
};

// One life of a worker. A worker that restarts under its id is another life.
struct WorkerLife {
    WorkerId id;
    std::int64_t bornUnixMs { 0 }; // 0: not known

    friend auto operator<=>(const WorkerLife&, const WorkerLife&) = default;
};

// What a worker says of itself in the registry.
struct WorkerEntry {
    WorkerLife life;
    ServiceId service;
    Endpoint endpoint;
    DataCenterId dataCenter;
    Resources capacity;
    std::set<std::string> labels;
    RackId rack;
    std::string instance; // the instance that it runs on; empty when it does not say
    bool isDraining { false };
    Duration remaining { 0 }; // while it drains: the least time that is left
    Duration coldLeft { 0 }; // still slow after its start for this long
};

enum class InstanceState { Up, Moving, Upkeep, Down };

// One row of the platform's list of instances.
struct FleetInstance {
    std::string id;
    ServiceId pool;
    InstanceState state { InstanceState::Up };
    DataCenterId dataCenter;
    std::set<std::string> labels;
    Resources capacity;
    WorkerId worker;
};

// Instances that must have their maintenance in time.
struct MaintenanceWave {
    WaveId id;
    std::int64_t number { 0 };
    std::vector<std::string> instances;
    Duration timeAllowed { 0 };
    int mostAtOnce { 1 };
};

// What operators ask for.
struct OperatorState {
    FleetConfig config;
    std::set<DataCenterId> evacuated;
    std::map<WaveId, MaintenanceWave> waves;

    bool hasConfig() const { return config.version > 0; }
};

} // namespace marigoldlink
