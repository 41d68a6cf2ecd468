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

// A wave lists both machines of the only pool, one at once. A job that lasts has three tasks on each and may miss one.
int waveDeadlock(World& world, bool hasTrouble)
{
    for (const char* zone : { "za", "zb" }) {
        world.addNode(zone);
        world.addMachine("sa", zone, std::string("r-") + zone);
    }
    begin(world);
    const auto id = jobId(1);
    constexpr int need = 8000;
    const Json step { { "count", 6 }, { "cpu", need }, { "mem_mb", 1000 }, { "est_ms", 700 }, { "long_running", true },
        { "may_miss", 1 } };
    if (!submit(world, 0, "/qa/" + id, job({ { "lasts", true } }, { step })) || !awaitRunning(world, id, 6, 15000))
        throw Failed("the job did not start");
    sleepFor(4000);
    for (const auto& run : world.runs(id))
        note(run.task + " runs on " + run.worker);
    const auto from = nowMs();
    if (hasTrouble) {
        world.store.put(
            "op/wave/1", { { "wave", 1 }, { "machines", { "m-1", "m-2" } }, { "duration_s", 26 }, { "max_count", 1 } });
        note("wave 1 is requested: m-1, m-2, at most 1 at once, 26 s");
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

// One client hands in a small job whose steps run many times, all due at once.
int manyTimes(World& world, bool hasTrouble)
{
    for (const char* zone : { "za", "zb", "zc" }) {
        world.addNode(zone);
        world.addMachine("sa", zone, std::string("r-") + zone);
    }
    begin(world);
    const Json step { { "count", 1 }, { "cpu", 1000 }, { "mem_mb", 100 }, { "est_ms", 300 } };
    std::vector<std::string> accepted;
    std::uint64_t next = 1;
    const auto handIn = [&](std::size_t node) {
        const auto id = jobId(next++);
        if (world.client(node, "POST", "/qa/" + id, job({ { "work", 300 } }, { step })).status == 200)
            accepted.push_back(id);
    };
    for (std::size_t i = 0; i < 9; ++i)
        handIn(i % 3);
    const auto before = accepted.size();
    auto many = job({ { "work", 100 } }, { { { "count", 1 }, { "cpu", 100 }, { "mem_mb", 10 }, { "est_ms", 100 } } });
    const int times = hasTrouble ? 40000 : 20;
    many["times"] = times;
    many["start_ms"] = unixMs() - times * std::int64_t { 1000 };
    many["interval_ms"] = 1000;
    const auto reply = world.client(0, "POST", "/qa/" + jobId(999), many);
    const auto from = nowMs();
    int answered = 0;
    int asked = 0;
    while (nowMs() < from + 60000) {
        for (std::size_t i = 0; i < 3; ++i) {
            ++asked;
            answered += world.client(i, "GET", "/qa/" + accepted.at(i), nullptr, Ms(3000)).status == 200;
        }
        sleepFor(1000);
    }
    // All jobs that were accepted before are asked for in 14 s, each through the daemon that took it.
    std::vector<std::string> broken;
    const auto asking = nowMs();
    std::mutex mutex;
    std::set<std::string> unknown(accepted.begin(), accepted.end());
    std::vector<std::thread> clients;
    for (std::size_t i = 0; i < accepted.size(); ++i) {
        clients.emplace_back([&, i] {
            while (nowMs() < asking + 14000) {
                if (world.client(i % 3, "GET", "/qa/" + accepted[i], nullptr, Ms(3000)).status == 200) {
                    const std::lock_guard lock(mutex);
                    unknown.erase(accepted[i]);
                    return;
                }
                sleepFor(300);
            }
        });
    }
    for (auto& client : clients)
        client.join();
    note(std::to_string(before) + " jobs accepted before, the large one got " + std::to_string(reply.status) + ", "
        + std::to_string(answered) + " of " + std::to_string(asked) + " looks answered in 60 s, "
        + std::to_string(unknown.size()) + " jobs without an answer at the end");
    for (const auto& id : unknown)
        broken.push_back("job " + id + " was accepted and gets no answer in 14 s");
    return verdict("LOST", broken);
}

// One client hands in a job of many small tasks. Meanwhile another one hands in ordinary jobs.
int manyTasks(World& world, bool hasTrouble)
{
    for (const char* zone : { "za", "zb", "zc" }) {
        world.addNode(zone);
        world.addMachine("sa", zone, std::string("r-") + zone);
    }
    begin(world);
    const int tasks = hasTrouble ? 60000 : 2000;
    const Json step { { "count", tasks }, { "cpu", 200 }, { "mem_mb", 10 }, { "est_ms", 100 } };
    const Json small { { "count", 1 }, { "cpu", 100 }, { "mem_mb", 10 }, { "est_ms", 100 } };
    const auto large = jobId(999);
    if (!submit(world, 0, "/qa/" + large, job({ { "work", 50 } }, { step })))
        throw Failed("the large job was not accepted");
    const auto from = nowMs();
    std::uint64_t next = 1;
    int accepted = 0;
    std::int64_t idleSince = 0;
    std::int64_t nextSubmission = 0;
    std::vector<std::string> broken;
    while (nowMs() < from + 90000) {
        std::size_t done = 0;
        std::size_t active = 0;
        for (const auto& run : world.runs(large)) {
            done += run.how == "done";
            active += !run.end;
        }
        if (done >= static_cast<std::size_t>(tasks))
            break;
        // All workers are up and empty, so there is room for any task.
        if (active)
            idleSince = 0;
        else if (!idleSince)
            idleSince = nowMs();
        if (broken.empty() && idleSince && nowMs() >= idleSince + 3000)
            broken.push_back("job " + large + " has nothing running since " + std::to_string(idleSince) + " ms, "
                + std::to_string(static_cast<std::size_t>(tasks) - done)
                + " of its tasks have not ended, and the workers are empty");
        if (nowMs() >= nextSubmission) {
            nextSubmission = nowMs() + 1000;
            const auto id = jobId(next++);
            accepted += world.client(next % 3, "POST", "/qb/" + id, job({ { "work", 100 } }, { small })).status == 200;
            note(std::to_string(done) + " tasks of the large job are done, " + std::to_string(active) + " run; "
                + std::to_string(accepted) + " of " + std::to_string(next - 1) + " ordinary submissions accepted; "
                + std::to_string(world.store.tooLarge()) + " writes refused as too large");
        }
        if (!broken.empty() && nowMs() > idleSince + 30000)
            break;
        sleepFor(100);
    }
    world.client(1, "GET", "/qa/" + large);
    return verdict("LOST", broken);
}

// A gang of three that saves checkpoints. In its first run one member fails by its own fault.
int gangCheckpoint(World& world, bool hasTrouble)
{
    for (const char* zone : { "za", "zb" }) {
        world.addNode(zone);
        world.addMachine("sa", zone, std::string("r-") + zone);
    }
    begin(world);
    const auto id = jobId(1);
    Json spec { { "gang", 3 }, { "saves", true }, { "work", 6000 } };
    if (hasTrouble)
        spec.update({ { "fail_index", 0 }, { "fail_run", 1 }, { "fail_after", 3500 } });
    const Json step { { "count", 3 }, { "cpu", 4000 }, { "mem_mb", 100 }, { "est_ms", 6000 }, { "gang", true },
        { "checkpoint", true } };
    if (!submit(world, 0, "/qa/" + id, job(spec, { step })) || !awaitRunning(world, id, 3, 10000))
        throw Failed("the gang did not start");
    const auto from = nowMs();
    std::string state;
    while (nowMs() < from + 45000 && state != "complete" && state != "failed") {
        sleepFor(1000);
        const auto body = Json::parse(world.client(1, "GET", "/qa/" + id).body, nullptr, false);
        state = body.is_object() ? body.value("state", std::string()) : "";
    }
    std::map<std::int64_t, std::set<std::string>> carried;
    std::vector<std::string> broken;
    for (const auto& run : world.runs(id)) {
        carried[run.number].insert(run.checkpoint);
        if (run.how == "alone")
            broken.push_back(run.task + " run " + std::to_string(run.number) + " from '" + run.checkpoint + "' on "
                + run.worker + " ended alone at " + std::to_string(run.end) + " ms");
    }
    for (const auto& [number, values] : carried) {
        std::string text;
        for (const auto& value : values)
            text += " '" + value + "'";
        note("run " + std::to_string(number) + " carried the checkpoints" + text);
    }
    note("state of the job at the end: " + state);
    return verdict("GANG", broken);
}

// A wave of three machines, one at once. The first call gets no answer and is carried out 5 s later; the process that
// sent it is killed.
int lateUpkeep(World& world, bool hasTrouble)
{
    for (const char* zone : { "za", "zb", "zc" })
        world.addNode(zone);
    world.addMachine("sa", "za", "r-za");
    world.addMachine("sa", "zb", "r-zb");
    world.addMachine("sa", "zc", "r-zc");
    begin(world);
    std::atomic<bool> isLate { false };
    world.cloudDelay = [&](const Json& body, const std::string&) -> std::int64_t {
        return hasTrouble && body.contains("wave") && !isLate.exchange(true) ? 5000 : 0;
    };
    const auto leader = world.coordinator();
    if (!leader)
        throw Failed("no coordinator");
    world.store.put("op/wave/1",
        { { "wave", 1 }, { "machines", { "m-1", "m-2", "m-3" } }, { "duration_s", 26 }, { "max_count", 1 } });
    note("wave 1 is requested: m-1, m-2, m-3, at most 1 at once, 26 s");
    if (hasTrouble) {
        for (int i = 0; i < 300 && !isLate; ++i)
            sleepFor(10);
        sleepFor(100);
        world.killNode(*leader);
    }
    const auto from = nowMs();
    const Json step { { "count", 6 }, { "cpu", 9000 }, { "mem_mb", 10 }, { "est_ms", 800 } };
    std::uint64_t next = 1;
    while (nowMs() < from + 20000) {
        world.client(leader == 0 ? 1 : 0, "POST", "/qa/" + jobId(next++), job({ { "work", 800 } }, { step }));
        sleepFor(600);
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

// Workers are cut off and the coordinator is killed, while a tenant uses its whole limit on these and other workers.
int quotaTakeover(World& world, bool hasTrouble)
{
    for (const char* zone : { "za", "zb", "zc" })
        world.addNode(zone);
    for (const char* zone : { "za", "zb" })
        world.addMachine("sa", zone, std::string("r-") + zone);
    for (const char* zone : { "zc", "zb" })
        world.addMachine("sb", zone, std::string("r-") + zone);
    auto config = world.config();
    constexpr int limit = 40000;
    constexpr int need = 2000;
    config["tenants"][0]["max_count"]["cpu"] = limit;
    world.setConfig(config);
    for (std::size_t i = 0; i < world.nodes.size(); ++i)
        world.startNode(i);
    if (!world.awaitCoordinator(Ms(10000)) || !world.awaitReady(Ms(10000)))
        throw Failed("no coordinator was elected");
    sleepFor(2000);
    // Each queue has work for the whole limit.
    std::uint64_t next = 1;
    const auto handIn = [&](std::size_t node, const char* queue, int count, int work) {
        const Json step { { "count", count }, { "cpu", need }, { "mem_mb", 10 }, { "est_ms", work } };
        return world.client(node, "POST", queue + jobId(next++), job({ { "work", work } }, { step })).status;
    };
    for (int i = 0; i < 2; ++i)
        handIn(0, "/qa/", 6, 60000);
    sleepFor(1500);
    for (int i = 0; i < 4; ++i)
        handIn(1, "/qb/", 4, 60000);
    sleepFor(5000);
    const auto leader = world.coordinator();
    if (!leader)
        throw Failed("no coordinator");
    const std::size_t other = *leader == 0 ? 1 : 0;
    if (hasTrouble) {
        for (const auto& worker : world.workers("sa")) {
            worker->isCut = true;
            note("worker " + worker->id + " is cut off and runs on");
        }
        world.killNode(*leader);
    }
    const auto from = nowMs();
    while (nowMs() < from + 6000) {
        handIn(other, "/qb/", 4, 60000);
        sleepFor(150);
    }
    for (const auto& worker : world.workers("sa"))
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
        { "many-times", manyTimes },
        { "many-tasks", manyTasks },
        { "term-under-load", termUnderLoad },
        { "gang-checkpoint", gangCheckpoint },
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
