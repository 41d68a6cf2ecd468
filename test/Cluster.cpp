// Starts the child processes and writes their settings files.
#include "Cluster.h"

#include <algorithm>
#include <csignal>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <spawn.h>
#include <sstream>
#include <sys/wait.h>
#include <unistd.h>

extern char** environ;

namespace marigoldlink::testing {

namespace {

    constexpr Duration s_startTimeout { 20000 };
    constexpr Duration s_pollInterval { 10 };

    std::string readAll(const std::string& file)
    {
        std::ifstream in(file);
        std::ostringstream text;
        text << in.rdbuf();
        return text.str();
    }

    std::string binaryPath(const std::string& name) { return std::string(MARIGOLD_TOOLS_DIRECTORY) + "/" + name; }

} // namespace

Process::Process(const std::string& binary, std::vector<std::string> arguments, std::string logFile)
    : m_logFile(std::move(logFile))
{
    arguments.insert(arguments.begin(), binaryPath(binary));
    std::vector<char*> argv;
    for (auto& argument : arguments)
        argv.push_back(argument.data());
    argv.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, 1, m_logFile.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_APPEND, 0600);
    posix_spawn_file_actions_adddup2(&actions, 1, 2);
    if (posix_spawn(&m_pid, argv[0], &actions, nullptr, argv.data(), environ) != 0)
        throw std::runtime_error("posix_spawn failed for " + binary);
    posix_spawn_file_actions_destroy(&actions);
}

Process::~Process() { kill(); }

Process::Process(Process&& other) noexcept
    : m_pid(std::exchange(other.m_pid, -1))
    , m_logFile(std::move(other.m_logFile))
{
}

Process& Process::operator=(Process&& other) noexcept
{
    kill();
    m_pid = std::exchange(other.m_pid, -1);
    m_logFile = std::move(other.m_logFile);
    return *this;
}

void Process::signal(int signalNumber) const { ::kill(m_pid, signalNumber); }

void Process::kill()
{
    if (m_pid < 0)
        return;
    ::kill(m_pid, SIGKILL);
    ::waitpid(m_pid, nullptr, 0);
    m_pid = -1;
}

std::optional<int> Process::waitForExit(Duration time)
{
    const auto deadline = std::chrono::steady_clock::now() + time;
    while (std::chrono::steady_clock::now() < deadline) {
        int status = 0;
        if (::waitpid(m_pid, &status, WNOHANG) == m_pid) {
            m_pid = -1;
            return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
        }
        ::usleep(static_cast<useconds_t>(s_pollInterval.count() * 1000));
    }
    return std::nullopt;
}

std::string Process::state() const
{
    if (m_pid < 0)
        return "ended by the test";
    siginfo_t info {};
    // WNOWAIT leaves the process waitable, so that kill() and waitForExit() still find it.
    if (::waitid(P_PID, static_cast<id_t>(m_pid), &info, WEXITED | WSTOPPED | WNOHANG | WNOWAIT) != 0)
        return "not a child";
    if (info.si_pid == 0)
        return "running";
    if (info.si_code == CLD_EXITED)
        return "exited with " + std::to_string(info.si_status);
    if (info.si_code == CLD_STOPPED)
        return "stopped";
    return "ended by signal " + std::to_string(info.si_status);
}

std::string Process::log() const { return readAll(m_logFile); }

std::vector<std::string> Process::waitForLines(const std::string& word, std::size_t count) const
{
    const auto deadline = std::chrono::steady_clock::now() + s_startTimeout;
    while (std::chrono::steady_clock::now() < deadline) {
        std::vector<std::string> lines;
        std::istringstream in(log());
        for (std::string line; std::getline(in, line);) {
            if (line.starts_with(word + " "))
                lines.push_back(line.substr(word.size() + 1));
        }
        if (lines.size() >= count)
            return lines;
        ::usleep(static_cast<useconds_t>(s_pollInterval.count() * 1000));
    }
    throw std::runtime_error("process did not print the expected lines in time, output:\n" + log());
}

double Process::cpuSeconds() const
{
    std::ifstream in("/proc/" + std::to_string(m_pid) + "/stat");
    std::string text((std::istreambuf_iterator<char>(in)), {});
    std::istringstream fields(text.substr(text.rfind(')') + 2));
    std::string skipped;
    for (int i = 0; i < 11; ++i)
        fields >> skipped;
    double user = 0;
    double system = 0;
    fields >> user >> system;
    return (user + system) / static_cast<double>(::sysconf(_SC_CLK_TCK));
}

