// A small fleet of real processes on the loopback interface, for tests that kill, freeze and cut.
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

// One child process. It is killed when the object goes.
class Process {
public:
    Process(const std::string& binary, std::vector<std::string> arguments, std::string logFile);
    ~Process();
    Process(Process&&) noexcept;
    Process& operator=(Process&&) noexcept;

    // Lines of standard output that start with the word, as soon as there are so many.
    std::vector<std::string> waitForLines(const std::string& word, std::size_t count) const;
    void signal(int number) const;
    void kill();
    // Waits for the process to end by itself. Returns its exit code, or nothing after the time.
    std::optional<int> waitForExit(Duration);
    std::string log() const;
    double cpuSeconds() const;
    std::int64_t residentKilobytes() const;

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
    std::string text; // the operators' text; a default with open and keyed queues when empty
    std::string entrySettings; // further lines of the entries' settings
    std::string keeperSettings;
};

class Cluster {
public:
    explicit Cluster(ClusterOptions);

    // Runs marigoldctl. Returns its exit code and output.
    std::pair<int, std::string> ctl(std::vector<std::string> arguments);
    void apply(const std::string& text);
    std::string grant(const std::string& team);

    // Turns the loop until the condition holds. Fails the test after the deadline.
    void waitFor(const std::string& what, const std::function<bool()>& condition, Duration = Duration(15000));
    void sleep(Duration);

    HttpOutcome call(const Endpoint&, HttpCall);
    HttpOutcome submit(std::size_t entry, const std::string& queue, const std::string& key, const std::string& id,
        const std::string& body = "{\"work_ms\":1}", HttpHeaders more = {});
    Json get(const Endpoint&, const std::string& target);
    Json status(std::size_t entry) { return get(entries.at(entry).endpoint, "/status"); }

    // Sets a fault of the platform for one data centre, or for all with an empty name.
    void platformFault(const std::string& dataCenter, const std::string& mode, std::int64_t delayMs = 0);
    void addEntry(const std::string& dataCenter);
    void startKeeper(const std::string& settings);
    // Cuts a data centre off from the others, and from the platform too if asked.
    void cutOff(const std::string& dataCenter, bool isPlatformCut);
    void heal();

    // Tasks running at all workers, of one team.
    Slots runningAtWorkers(const std::string& team);
    // All endpoints of the worker stand-ins.
    std::vector<Endpoint> workerEndpoints() const;
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
    std::vector<Endpoint> platforms; // one for each data centre, then one for the operators
    std::vector<EntryProcess> entries;
    std::vector<WorkerProcess> workers;
    std::vector<Process> keepers;

private:
    std::string nextLog(const std::string& name);
    std::string writeFile(const std::string& name, const std::string& content);
    Endpoint platformFor(const std::string& dataCenter) const;
    void startPlatform();
    void startWorkers(const std::string& dataCenter);
    void startKeeper();

    std::string m_directory;
    int m_files { 0 };
    std::optional<Process> m_platform;
};

std::string defaultText(const std::vector<std::string>& dataCenters, Slots limit = 12);

} // namespace marigoldlink::testing
