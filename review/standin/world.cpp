// Stand-ins: store, workers, machines and processes.
#include "world.h"

#include <csignal>
#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>

namespace standin {

namespace {

    constexpr int s_storeAnswerMs = 4; // time of an answer of the store
    constexpr std::size_t s_rangeItems = 500;
    constexpr std::size_t s_endsPerAnswer = 500;
    constexpr std::int64_t s_maxLeaseMs = 6000;
    constexpr int s_tickMs = 2;
    constexpr std::int64_t s_noFence = -1; // of no caller
    constexpr int s_pollMs = 20;
    // Longest time for which a call without an answer is kept open.
    constexpr std::chrono::seconds s_maxSilence { 100 };

    const char s_digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

    std::int64_t numberOf(const Json& body, const char* name, std::int64_t fallback = 0)
    {
        const auto found = body.find(name);
        return found != body.end() && found->is_number() ? found->get<std::int64_t>() : fallback;
    }

} // namespace

void sleepMs(std::int64_t time) { std::this_thread::sleep_for(std::chrono::milliseconds(time)); }

std::string encodeBase64(const std::string& bytes)
{
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        unsigned group = 0;
        for (std::size_t j = 0; j < 3; ++j)
            group = group << 8 | (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j]) : 0U);
        for (std::size_t j = 0; j < 4; ++j)
            text += i + j <= bytes.size() ? s_digits[group >> (18 - 6 * j) & 63] : '=';
    }
    return text;
}

std::string decodeBase64(const std::string& text)
{
    std::string bytes;
    unsigned group = 0;
    int bits = 0;
    for (const char c : text) {
        const auto* found = std::find(s_digits, s_digits + 64, c);
        if (found == s_digits + 64)
            break;
        group = group << 6 | static_cast<unsigned>(found - s_digits);
        bits += 6;
        if (bits >= 8) {
            bits -= 8;
            bytes += static_cast<char>(group >> bits & 255);
        }
    }
    return bytes;
}

// Store

Store::Store(std::size_t ports)
    : m_isCut(ports, false)
{
    for (std::size_t i = 0; i < ports; ++i)
        m_servers.push_back(std::make_unique<Server>([this, i](const Request& request) { return handle(i, request); }));
}

void Store::setCut(std::size_t index, bool isCut)
{
    const std::lock_guard guard(worldLock);
    m_isCut[index] = isCut;
    worldChanged.notify_all();
}

void Store::setDown(bool isDown)
{
    const std::lock_guard guard(worldLock);
    if (m_isDown && !isDown) {
        for (auto& [id, lease] : m_leases)
            lease.endsAt += steadyMs() - m_downSince;
    }
    m_isDown = isDown;
    m_downSince = steadyMs();
    worldChanged.notify_all();
}

void Store::put(const std::string& key, const std::string& value)
{
    const std::lock_guard guard(worldLock);
    ++m_revision;
    write(key, value, 0);
}

void Store::remove(const std::string& key)
{
    const std::lock_guard guard(worldLock);
    ++m_revision;
    erase(key);
}

std::optional<std::size_t> Store::lastWriter() const
{
    const std::lock_guard guard(worldLock);
    return m_lastWriter;
}

void Store::write(const std::string& key, const std::string& value, std::int64_t lease)
{
    auto& item = m_items[key];
    item.value = value;
    item.revision = m_revision;
    if (!item.created)
        item.created = m_revision;
    item.lease = lease;
    m_history.push_back({ key, m_revision, false, item });
    worldChanged.notify_all();
}

void Store::erase(const std::string& key)
{
    if (!m_items.erase(key))
        return;
    m_history.push_back({ key, m_revision, true, {} });
    worldChanged.notify_all();
}

void Store::endLease(std::int64_t id)
{
    std::vector<std::string> keys;
    for (const auto& [key, item] : m_items) {
        if (item.lease == id)
            keys.push_back(key);
    }
    if (!keys.empty())
        ++m_revision;
    for (const auto& key : keys)
        erase(key);
    m_leases.erase(id);
}

