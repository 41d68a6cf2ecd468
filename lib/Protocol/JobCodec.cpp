// JSON encoding of job records. Fields with their default value are omitted.
#include "marigoldlink/Protocol/JobCodec.h"

#include "marigoldlink/State/Errors.h"

#include <nlohmann/json.hpp>

namespace marigoldlink {

using Json = nlohmann::json;

namespace {

    template <typename Value>
    void setUnlessDefault(Json& object, const char* name, const Value& value, const Value& defaultValue)
    {
        if (value != defaultValue)
            object[name] = value;
    }

    Json encodeStep(const StepSpec& step)
    {
        Json json = Json::object();
        setUnlessDefault(json, "tasks", step.tasks, 1);
        setUnlessDefault<std::int64_t>(json, "milli_cores", step.need.milliCores, 0);
        setUnlessDefault<std::int64_t>(json, "memory_mb", step.need.memoryMegabytes, 0);
        setUnlessDefault<std::int64_t>(json, "accelerators", step.need.accelerators, 0);
        setUnlessDefault<std::int64_t>(json, "estimate_ms", step.estimate.count(), 0);
        setUnlessDefault(json, "follows", step.after, {});
        setUnlessDefault(json, "saves", step.savesCheckpoints, false);
        setUnlessDefault(json, "gang", step.isGang, false);
        setUnlessDefault(json, "one_rack", step.wantsOneRack, false);
        setUnlessDefault<std::string>(json, "label", step.requiredLabel, "");
        setUnlessDefault<std::string>(json, "data_rack", step.dataRack.value(), "");
        setUnlessDefault(json, "most_per_worker", step.maxPerWorker, 0);
        setUnlessDefault(json, "speculative", step.isSpeculative, false);
        setUnlessDefault(json, "service", step.isService, false);
        setUnlessDefault<std::string>(json, "image", step.image.value(), "");
        setUnlessDefault<std::int64_t>(json, "tail_target_ms", step.tailLatencyTarget.count(), 0);
        setUnlessDefault(json, "filler", step.isBestEffort, false);
        setUnlessDefault(json, "miss", step.maxUnavailable, 0);
        return json;
    }

    StepSpec decodeStep(const Json& json)
    {
        StepSpec step;
        step.tasks = json.value("tasks", 1);
        step.need = { json.value<std::int64_t>("milli_cores", 0), json.value<std::int64_t>("memory_mb", 0),
            json.value<std::int64_t>("accelerators", 0) };
        step.estimate = Duration(json.value<std::int64_t>("estimate_ms", 0));
        step.after = json.value("follows", std::vector<int> {});
        step.savesCheckpoints = json.value("saves", false);
        step.isGang = json.value("gang", false);
        step.wantsOneRack = json.value("one_rack", false);
        step.requiredLabel = json.value("label", "");
        step.dataRack = RackId(json.value("data_rack", ""));
        step.maxPerWorker = json.value("most_per_worker", 0);
        step.isSpeculative = json.value("speculative", false);
        step.isService = json.value("service", false);
        step.image = ImageId(json.value("image", ""));
        step.tailLatencyTarget = Duration(json.value<std::int64_t>("tail_target_ms", 0));
        step.isBestEffort = json.value("filler", false);
        step.maxUnavailable = json.value("miss", 0);
        return step;
    }

    Json encodeRunNumbers(const std::set<RunNumber>& runs)
    {
        Json numbers = Json::array();
        for (const auto run : runs)
            numbers.push_back(number(run));
        return numbers;
    }