std::int64_t Process::residentKilobytes() const
{
    std::ifstream in("/proc/" + std::to_string(m_pid) + "/statm");
    std::int64_t total = 0;
    std::int64_t resident = 0;
    in >> total >> resident;
    return resident * (::sysconf(_SC_PAGESIZE) / 1024);
}

std::string defaultFleetSpec(const std::vector<std::string>& dataCenters, Slots limit)
{
    std::ostringstream text;
    text << "[fleet]\nname = \"test\"\n";
    for (const auto& name : dataCenters)
        text << "[[data_center]]\nname = \"" << name << "\"\n";
    text << "[[pool]]\nname = \"main\"\n[[pool]]\nname = \"spare\"\nspare = true\n";
    for (const auto* team : { "red", "blue" })
        text << "[[team]]\nname = \"" << team << "\"\nshare = 1\nupper_limit = " << limit << '\n';
    for (const auto* urgency : { "urgent", "normal", "deferrable" }) {
        text << "[[service]]\nname = \"" << urgency << "\"\nclass = \"" << urgency
             << "\"\npool = \"main\"\nneed_slots = 1000\navailability = 0.9\n";
        text << "[[queue]]\nname = \"" << urgency << "\"\nservice = \"" << urgency << "\"\n";
    }
    text << "[[queue]]\nname = \"open\"\nservice = \"normal\"\nopen = true\nteam = \"red\"\n";
    return text.str();
}

Cluster::Cluster(ClusterOptions clusterOptions)
    : options(std::move(clusterOptions))
{
    auto pattern = (std::filesystem::temp_directory_path() / "marigold-test-XXXXXX").string();
    m_directory = ::mkdtemp(pattern.data());
    startPlatform();
    for (const auto& dataCenter : options.dataCenters)
        startWorkers(dataCenter);
    for (const auto& dataCenter : options.dataCenters) {
        for (std::size_t i = 0; i < options.entriesPerDataCenter; ++i)
            addEntry(dataCenter);
    }
    for (std::size_t i = 0; i < options.keepers; ++i)
        startKeeper(options.keeperSettings);
    applySpec(options.fleetSpec.empty() ? defaultFleetSpec(options.dataCenters) : options.fleetSpec);
    waitUntil("every entry instance holds leases on all workers of its data centre", [this] {
        for (std::size_t i = 0; i < entries.size(); ++i) {
            const auto state = status(i);
            if (call(entries[i].endpoint, { "GET", "/healthz", {}, {}, Duration(1000) }).status != 200)
                return false;
            std::size_t leased = 0;
            for (const auto& worker : state.value("workers", Json::object()))
                leased += worker.value("usable", false);
            if (leased != options.workersPerDataCenter || state.value("members", 0U) != entries.size())
                return false;
        }
        return true;
    });
}

std::string Cluster::newLogPath(const std::string& name)
{
    return m_directory + "/" + name + "-" + std::to_string(m_files++) + ".log";
}

std::string Cluster::writeFile(const std::string& name, const std::string& content)
{
    const auto path = m_directory + "/" + std::to_string(m_files++) + "-" + name;
    std::ofstream(path) << content;
    return path;
}

Endpoint Cluster::platformEndpoint(const std::string& dataCenter) const
{
    const auto found = std::find(options.dataCenters.begin(), options.dataCenters.end(), dataCenter);
    return platforms.at(static_cast<std::size_t>(found - options.dataCenters.begin()));
}

void Cluster::startPlatform()
{
    std::vector<std::string> arguments { "--listen" };
    for (std::size_t i = 0; i <= options.dataCenters.size(); ++i)
        arguments.emplace_back("127.0.0.1:0");
    m_platform.emplace("marigold-platform-stub", arguments, newLogPath("platform"));
    for (const auto& line : m_platform->waitForLines("listening", options.dataCenters.size() + 1))
        platforms.push_back(Endpoint::parse(line));
}

void Cluster::startWorkers(const std::string& dataCenter)
{
    std::size_t next = 0;
    while (next < options.workersPerDataCenter) {
        std::vector<std::string> arguments { "--platform", platforms.back().text(), "--slots",
            std::to_string(options.slots), "--worker" };
        const auto count = std::min(options.workersPerProcess, options.workersPerDataCenter - next);
        for (std::size_t i = 0; i < count; ++i, ++next) {
            const auto rack = dataCenter + "-rack-" + std::to_string(next / 4);
            arguments.push_back(
                dataCenter + "-worker-" + std::to_string(next) + "," + dataCenter + "," + rack + ",127.0.0.1:0");
        }
        Process process("marigold-worker-stub", arguments, newLogPath("worker"));
        std::vector<Endpoint> endpoints;
        for (const auto& line : process.waitForLines("worker", count))
            endpoints.push_back(Endpoint::parse(line.substr(line.find(' ') + 1)));
        workers.push_back({ dataCenter, endpoints, std::move(process) });
    }
}