void Store::tick()
{
    if (m_isDown)
        return;
    std::vector<std::int64_t> ended;
    for (const auto& [id, lease] : m_leases) {
        if (lease.endsAt <= steadyMs())
            ended.push_back(id);
    }
    for (const auto id : ended)
        endLease(id);
}

Json Store::toJson(const std::string& key, const Item& item)
{
    return { { "key", key }, { "value", encodeBase64(item.value) }, { "rev", item.revision },
        { "create_revision", item.created }, { "lease", item.lease } };
}

Response Store::dropped(std::size_t port, std::unique_lock<std::mutex>& lock) const
{
    worldChanged.wait_for(lock, s_maxSilence, [&] { return !isSilent(port); });
    return { 0, "", true };
}

Response Store::handle(std::size_t port, const Request& request)
{
    sleepMs(s_storeAnswerMs);
    std::unique_lock lock(worldLock);
    if (isSilent(port))
        return dropped(port, lock);
    const auto body = Json::parse(request.body, nullptr, false);
    const auto idOf = [&request] { return std::stoll(request.path.substr(request.path.rfind('/') + 1)); };
    if (request.path == "/-/kv-range")
        return range(request);
    if (request.path == "/-/kv-watch")
        return watch(port, request, lock);
    if (request.path == "/-/kv-txn" && body.is_object())
        return transaction(port, body);
    if (request.path == "/-/kv-lease" && body.is_object())
        return openLease(body);
    if (request.path.starts_with("/-/kv-keep/"))
        return keepLease(idOf());
    if (request.path.starts_with("/-/kv-lease-end/")) {
        endLease(idOf());
        return { 200, "{}", false };
    }
    return { 404, "{}", false };
}

Response Store::range(const Request& request) const
{
    const auto prefix = request.query.at("prefix");
    const auto after = request.query.find("after");
    auto items = Json::array();
    bool hasMore = false;
    auto found = after == request.query.end() ? m_items.lower_bound(prefix) : m_items.upper_bound(after->second);
    for (; found != m_items.end() && found->first.starts_with(prefix); ++found) {
        if (items.size() == s_rangeItems) {
            hasMore = true;
            break;
        }
        items.push_back(toJson(found->first, found->second));
    }
    return { 200, Json { { "items", items }, { "has_more", hasMore }, { "current_rev", m_revision } }.dump(), false };
}

Response Store::watch(std::size_t port, const Request& request, std::unique_lock<std::mutex>& lock)
{
    const auto prefix = request.query.at("prefix");
    const auto after = std::stoll(request.query.at("after"));
    const auto until = steadyMs() + std::min<std::int64_t>(30000, std::stoll(request.query.at("wait_ms")));
    while (true) {
        if (isSilent(port))
            return dropped(port, lock);
        auto events = Json::array();
        // The history is in the order of the revisions.
        const auto first = std::upper_bound(m_history.begin(), m_history.end(), after,
            [](std::int64_t revision, const Event& event) { return revision < event.revision; });
        for (auto event = first; event != m_history.end(); ++event) {
            if (!event->key.starts_with(prefix))
                continue;
            events.push_back(event->isDeleted
                    ? Json { { "key", event->key }, { "rev", event->revision }, { "deleted", true } }
                    : toJson(event->key, event->item));
        }
        if (!events.empty() || steadyMs() >= until)
            return { 200, Json { { "events", events }, { "current_rev", m_revision } }.dump(), false };
        worldChanged.wait_for(lock, std::chrono::milliseconds(std::max<std::int64_t>(1, until - steadyMs())));
    }
}

