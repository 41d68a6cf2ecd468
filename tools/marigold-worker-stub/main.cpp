// Worker stub for tests and the demo: runs tasks under leases and records which tasks ran.
//
// One process can emulate several workers, each on its own port. The body of a task may be a JSON object with its run
// time in "work_ms". POST /fault?mode=ok|fail|drop-start|drop-answer|drop-stop sets the injected fault of a worker:
// drop-start drops the request, drop-answer drops the response after the task ran, drop-stop drops orders to stop.
#include "marigoldlink/Protocol/RecordCodec.h"
#include "marigoldlink/Support/Log.h"
#include "marigoldlink/Transport/HttpClient.h"
#include "marigoldlink/Transport/HttpServer.h"

#include <boost/program_options.hpp>
#include <iostream>
#include <list>
#include <nlohmann/json.hpp>

using namespace marigoldlink;
using Json = nlohmann::json;

namespace {

constexpr Log s_log("worker-stub");
constexpr Duration s_registerPeriod { 500 };
constexpr std::size_t s_recordCapacity = 400000;

enum class TaskState { Running, Finished, Failed, Stopped, NeverStarted };

struct Task {
    std::string id;
    std::string lease;
    std::string team;
    std::string body;
    TaskState state { TaskState::Running };
    HttpResponderPtr responder;
    TimePoint startedAt;
    // Readings of one clock that all processes of the machine share, in nanoseconds. A task that still runs or never
    // started has the end 0.
    std::int64_t startedNs { 0 };
    std::int64_t endedNs { 0 };
};

std::int64_t sharedClockNs()
{
    timespec time {};
    ::clock_gettime(CLOCK_BOOTTIME, &time);
    return std::chrono::nanoseconds(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec)).count();
}

struct Lease {
    std::uint64_t holder { 0 };
    Duration ttl { 0 };
    TimePoint deadline;
};

class WorkerStub {
public:
    WorkerStub(EventLoop& loop, ListedInstance info)
        : m_loop(loop)
        , m_info(std::move(info))
        , m_boot(std::to_string(std::chrono::system_clock::now().time_since_epoch().count()))
        , m_server(loop, { std::size_t { 8 } * 1024 * 1024, Duration(10000) },
              [this](const HttpRequest& request, HttpResponderPtr responder) { handle(request, std::move(responder)); })
    {
        m_loop.every(Duration(50), [this] { expireLeases(); });
    }

    void listen()
    {
        m_info.endpoint = m_server.listen(m_info.endpoint);
        std::cout << "worker " << m_info.id << ' ' << m_info.endpoint.text() << std::endl;
    }

    const ListedInstance& info() const { return m_info; }

private:
    void handle(const HttpRequest& request, HttpResponderPtr responder)
    {
        const std::string path(request.path);
        if (path == "/lease")
            openLease(request, *responder);
        else if (path.starts_with("/lease/") && path.ends_with("/renew"))
            renewLease(path.substr(7, path.size() - 13), request, *responder);
        else if (path.starts_with("/holder/"))
            answerHolder(std::stoull("0" + path.substr(8)), *responder);
        else if (path.starts_with("/task/") && path.ends_with("/stop"))
            stopTask(path.substr(6, path.size() - 11), false, responder);
        else if (path.starts_with("/task/") && path.ends_with("/checkpoint"))
            stopTask(path.substr(6, path.size() - 17), true, responder);
        else if (path.starts_with("/task/"))
            startTask(path.substr(6), request, std::move(responder));
        else
            control(request, *responder);
    }

    void answer(HttpResponder& responder, int status, const Json& body)
    {
        responder.send({ status, body.dump(), "application/json", {} });
    }

    void answerLease(HttpResponder& responder, const std::string& id)
    {
        answer(responder, 200, { { "lease", id }, { "slots", m_info.slots }, { "running", m_running } });
    }

    void openLease(const HttpRequest& request, HttpResponder& responder)
    {
        Lease lease;
        lease.holder = std::stoull("0" + request.parameter("holder"));
        lease.ttl = Duration(std::stoll("0" + request.parameter("ttl")));
        lease.deadline = m_loop.now() + lease.ttl;
        const auto id = m_boot + "-" + std::to_string(++m_nextLease);
        m_leases[id] = lease;
        answerLease(responder, id);
    }

