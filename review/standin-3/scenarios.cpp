// The scripts of the third review: scenarios SCENARIO FOLDER [TROUBLE]. Exits with 1 if the rule was broken, 0 if it
// held, and 2 if the scenario could not run.
#include "standin.h"

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <random>

using namespace standin;

namespace {

// Bounds of the site fw-sched.
constexpr std::int64_t s_stableMs = 3000;
constexpr std::int64_t s_ackMs = 4000;
constexpr std::int64_t s_cancelMs = 3000;
constexpr std::int64_t s_stopMs = 900;

void sleepFor(std::int64_t ms) { std::this_thread::sleep_for(Ms(ms)); }

struct Failed : std::runtime_error {
    using std::runtime_error::runtime_error;
};

int verdict(const std::string& rule, const std::vector<std::string>& broken)
{
    for (const auto& line : broken) {
        note(rule + " is broken: " + line);
        std::cout << rule << " is broken: " << line << '\n';
    }
    if (broken.empty()) {
        note(rule + " held");
        std::cout << rule << " held\n";
    }
    return broken.empty() ? 0 : 1;
}

void begin(World& world)
{
    world.setConfig(world.config());
    for (std::size_t i = 0; i < world.nodes.size(); ++i)
        world.startNode(i);
    if (!world.awaitCoordinator(Ms(10000)) || !world.awaitReady(Ms(10000)))
        throw Failed("no coordinator was elected");
    sleepFor(3000);
    note("coordinator: " + world.nodes[world.coordinator().value_or(0)]->name);
}

Json job(const Json& spec, std::vector<Json> steps) { return { { "spec", spec.dump() }, { "steps", steps } }; }

bool submit(World& world, std::size_t node, const std::string& path, const Json& body)
{
    for (int i = 0; i < 10; ++i) {
        if (world.client(node, "POST", path, body).status == 200)
            return true;
        sleepFor(300);
    }
    return false;
}

std::size_t running(World& world, const std::string& id)
{
    const auto all = world.runs(id);
    return static_cast<std::size_t>(std::count_if(all.begin(), all.end(), [](const Run& run) { return !run.end; }));
}

bool awaitRunning(World& world, const std::string& id, std::size_t count, std::int64_t timeout)
{
    const auto until = nowMs() + timeout;
    while (nowMs() < until) {
        if (running(world, id) >= count)
            return true;
        sleepFor(20);
    }
    return false;
}

// The store answers with 503 for 3 to 6 s, and leases expire meanwhile. Then the client of each zone cancels its own
// job through the only daemon of its zone.
int deafEntry(World& world, bool hasTrouble)
{
    for (const char* zone : { "za", "zb", "zc" }) {
        world.addNode(zone);
        world.addMachine("sa", zone, std::string("r-") + zone);
    }
    begin(world);
    const Json step { { "count", 1 }, { "cpu", 1000 }, { "mem_mb", 100 }, { "est_ms", 700 }, { "long_running", true } };
    std::vector<std::string> ids;
    for (std::size_t i = 0; i < world.nodes.size(); ++i) {
        ids.push_back(jobId(i));
        if (!submit(world, i, "/qa/" + ids[i], job({ { "lasts", true } }, { step })))
            throw Failed("a job was not accepted");
    }
    for (const auto& id : ids) {
        if (!awaitRunning(world, id, 1, 5000))
            throw Failed("a job did not start");
    }
    const auto cancels = [&world, &ids](std::size_t i) {
        const auto status = world.client(i, "DELETE", "/qa/" + ids[i]).status;
        return (status >= 200 && status < 300) || status == 410;
    };
    std::mt19937 random(static_cast<unsigned>(unixMs()));
    for (int round = 0; hasTrouble && round < 9; ++round) {
        const auto length = std::uniform_int_distribution(3000, 6000)(random);
        note("the store is down for " + std::to_string(length) + " ms: 503, and leases expire");
        world.store.setMode(Store::Mode::Busy);
        sleepFor(length);
        world.store.setMode(Store::Mode::Ok);
        note("the store is back");
        sleepFor(s_stableMs + 200);
        note("coordinator: " + (world.coordinator() ? world.nodes[*world.coordinator()]->name : "none"));
        bool isServed = true;
        for (std::size_t i = 0; i < ids.size(); ++i)
            isServed &= world.client(i, "GET", "/qa/" + ids[i]).status == 200;
        if (!isServed)
            break;
    }
    std::vector<std::int64_t> sentAt(ids.size());
    std::vector<std::int64_t> ackedAt(ids.size());
    std::vector<std::thread> clients;
    for (std::size_t i = 0; i < ids.size(); ++i) {
        clients.emplace_back([&, i] {
            sentAt[i] = nowMs();
            while (!ackedAt[i] && nowMs() < sentAt[i] + 15000) {
                if (cancels(i))
                    ackedAt[i] = nowMs();
                else
                    sleepFor(500);
            }
        });
    }
    for (auto& client : clients)
        client.join();
    sleepFor(s_cancelMs + s_stopMs);
    std::vector<std::string> broken;
    for (std::size_t i = 0; i < ids.size(); ++i) {
        const auto noted = ackedAt[i] ? std::min(ackedAt[i], sentAt[i] + s_ackMs) : sentAt[i] + s_ackMs;
        for (const auto& run : world.runs(ids[i])) {
            if (run.end && run.end <= noted + s_cancelMs + s_stopMs)
                continue;
            const auto ready = call(world.nodes[i]->ready, "GET", "/-/ready", "", { { "host", "x" } }, Ms(1000));
            broken.push_back(run.task + " runs on at " + std::to_string(nowMs()) + " ms; its cancelling was sent at "
                + std::to_string(sentAt[i]) + " ms to " + world.nodes[i]->name
                + (ackedAt[i] ? ", acknowledged at " + std::to_string(ackedAt[i]) : ", never acknowledged in 15 s")
                + "; the daemon's ready address answers " + std::to_string(ready.status));
        }
    }
    return verdict("UNASKED", broken);
}

// A wave lists both machines of a pool, of five in all, one at once. A job that lasts has three tasks on each and may
// miss one. The other machines are in use as well.
int waveDeadlock(World& world, bool hasTrouble)
{
    for (const char* zone : { "za", "zb" })
        world.addNode(zone);
    for (const char* zone : { "za", "zb" })
        world.addMachine("sa", zone, std::string("r-") + zone);
    for (const char* zone : { "za", "zb", "za" })
        world.addMachine("sb", zone, std::string("r-") + zone);
    begin(world);
    const auto id = jobId(1);
    const int need = 8000;
    const auto step = [need](int tasks) {
        return Json { { "count", tasks }, { "cpu", need }, { "mem_mb", 1000 }, { "est_ms", 700 },
            { "long_running", true }, { "may_miss", 1 } };
    };
    if (!submit(world, 0, "/qb/" + jobId(2), job({ { "lasts", true } }, { step(9) }))
        || !awaitRunning(world, jobId(2), 9, 15000)
        || !submit(world, 0, "/qa/" + id, job({ { "lasts", true } }, { step(6) }))
        || !awaitRunning(world, id, 6, 15000))
        throw Failed("the jobs did not start");
    sleepFor(4000);
    for (const auto& run : world.runs(id))
        note(run.task + " runs on " + run.worker);
    const auto from = nowMs();
    if (hasTrouble) {
        auto machines = Json::array();
        for (const auto& worker : world.workers("sa"))
            machines.push_back(worker->machine);
        world.store.put(
            "op/wave/1", { { "wave", 1 }, { "machines", machines }, { "duration_s", 26 }, { "max_count", 1 } });
        note("wave 1 is requested: " + machines.dump() + ", at most 1 at once, 26 s");
    }
    // From 6 s after its last run a task that lasts must not wait for 3 s while there is room for it twice over.
    std::map<std::string, std::int64_t> idleWithRoomSince;
    std::set<std::string> reported;
    std::vector<std::string> broken;
    while (nowMs() < from + 40000) {
        std::map<std::string, std::int64_t> lastEnd;
        std::map<std::string, int> used;
        for (const auto& run : world.runs(id)) {
            auto& end = lastEnd[run.task];
            end = run.end ? (end < 0 ? end : std::max(end, run.end)) : -1;
            if (!run.end)
                used[run.worker] += need;
        }
        int room = 0;
        for (const auto& worker : world.workers("sa"))
            room += (32000 - used[worker->id]) / need;
        for (const auto& [task, end] : lastEnd) {
            auto& since = idleWithRoomSince[task];
            if (end < 0 || nowMs() < end + 6000 || room < 2) {
                since = 0;
                continue;
            }
            if (!since)
                since = nowMs();
            if (nowMs() >= since + 3000 && reported.insert(task).second)
                broken.push_back(task + " is to last and has not run since " + std::to_string(end) + " ms; now "
                    + std::to_string(nowMs()) + " ms, room for " + std::to_string(room) + " such tasks on "
                    + std::to_string(world.workers("sa").size()) + " workers that are up");
        }
        sleepFor(50);
    }
    const auto status = world.store.get("status/wave/1");
    note("status/wave/1: " + (status ? status->dump() : "none"));
    for (const auto& run : world.runs(id))
        note(run.task + " run " + std::to_string(run.number) + " on " + run.worker + ": " + std::to_string(run.begin)
            + " to " + (run.end ? std::to_string(run.end) + " " + run.how : "now"));
    return verdict("LOST", broken);
}

// A wave of three machines of seven, one at once. The first call gets no answer and is carried out 5 s later; the
// process that sent it is killed.
int lateUpkeep(World& world, bool hasTrouble)
{
    for (const char* zone : { "za", "zb", "zc" })
        world.addNode(zone);
    for (int i = 0; i < 7; ++i)
        world.addMachine("sa", i % 2 ? "za" : "zb", i % 2 ? "r-za" : "r-zb");
    begin(world);
    std::atomic<bool> isLate { false };
    world.cloudDelay = [&](const Json& body, const std::string&) -> std::int64_t {
        return hasTrouble && body.contains("wave") && !isLate.exchange(true) ? 5000 : 0;
    };
    const Json step { { "count", 3 }, { "cpu", 6000 }, { "mem_mb", 10 }, { "est_ms", 800 } };
    std::uint64_t next = 1;
    const auto handIn = [&](std::size_t node) {
        world.client(node, "POST", "/qa/" + jobId(next++), job({ { "work", 800 } }, { step }));
    };
    for (int i = 0; i < 4; ++i) {
        handIn(0);
        sleepFor(900);
    }
    const auto leader = world.coordinator();
    const auto inUse = world.workers("sa");
    if (!leader || inUse.empty())
        throw Failed("no coordinator, or no machine in use");
    auto listed = Json::array({ inUse.front()->machine });
    for (const auto& worker : world.workers("spare")) {
        if (listed.size() < 3)
            listed.push_back(worker->machine);
    }
    for (int i = 0; i < 200; ++i) {
        const auto all = world.runs();
        if (std::all_of(all.begin(), all.end(), [](const Run& run) { return run.end; }))
            break;
        sleepFor(10);
    }
    sleepFor(50);
    world.store.put("op/wave/1", { { "wave", 1 }, { "machines", listed }, { "duration_s", 26 }, { "max_count", 1 } });
    note("wave 1 is requested: " + listed.dump() + ", at most 1 at once, 26 s");
    if (hasTrouble) {
        for (int i = 0; i < 300 && !isLate; ++i)
            sleepFor(10);
        sleepFor(100);
        world.killNode(*leader);
    }
    const auto from = nowMs();
    while (nowMs() < from + 20000) {
        handIn(*leader == 0 ? 1 : 0);
        sleepFor(700);
    }
    std::vector<std::string> broken;
    const auto all = world.upkeeps();
    for (const auto& each : all) {
        for (const auto& other : all) {
            if (&other != &each && other.wave == each.wave && other.begin <= each.begin && each.begin < other.end
                && other.machine != each.machine)
                broken.push_back("the upkeep of " + each.machine + ", ordered by " + each.holder + " with fence "
                    + std::to_string(each.fence) + ", begins at " + std::to_string(each.begin) + " ms while "
                    + other.machine + " is down from " + std::to_string(other.begin) + " to "
                    + std::to_string(other.end) + " ms, ordered by " + other.holder + " with fence "
                    + std::to_string(other.fence) + "; at most 1 at once");
        }
    }
    return verdict("LIMIT", broken);
}

// Two workers of twelve are cut off and the coordinator is killed, while a tenant uses its whole limit.
int quotaTakeover(World& world, bool hasTrouble)
{
    for (const char* zone : { "za", "zb", "zc" })
        world.addNode(zone);
    for (int i = 0; i < 12; ++i)
        world.addMachine("sa", i % 2 ? "za" : "zb", i % 2 ? "r-za" : "r-zb");
    auto config = world.config();
    constexpr int limit = 240000;
    constexpr int need = 2000;
    config["tenants"][0]["max_count"]["cpu"] = limit;
    world.setConfig(config);
    for (std::size_t i = 0; i < world.nodes.size(); ++i)
        world.startNode(i);
    if (!world.awaitCoordinator(Ms(10000)) || !world.awaitReady(Ms(10000)))
        throw Failed("no coordinator was elected");
    sleepFor(2000);
    std::uint64_t next = 1;
    const auto handIn = [&](std::size_t node, int count) {
        const Json step { { "count", count }, { "cpu", need }, { "mem_mb", 10 }, { "est_ms", 60000 } };
        return world.client(node, "POST", "/qa/" + jobId(next++), job({ { "work", 60000 } }, { step })).status;
    };
    for (int i = 0; i < 14; ++i)
        handIn(0, 10);
    sleepFor(7000);
    const auto leader = world.coordinator();
    if (!leader)
        throw Failed("no coordinator");
    std::map<std::string, int> running;
    for (const auto& run : world.runs())
        running[run.worker] += !run.end;
    auto workers = world.workers("sa");
    std::sort(workers.begin(), workers.end(),
        [&](const auto& left, const auto& right) { return running[left->id] > running[right->id]; });
    workers.resize(std::min<std::size_t>(workers.size(), 2));
    if (hasTrouble) {
        for (const auto& worker : workers) {
            worker->isCut = true;
            note("worker " + worker->id + " is cut off and runs on, with " + std::to_string(running[worker->id])
                + " tasks");
        }
        world.killNode(*leader);
    }
    const auto from = nowMs();
    while (nowMs() < from + 5500) {
        handIn(*leader == 0 ? 1 : 0, 10);
        sleepFor(150);
    }
    for (const auto& worker : workers)
        worker->isCut = false;
    sleepFor(1000);
    std::vector<std::string> broken;
    const auto all = world.runs();
    for (const auto& run : all) {
        int used = 0;
        for (const auto& each : all)
            used += each.begin <= run.begin && (!each.end || each.end > run.begin) ? need : 0;
        if (used > limit * 1.1 + need)
            broken.push_back("the start of " + run.task + " at " + std::to_string(run.begin)
                + " ms brings the tenant to " + std::to_string(used) + " of " + std::to_string(limit));
    }
    return verdict("QUOTA", broken);
}

// Clients keep their connections open and hand in one job after the other, while their daemon gets SIGTERM.
int termUnderLoad(World& world, bool hasTrouble)
{
    for (const char* zone : { "za", "zb" }) {
        world.addNode(zone);
        world.addMachine("sa", zone, std::string("r-") + zone);
    }
    begin(world);
    const Json step { { "count", 1 }, { "cpu", 100 }, { "mem_mb", 10 }, { "est_ms", 200 } };
    const auto body = job({ { "work", 200 } }, { step }).dump();
    std::atomic<std::uint64_t> next { 1 };
    std::mutex mutex;
    std::vector<std::string> broken;
    int cut = 0;
    for (int round = 0; round < 6; ++round) {
        const std::size_t node = world.coordinator() == std::optional<std::size_t>(0) ? 1 : 0;
        std::atomic<bool> isOver { false };
        std::vector<std::thread> clients;
        for (int i = 0; i < 16; ++i) {
            clients.emplace_back([&, node] {
                Connection connection(world.nodes[node]->front);
                while (!isOver) {
                    const auto id = jobId(next++);
                    const auto sent = connection.send("POST", "/qa/" + id, body,
                        { { "host", "jobs.example" }, { "credential", "key-a" }, { "deadline-ms", "3000" } });
                    const auto sentAt = nowMs();
                    if (!sent)
                        return;
                    const auto reply = connection.receive(Ms(3000));
                    if (reply.status) {
                        sleepFor(20);
                        continue;
                    }
                    const auto endedAt = nowMs();
                    const auto runs = world.runs(id);
                    const std::lock_guard lock(mutex);
                    ++cut;
                    note("no answer for " + id + ", sent at " + std::to_string(sentAt) + " ms, ended at "
                        + std::to_string(endedAt) + " ms, " + std::to_string(runs.size()) + " runs");
                    if ((!runs.empty() && runs[0].begin <= endedAt) || endedAt > sentAt + 200)
                        broken.push_back("job " + id + " was read whole at " + std::to_string(sentAt)
                            + " ms and its connection ends at " + std::to_string(endedAt) + " ms without an answer; "
                            + (runs.empty() ? "not started"
                                            : "its task was started at " + std::to_string(runs[0].begin) + " ms"));
                    return;
                }
            });
        }
        sleepFor(1500);
        if (hasTrouble)
            world.signalNode(node, SIGTERM);
        for (int i = 0; i < 80 && world.isAlive(node); ++i)
            sleepFor(100);
        isOver = true;
        for (auto& client : clients)
            client.join();
        if (!world.isAlive(node))
            world.startNode(node);
        sleepFor(2500);
    }
    note(std::to_string(cut) + " requests without an answer");
    return verdict("LOST", broken);
}

// Two looks at a worker get no answer and are carried out late. Between them the worker crashes and starts again under
// its id.
int lateAcknowledgement(World& world, bool hasTrouble)
{
    for (const char* zone : { "za", "zb" })
        world.addNode(zone);
    for (int i = 0; i < 7; ++i)
        world.addMachine("sa", i % 2 ? "za" : "zb", i % 2 ? "r-za" : "r-zb");
    std::mutex mutex;
    std::string victim;
    std::deque<std::pair<std::int64_t, std::int64_t>> delays; // from which time on, and by how much
    world.orderDelay = [&](const Worker& worker, const Request& request) -> std::int64_t {
        const std::lock_guard lock(mutex);
        if (worker.id != victim || request.path != "/-/hold" || delays.empty() || nowMs() < delays.front().first)
            return 0;
        const auto delay = delays.front().second;
        delays.pop_front();
        return delay;
    };
    begin(world);
    std::atomic<bool> isOver { false };
    std::thread client([&] {
        // Work for all seven machines.
        std::uint64_t next = 1;
        const Json step { { "count", 10 }, { "cpu", 2500 }, { "mem_mb", 10 }, { "est_ms", 700 } };
        while (!isOver) {
            world.client(0, "POST", "/qa/" + jobId(next++), job({ { "work", 700 } }, { step }));
            sleepFor(60);
        }
    });
    sleepFor(9000);
    std::size_t index = 0;
    if (hasTrouble) {
        {
            const std::lock_guard lock(world.mutex);
            for (std::size_t i = 0; i < world.machines.size(); ++i) {
                if (world.machines[i]->pool == "sa" && world.machines[i]->worker)
                    index = i;
            }
            const std::lock_guard own(mutex);
            victim = world.machines[index]->worker->id;
            delays = { { nowMs(), 4200 } };
        }
        for (int i = 0; i < 200; ++i) {
            sleepFor(10);
            const std::lock_guard lock(mutex);
            if (delays.empty())
                break;
        }
        const auto lateAt = nowMs() + 4200;
        sleepFor(50);
        world.restartWorker(index, 1000);
        const std::lock_guard lock(mutex);
        delays = { { lateAt - 1100, 6000 } };
    }
    sleepFor(4000);
    isOver = true;
    client.join();
    sleepFor(12000); // all that was accepted ends
    std::vector<std::string> broken;
    const auto all = world.runs();
    for (const auto& run : all) {
        for (const auto& other : all) {
            if (other.task != run.task || other.how != "done" || !other.acked || run.begin <= other.end)
                continue;
            broken.push_back(run.task + ": run " + std::to_string(other.number) + " ended done on " + other.worker
                + " at " + std::to_string(other.end) + " ms, taken note of at " + std::to_string(other.acked)
                + " ms; run " + std::to_string(run.number) + " starts on " + run.worker + " at "
                + std::to_string(run.begin) + " ms");
        }
    }
    return verdict("TWICE", broken);
}

} // namespace

