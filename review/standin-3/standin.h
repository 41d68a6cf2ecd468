// Stand-ins of the hosting platform for the scripts of the third review: store, list of machines, workers, operator and
// clients. They run in one process with threads and speak what PROTOCOL.md says. The processes of marigold-node are
// started, stopped, frozen and killed as separate processes.
#pragma once

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace standin {

using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;
using Ms = std::chrono::milliseconds;

std::int64_t nowMs(); // since the start of the program
std::int64_t unixMs();
void note(const std::string& line); // a line of record.txt
void openRecord(const std::string& path);
int freePort();

struct Request {
    std::string method;
    std::string path;
    std::map<std::string, std::string> query;
    std::map<std::string, std::string> headers; // names in lower case
    std::string body;
};

struct Response {
    int status { 200 };
    std::string body { "{}" };
    std::map<std::string, std::string> headers {};
    bool isDropped { false }; // the connection ends without an answer
};

// An HTTP/1.1 server with one thread a connection.
class Server {
public:
    using Handler = std::function<Response(const Request&)>;
    Server(Handler handler, int port = 0);
    ~Server() { close(); }
    int port() const { return m_port; }
    std::string address() const { return "127.0.0.1:" + std::to_string(m_port); }
    void close(); // ends the listener and all connections

private:
    void accept();
    void serve(int descriptor);
    Handler m_handler;
    int m_listener { -1 };
    int m_port { 0 };
    std::shared_ptr<std::atomic<bool>> m_isClosed { std::make_shared<std::atomic<bool>>(false) };
    std::mutex m_mutex;
    std::set<int> m_connections;
    std::thread m_thread;
};

// A call of a client. status 0: no complete answer in time.
struct Reply {
    int status { 0 };
    std::string body;
    std::map<std::string, std::string> headers;
};
Reply call(int port, const std::string& method, const std::string& path, const std::string& body,
    const std::map<std::string, std::string>& headers, Ms timeout);

// A connection of a client that stays open between requests.
class Connection {
public:
    explicit Connection(int port);
    ~Connection();
    bool send(const std::string& method, const std::string& path, const std::string& body,
        const std::map<std::string, std::string>& headers);
    Reply receive(Ms timeout);

private:
    int m_descriptor;
    bool m_isOpen;
    std::string m_buffer;
};

// The platform's store.
class Store {
public:
    enum class Mode { Ok, Busy, Silent };
    struct Item {
        std::string value; // base64
        std::int64_t revision { 0 };
        std::int64_t created { 0 };
        std::int64_t lease { 0 };
    };

    Store();
    Response handle(std::size_t caller, const Request&);
    void put(const std::string& key, const Json& value);
    void remove(const std::string& key);
    std::optional<Json> get(const std::string& key);
    std::vector<std::pair<std::string, std::string>> list(const std::string& prefix); // decoded values
    void setMode(Mode); // for all callers
    void setMode(std::size_t caller, Mode);
    void endLeases();
    std::int64_t tooLarge() const { return m_tooLarge; }

    int answerMs { 4 };
    std::size_t valueBytes { 1048576 };
    std::int64_t ttlMinMs { 1000 };
    // Called for each write that is carried out, with the caller, outside of the lock.
    std::function<void(std::size_t, const Json&)> onWrite;

private:
    struct Event {
        std::string key;
        std::int64_t revision;
        bool isDeleted;
        Item item;
    };
    struct Lease {
        std::int64_t ttl;
        std::int64_t deadline;
    };
    Mode mode(std::size_t caller);
    Response range(const Request&);
    Response watch(std::size_t caller, const Request&);
    Response txn(std::size_t caller, const Request&);
    void putLocked(const std::string& key, const std::string& value, std::int64_t lease);
    void removeLocked(const std::string& key);
    void expire();

    std::recursive_mutex m_mutex;
    std::condition_variable_any m_changed;
    std::map<std::string, Item> m_items;
    std::deque<Event> m_events;
    std::map<std::int64_t, Lease> m_leases;
    std::int64_t m_revision { 100 };
    std::int64_t m_nextLease { 7000 };
    std::map<std::size_t, Mode> m_modes;
    Mode m_mode { Mode::Ok };
    std::atomic<std::int64_t> m_tooLarge { 0 };
};

// One run of a task, as the judge sees it.
struct Run {
    std::string task;
    std::int64_t number { 0 };
    std::string worker;
    std::string spec;
    std::string checkpoint; // that the start carried
    std::int64_t fence { 0 };
    std::int64_t begin { 0 };
    std::int64_t end { 0 }; // 0: runs
    std::string how;
    std::int64_t acked { 0 }; // when the end was taken note of; 0: not
};

class World;

// One life of a worker.
class Worker {
public:
    Worker(World&, std::string id, std::string machine, std::string service, std::string zone, std::string rack);
    ~Worker() { leave(); }
    void leave(); // it ends, with all that runs on it
    void crash(); // the same, but its entry stays in the store
    Response receive(const Request&); // from the network
    Response handle(const Request&);
    void tick();
    std::int64_t clock() const { return nowMs() - m_bornMs + 1000; }
    void registerSelf();

    const std::string id;
    const std::string machine;
    const std::string service;
    const std::string zone;
    const std::string rack;
    std::atomic<bool> isCut { false }; // takes no connection and no request, and runs on

private:
    friend class World;
    struct Active {
        std::shared_ptr<Run> run;
        Json spec;
        int percent { 100 };
        std::int64_t readyAt { 0 };
        std::int64_t stopAt { 0 }; // 0: not asked to stop
        std::string saved;
    };
    struct End {
        std::int64_t number;
        std::shared_ptr<Run> run;
        std::string saved;
    };
    void end(const std::string& task, const std::string& how);
    void stop(bool isCrash);
    Response start(const Json&);
    Response hold(const Json&);

    World& m_world;
    std::recursive_mutex m_mutex;
    std::condition_variable_any m_changed;
    std::int64_t m_bornMs;
    std::int64_t m_bornUnix;
    std::int64_t m_fence { 0 };
    std::int64_t m_deadline { 0 };
    std::int64_t m_nextEnd { 1 };
    std::map<std::string, Active> m_running;
    std::map<std::string, std::int64_t> m_last; // highest run that was stopped or ended
    std::deque<End> m_ends;
    bool m_hasLeft { false };
    std::unique_ptr<Server> m_server;
};

struct Machine {
    std::string id;
    std::string pool;
    std::string zone;
    std::string rack;
    std::string state { "up" };
    std::int64_t fence { 0 };
    std::set<std::int64_t> waves; // whose upkeep was done
    std::shared_ptr<Worker> worker;
    std::int64_t backAt { 0 };
};

struct Upkeep {
    std::string machine;
    std::int64_t wave { 0 };
    std::string holder;
    std::int64_t fence { 0 };
    std::int64_t begin { 0 };
    std::int64_t end { 0 };
};

struct Node {
    std::string name;
    std::string zone;
    int front { 0 };
    int ready { 0 };
    int peer { 0 };
    int metrics { 0 };
    pid_t process { 0 };
    std::unique_ptr<Server> store; // the port at which this machine sees the store
    std::unique_ptr<Server> cloud;
    std::string settings;
    std::string log;
};

class World {
public:
    World(std::string program, std::string folder, std::string settings = "");
    ~World();

    void addMachine(const std::string& pool, const std::string& zone, const std::string& rack);
    void addNode(const std::string& zone);
    void startNode(std::size_t);
    void signalNode(std::size_t, int signal);
    void killNode(std::size_t);
    bool isAlive(std::size_t);

    // The node whose owner record lies in the store, or nothing.
    std::optional<std::size_t> coordinator();
    bool awaitCoordinator(Ms timeout);
    bool awaitReady(Ms timeout);

    Reply client(std::size_t node, const std::string& method, const std::string& path, const Json& body = nullptr,
        Ms timeout = Ms(3000));

    void setConfig(const Json&);
    Json config(); // queues qa and qb on services sa and sb, teams ta and tb, no limits

    std::vector<Run> runs(const std::string& job = "");
    std::vector<Upkeep> upkeeps();
    std::vector<std::shared_ptr<Worker>> workers(const std::string& pool = "");
    Response cloudCall(std::size_t node, const Request&);

    Store store;
    std::int64_t holdMaxMs { 6000 };
    std::int64_t stopMs { 900 };
    std::int64_t upkeepMs { 2000 };
    std::int64_t moveMs { 1500 };
    std::int64_t gangMs { 3000 };
    std::int64_t checkpointMs { 1000 };
    // Whether an order to a worker gets no answer and is carried out after this time, by the worker that has the id
    // then. 0: at once, with an answer.
    std::function<std::int64_t(const Worker&, const Request&)> orderDelay;
    // The worker of the machine crashes and starts again under its id.
    void restartWorker(std::size_t machine, std::int64_t downMs);
    // Whether a call for a machine gets no answer and is carried out after this time. 0: at once, with an answer.
    std::function<std::int64_t(const Json&, const std::string& holder)> cloudDelay;

    std::recursive_mutex mutex;
    std::vector<std::unique_ptr<Node>> nodes;
    std::vector<std::unique_ptr<Machine>> machines;
    std::vector<std::shared_ptr<Run>> allRuns;
    std::vector<std::shared_ptr<Worker>> formerWorkers;
    std::vector<Upkeep> allUpkeeps;

private:
    void tick();
    void spawnWorker(Machine&);
    Response applyOrder(const std::string& what, const Json& body, const std::string& holder, std::int64_t fence);
    std::string m_program;
    std::string m_folder;
    std::string m_settings;
    std::atomic<bool> m_isEnding { false };
    std::int64_t m_nextId { 1 };
    std::vector<std::thread> m_delayed;
    std::thread m_ticker;
};

std::string base64(const std::string&);
std::string unbase64(const std::string&);
std::string jobId(std::uint64_t number);

} // namespace standin