    void renewLease(const std::string& id, const HttpRequest& request, HttpResponder& responder)
    {
        expireLeases();
        const auto found = m_leases.find(id);
        if (found == m_leases.end()) {
            answer(responder, 410, { { "error", "lease lapsed" } });
            return;
        }
        found->second.ttl = Duration(std::stoll("0" + request.parameter("ttl")));
        found->second.deadline = m_loop.now() + found->second.ttl;
        answerLease(responder, id);
    }

    // Stops the tasks of each expired lease. An expired lease is removed and cannot be renewed.
    void expireLeases()
    {
        const auto now = m_loop.now();
        for (auto it = m_leases.begin(); it != m_leases.end();) {
            if (it->second.deadline > now) {
                ++it;
                continue;
            }
            for (auto& [id, task] : m_tasks) {
                if (task.state == TaskState::Running && task.lease == it->first)
                    finish(task, TaskState::Stopped, 503, "{}");
            }
            it = m_leases.erase(it);
        }
    }

    void answerHolder(std::uint64_t holder, HttpResponder& responder)
    {
        expireLeases();
        std::int64_t count = 0;
        for (const auto& [id, lease] : m_leases)
            count += lease.holder == holder;
        answer(responder, 200, { { "leases", count }, { "running", m_running } });
    }

    void startTask(const std::string& id, const HttpRequest& request, HttpResponderPtr responder)
    {
        if (m_fault == "drop-start") {
            m_heldResponders.push_back(responder);
            return;
        }
        expireLeases();
        if (m_tasks.contains(id)) {
            answer(*responder, 409, { { "error", "task id was seen before" } });
            return;
        }
        const auto lease = request.parameter("lease");
        if (!m_leases.contains(lease)) {
            answer(*responder, 410, { { "error", "lease lapsed" } });
            return;
        }
        if (m_running >= m_info.slots) {
            ++m_refusedFull;
            answer(*responder, 429, { { "error", "no free slot" } });
            return;
        }
        run(id, lease, request, std::move(responder));
    }

    void run(const std::string& id, const std::string& lease, const HttpRequest& request, HttpResponderPtr responder)
    {
        auto& task = m_tasks[id];
        task = { id, lease, request.parameter("team"), std::string(request.body), TaskState::Running,
            std::move(responder), m_loop.now(), sharedClockNs() };
        ++m_running;
        ++m_runningByTeam[task.team];
        Duration work { 1 };
        const auto json = Json::parse(request.body, nullptr, false);
        if (json.is_object())
            work = Duration(json.value("work_ms", 1));
        if (request.native && !request.header("x-checkpoint").empty())
            work = std::max(Duration(0), work - Duration(std::stoll(std::string(request.header("x-checkpoint")))));
        if (work.count() == 0)
            complete(id);
        else
            m_loop.after(work, [this, id] { complete(id); });
        evictOldRecords(id);
    }

    void complete(const std::string& id)
    {
        const auto found = m_tasks.find(id);
        if (found == m_tasks.end() || found->second.state != TaskState::Running)
            return;
        auto& task = found->second;
        if (m_fault == "fail") {
            finish(task, TaskState::Failed, 500, R"({"error":"task failed"})");
            return;
        }
        const Json body { { "task", id }, { "worker", m_info.id.value() }, { "team", task.team },
            { "echo", task.body } };
        finish(task, TaskState::Finished, 200, body.dump());
    }

    void finish(Task& task, TaskState state, int status, std::string body)
    {
        task.state = state;
        task.endedNs = sharedClockNs();
        --m_running;
        --m_runningByTeam[task.team];
        auto responder = std::exchange(task.responder, nullptr);
        if (m_fault == "drop-answer")
            m_heldResponders.push_back(responder);
        else
            responder->send({ status, std::move(body), "application/json", {} });
    }

    void stopTask(const std::string& id, bool isCheckpoint, const HttpResponderPtr& responder)
    {
        if (m_fault == "drop-stop") {
            m_heldResponders.push_back(responder);
            return;
        }
        auto [it, isNew] = m_tasks.try_emplace(id);
        auto& task = it->second;
        if (isNew) {
            task.id = id;
            task.state = TaskState::NeverStarted;
        }
        if (task.state == TaskState::Running) {
            const auto ranFor = std::to_string((m_loop.now() - task.startedAt).count());
            finish(task, TaskState::Stopped, isCheckpoint ? 202 : 503, isCheckpoint ? ranFor : "{}");
        }
        static const std::map<TaskState, const char*> names { { TaskState::Finished, "finished" },
            { TaskState::Failed, "finished" }, { TaskState::Stopped, "stopped" },
            { TaskState::NeverStarted, "never" } };
        answer(*responder, 200, { { "state", names.at(task.state) } });
    }