int main(int argc, char** argv)
{
    if (argc < 3) {
        std::cerr << "usage: scenarios SCENARIO FOLDER\n";
        return 2;
    }
    std::signal(SIGPIPE, SIG_IGN);
    const std::string name = argv[1];
    const std::string folder = argv[2];
    const char* trouble = std::getenv("TROUBLE");
    const bool hasTrouble = !trouble || std::string(trouble) != "0";
    const char* record = std::getenv("RECORD");
    openRecord(record ? record : folder + "/record.txt");
    const std::map<std::string, int (*)(World&, bool)> scenarios {
        { "deaf-entry", deafEntry },
        { "wave-deadlock", waveDeadlock },
        { "late-acknowledgement", lateAcknowledgement },
        { "term-under-load", termUnderLoad },
        { "late-upkeep", lateUpkeep },
        { "quota-takeover", quotaTakeover },
    };
    const auto found = scenarios.find(name);
    if (found == scenarios.end())
        return 2;
    int result = 2;
    auto& world = *new World("target/platform/marigold-node", folder); // never deleted, as its threads refer to it
    try {
        result = found->second(world, hasTrouble);
    } catch (const std::exception& error) {
        note(std::string("could not run: ") + error.what());
        std::cerr << "could not run: " << error.what() << '\n';
    }
    for (std::size_t i = 0; i < world.nodes.size(); ++i)
        world.killNode(i);
    std::cout.flush();
    std::_Exit(result);
}