Response Store::transaction(std::size_t port, const Json& body)
{
    const auto expect = body.value("expect", Json::array());
    const auto puts = body.value("puts", Json::array());
    const auto deletes = body.value("deletes", Json::array());
    const auto isForeign = [](const std::string& key) { return key.starts_with("op/") || key.starts_with("servers/"); };
    for (const auto& put : puts) {
        if (isForeign(put.at("key").get<std::string>()))
            return { 403, "{}", false };
        if (const auto lease = numberOf(put, "lease"); lease && !m_leases.contains(lease))
            return { 404, "{}", false };
    }
    if (expect.size() + puts.size() + deletes.size() > 32)
        return { 400, "{}", false };
    bool isExpected = true;
    auto current = Json::array();
    for (const auto& row : expect) {
        const auto key = row.at("key").get<std::string>();
        const auto found = m_items.find(key);
        isExpected &= (found == m_items.end() ? 0 : found->second.revision) == numberOf(row, "rev");
        if (found != m_items.end())
            current.push_back(toJson(key, found->second));
    }
    if (!isExpected)
        return { 412, Json { { "items", current } }.dump(), false };
    ++m_revision;
    for (const auto& put : puts)
        write(
            put.at("key").get<std::string>(), decodeBase64(put.at("value").get<std::string>()), numberOf(put, "lease"));
    for (const auto& key : deletes)
        erase(key.get<std::string>());
    if (!expect.empty())
        m_lastWriter = port;
    return { 200, Json { { "rev", m_revision } }.dump(), false };
}

Response Store::openLease(const Json& body)
{
    const auto timeToLive = std::max<std::int64_t>(1000, numberOf(body, "ttl_ms"));
    const auto id = ++m_nextLease;
    m_leases[id] = { timeToLive, steadyMs() + timeToLive };
    return { 200, Json { { "lease", id }, { "ttl_ms", timeToLive } }.dump(), false };
}

Response Store::keepLease(std::int64_t id)
{
    const auto found = m_leases.find(id);
    if (found == m_leases.end())
        return { 404, "{}", false };
    found->second.endsAt = steadyMs() + found->second.timeToLive;
    return { 200, Json { { "ttl_ms", found->second.timeToLive } }.dump(), false };
}

// Workers

std::int64_t workTime(const std::string& spec, const std::string& task)
{
    // ID.K.STEP.INDEX
    const auto last = task.rfind('.');
    const auto before = task.rfind('.', last - 1);
    const auto index = std::stoll(task.substr(last + 1));
    const auto step = std::stoul(task.substr(before + 1, last - before - 1));
    const auto rule = Json::parse(spec).at("steps").at(step);
    if (index < numberOf(rule, "longs"))
        return numberOf(rule, "long");
    return numberOf(rule, "ms") + index * 7919 % (numberOf(rule, "spread") + 1);
}

Worker::Worker(Store& store, std::string id, std::string machine, std::string service, std::string zone,
    std::string rack, std::int64_t cores)
    : m_store(store)
    , m_id(std::move(id))
    , m_machine(std::move(machine))
    , m_service(std::move(service))
    , m_zone(std::move(zone))
    , m_rack(std::move(rack))
    , m_cores(cores)
    , m_server(std::make_unique<Server>([this](const Request& request) { return handle(request); }))
{
}

std::string Worker::entry() const
{
    return Json {
        { "service", m_service }, { "addr", "127.0.0.1:" + std::to_string(m_server->port()) }, { "zone", m_zone },
        { "version", "v1" }, { "slots", 8 }, { "state", "ready" }, { "cold_left_ms", 0 },
        { "capacity", { { "cpu", m_cores * 1000 }, { "mem_mb", 131072 }, { "gpu", 0 } } },
        { "labels", { "a", m_rack } }, { "machine", m_machine }, { "clock_ms", clock() }, { "seq", 1 },
        { "born", m_bornUnix }
    }.dump();
}

Json Worker::machineRow() const
{
    return { { "machine", m_machine }, { "pool", m_service }, { "state", "up" }, { "zone", m_zone },
        { "labels", { "a", m_rack } },
        { "capacity", { { "cpu", m_cores * 1000 }, { "mem_mb", 131072 }, { "gpu", 0 } } }, { "id", m_id } };
}

void Worker::setCut(std::optional<std::int64_t> onlyFence)
{
    const std::lock_guard guard(worldLock);
    m_onlyFence = onlyFence;
    worldChanged.notify_all();
}

void Worker::crash()
{
    const std::lock_guard guard(worldLock);
    for (auto* run : m_running) {
        run->endedAt = record.now();
        run->how = "lost in a crash";
    }
    m_running.clear();
    m_unacknowledged.clear();
    m_onlyFence = s_noFence;
    worldChanged.notify_all();
}