    void evictOldRecords(const std::string& id)
    {
        m_order.push_back(id);
        if (m_order.size() <= s_recordCapacity)
            return;
        m_tasks.erase(m_order.front());
        m_order.pop_front();
    }

    void control(const HttpRequest& request, HttpResponder& responder)
    {
        if (request.path == "/fault") {
            m_fault = request.parameter("mode");
            if (m_fault == "ok")
                m_heldResponders.clear();
        } else if (request.path == "/leave") {
            m_info.isLeaving = true;
        } else if (request.path == "/reboot") {
            reboot();
        }
        Json body { { "slots", m_info.slots }, { "running", m_running }, { "teams", m_runningByTeam },
            { "refused_full", m_refusedFull }, { "started", m_order.size() }, { "reboots", m_reboots } };
        if (request.path == "/record") {
            auto ran = Json::array();
            for (const auto& id : m_order) {
                const auto& task = m_tasks[id];
                ran.push_back({ { "task", id }, { "team", task.team }, { "body", task.body },
                    { "state", static_cast<int>(task.state) }, { "started_ns", task.startedNs },
                    { "ended_ns", task.endedNs } });
            }
            body["ran"] = ran;
        }
        answer(responder, 200, body);
    }

    // Stops all tasks and drops all leases. The stub is healthy again immediately.
    void reboot()
    {
        for (auto& [id, task] : m_tasks) {
            if (task.state == TaskState::Running)
                finish(task, TaskState::Stopped, 503, "{}");
        }
        m_leases.clear();
        ++m_reboots;
    }

    EventLoop& m_loop;
    ListedInstance m_info;
    std::string m_boot;
    HttpServer m_server;
    std::map<std::string, Lease> m_leases;
    std::map<std::string, Task> m_tasks;
    std::list<std::string> m_order;
    std::vector<HttpResponderPtr> m_heldResponders;
    std::map<std::string, Slots> m_runningByTeam;
    std::string m_fault { "ok" };
    // Invariant: equals the number of tasks in state Running and never exceeds the slots.
    Slots m_running { 0 };
    std::uint64_t m_refusedFull { 0 };
    std::uint64_t m_nextLease { 0 };
    std::uint64_t m_reboots { 0 };
};

} // namespace

int main(int argc, char** argv)
{
    namespace po = boost::program_options;
    std::vector<std::string> workers;
    std::string platform;
    Slots slots = 8;
    po::options_description options("marigold-worker-stub: worker stub for tests and the demo");
    options.add_options()("help", "print this help")("worker", po::value(&workers)->multitoken()->required(),
        "workers as NAME,DATA_CENTER,RACK,ADDRESS:PORT")("platform", po::value(&platform)->required(),
        "address of the platform")("slots", po::value(&slots)->default_value(8), "slots of each worker");
    po::variables_map values;
    try {
        po::store(po::parse_command_line(argc, argv, options), values);
        if (values.count("help")) {
            std::cout << options;
            return 0;
        }
        po::notify(values);
        EventLoop loop;
        HttpClient client(loop);
        std::list<WorkerStub> stubs;
        for (const auto& text : workers) {
            std::vector<std::string> parts;
            std::istringstream in(text);
            for (std::string part; std::getline(in, part, ',');)
                parts.push_back(part);
            if (parts.size() != 4)
                throw std::runtime_error("\"" + text + "\" is not NAME,DATA_CENTER,RACK,ADDRESS:PORT");
            stubs.emplace_back(loop,
                ListedInstance { InstanceId(parts[0]), DataCenterId(parts[1]), RackId(parts[2]),
                    Endpoint::parse(parts[3]), slots, false });
            stubs.back().listen();
        }
        const auto announce = [&] {
            std::vector<ListedInstance> list;
            for (const auto& stub : stubs)
                list.push_back(stub.info());
            client.send(Endpoint::parse(platform), { "POST", "/register", encode(list), {}, Duration(1000) },
                [](HttpResult) {});
        };
        loop.after(Duration(0), announce);
        loop.every(s_registerPeriod, announce);
        loop.onTerminate([&loop] { loop.stop(); });
        loop.run();
    } catch (const std::exception& error) {
        std::cerr << "marigold-worker-stub: " << error.what() << '\n';
        return 2;
    }
    return 0;
}