void Cluster::partition(const std::string& dataCenter, bool includesPlatform)
{
    std::set<std::string> others(options.dataCenters.begin(), options.dataCenters.end());
    others.erase(dataCenter);
    for (auto& entry : entries)
        entry.relay->setPartitionedDataCenters(entry.dataCenter == dataCenter ? others : std::set { dataCenter });
    if (includesPlatform)
        setPlatformFault(dataCenter, "silent");
}

void Cluster::heal()
{
    for (auto& entry : entries)
        entry.relay->setPartitionedDataCenters({});
    setPlatformFault("", "ok");
}

void Cluster::addEntry(const std::string& dataCenter)
{
    auto relay = std::make_unique<Relay>();
    const auto config = writeFile("entry.toml",
        "listen = \"127.0.0.1:0\"\nadvertise = \"" + relay->endpoint().text() + "\"\nplatform = \""
            + platformEndpoint(dataCenter).text() + "\"\ndata_center = \"" + dataCenter + "\"\n"
            + options.entrySettings);
    Process process("marigold-entry", { "--config", config }, newLogPath("entry"));
    const auto line = process.waitForLines("listening", 1).front();
    relay->setTarget(Endpoint::parse(line));
    entries.push_back({ dataCenter, Endpoint::parse(line), std::move(process), std::move(relay) });
}

void Cluster::startKeeper(const std::string& settings)
{
    const auto config = writeFile(
        "keeper.toml", "listen = \"127.0.0.1:0\"\nplatform = \"" + platforms.front().text() + "\"\n" + settings);
    keepers.emplace_back("marigold-keeper", std::vector<std::string> { "--config", config }, newLogPath("keeper"));
    keeperEndpoints.push_back(Endpoint::parse(keepers.back().waitForLines("listening", 1).front()));
}

std::pair<int, std::string> Cluster::runMarigoldctl(std::vector<std::string> arguments)
{
    arguments.insert(arguments.begin(), { "--platform", platforms.back().text() });
    Process process("marigoldctl", arguments, newLogPath("ctl"));
    const auto exitCode = process.waitForExit(Duration(30000));
    return { exitCode.value_or(-1), process.log() };
}

void Cluster::applySpec(const std::string& text)
{
    const auto [exitCode, output] = runMarigoldctl({ "apply", writeFile("fleet.toml", text) });
    if (exitCode != 0)
        throw std::runtime_error("marigoldctl apply failed:\n" + output);
}

std::string Cluster::grantKey(const std::string& team)
{
    const auto [exitCode, output] = runMarigoldctl({ "grant", team });
    if (exitCode != 0)
        throw std::runtime_error("marigoldctl grant failed:\n" + output);
    const auto trimmed = output.substr(0, output.size() - 1);
    const auto key = trimmed.substr(trimmed.rfind('\n') + 1);
    waitUntil("every entry accepts the key", [&] {
        for (auto& entry : entries) {
            if (get(entry.endpoint, "/status")["config"].value("config/key/" + team, 0) == 0)
                return false;
        }
        return true;
    });
    return key;
}

void Cluster::waitUntil(const std::string& what, const std::function<bool()>& condition, Duration time)
{
    const auto deadline = loop.now() + time;
    while (!condition()) {
        if (loop.now() >= deadline)
            throw std::runtime_error("timed out waiting until " + what);
        runFor(Duration(20));
    }
}

void Cluster::runFor(Duration time)
{
    bool isOver = false;
    loop.after(time, [&isOver] { isOver = true; });
    loop.runUntil([&isOver] { return isOver; });
}

HttpResult Cluster::call(const Endpoint& endpoint, HttpCall request)
{
    std::optional<HttpResult> outcome;
    client.send(endpoint, std::move(request), [&outcome](HttpResult result) { outcome = std::move(result); });
    loop.runUntil([&outcome] { return outcome.has_value(); });
    return *outcome;
}

HttpResult Cluster::submit(std::size_t entry, const std::string& queue, const std::string& key, const std::string& id,
    const std::string& body, HttpHeaders more)
{
    HttpCall request { "POST", "/v1/queues/" + queue + "/tasks", body, std::move(more), Duration(15000) };
    if (!key.empty())
        request.headers.emplace_back("authorization", "Bearer " + key);
    if (!id.empty())
        request.headers.emplace_back("x-request-id", id);
    return call(entries.at(entry).endpoint, std::move(request));
}