void Worker::restart()
{
    {
        const std::lock_guard guard(worldLock);
        m_bornUnix = unixMs();
        m_bornSteady = steadyMs();
        m_fence = 0;
        m_leaseUntil = 0;
        m_hasLapsed = false;
        m_acknowledged = 0;
        m_nextEnd = 1;
        m_highestEnded.clear();
        m_onlyFence.reset();
        worldChanged.notify_all();
    }
    registerEntry();
}

Response Worker::answer(int status, Json body)
{
    body["clock_ms"] = clock();
    body["born"] = m_bornUnix;
    return { status, body.dump(), false };
}

Response Worker::handle(const Request& request)
{
    std::unique_lock lock(worldLock);
    const auto body = Json::parse(request.body, nullptr, false);
    if (!body.is_object())
        return { 400, "{}", false };
    const auto fence = numberOf(body, "fence");
    const auto drop = [&]() -> Response {
        worldChanged.wait_for(lock, s_maxSilence, [&] { return !isCutOff(fence); });
        return { 0, "", true };
    };
    if (isCutOff(fence))
        return drop();
    const auto expected = request.headers.find("expect-instance");
    if (expected != request.headers.end() && expected->second != m_id)
        return answer(421, Json::object());
    if (fence < m_fence)
        return answer(409, { { "reason", "fence" } });
    m_fence = std::max(m_fence, fence);
    if (request.path == "/-/run-start")
        return start(body);
    if (request.path == "/-/run-stop")
        return stop(body);
    if (request.path == "/-/pace")
        return answer(200, Json::object());
    if (request.path != "/-/hold")
        return answer(404, Json::object());
    auto response = hold(body, lock);
    return isCutOff(fence) ? drop() : response;
}

void Worker::extend(const Json& body)
{
    const auto deadline = numberOf(body, "deadline_ms");
    if (!deadline)
        return;
    m_leaseUntil = std::max(m_leaseUntil, std::min(deadline, clock() + s_maxLeaseMs));
    if (m_leaseUntil > clock())
        m_hasLapsed = false;
}

Run* Worker::find(const std::string& task, std::int64_t number)
{
    for (auto* run : m_running) {
        if (run->task == task && run->number == number)
            return run;
    }
    return nullptr;
}

Response Worker::start(const Json& body)
{
    const auto task = body.at("task").get<std::string>();
    const auto number = numberOf(body, "run");
    if (numberOf(body, "deadline_ms") <= clock())
        return answer(409, { { "reason", "late" } });
    extend(body);
    if (find(task, number))
        return answer(200, Json::object());
    if (const auto ended = m_highestEnded.find(task); ended != m_highestEnded.end() && number <= ended->second)
        return answer(409, { { "reason", "old" } });
    Run run;
    run.worker = m_id;
    run.task = task;
    run.number = number;
    run.startedAt = record.now();
    run.endsAt = run.startedAt + workTime(body.at("spec").get<std::string>(), task);
    m_runs.push_back(run);
    m_running.push_back(&m_runs.back());
    m_most = std::max<std::int64_t>(m_most, static_cast<std::int64_t>(m_running.size()));
    record.line("worker %s starts %s run %lld (fence %lld)", m_id.c_str(), task.c_str(), static_cast<long long>(number),
        static_cast<long long>(m_fence));
    return answer(200, Json::object());
}

Response Worker::stop(const Json& body)
{
    const auto task = body.at("task").get<std::string>();
    const auto number = numberOf(body, "run");
    auto& highest = m_highestEnded[task];
    highest = std::max(highest, number);
    if (auto* run = find(task, number))
        end(*run, "stopped");
    return answer(200, Json::object());
}

void Worker::end(Run& run, const std::string& how)
{
    m_running.remove(&run);
    run.endedAt = record.now();
    run.how = how;
    run.end = m_nextEnd++;
    auto& highest = m_highestEnded[run.task];
    highest = std::max(highest, run.number);
    m_unacknowledged.push_back(&run);
    record.line("worker %s ends %s run %lld: %s, end %lld", m_id.c_str(), run.task.c_str(),
        static_cast<long long>(run.number), how.c_str(), static_cast<long long>(run.end));
    worldChanged.notify_all();
}

