// Stand-ins for the hosting platform's store and list of machines, for workers, and the processes under test.
//
// They follow the pages of the platform's protocol. One lock guards all of their state.
#pragma once

#include "http.h"

#include <array>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdio>
#include <fstream>
#include <list>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <set>
#include <vector>

namespace standin {

using Json = nlohmann::json;

inline std::int64_t steadyMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now().time_since_epoch())
        .count();
}

inline std::int64_t unixMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch())
        .count();
}

inline std::mutex worldLock;
inline std::condition_variable worldChanged;

// Writes what is sent, answered and run, with the time in seconds since the start.
class Record {
public:
    void open(const std::string& file)
    {
        m_out.open(file, std::ios::trunc);
        m_start = steadyMs();
    }

    std::int64_t now() const { return steadyMs() - m_start; }

    void line(const char* format, ...) __attribute__((format(printf, 2, 3)))
    {
        char text[2000];
        va_list arguments;
        va_start(arguments, format);
        std::vsnprintf(text, sizeof(text), format, arguments);
        va_end(arguments);
        const std::lock_guard guard(m_lock);
        char time[32];
        std::snprintf(time, sizeof(time), "%8.3f  ", static_cast<double>(now()) / 1000);
        m_out << time << text << std::endl;
    }

private:
    std::mutex m_lock;
    std::ofstream m_out;
    std::int64_t m_start { 0 };
};

inline Record record;

std::string encodeBase64(const std::string&);
std::string decodeBase64(const std::string&);

// The platform's store. Each node reaches it through a port of its own, so that a path can be cut.
class Store {
public:
    struct Item {
        std::string value;
        std::int64_t revision { 0 };
        std::int64_t created { 0 };
        std::int64_t lease { 0 };
    };

    explicit Store(std::size_t ports);

    int port(std::size_t index) const { return m_servers[index]->port(); }
    // A cut port gives no answer. Calls that arrive meanwhile have no effect.
    void setCut(std::size_t index, bool isCut);
    // While the whole store is down, leases pause.
    void setDown(bool isDown);
    // Writes of the operator and of workers.
    void put(const std::string& key, const std::string& value);
    void remove(const std::string& key);
    // The port through which the last write under a condition came that was carried out.
    std::optional<std::size_t> lastWriter() const;
    void tick();

private:
    struct Event {
        std::string key;
        std::int64_t revision { 0 };
        bool isDeleted { false };
        Item item;
    };
    struct Lease {
        std::int64_t timeToLive { 0 };
        std::int64_t endsAt { 0 };
    };

    Response handle(std::size_t port, const Request&);
    Response range(const Request&) const;
    Response watch(std::size_t port, const Request&, std::unique_lock<std::mutex>&);
    Response transaction(std::size_t port, const Json&);
    Response openLease(const Json&);
    Response keepLease(std::int64_t id);
    // Both use the current revision: the changes of one call have one revision.
    void write(const std::string& key, const std::string& value, std::int64_t lease);
    void erase(const std::string& key);
    void endLease(std::int64_t id);
    static Json toJson(const std::string& key, const Item&);
    bool isSilent(std::size_t port) const { return m_isDown || m_isCut[port]; }
    // Waits until the port works again and drops the call.
    Response dropped(std::size_t port, std::unique_lock<std::mutex>&) const;

    std::vector<std::unique_ptr<Server>> m_servers;
    std::vector<bool> m_isCut;
    bool m_isDown { false };
    std::int64_t m_downSince { 0 };
    std::map<std::string, Item> m_items;
    std::vector<Event> m_history;
    std::int64_t m_revision { 100 };
    std::map<std::int64_t, Lease> m_leases;
    std::int64_t m_nextLease { 77000 };
    std::optional<std::size_t> m_lastWriter;
};

// One start of a task, as the worker saw it.
struct Run {
    std::string worker;
    std::string task;
    std::int64_t number { 0 };
    std::int64_t startedAt { 0 }; // of the record's clock
    std::int64_t endsAt { 0 };
    std::optional<std::int64_t> endedAt;
    std::string how;
    std::int64_t end { 0 }; // number of the end at the worker
    bool hasLapsedSince { false }; // the worker's lease has lapsed after the end
    bool isNoted { false }; // the end was acknowledged before the lease lapsed
};

