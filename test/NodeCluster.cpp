// Processes, clients and configuration of NodeCluster.
#include "NodeCluster.h"

#include <csignal>
#include <cstdlib>
#include <deque>
#include <filesystem>
#include <fstream>
#include <gtest/gtest.h>
#include <iostream>
#include <stdexcept>
#include <sys/wait.h>

namespace marigoldlink::testing {

namespace {

    using standin::Json;

    constexpr Milliseconds s_callerDeadline { 3000 };
    constexpr Milliseconds s_startTimeout { 20000 };
    constexpr Milliseconds s_electionTimeout { 15000 };
    constexpr Milliseconds s_settleTime { 2000 };
    constexpr Milliseconds s_exitPoll { 5 };

    // Versions differ in the time-out of the route.
    std::string configuration(int version)
    {
        const Json route { { "name", "r-q" }, { "host", "jobs.example" }, { "prefix", "/q/" },
            { "kind", "non_idempotent" }, { "timeout_ms", 2999 + version }, { "slo_ms", 600 }, { "priority", 0 },
            { "service", "press" }, { "attempts", 3 }, { "stretch", 1.6 }, { "no_auth", false } };
        auto tenants = Json::array();
        for (const char* number : { "1", "2" })
            tenants.push_back({ { "name", std::string("t-") + number }, { "weight", 1 },
                { "api_keys", { std::string("key-") + number } } });
        return Json {
            { "version", version }, { "routes", Json::array({ route }) },
            { "services", Json::array({ { { "name", "press" }, { "rejects_overload", false } } }) },
            { "tenants", tenants }, { "limits", Json::object() }
        }.dump();
    }

    void printEnd(const std::string& file)
    {
        constexpr std::size_t maxLines = 300;
        std::deque<std::string> lines;
        std::ifstream input(file);
        for (std::string line; std::getline(input, line);) {
            lines.push_back(line);
            if (lines.size() > maxLines)
                lines.pop_front();
        }
        for (const auto& line : lines)
            std::cout << line << '\n';
    }

    // A script that appends the settings to those of the stand-ins and then becomes the program.
    std::string launcher(const std::string& folder, const std::string& settings)
    {
        const auto extra = folder + "/extra.toml";
        const auto script = folder + "/marigold-node";
        std::ofstream(extra) << settings;
        std::ofstream(script) << "#!/bin/sh\ncat '" << extra << "' >> \"$MARIGOLDLINK_NODE_FILE\"\nexec '"
                              << MARIGOLD_NODE_PROGRAM << "'\n";
        std::filesystem::permissions(script, std::filesystem::perms::owner_all);
        return script;
    }

