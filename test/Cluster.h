// Starts a small fleet of real processes on the loopback interface, for tests that kill or freeze processes and that
// partition the network.
#pragma once

#include "Relay.h"
#include "marigold-load/Load.h"
#include "marigoldlink/Transport/HttpClient.h"

#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace marigoldlink::testing {

using Json = nlohmann::json;

// A child process. The destructor kills it with SIGKILL.
class Process {
public:
    Process(const std::string& binary, std::vector<std::string> arguments, std::string logFile);
    ~Process();
    Process(Process&&) noexcept;
    Process& operator=(Process&&) noexcept;

    // Waits until at least `count` lines of the output start with `word` and a space. Returns them without that prefix.
    // Throws std::runtime_error on a timeout.
    std::vector<std::string> waitForLines(const std::string& word, std::size_t count) const;
    void signal(int signalNumber) const;
    void kill();
    // Waits for the process to exit. Returns its exit code, -1 if a signal ended it, or nothing on a timeout.
    std::optional<int> waitForExit(Duration);
    // "running", "stopped", "exited with CODE", "ended by signal NUMBER" or "ended by the test".
    std::string state() const;
    std::string log() const;
    double cpuSeconds() const;
    std::int64_t residentKilobytes() const;
    pid_t id() const { return m_pid; }

private:
    pid_t m_pid { -1 };
    std::string m_logFile;
};

struct ClusterOptions {
    std::vector<std::string> dataCenters { "one", "two", "three" };
    std::size_t entriesPerDataCenter { 1 };
    std::size_t workersPerDataCenter { 4 };
    std::size_t workersPerProcess { 4 };
    Slots slots { 4 };
    std::size_t keepers { 1 };
    std::string fleetSpec; // if empty, that of defaultFleetSpec()
    std::string entrySettings; // TOML lines appended to the settings of each entry instance
    std::string keeperSettings;
};

// One run of a task at a worker, by the clock of EventLoop::now().
struct TaskRun {
    using Time = std::chrono::nanoseconds;

    std::string task;
    std::string worker;
    Time start;
    Time end; // of a task that still runs, Time::max()
};

// Every run of a team's tasks. It shows how many tasks ran at the same moment, which asking one worker after another
// cannot show: a task may end at a worker that has been asked, and the next one start at a worker that has not.
class TaskHistory {
public:
    explicit TaskHistory(std::vector<TaskRun> runs)
        : m_runs(std::move(runs))
    {
    }

    // Largest number of tasks that ran at the same moment of the period.
    Slots maxRunning(TimePoint from, TimePoint to) const { return static_cast<Slots>(busiest(from, to).size()); }
    Slots runningAt(TimePoint) const;
    // The tasks that ran at the busiest moment of the period, a line each.
    std::string describeBusiest(TimePoint from, TimePoint to) const;

private:
    std::vector<const TaskRun*> busiest(TimePoint from, TimePoint to) const;

    std::vector<TaskRun> m_runs;
};

class Cluster {
public:
    explicit Cluster(ClusterOptions);

    // Runs marigoldctl to completion. Returns its exit code and output.
    std::pair<int, std::string> runMarigoldctl(std::vector<std::string> arguments);
    void applySpec(const std::string& text);
    std::string grantKey(const std::string& team);

    // Runs the event loop until the condition holds. Throws std::runtime_error on a timeout, which fails the test.
    void waitUntil(const std::string& what, const std::function<bool()>& condition, Duration = Duration(15000));
    void runFor(Duration);

    HttpResult call(const Endpoint&, HttpCall);
    HttpResult submit(std::size_t entry, const std::string& queue, const std::string& key, const std::string& id,
        const std::string& body = "{\"work_ms\":1}", HttpHeaders more = {});
    Json get(const Endpoint&, const std::string& target);
    Json status(std::size_t entry) { return get(entries.at(entry).endpoint, "/status"); }

    // Injects a fault into the platform stub for one data centre, or for all data centres if the name is empty.
    void setPlatformFault(const std::string& dataCenter, const std::string& mode, std::int64_t delayMs = 0);
    void addEntry(const std::string& dataCenter);
    void startKeeper(const std::string& settings);
    // Partitions the network between a data centre and the others, and optionally between it and the platform.
    void partition(const std::string& dataCenter, bool includesPlatform);
    // Removes every partition and every platform fault.
    void heal();

    // Sum of the numbers of the team's tasks that the workers run when they are asked, which is not at the same moment.
    Slots countRunningTasks(const std::string& team);
    // The runs of the team's tasks so far. Throws std::runtime_error if a worker does not answer.
    TaskHistory taskHistory(const std::string& team);
    // Endpoints of all worker stubs.
    std::vector<Endpoint> workerEndpoints() const;
    // State and output of each process of worker stubs, for the message of a failed test.
    std::string describeWorkers() const;
    Load::Options load(std::vector<Flow>, Duration) const;

    struct EntryProcess {
        std::string dataCenter;
        Endpoint endpoint;
        Process process;
        std::unique_ptr<Relay> relay;
    };
    struct WorkerProcess {
        std::string dataCenter;
        std::vector<Endpoint> endpoints;
        Process process;
    };

    EventLoop loop;
    HttpClient client { loop };
    ClusterOptions options;
    std::vector<Endpoint> platforms; // one for each data centre, and a last one for the operators
    std::vector<EntryProcess> entries;
    std::vector<WorkerProcess> workers;
    std::vector<Process> keepers;
    std::vector<Endpoint> keeperEndpoints;

private:
    std::string newLogPath(const std::string& name);
    std::string writeFile(const std::string& name, const std::string& content);
    Endpoint platformEndpoint(const std::string& dataCenter) const;
    void startPlatform();
    void startWorkers(const std::string& dataCenter);
    void startKeeper();

    std::string m_directory;
    int m_files { 0 };
    std::optional<Process> m_platform;
};

// A fleet specification with a main and a spare pool, the teams red and blue, a queue with authentication for each
// class, and the queue "open" without authentication for team red.
std::string defaultFleetSpec(const std::vector<std::string>& dataCenters, Slots limit = 12);

} // namespace marigoldlink::testing