Json Cluster::get(const Endpoint& endpoint, const std::string& target)
{
    const auto json = Json::parse(call(endpoint, { "GET", target, {}, {}, Duration(2000) }).body, nullptr, false);
    return json.is_object() ? json : Json::object();
}

void Cluster::setPlatformFault(const std::string& dataCenter, const std::string& mode, std::int64_t delayMs)
{
    std::string port;
    if (!dataCenter.empty()) {
        const auto found = std::find(options.dataCenters.begin(), options.dataCenters.end(), dataCenter);
        port = std::to_string(found - options.dataCenters.begin());
    }
    const auto target = "/fault?port=" + port + "&mode=" + mode + "&delay=" + std::to_string(delayMs);
    call(platforms.back(), { "POST", target, {}, {}, Duration(2000) });
}

std::vector<Endpoint> Cluster::workerEndpoints() const
{
    std::vector<Endpoint> all;
    for (const auto& worker : workers)
        all.insert(all.end(), worker.endpoints.begin(), worker.endpoints.end());
    return all;
}

std::string Cluster::describeWorkers() const
{
    std::ostringstream text;
    for (const auto& worker : workers) {
        text << "\nworkers of " << worker.dataCenter << ": " << worker.process.state();
        for (const auto& endpoint : worker.endpoints)
            text << ' ' << endpoint.text();
        text << '\n' << worker.process.log();
    }
    return text.str();
}

Slots Cluster::countRunningTasks(const std::string& team)
{
    Slots sum = 0;
    std::size_t open = 0;
    for (const auto& endpoint : workerEndpoints()) {
        ++open;
        client.send(endpoint, { "GET", "/stats", {}, {}, Duration(2000) }, [&sum, &open, team](HttpResult result) {
            --open;
            const auto json = Json::parse(result.body, nullptr, false);
            if (json.is_object())
                sum += json.at("teams").value(team, Slots { 0 });
        });
    }
    loop.runUntil([&open] { return open == 0; });
    return sum;
}

TaskHistory Cluster::taskHistory(const std::string& team)
{
    std::vector<TaskRun> runs;
    for (const auto& endpoint : workerEndpoints()) {
        const auto record = get(endpoint, "/record");
        if (!record.contains("ran"))
            throw std::runtime_error("the worker at " + endpoint.text() + " does not return its record");
        for (const auto& item : record.at("ran")) {
            if (item.at("team") != team)
                continue;
            const TaskRun::Time end(item.at("ended_ns").get<std::int64_t>());
            runs.push_back({ item.at("task"), endpoint.text(), TaskRun::Time(item.at("started_ns").get<std::int64_t>()),
                end.count() == 0 ? TaskRun::Time::max() : end });
        }
    }
    return TaskHistory(std::move(runs));
}

Slots TaskHistory::runningAt(TimePoint time) const
{
    const auto moment = time.time_since_epoch();
    return std::count_if(
        m_runs.begin(), m_runs.end(), [moment](const TaskRun& run) { return run.start <= moment && moment < run.end; });
}

std::vector<const TaskRun*> TaskHistory::busiest(TimePoint from, TimePoint to) const
{
    // The number of running tasks grows only when a task starts, so the moments of starts suffice.
    std::vector<TaskRun::Time> moments { from.time_since_epoch() };
    for (const auto& run : m_runs) {
        if (run.start >= from.time_since_epoch() && run.start < to.time_since_epoch())
            moments.push_back(run.start);
    }
    std::vector<const TaskRun*> result;
    for (const auto moment : moments) {
        std::vector<const TaskRun*> running;
        for (const auto& run : m_runs) {
            if (run.start <= moment && moment < run.end)
                running.push_back(&run);
        }
        if (running.size() > result.size())
            result = std::move(running);
    }
    return result;
}

std::string TaskHistory::describeBusiest(TimePoint from, TimePoint to) const
{
    std::ostringstream text;
    for (const auto* run : busiest(from, to))
        text << "task " << run->task << " at " << run->worker << " from " << run->start.count() << " to "
             << run->end.count() << " ns\n";
    return text.str();
}

Load::Options Cluster::load(std::vector<Flow> flows, Duration time) const
{
    Load::Options load;
    for (const auto& entry : entries)
        load.entries.push_back(entry.endpoint);
    load.flows = std::move(flows);
    load.workers = workerEndpoints();
    load.time = time;
    load.seed = 20261204;
    load.prefix = "load-";
    return load;
}

} // namespace marigoldlink::testing