// Run time of a task: {"steps":[{"ms":M,"spread":S,"long":L,"longs":N}]} in the job's text. Tasks with an index below N
// take L, the others between M and M + S.
std::int64_t workTime(const std::string& spec, const std::string& task);

class Worker {
public:
    Worker(Store&, std::string id, std::string machine, std::string service, std::string zone, std::string rack,
        std::int64_t cores);

    const std::string& id() const { return m_id; }
    const std::string& zone() const { return m_zone; }
    Json machineRow() const;
    std::string entry() const;
    void registerEntry() { m_store.put("servers/" + m_id, entry()); }
    // Only callers with this fence reach the worker until the cut ends.
    void setCut(std::optional<std::int64_t> onlyFence);
    std::int64_t fence() const { return m_fence; }
    // A crash: what runs is lost and nobody gets an answer until the restart, under the same id.
    void crash();
    void restart();
    void tick();
    const std::list<Run>& runs() const { return m_runs; }
    std::int64_t most() const { return m_most; }

private:
    Response handle(const Request&);
    Response start(const Json&);
    Response stop(const Json&);
    Response hold(const Json&, std::unique_lock<std::mutex>&);
    Response answer(int status, Json);
    std::int64_t clock() const { return steadyMs() - m_bornSteady; }
    void end(Run&, const std::string& how);
    void extend(const Json&);
    Run* find(const std::string& task, std::int64_t number);
    bool isCutOff(std::int64_t fence) const { return m_onlyFence && *m_onlyFence != fence; }

    Store& m_store;
    std::string m_id;
    std::string m_machine;
    std::string m_service;
    std::string m_zone;
    std::string m_rack;
    std::int64_t m_cores;
    std::int64_t m_bornUnix { unixMs() };
    std::int64_t m_bornSteady { steadyMs() };
    std::int64_t m_fence { 0 };
    std::optional<std::int64_t> m_onlyFence;
    std::int64_t m_leaseUntil { 0 };
    bool m_hasLapsed { false };
    std::int64_t m_acknowledged { 0 };
    std::int64_t m_nextEnd { 1 };
    std::int64_t m_most { 0 }; // most tasks that ran at once
    std::map<std::string, std::int64_t> m_highestEnded; // by task: highest run that was stopped or ended here
    std::list<Run> m_runs;
    std::list<Run*> m_running;
    std::list<Run*> m_unacknowledged;
    std::unique_ptr<Server> m_server;
};

// The platform's list of machines. All pools are of different kinds, so that no machine can change its pool.
class Cloud {
public:
    explicit Cloud(std::vector<std::unique_ptr<Worker>>& workers);
    int port() const { return m_server->port(); }

private:
    Response handle(const Request&);

    std::vector<std::unique_ptr<Worker>>& m_workers;
    std::unique_ptr<Server> m_server;
};

// A process of the system.
struct Node {
    std::string name;
    std::string zone;
    double processors { 0.25 };
    int front { 0 };
    int ready { 0 };
    int peers { 0 };
    int metrics { 0 };
    int process { 0 };
};

class World {
public:
    // Starts the stand-ins. folder: for settings and logs of the processes. The world lasts until this process ends,
    // since threads of its own refer to it.
    World(std::string program, std::string folder, std::size_t nodes);
    // Ends all processes.
    void stop();

    Store store;
    std::vector<std::unique_ptr<Worker>> workers;
    std::vector<Node> nodes;

    void addWorker(const std::string& id, const std::string& service, const std::string& zone, std::int64_t cores);
    // Writes the workers' entries and starts the processes.
    void start();
    void startNode(std::size_t index);
    void signalNode(std::size_t index, int signal);
    // Waits for a process that was told to end; kills it when the time is over.
    void awaitEnd(std::size_t index, int timeoutMs);
    // Waits until all nodes are ready and one of them has written under a condition. nullopt: not in time.
    std::optional<std::size_t> awaitLeader(int timeoutMs);
    // The node that wrote under a condition last, if it is another one.
    std::optional<std::size_t> awaitOtherLeader(std::size_t earlier, int timeoutMs);

private:
    void run();

    std::string m_program;
    std::string m_folder;
    std::unique_ptr<Cloud> m_cloud;
};

void sleepMs(std::int64_t time);

} // namespace standin
