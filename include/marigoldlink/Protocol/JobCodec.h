// JSON encoding of the records of jobs, job progress, cancelled ids, queues, workers, entry instances and maintenance
// waves.
#pragma once

#include "marigoldlink/Coordination/JobTable.h"
#include "marigoldlink/State/Jobs.h"

#include <optional>
#include <set>
#include <string>

namespace marigoldlink {

std::string encodeJob(const JobSpec&);
// Throws Error(Internal) if the record is malformed.
JobSpec decodeJob(const JobId&, const std::string& record);

std::string encodeProgress(const JobProgress&);
JobProgress decodeProgress(const JobId&, const std::string& record);

// Record of an id that was cancelled before its submission: the team that cancelled it. A record without a valid team
// decodes to the empty one, since the key alone already keeps the id.
std::string encodeCancelledId(const TeamId&);
TeamId decodeCancelledId(const std::string& record);

std::string encodeWave(const std::set<std::string>& finished);
std::set<std::string> decodeWave(const std::string& record);

// Data that a successor needs to reach a worker that is no longer in the registry.
struct WorkerRecord {
    WorkerEntry entry;
    // If set, no other tasks run on the worker, and none is started there until the record is updated.
    std::optional<std::set<TaskKey>> onlyRuns;
};
std::string encodeWorker(const WorkerRecord&);
WorkerRecord decodeWorker(const WorkerId&, const std::string& record);

// Data on a queue that outlives a change of the configuration.
struct QueueRecord {
    std::set<ServiceId> services; // on which its jobs may have runs
    // How its jobs run, from the last configuration that contained it. Without what only calls need. nullopt: not
    // recorded by an earlier version.
    std::optional<JobQueue> queue;
};
std::string encodeQueue(const QueueRecord&);
QueueRecord decodeQueue(const QueueId&, const std::string& record);

// Record of an entry instance: its processor cores, which may be fractional. A record without a valid value decodes to
// 0, which ranks as the smallest.
std::string encodeMember(double processors);
double decodeMember(const std::string& record);

// State of a wave in the form that operators read.
std::string encodeWaveStatus(bool isComplete);

} // namespace marigoldlink
