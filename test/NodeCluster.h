// Real marigold-node processes against stand-ins of the hosting platform, and clients that call them.
//
// For tests of what callers and workers see while processes freeze, end and start again. The threads of the stand-ins
// run until the test's process ends.
#pragma once

#include "world.h"

#include <chrono>
#include <cstddef>
#include <gtest/gtest.h>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace marigoldlink::testing {

using Milliseconds = std::chrono::milliseconds;

// A process of the cluster, in the order of World::nodes.
enum class NodeIndex : std::size_t {};

// Bounds of the platform's pages.
constexpr Milliseconds s_cancelBound { 3000 };
constexpr Milliseconds s_stopBound { 900 };

struct Seed {
    std::uint32_t value;
};

// The seeds of a soak: those of MARIGOLD_SOAK_SEEDS=first:count, or else the fixed one.
std::vector<Seed> soakSeeds(Seed fixed);

// Runs a soak of the type with each seed, up to the first failure.
template <typename Soak> void runSoaks(Seed fixed)
{
    for (const auto seed : soakSeeds(fixed)) {
        SCOPED_TRACE("seed " + std::to_string(seed.value));
        Soak soak(seed);
        soak.run();
        if (::testing::Test::HasFailure())
            break;
    }
}

int draw(std::mt19937&, int least, int most);

struct CallerResponse {
    int status { 0 }; // 0: no response in time, or the connection ended
    std::map<std::string, std::string> headers; // by lower-case name
    std::string body;

    // A rejected submission never runs.
    bool isRejection() const { return status == 429 || status == 503; }
    bool isCancelAcknowledged() const { return (status >= 200 && status < 300) || status == 410; }
};

// A team's connection to one process, kept open between requests. It ends with the first request that gets no response.
class Caller {
public:
    Caller(const standin::Node&, std::string key);
    ~Caller() { close(); }
    Caller(const Caller&) = delete;
    Caller& operator=(const Caller&) = delete;

    void send(const std::string& method, const std::string& path, const std::string& body = "");
    CallerResponse receive(Milliseconds timeout);
    CallerResponse call(const std::string& method, const std::string& path, const std::string& body = "");
    void close();

private:
    std::string m_name;
    int m_port;
    std::string m_key;
    std::string m_request; // the last one, for the record
    int m_descriptor { -1 };
    std::string m_buffer;
};

// Three zones of workers. The destructor kills the processes, and prints the end of a failed test's record.
class NodeCluster {
public:
    // settings: TOML lines appended to the settings of each process
    explicit NodeCluster(std::size_t nodes = 3, std::size_t workersPerZone = 1, const std::string& settings = "");
    ~NodeCluster();
    NodeCluster(const NodeCluster&) = delete;
    NodeCluster& operator=(const NodeCluster&) = delete;

    // Throws std::runtime_error, which fails the test, if no coordinator is elected in time.
    NodeIndex awaitCoordinator();
    NodeIndex awaitSuccessor(NodeIndex coordinator);
    // The n-th process after this one.
    NodeIndex after(NodeIndex, std::size_t n = 1) const;
    const standin::Node& node(NodeIndex) const;

    // Returns when all threads of the process have stopped.
    void freeze(NodeIndex);
    void thaw(NodeIndex);
    void kill(NodeIndex);
    void restart(NodeIndex);

    // Sends SIGTERM, and returns the time at which it was sent.
    Milliseconds terminate(NodeIndex);
    // The wait status of a process that was told to end; nullopt if it still runs at this time.
    std::optional<int> awaitExit(NodeIndex, Milliseconds until);
    // Sends SIGHUP.
    void reload(NodeIndex);
    // The operator's next version, which differs in time-outs.
    void changeConfiguration();
    // The lines that the process has logged about its stops.
    std::string stopLogOf(NodeIndex) const;
    // Time from the last SIGTERM that the process had got by then, as text.
    std::string sinceTermination(NodeIndex, Milliseconds time) const;

    // All jobs of which workers have seen a start.
    std::set<std::string> startedJobs() const;
    // All starts of the job's tasks that workers have seen.
    std::vector<standin::Run> runs(const std::string& job) const;

    // The lines of the record on this job, on disruptions and on processes.
    std::string recordOf(const std::string& job) const;

    standin::World& world() { return *m_world; }
    static Milliseconds now() { return Milliseconds(standin::record.now()); }

private:
    std::string m_folder;
    standin::World* m_world; // never deleted, as its threads refer to it
    int m_configurationVersion { 1 };
    std::multimap<NodeIndex, Milliseconds> m_terminations; // of one process in order of time
};

// Two steps of two tasks each; the second one follows the first.
std::string twoStepJob(Milliseconds first, Milliseconds second);

// The state that a response to a GET of a job shows, or nothing.
std::optional<std::string> shownState(const CallerResponse&);

} // namespace marigoldlink::testing