Response Worker::hold(const Json& body, std::unique_lock<std::mutex>& lock)
{
    extend(body);
    const auto acknowledged = numberOf(body, "acked");
    if (acknowledged > m_acknowledged) {
        m_acknowledged = acknowledged;
        record.line("worker %s: ends up to %lld are acknowledged", m_id.c_str(), static_cast<long long>(acknowledged));
    }
    while (!m_unacknowledged.empty() && m_unacknowledged.front()->end <= acknowledged) {
        m_unacknowledged.front()->isNoted = !m_unacknowledged.front()->hasLapsedSince;
        m_unacknowledged.pop_front();
    }
    const auto until = steadyMs() + std::min<std::int64_t>(2000, numberOf(body, "wait_ms"));
    while (m_unacknowledged.empty() && steadyMs() < until)
        worldChanged.wait_for(lock, std::chrono::milliseconds(std::max<std::int64_t>(1, until - steadyMs())));
    auto running = Json::array();
    for (const auto* run : m_running)
        running.push_back({ run->task, run->number, "", 100, 0 });
    auto ended = Json::array();
    for (const auto* run : m_unacknowledged) {
        if (ended.size() == s_endsPerAnswer)
            break;
        ended.push_back({ run->end, run->task, run->number, run->how, "" });
    }
    if (m_unacknowledged.size() > s_endsPerAnswer)
        record.line("worker %s lists %zu of %zu ends, %zu runs", m_id.c_str(), ended.size(), m_unacknowledged.size(),
            running.size());
    return answer(200, { { "running", running }, { "ended_runs", ended } });
}

void Worker::tick()
{
    const auto now = record.now();
    if (m_leaseUntil && clock() >= m_leaseUntil && !m_hasLapsed) {
        m_hasLapsed = true;
        record.line("worker %s: the lease lapses", m_id.c_str());
        for (auto* run : m_unacknowledged)
            run->hasLapsedSince = true;
        for (auto* run : std::list(m_running))
            end(*run, "lapsed");
    }
    for (auto* run : std::list(m_running)) {
        if (run->endsAt <= now)
            end(*run, "done");
    }
}

// Machines

Cloud::Cloud(std::vector<std::unique_ptr<Worker>>& workers)
    : m_workers(workers)
    , m_server(std::make_unique<Server>([this](const Request& request) { return handle(request); }))
{
}

Response Cloud::handle(const Request& request)
{
    const std::lock_guard guard(worldLock);
    if (request.method == "GET" && request.path == "/-/machines") {
        auto machines = Json::array();
        for (const auto& worker : m_workers)
            machines.push_back(worker->machineRow());
        return { 200, Json { { "machines", machines }, { "next_token", nullptr } }.dump(), false };
    }
    return { 400, "{}", false }; // a pool of other machines
}

// Processes

World::World(std::string program, std::string folder, std::size_t count)
    : store(count)
    , m_program(std::move(program))
    , m_folder(std::move(folder))
{
    for (std::size_t i = 0; i < count; ++i) {
        Node node;
        node.name = std::string("edge-") + static_cast<char>('a' + i);
        node.zone = std::string("zone-") + static_cast<char>('a' + i);
        for (auto* port : { &node.front, &node.ready, &node.peers, &node.metrics })
            *port = freePort();
        nodes.push_back(node);
    }
    m_cloud = std::make_unique<Cloud>(workers);
    std::thread([this] { run(); }).detach();
}

void World::stop()
{
    for (std::size_t i = 0; i < nodes.size(); ++i) {
        signalNode(i, SIGCONT);
        signalNode(i, SIGKILL);
        awaitEnd(i, 1000);
    }
}

void World::run()
{
    while (true) {
        {
            const std::lock_guard guard(worldLock);
            store.tick();
            for (const auto& worker : workers)
                worker->tick();
        }
        sleepMs(s_tickMs);
    }
}