    std::string newFolder()
    {
        auto folder = (std::filesystem::temp_directory_path() / "marigold-nodes-XXXXXX").string();
        if (!::mkdtemp(folder.data()))
            throw std::runtime_error("no temporary folder");
        return folder;
    }

} // namespace

std::vector<Seed> soakSeeds(Seed fixed)
{
    const char* range = std::getenv("MARIGOLD_SOAK_SEEDS");
    unsigned first = fixed.value;
    unsigned count = 1;
    if (range && std::sscanf(range, "%u:%u", &first, &count) != 2)
        throw std::runtime_error("MARIGOLD_SOAK_SEEDS must be first:count");
    std::vector<Seed> result;
    for (unsigned i = 0; i < count; ++i)
        result.push_back({ first + i });
    return result;
}

int draw(std::mt19937& generator, int least, int most) { return std::uniform_int_distribution(least, most)(generator); }

Caller::Caller(const standin::Node& node, std::string key)
    : m_name(node.name)
    , m_port(node.front)
    , m_key(std::move(key))
{
}

void Caller::send(const std::string& method, const std::string& path, const std::string& body)
{
    m_request = method + " " + path;
    standin::record.line("client sends %s to %s", m_request.c_str(), m_name.c_str());
    if (m_descriptor < 0) {
        m_descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const auto address = standin::loopback(m_port, standin::nodeAddress());
        if (::connect(m_descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof(address)))
            return close();
        standin::setNoDelay(m_descriptor);
    }
    if (!standin::sendAll(m_descriptor,
            method + " " + path + " HTTP/1.1\r\nhost: jobs.example\r\ncredential: " + m_key
                + "\r\ncontent-type: application/json\r\ndeadline-ms: " + std::to_string(s_callerDeadline.count())
                + "\r\ncontent-length: " + std::to_string(body.size()) + "\r\n\r\n" + body))
        close();
}

CallerResponse Caller::receive(Milliseconds timeout)
{
    const auto message = m_descriptor < 0
        ? std::nullopt
        : standin::readMessage(m_descriptor, m_buffer, static_cast<int>(timeout.count()));
    CallerResponse response;
    if (message) {
        response.status = std::stoi(message->firstLine.substr(message->firstLine.find(' ') + 1));
        response.headers = message->headers;
        response.body = message->body;
    } else {
        close();
    }
    standin::record.line(
        "client gets %d %s for %s from %s", response.status, response.body.c_str(), m_request.c_str(), m_name.c_str());
    return response;
}

CallerResponse Caller::call(const std::string& method, const std::string& path, const std::string& body)
{
    send(method, path, body);
    return receive(s_callerDeadline);
}

void Caller::close()
{
    if (m_descriptor >= 0)
        ::close(m_descriptor);
    m_descriptor = -1;
    m_buffer.clear();
}

NodeCluster::NodeCluster(std::size_t nodes, std::size_t workersPerZone, const std::string& settings)
    : m_folder(newFolder())
{
    std::signal(SIGPIPE, SIG_IGN);
    standin::record.open(m_folder + "/record.txt");
    m_world
        = new standin::World(settings.empty() ? MARIGOLD_NODE_PROGRAM : launcher(m_folder, settings), m_folder, nodes);
    for (const std::string zone : { "zone-a", "zone-b", "zone-c" }) {
        for (std::size_t worker = 1; worker <= workersPerZone; ++worker)
            m_world->addWorker("i-" + zone + "-" + std::to_string(worker), "press", zone, 64);
    }
    for (std::size_t i = 0; i < nodes; ++i)
        m_world->nodes[i].zone = std::string("zone-") + static_cast<char>('a' + i % 3);
    m_world->store.put("op/config", configuration(m_configurationVersion));
    m_world->start();
}

NodeCluster::~NodeCluster()
{
    m_world->stop();
    if (::testing::Test::HasFailure())
        printEnd(m_folder + "/record.txt");
    std::error_code ignored;
    std::filesystem::remove_all(m_folder, ignored);
}

NodeIndex NodeCluster::awaitCoordinator()
{
    if (!m_world->awaitLeader(static_cast<int>(s_startTimeout.count())))
        throw std::runtime_error("no coordinator in time");
    // Another one may be elected while the processes start.
    standin::sleepMs(s_settleTime.count());
    return NodeIndex(m_world->store.lastWriter().value());
}

NodeIndex NodeCluster::awaitSuccessor(NodeIndex coordinator)
{
    const auto successor
        = m_world->awaitOtherLeader(static_cast<std::size_t>(coordinator), static_cast<int>(s_electionTimeout.count()));
    if (!successor)
        throw std::runtime_error("no other coordinator in time");
    return NodeIndex(*successor);
}

NodeIndex NodeCluster::after(NodeIndex index, std::size_t n) const
{
    return NodeIndex((static_cast<std::size_t>(index) + n) % m_world->nodes.size());
}

const standin::Node& NodeCluster::node(NodeIndex index) const
{
    return m_world->nodes[static_cast<std::size_t>(index)];
}

void NodeCluster::freeze(NodeIndex index)
{
    standin::record.line("DISRUPTION: %s freezes", node(index).name.c_str());
    m_world->signalNode(static_cast<std::size_t>(index), SIGSTOP);
    siginfo_t info {};
    if (::waitid(P_PID, static_cast<id_t>(node(index).process), &info, WSTOPPED | WEXITED | WNOWAIT)
        || info.si_code != CLD_STOPPED)
        throw std::runtime_error("the process to freeze has ended");
}

void NodeCluster::thaw(NodeIndex index)
{
    standin::record.line("%s goes on", node(index).name.c_str());
    m_world->signalNode(static_cast<std::size_t>(index), SIGCONT);
}

void NodeCluster::kill(NodeIndex index)
{
    standin::record.line("DISRUPTION: %s is killed", node(index).name.c_str());
    m_world->signalNode(static_cast<std::size_t>(index), SIGKILL);
    m_world->awaitEnd(static_cast<std::size_t>(index), 1000);
}

void NodeCluster::restart(NodeIndex index) { m_world->startNode(static_cast<std::size_t>(index)); }

Milliseconds NodeCluster::terminate(NodeIndex index)
{
    const auto time = now();
    standin::record.line("%s gets SIGTERM", node(index).name.c_str());
    m_world->signalNode(static_cast<std::size_t>(index), SIGTERM);
    m_terminations.emplace(index, time);
    return time;
}

std::optional<int> NodeCluster::awaitExit(NodeIndex index, Milliseconds until)
{
    auto& process = m_world->nodes[static_cast<std::size_t>(index)].process;
    int status = 0;
    while (::waitpid(process, &status, WNOHANG) != process) {
        if (now() >= until)
            return std::nullopt;
        standin::sleepMs(s_exitPoll.count());
    }
    process = 0;
    standin::record.line("process %s has ended with wait status %d", node(index).name.c_str(), status);
    return status;
}

void NodeCluster::reload(NodeIndex index)
{
    standin::record.line("%s gets SIGHUP", node(index).name.c_str());
    m_world->signalNode(static_cast<std::size_t>(index), SIGHUP);
}

void NodeCluster::changeConfiguration()
{
    m_world->store.put("op/config", configuration(++m_configurationVersion));
    standin::record.line("configuration %d", m_configurationVersion);
}

std::string NodeCluster::stopLogOf(NodeIndex index) const
{
    std::string lines;
    std::ifstream input(m_folder + "/" + node(index).name + ".log");
    for (std::string line; std::getline(input, line);) {
        // Each of them tells what callers are owed.
        if (line.find(" unsent=") != std::string::npos)
            lines += node(index).name + ": " + line + '\n';
    }
    return lines;
}

std::string NodeCluster::sinceTermination(NodeIndex index, Milliseconds time) const
{
    std::optional<Milliseconds> last;
    const auto [begin, end] = m_terminations.equal_range(index);
    for (auto i = begin; i != end && i->second <= time; ++i)
        last = i->second;
    return last ? "SIGTERM + " + std::to_string((time - *last).count()) + " ms" : "a time without SIGTERM before";
}

std::set<std::string> NodeCluster::startedJobs() const
{
    const std::lock_guard guard(standin::worldLock);
    std::set<std::string> jobs;
    for (const auto& worker : m_world->workers) {
        for (const auto& run : worker->runs())
            jobs.insert(run.task.substr(0, run.task.find('.')));
    }
    return jobs;
}

std::vector<standin::Run> NodeCluster::runs(const std::string& job) const
{
    const std::lock_guard guard(standin::worldLock);
    std::vector<standin::Run> found;
    for (const auto& worker : m_world->workers) {
        for (const auto& run : worker->runs()) {
            if (run.task.starts_with(job + "."))
                found.push_back(run);
        }
    }
    return found;
}

std::string NodeCluster::recordOf(const std::string& job) const
{
    std::string lines;
    std::ifstream input(m_folder + "/record.txt");
    for (std::string line; std::getline(input, line);) {
        const auto contains = [&line](const std::string& word) { return line.find(word) != std::string::npos; };
        if (contains(job) || contains("DISRUPTION") || contains("goes on") || contains("process ")
            || contains("coordinator: "))
            lines += line + '\n';
    }
    return lines;
}

std::string twoStepJob(Milliseconds first, Milliseconds second)
{
    const auto step = [](Milliseconds time) {
        return Json { { "count", 2 }, { "cpu", 2000 }, { "mem_mb", 500 }, { "est_ms", time.count() } };
    };
    auto dependent = step(second);
    dependent["after"] = { 0 };
    const Json work { { "steps", { { { "ms", first.count() } }, { { "ms", second.count() } } } } };
    return Json { { "spec", work.dump() }, { "steps", { step(first), dependent } } }.dump();
}

std::optional<std::string> shownState(const CallerResponse& response)
{
    const auto body = Json::parse(response.body, nullptr, false);
    if (response.status != 200 || !body.is_object() || !body.contains("state"))
        return std::nullopt;
    return body.at("state").get<std::string>();
}

} // namespace marigoldlink::testing