    // Parses and decodes a record. Reports all exceptions of the JSON library as Error(Internal).
    template <typename Decoder> auto parseRecord(const std::string& record, const char* description, Decoder decoder)
    {
        try {
            return decoder(Json::parse(record));
        } catch (const Json::exception& error) {
            throw Error(ErrorKind::Internal, std::string(description) + " is malformed: " + error.what());
        }
    }

} // namespace

std::string encodeJob(const JobSpec& job)
{
    Json json { { "queue", job.queue.value() }, { "team", job.team.value() }, { "payload", job.payload },
        { "accepted_ms", job.acceptedUnixMs } };
    for (const auto& step : job.steps)
        json["steps"].push_back(encodeStep(step));
    if (job.schedule.isTimed()) {
        json["schedule"] = { { "occurrences", job.schedule.occurrences }, { "first_ms", job.schedule.firstUnixMs },
            { "interval_ms", job.schedule.intervalMs } };
    }
    return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

JobSpec decodeJob(const JobId& id, const std::string& record)
{
    return parseRecord(record, "job record", [&id](const Json& json) {
        JobSpec job;
        job.id = id;
        job.queue = QueueId(json.at("queue").get<std::string>());
        job.team = TeamId(json.value("team", ""));
        job.payload = json.value("payload", "");
        job.acceptedUnixMs = json.value<std::int64_t>("accepted_ms", 0);
        for (const auto& step : json.at("steps"))
            job.steps.push_back(decodeStep(step));
        if (const auto schedule = json.find("schedule"); schedule != json.end()) {
            job.schedule = { schedule->value("occurrences", 0), schedule->value<std::int64_t>("first_ms", 0),
                schedule->value<std::int64_t>("interval_ms", 0) };
        }
        return job;
    });
}

std::string encodeProgress(const JobProgress& progress)
{
    Json json { { "state", static_cast<int>(progress.state) } };
    if (!progress.finishedOccurrences.empty())
        json["finished"] = progress.finishedOccurrences;
    for (const auto& [key, task] : progress.tasks)
        json["tasks"].push_back({ key.occurrence, key.step, key.index, task.isDone, task.failures, task.checkpoint,
            encodeRunNumbers(task.countedRuns) });
    return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

JobProgress decodeProgress(const JobId& id, const std::string& record)
{
    return parseRecord(record, "progress record", [&id](const Json& json) {
        JobProgress progress;
        const int state = json.at("state").get<int>();
        if (state < 0 || state > static_cast<int>(JobState::Cancelled))
            throw Error(ErrorKind::Internal, "progress record has the unknown state " + std::to_string(state));
        progress.state = static_cast<JobState>(state);
        progress.finishedOccurrences = json.value("finished", std::set<int> {});
        if (const auto tasks = json.find("tasks"); tasks != json.end()) {
            for (const auto& row : *tasks) {
                const TaskKey key { id, row.at(0).get<int>(), row.at(1).get<int>(), row.at(2).get<int>() };
                auto& task = progress.tasks[key];
                task = { row.at(3).get<bool>(), row.at(4).get<int>(), row.at(5).get<std::string>(), {} };
                for (const auto& run : row.at(6))
                    task.countedRuns.insert(RunNumber(run.get<std::int64_t>()));
            }
        }
        return progress;
    });
}

std::string encodeCancelledId(const TeamId& team) { return Json { { "team", team.value() } }.dump(); }

TeamId decodeCancelledId(const std::string& record)
{
    const auto json = Json::parse(record, nullptr, false);
    const auto team = json.is_object() ? json.find("team") : json.end();
    return team != json.end() && team->is_string() ? TeamId(team->get<std::string>()) : TeamId();
}

std::string encodeWave(const std::set<std::string>& finished) { return Json { { "finished", finished } }.dump(); }

std::set<std::string> decodeWave(const std::string& record)
{
    return parseRecord(
        record, "wave record", [](const Json& json) { return json.at("finished").get<std::set<std::string>>(); });
}

std::string encodeWorker(const WorkerRecord& record)
{
    const auto& entry = record.entry;
    Json json { { "service", entry.service.value() }, { "address", entry.endpoint.text() },
        { "data_center", entry.dataCenter.value() }, { "born_ms", entry.incarnation.startedUnixMs },
        { "instance", entry.instance } };
    if (record.onlyRuns) {
        json["runs"] = Json::array();
        for (const auto& task : *record.onlyRuns)
            json["runs"].push_back({ task.job.value(), task.occurrence, task.step, task.index });
    }
    return json.dump();
}

WorkerRecord decodeWorker(const WorkerId& id, const std::string& record)
{
    return parseRecord(record, "worker record", [&id](const Json& json) {
        WorkerRecord worker;
        auto& entry = worker.entry;
        entry.incarnation = { id, json.value<std::int64_t>("born_ms", 0) };
        entry.service = ServiceId(json.at("service").get<std::string>());
        entry.endpoint = Endpoint::parse(json.at("address").get<std::string>());
        entry.dataCenter = DataCenterId(json.value("data_center", ""));
        entry.instance = json.value("instance", ""); // absent in records of earlier versions
        if (const auto runs = json.find("runs"); runs != json.end()) {
            worker.onlyRuns.emplace();
            for (const auto& row : *runs)
                worker.onlyRuns->insert({ JobId(row.at(0).get<std::string>()), row.at(1).get<int>(),
                    row.at(2).get<int>(), row.at(3).get<int>() });
        }
        return worker;
    });
}

std::string encodeQueue(const QueueRecord& record)
{
    Json json { { "services", Json::array() } };
    for (const auto& service : record.services)
        json["services"].push_back(service.value());
    if (const auto& queue = record.queue) {
        json["service"] = queue->service.value();
        json["priority"] = queue->priority;
        json["attempts"] = queue->maxTaskFailures;
        json["objective_factor"] = queue->objectiveFactor;
        json["objective_allowance_ms"] = queue->objectiveAllowance.count();
        json["advice"] = queue->needsAdvice;
    }
    return json.dump();
}

QueueRecord decodeQueue(const QueueId& id, const std::string& record)
{
    return parseRecord(record, "queue record", [&id](const Json& json) {
        QueueRecord decoded;
        for (const auto& service : json.at("services"))
            decoded.services.insert(ServiceId(service.get<std::string>()));
        if (!json.contains("service"))
            return decoded;
        auto& queue = decoded.queue.emplace();
        queue.id = id;
        queue.service = ServiceId(json.at("service").get<std::string>());
        queue.priority = json.value("priority", 0);
        queue.maxTaskFailures = json.value("attempts", 1);
        queue.objectiveFactor = json.value("objective_factor", 1.0);
        queue.objectiveAllowance = Duration(json.value<std::int64_t>("objective_allowance_ms", 0));
        queue.needsAdvice = json.value("advice", false);
        return decoded;
    });
}

std::string encodeMember(double processors) { return Json { { "processors", processors } }.dump(); }

double decodeMember(const std::string& record)
{
    const auto json = Json::parse(record, nullptr, false);
    const auto found = json.is_object() ? json.find("processors") : json.end();
    return found != json.end() && found->is_number() ? found->get<double>() : 0;
}

std::string encodeWaveStatus(bool isComplete)
{
    return Json { { "state", isComplete ? "complete" : "running" } }.dump();
}

} // namespace marigoldlink