void World::addWorker(const std::string& id, const std::string& service, const std::string& zone, std::int64_t cores)
{
    auto worker = std::make_unique<Worker>(store, id, "m-" + id, service, zone, "r-" + zone, cores);
    const std::lock_guard guard(worldLock);
    workers.push_back(std::move(worker));
}

void World::start()
{
    for (const auto& worker : workers)
        worker->registerEntry();
    for (std::size_t i = 0; i < nodes.size(); ++i)
        startNode(i);
}

void World::startNode(std::size_t index)
{
    auto& node = nodes[index];
    const auto endpoint
        = [](const std::string& address, int port) { return "\"" + address + ":" + std::to_string(port) + "\"\n"; };
    const std::string platform = "127.0.0.1";
    const auto own = nodeAddressText();
    const auto settings = m_folder + "/" + node.name + ".toml";
    std::ofstream file(settings, std::ios::trunc);
    file << "node = \"" << node.name << "\"\ndata_center = \"" << node.zone
         << "\"\ncallers = " << endpoint(own, node.front) << "ready = " << endpoint(own, node.ready) << "address = \""
         << own << "\"\npeer_port = " << node.peers << "\nprocessors = " << node.processors
         << "\nmetrics_port = " << node.metrics << "\nstore = " << endpoint(platform, store.port(index))
         << "instances = " << endpoint(platform, m_cloud->port())
         << "orders = \"dispatch\"\n"
            "contracts = \"base,drain,config,cost,recover,sched,tenants,quota,places,platform,upkeep,sharing\"\n"
            "[bounds]\ngrace_s = 6\nlongest_lease_ms = 6000\nstatus_kept_s = 120\nnotice_ms = 4500\n"
            "maintenance_s = 2\nmove_s = 1.5\ninstance_fences = true\nstrict_keys = false\nkey_horizon_ms = 5000\n";
    file.close();
    const auto log = m_folder + "/" + node.name + ".log";
    const int process = ::fork();
    if (!process) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int output = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        ::dup2(output, 1);
        ::dup2(output, 2);
        ::setenv("MARIGOLDLINK_NODE_FILE", settings.c_str(), 1);
        ::execl(m_program.c_str(), m_program.c_str(), nullptr);
        ::_exit(127);
    }
    node.process = process;
    record.line("process %s starts", node.name.c_str());
}

void World::signalNode(std::size_t index, int signal)
{
    if (nodes[index].process > 0)
        ::kill(nodes[index].process, signal);
}

void World::awaitEnd(std::size_t index, int timeoutMs)
{
    auto& process = nodes[index].process;
    const auto until = steadyMs() + timeoutMs;
    while (process > 0) {
        if (::waitpid(process, nullptr, WNOHANG) == process) {
            process = 0;
            record.line("process %s has ended", nodes[index].name.c_str());
        } else if (steadyMs() >= until) {
            ::kill(process, SIGKILL);
            ::waitpid(process, nullptr, 0);
            process = 0;
        } else {
            sleepMs(s_pollMs);
        }
    }
}

std::optional<std::size_t> World::awaitLeader(int timeoutMs)
{
    const auto until = steadyMs() + timeoutMs;
    for (const auto& node : nodes) {
        while (true) {
            Connection probe(node.ready);
            if (probe.send("GET", "/-/ready", "host: ready\r\n", "") && probe.receive(500).status == 200)
                break;
            if (steadyMs() > until)
                return std::nullopt;
            sleepMs(s_pollMs);
        }
    }
    while (!store.lastWriter()) {
        if (steadyMs() > until)
            return std::nullopt;
        sleepMs(s_pollMs);
    }
    return store.lastWriter();
}

std::optional<std::size_t> World::awaitOtherLeader(std::size_t earlier, int timeoutMs)
{
    const auto until = steadyMs() + timeoutMs;
    while (steadyMs() < until) {
        if (const auto writer = store.lastWriter(); writer && *writer != earlier)
            return writer;
        sleepMs(s_pollMs);
    }
    return std::nullopt;
}

} // namespace standin
