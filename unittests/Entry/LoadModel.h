// A model of a fleet under load: callers that return, workers that run tasks for their actual time, a store and moves
// of instances, around a real coordinator in virtual time.
#pragma once

#include "marigoldlink/Entry/Coordinator.h"

#include <functional>
#include <random>

namespace marigoldlink {

// Jobs of one team in one queue.
struct ModelStream {
    TeamId team;
    QueueId queue;
    std::function<double(TimePoint)> jobsPerSecond;
    int steps { 2 };
    int tasks { 8 };
    std::int64_t milliCores { 6200 };
    Duration runTime { 800 };
    double lowestEstimate { 0.5 }; // estimates are distributed between these multiples of the run time
    double highestEstimate { 1.5 };
};

struct ModelJob {
    JobSpec spec;
    Duration objective { 0 }; // by the actual times
    TimePoint firstAttempt;
    TimePoint lastAttempt;
    int attempts { 0 };
    bool isAccepted { false };
    std::optional<TimePoint> startedAt;
    std::optional<TimePoint> completeAt;
    std::vector<TimePoint> refusedAt;
    Duration runTime { 0 };
};

struct ModelResult {
    int jobs { 0 };
    int accepted { 0 };
    int refusals { 0 };
    int inTime { 0 };
    int late { 0 }; // within three times the objective
    int useless { 0 };
    Duration medianStart { 0 }; // from the attempt that was accepted

    std::string text() const;
};

class LoadModel {
public:
    static constexpr std::int64_t workerMilliCores = 64000;

    LoadModel(SchedulingFeatures, int workers, int spareWorkers);

    void addStream(ModelStream stream) { m_streams.push_back(std::move(stream)); }
    void run(Duration);
    // The store answers no write before this time.
    void setStoreDownUntil(TimePoint time) { m_storeDownUntil = time; }
    // A new coordinator starts from the store and the workers.
    void takeOver();
    int refusals(TimePoint from, TimePoint to) const;
    // Refused first attempts of jobs whose first tasks would all have found room, with nothing waiting before them.
    int refusedWithRoom() const { return m_refusedWithRoom; }
    const std::vector<Decision>& refusalLog() const { return m_refusalLog; }
    const std::map<std::string, int>& refusalReasons() const { return m_refusalReasons; }
    // Results of the jobs whose first attempt lies in this period, of one team or of all.
    ModelResult result(TimePoint from, TimePoint to, const TeamId& = {}) const;
    TimePoint now() const { return m_now; }
    Coordinator& coordinator() { return *m_coordinator; }
    const std::map<JobId, ModelJob>& jobs() const { return m_jobs; }

private:
    struct WorkerState {
        std::map<TaskKey, RunNumber> running;
        std::vector<ListedEnd> ends;
        std::optional<PollOrder> poll;
        TimePoint pollDue;
    };

    void submit(ModelJob&);
    bool hasRoomFor(const StepSpec&) const;
    void arrive(ModelStream&);
    void handle(const Order&);
    void answerPolls();
    void finishMoves();
    void watchJobs();
    void at(TimePoint time, std::function<void()> action) { m_actions.emplace(time, std::move(action)); }
    void addWorker(FleetInstance&);
    WorkerEntry entryOf(const FleetInstance&) const;
    void createCoordinator();
    void endLater(const WorkerId&, const TaskKey&, RunNumber, Duration delay);

    TimePoint m_now { Duration(100000) };
    OperatorState m_operators;
    std::unique_ptr<Coordinator> m_coordinator;
    std::vector<ModelStream> m_streams;
    std::map<JobId, ModelJob> m_jobs;
    std::set<JobId> m_open; // accepted and not seen as complete
    std::map<CallToken, JobId> m_calls;
    std::map<WorkerId, WorkerState> m_workers;
    std::map<std::string, FleetInstance> m_instances;
    std::multimap<TimePoint, std::function<void()>> m_actions;
    std::mt19937 m_random { 20261206 };
    std::map<std::string, std::string> m_stored;
    SchedulingFeatures m_features;
    std::uint64_t m_term { 0 };
    TimePoint m_storeDownUntil;
    int m_refusedWithRoom { 0 };
    std::vector<Decision> m_refusalLog;
    std::map<std::string, int> m_refusalReasons; // as measured
    std::uint64_t m_lastToken { 0 };
    std::uint64_t m_revision { 1 };
    int m_lastWorker { 0 };
};

} // namespace marigoldlink
