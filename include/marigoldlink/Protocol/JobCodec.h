// Records of jobs, their progress, workers and maintenance waves, as JSON.
#pragma once

#include "marigoldlink/Coordination/JobBook.h"
#include "marigoldlink/State/Jobs.h"

#include <optional>
#include <set>
#include <string>

namespace marigoldlink {

std::string encodeJob(const JobSpec&);
// Throws Error(Internal) when the record does not parse.
JobSpec decodeJob(const JobId&, const std::string& record);

std::string encodeProgress(const JobProgress&);
JobProgress decodeProgress(const JobId&, const std::string& record);

std::string encodeWave(const std::set<std::string>& finished);
std::set<std::string> decodeWave(const std::string& record);

// What a successor needs to reach a worker that left the registry.
struct WorkerRecord {
    WorkerEntry entry;
    // If set, nothing else runs there, and no start follows before the record changes.
    std::optional<std::set<TaskKey>> onlyRuns;
};
std::string encodeWorker(const WorkerRecord&);
WorkerRecord decodeWorker(const WorkerId&, const std::string& record);

// An entry instance's record: the share of a core that it has. A record that does not tell counts as the smallest.
std::string encodeMember(double processors);
double decodeMember(const std::string& record);

// The state of a wave as operators read it.
std::string encodeWaveStatus(bool isComplete);

} // namespace marigoldlink
