#include "standin.h"

#include <algorithm>
#include <arpa/inet.h>
#include <csignal>
#include <cstdio>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <iostream>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

namespace standin {

namespace {

    const auto s_begin = Clock::now();
    // Whether the record names the run. Of steps with very many tasks it names each thousandth.
    bool isNamed(const std::string& task)
    {
        const auto index = std::stoll("0" + task.substr(task.rfind('.') + 1));
        return index < 100 || index % 1000 == 0;
    }

    std::mutex s_recordMutex;
    std::FILE* s_record = nullptr;

    Response answer(int status, const Json& body = Json::object())
    {
        Response response;
        response.status = status;
        response.body = body.dump(-1, ' ', false, Json::error_handler_t::replace);
        return response;
    }

    Response dropped()
    {
        Response response;
        response.isDropped = true;
        return response;
    }

    std::string decodePercent(const std::string& text)
    {
        std::string decoded;
        for (std::size_t i = 0; i < text.size(); ++i) {
            if (text[i] == '%' && i + 2 < text.size()) {
                decoded += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
                i += 2;
            } else {
                decoded += text[i];
            }
        }
        return decoded;
    }

    bool sendAll(int descriptor, const std::string& bytes)
    {
        std::size_t sent = 0;
        while (sent < bytes.size()) {
            const auto n = ::send(descriptor, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
            if (n <= 0)
                return false;
            sent += static_cast<std::size_t>(n);
        }
        return true;
    }

    // Reads until the buffer holds a head and its body. Returns the length of the message, or 0 at the end.
    std::size_t receiveMessage(int descriptor, std::string& buffer, std::size_t& headLength,
        const std::function<bool()>& isEnded, std::optional<std::int64_t> deadline)
    {
        while (true) {
            const auto end = buffer.find("\r\n\r\n");
            if (end != std::string::npos) {
                headLength = end + 4;
                std::string head = buffer.substr(0, headLength);
                for (auto& c : head)
                    c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
                std::size_t length = 0;
                if (const auto at = head.find("content-length:"); at != std::string::npos)
                    length = std::stoul(head.substr(at + 15));
                if (buffer.size() >= headLength + length)
                    return headLength + length;
            }
            if (isEnded() || (deadline && nowMs() >= *deadline))
                return 0;
            pollfd waiting { descriptor, POLLIN, 0 };
            const auto wait = deadline ? std::clamp<std::int64_t>(*deadline - nowMs(), 1, 200) : 200;
            if (::poll(&waiting, 1, static_cast<int>(wait)) <= 0)
                continue;
            char bytes[65536];
            const auto n = ::recv(descriptor, bytes, sizeof(bytes), 0);
            if (n <= 0)
                return 0;
            buffer.append(bytes, static_cast<std::size_t>(n));
        }
    }

    std::map<std::string, std::string> parseHeaders(const std::string& head, std::string& first)
    {
        std::map<std::string, std::string> headers;
        std::size_t at = head.find("\r\n");
        first = head.substr(0, at);
        while (at != std::string::npos && at + 2 < head.size()) {
            const auto next = head.find("\r\n", at + 2);
            const auto line = head.substr(at + 2, next - at - 2);
            if (const auto colon = line.find(':'); colon != std::string::npos) {
                auto name = line.substr(0, colon);
                for (auto& c : name)
                    c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
                const auto begin = line.find_first_not_of(' ', colon + 1);
                headers[name] = begin == std::string::npos ? "" : line.substr(begin);
            }
            at = next;
        }
        return headers;
    }

} // namespace

std::int64_t nowMs() { return std::chrono::duration_cast<Ms>(Clock::now() - s_begin).count(); }

std::int64_t unixMs()
{
    return std::chrono::duration_cast<Ms>(std::chrono::system_clock::now().time_since_epoch()).count();
}

void openRecord(const std::string& path) { s_record = std::fopen(path.c_str(), "w"); }

void note(const std::string& line)
{
    const std::lock_guard lock(s_recordMutex);
    char time[32];
    std::snprintf(time, sizeof(time), "%8.3f  ", static_cast<double>(nowMs()) / 1000);
    if (s_record) {
        std::fputs((time + line + "\n").c_str(), s_record);
        std::fflush(s_record);
    }
}

int freePort()
{
    // Below the range that outgoing connections use. Ports that were given out are not given out again.
    static std::mutex mutex;
    const std::lock_guard lock(mutex);
    static int next = 20000 + static_cast<int>(::getpid() * 37 % 11000);
    for (int i = 0; i < 12000; ++i) {
        next = next >= 32000 ? 20000 : next + 1;
        const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(static_cast<std::uint16_t>(next));
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        const bool isFree = ::bind(descriptor, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0;
        ::close(descriptor);
        if (isFree)
            return next;
    }
    return 0;
}

std::string base64(const std::string& bytes)
{
    static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        const auto at
            = [&](std::size_t k) -> unsigned { return k < bytes.size() ? static_cast<unsigned char>(bytes[k]) : 0u; };
        const unsigned bits = at(i) << 16 | at(i + 1) << 8 | at(i + 2);
        text += digits[bits >> 18];
        text += digits[bits >> 12 & 63];
        text += i + 1 < bytes.size() ? digits[bits >> 6 & 63] : '=';
        text += i + 2 < bytes.size() ? digits[bits & 63] : '=';
    }
    return text;
}

std::string unbase64(const std::string& text)
{
    std::string bytes;
    unsigned bits = 0;
    int count = 0;
    for (const char c : text) {
        int value = -1;
        if (c >= 'A' && c <= 'Z')
            value = c - 'A';
        else if (c >= 'a' && c <= 'z')
            value = c - 'a' + 26;
        else if (c >= '0' && c <= '9')
            value = c - '0' + 52;
        else if (c == '+')
            value = 62;
        else if (c == '/')
            value = 63;
        if (value < 0)
            break;
        bits = bits << 6 | static_cast<unsigned>(value);
        if (count += 6; count >= 8) {
            count -= 8;
            bytes += static_cast<char>(bits >> count & 255);
        }
    }
    return bytes;
}

std::string jobId(std::uint64_t number)
{
    char text[17];
    std::snprintf(text, sizeof(text), "%016llx", static_cast<unsigned long long>(0x5c0e7a2100000000ull + number));
    return text;
}

// Server

Server::Server(Handler handler, int port)
    : m_handler(std::move(handler))
{
    m_listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int enabled = 1;
    ::setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof(enabled));
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (::bind(m_listener, reinterpret_cast<sockaddr*>(&address), sizeof(address)) || ::listen(m_listener, 512)) {
        std::perror("standin: listen");
        std::_Exit(2);
    }
    socklen_t length = sizeof(address);
    ::getsockname(m_listener, reinterpret_cast<sockaddr*>(&address), &length);
    m_port = ntohs(address.sin_port);
    m_thread = std::thread([this] { accept(); });
}

void Server::close()
{
    if (m_isClosed->exchange(true))
        return;
    ::shutdown(m_listener, SHUT_RDWR);
    ::close(m_listener);
    {
        const std::lock_guard lock(m_mutex);
        for (const int descriptor : m_connections)
            ::shutdown(descriptor, SHUT_RDWR);
    }
    if (m_thread.get_id() == std::this_thread::get_id())
        m_thread.detach();
    else if (m_thread.joinable())
        m_thread.join();
    // The threads of connections refer to this object.
    for (int i = 0; i < 400; ++i) {
        {
            const std::lock_guard lock(m_mutex);
            if (m_connections.empty())
                return;
        }
        std::this_thread::sleep_for(Ms(10));
    }
}

void Server::accept()
{
    while (!*m_isClosed) {
        const int descriptor = ::accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (descriptor < 0) {
            if (*m_isClosed)
                return;
            std::this_thread::sleep_for(Ms(5));
            continue;
        }
        const int enabled = 1;
        ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
        {
            const std::lock_guard lock(m_mutex);
            m_connections.insert(descriptor);
        }
        std::thread([this, descriptor] {
            serve(descriptor);
            const std::lock_guard lock(m_mutex);
            m_connections.erase(descriptor);
            ::close(descriptor);
        }).detach();
    }
}

void Server::serve(int descriptor)
{
    std::string buffer;
    const auto closed = m_isClosed;
    while (!*closed) {
        std::size_t headLength = 0;
        const auto length = receiveMessage(
            descriptor, buffer, headLength, [&] { return closed->load(); }, std::nullopt);
        if (!length)
            return;
        Request request;
        std::string first;
        request.headers = parseHeaders(buffer.substr(0, headLength), first);
        request.body = buffer.substr(headLength, length - headLength);
        buffer.erase(0, length);
        const auto space = first.find(' ');
        request.method = first.substr(0, space);
        auto target = first.substr(space + 1, first.rfind(' ') - space - 1);
        if (const auto question = target.find('?'); question != std::string::npos) {
            std::string rest = target.substr(question + 1);
            target.resize(question);
            while (!rest.empty()) {
                const auto end = rest.find('&');
                const auto pair = rest.substr(0, end);
                const auto equals = pair.find('=');
                request.query[pair.substr(0, equals)]
                    = equals == std::string::npos ? "" : decodePercent(pair.substr(equals + 1));
                rest = end == std::string::npos ? "" : rest.substr(end + 1);
            }
        }
        request.path = target;
        const auto response = m_handler(request);
        if (response.isDropped || *closed)
            return;
        std::string text = "HTTP/1.1 " + std::to_string(response.status) + " X\r\ncontent-type: application/json\r\n";
        for (const auto& [name, value] : response.headers)
            text += name + ": " + value + "\r\n";
        text += "content-length: " + std::to_string(response.body.size()) + "\r\n\r\n" + response.body;
        if (!sendAll(descriptor, text))
            return;
    }
}

Connection::Connection(int port)
    : m_descriptor(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    m_isOpen = ::connect(m_descriptor, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0;
}

Connection::~Connection() { ::close(m_descriptor); }

bool Connection::send(const std::string& method, const std::string& path, const std::string& body,
    const std::map<std::string, std::string>& headers)
{
    std::string text = method + " " + path + " HTTP/1.1\r\n";
    for (const auto& [name, value] : headers)
        text += name + ": " + value + "\r\n";
    text += "content-length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    return m_isOpen && sendAll(m_descriptor, text);
}

Reply Connection::receive(Ms timeout)
{
    Reply reply;
    std::size_t headLength = 0;
    const auto deadline = nowMs() + timeout.count();
    const auto length = receiveMessage(
        m_descriptor, m_buffer, headLength, [] { return false; }, deadline);
    if (!length)
        return reply;
    std::string first;
    reply.headers = parseHeaders(m_buffer.substr(0, headLength), first);
    reply.status = std::stoi(first.substr(first.find(' ') + 1));
    reply.body = m_buffer.substr(headLength, length - headLength);
    m_buffer.erase(0, length);
    return reply;
}

Reply call(int port, const std::string& method, const std::string& path, const std::string& body,
    const std::map<std::string, std::string>& headers, Ms timeout)
{
    Connection connection(port);
    return connection.send(method, path, body, headers) ? connection.receive(timeout) : Reply {};
}

// Store

Store::Store() = default;

Store::Mode Store::mode(std::size_t caller)
{
    const std::lock_guard lock(m_mutex);
    if (m_mode != Mode::Ok)
        return m_mode;
    const auto found = m_modes.find(caller);
    return found == m_modes.end() ? Mode::Ok : found->second;
}

void Store::setMode(Mode mode)
{
    const std::lock_guard lock(m_mutex);
    m_mode = mode;
    m_changed.notify_all();
}

void Store::setMode(std::size_t caller, Mode mode)
{
    const std::lock_guard lock(m_mutex);
    m_modes[caller] = mode;
    m_changed.notify_all();
}

void Store::endLeases()
{
    const std::lock_guard lock(m_mutex);
    for (auto& [id, lease] : m_leases)
        lease.deadline = 0;
    expire();
}

void Store::expire()
{
    const auto now = nowMs();
    for (auto lease = m_leases.begin(); lease != m_leases.end();) {
        if (lease->second.deadline > now) {
            ++lease;
            continue;
        }
        std::vector<std::string> keys;
        for (const auto& [key, item] : m_items) {
            if (item.lease == lease->first)
                keys.push_back(key);
        }
        for (const auto& key : keys)
            removeLocked(key);
        lease = m_leases.erase(lease);
    }
}

void Store::putLocked(const std::string& key, const std::string& value, std::int64_t lease)
{
    auto& item = m_items[key];
    item.value = value;
    item.revision = m_revision;
    if (!item.created)
        item.created = m_revision;
    item.lease = lease;
    m_events.push_back({ key, m_revision, false, item });
}

void Store::removeLocked(const std::string& key)
{
    if (!m_items.erase(key))
        return;
    m_events.push_back({ key, ++m_revision, true, {} });
    m_changed.notify_all();
}

void Store::put(const std::string& key, const Json& value)
{
    const std::lock_guard lock(m_mutex);
    ++m_revision;
    putLocked(key, base64(value.dump()), 0);
    m_changed.notify_all();
}

void Store::remove(const std::string& key)
{
    const std::lock_guard lock(m_mutex);
    removeLocked(key);
}

std::optional<Json> Store::get(const std::string& key)
{
    const std::lock_guard lock(m_mutex);
    expire();
    const auto found = m_items.find(key);
    if (found == m_items.end())
        return std::nullopt;
    const auto text = unbase64(found->second.value);
    auto value = Json::parse(text, nullptr, false);
    return value.is_discarded() ? Json(text) : value;
}

std::vector<std::pair<std::string, std::string>> Store::list(const std::string& prefix)
{
    const std::lock_guard lock(m_mutex);
    std::vector<std::pair<std::string, std::string>> found;
    for (const auto& [key, item] : m_items) {
        if (key.starts_with(prefix))
            found.emplace_back(key, unbase64(item.value));
    }
    return found;
}

Response Store::handle(std::size_t caller, const Request& request)
{
    std::this_thread::sleep_for(Ms(answerMs / 2));
    switch (mode(caller)) {
    case Mode::Busy:
        return answer(503);
    case Mode::Silent:
        while (mode(caller) == Mode::Silent)
            std::this_thread::sleep_for(Ms(20));
        return dropped();
    case Mode::Ok:
        break;
    }
    Response response;
    if (request.path == "/-/kv-range")
        response = range(request);
    else if (request.path == "/-/kv-watch")
        response = watch(caller, request);
    else if (request.path == "/-/kv-txn")
        response = txn(caller, request);
    else if (request.path == "/-/kv-key") {
        const std::lock_guard lock(m_mutex);
        expire();
        const auto& key = request.query.at("key");
        const auto found = m_items.find(key);
        response = found == m_items.end()
            ? answer(404)
            : answer(200,
                { { "key", key }, { "value", found->second.value }, { "rev", found->second.revision },
                    { "create_revision", found->second.created }, { "lease", found->second.lease },
                    { "current_rev", m_revision } });
    } else if (request.path == "/-/kv-lease") {
        const std::lock_guard lock(m_mutex);
        const auto ttl = std::max<std::int64_t>(ttlMinMs, Json::parse(request.body).value("ttl_ms", 3000));
        const auto id = ++m_nextLease;
        m_leases[id] = { ttl, nowMs() + ttl };
        response = answer(200, { { "lease", id }, { "ttl_ms", ttl } });
    } else if (request.path.starts_with("/-/kv-keep/")) {
        const std::lock_guard lock(m_mutex);
        expire();
        const auto found = m_leases.find(std::stoll(request.path.substr(11)));
        if (found == m_leases.end()) {
            response = answer(404);
        } else {
            found->second.deadline = nowMs() + found->second.ttl;
            response = answer(200, { { "ttl_ms", found->second.ttl } });
        }
    } else if (request.path.starts_with("/-/kv-lease-end/")) {
        const std::lock_guard lock(m_mutex);
        if (const auto found = m_leases.find(std::stoll(request.path.substr(16))); found != m_leases.end())
            found->second.deadline = 0;
        expire();
        response = answer(200);
    } else {
        response = answer(404);
    }
    std::this_thread::sleep_for(Ms(answerMs - answerMs / 2));
    return response;
}

Response Store::range(const Request& request)
{
    const std::lock_guard lock(m_mutex);
    expire();
    const auto prefix = request.query.contains("prefix") ? request.query.at("prefix") : "";
    const auto after = request.query.contains("after") ? request.query.at("after") : "";
    auto items = Json::array();
    bool hasMore = false;
    std::size_t bytes = 0;
    for (auto item = m_items.lower_bound(prefix); item != m_items.end() && item->first.starts_with(prefix); ++item) {
        if (!after.empty() && item->first <= after)
            continue;
        if (items.size() >= 500 || (bytes > 1000000 && !items.empty())) {
            hasMore = true;
            break;
        }
        bytes += item->second.value.size();
        items.push_back({ { "key", item->first }, { "value", item->second.value }, { "rev", item->second.revision },
            { "create_revision", item->second.created }, { "lease", item->second.lease } });
    }
    return answer(200, { { "items", items }, { "has_more", hasMore }, { "current_rev", m_revision } });
}

Response Store::watch(std::size_t caller, const Request& request)
{
    const auto prefix = request.query.contains("prefix") ? request.query.at("prefix") : "";
    const auto after = std::stoll(request.query.at("after"));
    const auto until = nowMs() + std::min<std::int64_t>(30000, std::stoll(request.query.at("wait_ms")));
    std::unique_lock lock(m_mutex);
    while (true) {
        expire();
        if (mode(caller) != Mode::Ok)
            return dropped(); // a watch that is waiting may be cut
        if (!m_events.empty() && after + 1 < m_events.front().revision && m_events.size() >= 100000)
            return answer(410);
        auto events = Json::array();
        for (const auto& event : m_events) {
            if (event.revision <= after || !event.key.starts_with(prefix))
                continue;
            if (event.isDeleted)
                events.push_back({ { "key", event.key }, { "rev", event.revision }, { "deleted", true } });
            else
                events.push_back({ { "key", event.key }, { "value", event.item.value }, { "rev", event.revision },
                    { "create_revision", event.item.created }, { "lease", event.item.lease } });
        }
        if (!events.empty() || nowMs() >= until)
            return answer(200, { { "events", events }, { "current_rev", m_revision } });
        m_changed.wait_for(lock, Ms(20));
    }
}

Response Store::txn(std::size_t caller, const Request& request)
{
    auto body = Json::parse(request.body, nullptr, false);
    if (!body.is_object())
        return answer(400);
    std::int64_t revision = 0;
    {
        const std::lock_guard lock(m_mutex);
        expire();
        const auto size = body["expect"].size() + body["puts"].size() + body["deletes"].size();
        if (size > 32)
            return answer(400, { { "reason", "more than 32 entries" } });
        auto current = Json::array();
        bool isMet = true;
        for (const auto& row : body["expect"]) {
            const auto key = row["key"].get<std::string>();
            const auto found = m_items.find(key);
            isMet &= row["rev"].get<std::int64_t>() == (found == m_items.end() ? 0 : found->second.revision);
            if (found != m_items.end())
                current.push_back({ { "key", key }, { "value", found->second.value }, { "rev", found->second.revision },
                    { "create_revision", found->second.created }, { "lease", found->second.lease } });
        }
        if (!isMet)
            return answer(412, { { "items", current } });
        for (const auto& row : body["puts"]) {
            if (row["value"].get<std::string>().size() / 4 * 3 > valueBytes + 2
                || row["key"].get<std::string>().size() > 200) {
                if (m_tooLarge++ < 5)
                    note("store: a value of " + std::to_string(row["value"].get<std::string>().size() / 4 * 3)
                        + " bytes for " + row["key"].get<std::string>() + " is refused, 400");
                return answer(400, { { "reason", "value too large" } });
            }
            const auto lease = row.value("lease", std::int64_t { 0 });
            if (lease && !m_leases.contains(lease))
                return answer(404);
        }
        revision = ++m_revision;
        for (const auto& row : body["puts"])
            putLocked(
                row["key"].get<std::string>(), row["value"].get<std::string>(), row.value("lease", std::int64_t { 0 }));
        for (const auto& key : body["deletes"]) {
            if (m_items.erase(key.get<std::string>()))
                m_events.push_back({ key.get<std::string>(), m_revision, true, {} });
        }
        m_changed.notify_all();
    }
    if (onWrite)
        onWrite(caller, body);
    return answer(200, { { "rev", revision } });
}

// Worker

Worker::Worker(World& world, std::string workerId, std::string machineId, std::string serviceName, std::string zoneName,
    std::string rackName)
    : id(std::move(workerId))
    , machine(std::move(machineId))
    , service(std::move(serviceName))
    , zone(std::move(zoneName))
    , rack(std::move(rackName))
    , m_world(world)
    , m_bornMs(nowMs())
    , m_bornUnix(unixMs())
{
    m_server = std::make_unique<Server>([this](const Request& request) { return receive(request); }, freePort());
    registerSelf();
}

void Worker::registerSelf()
{
    m_world.store.put("servers/" + id,
        { { "service", service }, { "addr", m_server->address() }, { "zone", zone }, { "version", "v1" },
            { "slots", 8 }, { "state", "ready" }, { "cold_left_ms", 0 }, { "seq", 1 }, { "born", m_bornUnix },
            { "machine", machine }, { "capacity", { { "cpu", 32000 }, { "mem_mb", 131072 }, { "gpu", 0 } } },
            { "labels", { "a", rack } } });
}

void Worker::leave() { stop(false); }

void Worker::crash() { stop(true); }

void Worker::stop(bool isCrash)
{
    {
        const std::lock_guard lock(m_mutex);
        if (m_hasLeft)
            return;
        m_hasLeft = true;
        while (!m_running.empty())
            end(std::string(m_running.begin()->first), "lost with its worker");
        m_changed.notify_all();
    }
    if (!isCrash)
        m_world.store.remove("servers/" + id);
    m_server->close();
}

Response Worker::receive(const Request& request)
{
    const auto delay = m_world.orderDelay ? m_world.orderDelay(*this, request) : 0;
    if (!delay)
        return handle(request);
    note("worker " + id + ": no answer to " + request.path + " " + request.body + ", carried out in "
        + std::to_string(delay) + " ms");
    std::thread([&world = m_world, name = id, request, delay] {
        std::this_thread::sleep_for(Ms(delay));
        for (const auto& worker : world.workers()) {
            if (worker->id != name)
                continue;
            const auto response = worker->handle(request);
            note("worker " + name + ": late " + request.path + " " + request.body
                + " is carried out: " + std::to_string(response.status));
        }
    }).detach();
    for (int i = 0; i < 300 && !m_hasLeft; ++i)
        std::this_thread::sleep_for(Ms(10));
    return dropped();
}

Response Worker::handle(const Request& request)
{
    if (isCut) {
        for (int i = 0; i < 3000 && isCut && !m_hasLeft; ++i)
            std::this_thread::sleep_for(Ms(10));
        return dropped();
    }
    if (const auto expected = request.headers.find("expect-instance");
        expected != request.headers.end() && expected->second != id)
        return answer(421);
    const auto body = Json::parse(request.body, nullptr, false);
    if (!body.is_object())
        return answer(400);
    Response response;
    {
        const std::lock_guard lock(m_mutex);
        if (m_hasLeft)
            return dropped();
        const auto fence = body.value("fence", std::int64_t { 0 });
        if (fence < m_fence)
            return answer(409, { { "clock_ms", clock() }, { "reason", "fence" } });
        m_fence = fence;
    }
    if (request.path == "/-/run-start") {
        response = start(body);
    } else if (request.path == "/-/run-stop") {
        const std::lock_guard lock(m_mutex);
        const auto task = body.value("task", std::string());
        const auto run = body.value("run", std::int64_t { 0 });
        m_last[task] = std::max(m_last[task], run);
        if (const auto found = m_running.find(task);
            found != m_running.end() && found->second.run->number == run && !found->second.stopAt)
            found->second.stopAt = nowMs() + m_world.stopMs / 10;
        response = answer(200, { { "clock_ms", clock() } });
    } else if (request.path == "/-/hold") {
        response = hold(body);
    } else if (request.path == "/-/pace") {
        const std::lock_guard lock(m_mutex);
        if (const auto found = m_running.find(body.value("task", std::string())); found != m_running.end())
            found->second.percent = body.value("percent", 100);
        response = answer(200, { { "clock_ms", clock() } });
    } else {
        response = answer(request.path == "/health" ? 200 : 404);
    }
    return isCut ? dropped() : response;
}

Response Worker::start(const Json& body)
{
    std::unique_lock lock(m_mutex);
    const auto task = body.value("task", std::string());
    const auto number = body.value("run", std::int64_t { 0 });
    const auto refuse = [&](const char* reason) {
        return answer(409, { { "clock_ms", clock() }, { "reason", reason } });
    };
    const auto deadline = std::min(body.value("deadline_ms", std::int64_t { 0 }), clock() + m_world.holdMaxMs);
    if (deadline <= clock())
        return refuse("late");
    m_deadline = std::max(m_deadline, deadline);
    if (const auto found = m_running.find(task); found != m_running.end())
        return found->second.run->number == number ? answer(200, { { "clock_ms", clock() } }) : refuse("old");
    if (number <= m_last[task])
        return refuse("old");
    auto run = std::make_shared<Run>();
    run->task = task;
    run->number = number;
    run->worker = id;
    run->spec = body.value("spec", std::string());
    run->checkpoint = body.value("last_checkpoint", std::string());
    run->fence = body.value("fence", std::int64_t { 0 });
    run->begin = nowMs();
    Active active;
    active.run = run;
    active.saved = run->checkpoint;
    active.spec = Json::parse(run->spec, nullptr, false);
    if (!active.spec.is_object())
        active.spec = Json::object();
    active.readyAt = active.spec.contains("gang") ? 0 : nowMs() + (run->checkpoint.empty() ? 0 : 250);
    m_running.emplace(task, std::move(active));
    const auto clockMs = clock();
    lock.unlock();
    {
        const std::lock_guard worldLock(m_world.mutex);
        m_world.allRuns.push_back(run);
    }
    if (isNamed(task))
        note("worker " + id + ": starts " + task + " run " + std::to_string(number) + " fence "
            + std::to_string(run->fence) + (run->checkpoint.empty() ? "" : " from " + run->checkpoint));
    return answer(200, { { "clock_ms", clockMs } });
}

Response Worker::hold(const Json& body)
{
    std::unique_lock lock(m_mutex);
    const auto acked = body.value("acked", std::int64_t { 0 });
    while (!m_ends.empty() && m_ends.front().number <= acked) {
        m_ends.front().run->acked = nowMs();
        m_ends.pop_front();
    }
    if (body.contains("deadline_ms"))
        m_deadline
            = std::max(m_deadline, std::min(body["deadline_ms"].get<std::int64_t>(), clock() + m_world.holdMaxMs));
    const auto until = nowMs() + std::min<std::int64_t>(2000, body.value("wait_ms", std::int64_t { 0 }));
    while (m_ends.empty() && nowMs() < until && !m_hasLeft && !isCut)
        m_changed.wait_for(lock, Ms(until - nowMs()));
    if (m_hasLeft)
        return dropped();
    auto running = Json::array();
    for (const auto& [task, active] : m_running) {
        const bool isAtWork = active.readyAt && nowMs() >= active.readyAt + 100 && !active.stopAt;
        running.push_back({ task, active.run->number, active.saved, isAtWork ? active.percent : 0, 1 });
    }
    auto ends = Json::array();
    for (const auto& each : m_ends) {
        if (ends.size() >= 500)
            break;
        ends.push_back({ each.number, each.run->task, each.run->number, each.run->how, each.saved });
    }
    return answer(
        200, { { "clock_ms", clock() }, { "born", m_bornUnix }, { "running", running }, { "ended_runs", ends } });
}

void Worker::end(const std::string& task, const std::string& how)
{
    const auto found = m_running.find(task);
    if (found == m_running.end())
        return;
    const auto active = found->second;
    m_running.erase(found);
    active.run->end = nowMs();
    active.run->how = how;
    m_last[task] = std::max(m_last[task], active.run->number);
    if (!m_hasLeft)
        m_ends.push_back({ m_nextEnd++, active.run, active.saved });
    m_changed.notify_all();
    if (isNamed(task))
        note("worker " + id + ": " + task + " run " + std::to_string(active.run->number) + " ended: " + how);
}

void Worker::tick()
{
    // Members of gangs, by step, run and the state that they go on from.
    const std::lock_guard worldLock(m_world.mutex);
    const std::lock_guard lock(m_mutex);
    if (m_hasLeft)
        return;
    const auto now = nowMs();
    std::vector<std::pair<std::string, std::string>> ended;
    for (auto& [task, active] : m_running) {
        const auto& spec = active.spec;
        const auto index = std::stoi(task.substr(task.rfind('.') + 1));
        if (spec.contains("gang")) {
            const auto step = task.substr(0, task.rfind('.') + 1);
            int present = 0;
            bool isBroken = false;
            for (const auto& other : m_world.allRuns) {
                if (!other->task.starts_with(step) || other->number != active.run->number
                    || other->checkpoint != active.run->checkpoint)
                    continue;
                present += !other->end || other->how == "done";
                isBroken |= other->end && other->how != "done";
            }
            if (!active.readyAt && present >= spec.value("gang", 1))
                active.readyAt = now + (active.run->checkpoint.empty() ? 0 : 250);
            if (active.readyAt && isBroken)
                ended.emplace_back(task, "broken");
            else if (!active.readyAt && now > active.run->begin + m_world.gangMs)
                ended.emplace_back(task, "alone");
        }
        if (clock() >= m_deadline) {
            ended.emplace_back(task, "lapsed");
            continue;
        }
        const auto& from = active.run->checkpoint;
        const auto restored
            = from.empty() ? 0 : std::stoll("0" + from.substr(from.rfind('-') + 1)) * m_world.checkpointMs;
        const auto worked = active.readyAt && now > active.readyAt ? restored + now - active.readyAt : 0;
        if (spec.value("saves", false) && worked >= restored + m_world.checkpointMs) {
            const auto value = "m" + std::to_string(index) + "-r" + std::to_string(active.run->number) + "-"
                + std::to_string(worked / m_world.checkpointMs);
            active.saved = value;
        }
        if (active.stopAt && now >= active.stopAt)
            ended.emplace_back(task, "stopped");
        else if (spec.contains("fail_after") && active.readyAt && worked >= spec["fail_after"].get<std::int64_t>()
            && index == spec.value("fail_index", 0) && active.run->number == spec.value("fail_run", 1))
            ended.emplace_back(task, "failed");
        else if (active.readyAt && !spec.value("lasts", false) && worked >= spec.value("work", 100))
            ended.emplace_back(task, "done");
    }
    for (const auto& [task, how] : ended)
        end(task, how);
}

// World

World::World(std::string program, std::string folder, std::string settings)
    : m_program(std::move(program))
    , m_folder(std::move(folder))
    , m_settings(std::move(settings))
{
    m_ticker = std::thread([this] {
        while (!m_isEnding) {
            tick();
            std::this_thread::sleep_for(Ms(10));
        }
    });
}

World::~World()
{
    for (std::size_t i = 0; i < nodes.size(); ++i)
        killNode(i);
    m_isEnding = true;
    m_ticker.join();
}

void World::tick()
{
    std::vector<std::shared_ptr<Worker>> all;
    {
        const std::lock_guard lock(mutex);
        for (auto& machine : machines) {
            if (machine->backAt && nowMs() >= machine->backAt) {
                machine->backAt = 0;
                spawnWorker(*machine);
                machine->state = "up";
                note(
                    "machine " + machine->id + ": up in pool " + machine->pool + " with worker " + machine->worker->id);
            }
            if (machine->worker)
                all.push_back(machine->worker);
        }
    }
    for (const auto& worker : all)
        worker->tick();
}

void World::spawnWorker(Machine& machine)
{
    machine.worker = std::make_shared<Worker>(
        *this, "i-" + std::to_string(1000 + m_nextId++), machine.id, machine.pool, machine.zone, machine.rack);
}

void World::restartWorker(std::size_t index, std::int64_t downMs)
{
    std::shared_ptr<Worker> former;
    {
        const std::lock_guard lock(mutex);
        former = std::exchange(machines[index]->worker, nullptr);
        formerWorkers.push_back(former);
    }
    former->crash();
    note("worker " + former->id + " crashes");
    std::this_thread::sleep_for(Ms(downMs));
    const std::lock_guard lock(mutex);
    auto& machine = *machines[index];
    machine.worker = std::make_shared<Worker>(*this, former->id, machine.id, machine.pool, machine.zone, machine.rack);
    note("worker " + former->id + " starts again under its id");
}

void World::addMachine(const std::string& pool, const std::string& zone, const std::string& rack)
{
    const std::lock_guard lock(mutex);
    auto machine = std::make_unique<Machine>();
    machine->id = "m-" + std::to_string(machines.size() + 1);
    machine->pool = pool;
    machine->zone = zone;
    machine->rack = rack;
    spawnWorker(*machine);
    machines.push_back(std::move(machine));
}

Response World::applyOrder(const std::string& what, const Json& body, const std::string& holder, std::int64_t fence)
{
    std::shared_ptr<Worker> leaving;
    {
        const std::lock_guard lock(mutex);
        Machine* machine = nullptr;
        for (auto& each : machines) {
            if (each->id == body.value("machine", std::string()))
                machine = each.get();
        }
        if (!machine)
            return answer(400);
        if (fence < machine->fence)
            return answer(409, { { "reason", "fence" } });
        machine->fence = fence;
        if (what == "/-/machine-upkeep") {
            const auto wave = body.value("wave", std::int64_t { 0 });
            const auto requested = store.get("op/wave/" + std::to_string(wave));
            const auto listed = requested ? (*requested)["machines"] : Json::array();
            if (std::find(listed.begin(), listed.end(), Json(machine->id)) == listed.end())
                return answer(409, { { "reason", "wave" } });
            if (machine->waves.contains(wave))
                return answer(200);
            if (machine->state != "up")
                return answer(409, { { "reason", "busy" } });
            machine->waves.insert(wave);
            machine->state = "upkeep";
            machine->backAt = nowMs() + upkeepMs;
            allUpkeeps.push_back({ machine->id, wave, holder, fence, nowMs(), machine->backAt });
            note("machine " + machine->id + ": upkeep of wave " + std::to_string(wave) + " begins, ordered by " + holder
                + " with fence " + std::to_string(fence));
        } else {
            const auto pool = body.value("pool", std::string());
            if (machine->pool == pool)
                return answer(200);
            if (machine->state != "up")
                return answer(409, { { "reason", "busy" } });
            machine->pool = pool;
            machine->state = "moving";
            machine->backAt = nowMs() + moveMs;
            note("machine " + machine->id + ": moves to " + pool + ", ordered by " + holder);
        }
        leaving = std::exchange(machine->worker, nullptr);
        formerWorkers.push_back(leaving);
    }
    leaving->leave();
    return answer(200);
}

Response World::cloudCall(std::size_t node, const Request& request)
{
    if (request.path == "/-/machines") {
        const std::lock_guard lock(mutex);
        auto rows = Json::array();
        for (const auto& machine : machines)
            rows.push_back({ { "machine", machine->id }, { "pool", machine->pool }, { "state", machine->state },
                { "zone", machine->zone }, { "labels", { "a", machine->rack } },
                { "capacity", { { "cpu", 32000 }, { "mem_mb", 131072 }, { "gpu", 0 } } },
                { "id", machine->worker ? machine->worker->id : "" } });
        return answer(200, { { "machines", rows }, { "next_token", nullptr } });
    }
    const auto body = Json::parse(request.body, nullptr, false);
    if (!body.is_object() || !request.headers.contains("holder") || !request.headers.contains("fence-token"))
        return answer(400);
    const auto holder = request.headers.at("holder");
    const auto fence = std::stoll(request.headers.at("fence-token"));
    const auto delay = cloudDelay ? cloudDelay(body, holder) : 0;
    if (!delay) {
        auto response = applyOrder(request.path, body, holder, fence);
        note(nodes[node]->name + " to the machines: " + request.path + " " + body.dump() + " fence "
            + std::to_string(fence) + ": " + std::to_string(response.status) + " " + response.body);
        return response;
    }
    note(nodes[node]->name + " to the machines: " + request.path + " " + body.dump() + " fence " + std::to_string(fence)
        + ": no answer, carried out in " + std::to_string(delay) + " ms");
    const std::lock_guard lock(mutex);
    m_delayed.emplace_back([this, path = request.path, body, holder, fence, delay] {
        std::this_thread::sleep_for(Ms(delay));
        if (m_isEnding)
            return;
        const auto response = applyOrder(path, body, holder, fence);
        note("late call to the machines: " + path + " " + body.dump() + " fence " + std::to_string(fence) + ": "
            + std::to_string(response.status) + " " + response.body);
    });
    m_delayed.back().detach();
    Response silent;
    std::this_thread::sleep_for(Ms(std::min<std::int64_t>(delay, 5000)));
    silent.isDropped = true;
    return silent;
}

void World::addNode(const std::string& zone)
{
    const auto index = nodes.size();
    auto node = std::make_unique<Node>();
    node->name = "edge-" + zone + "-" + std::to_string(index + 1);
    node->zone = zone;
    node->front = freePort();
    node->ready = freePort();
    node->peer = freePort();
    node->metrics = freePort();
    node->store = std::make_unique<Server>(
        [this, index](const Request& request) { return store.handle(index, request); }, freePort());
    node->cloud = std::make_unique<Server>(
        [this, index](const Request& request) { return cloudCall(index, request); }, freePort());
    node->settings = m_folder + "/" + node->name + ".toml";
    node->log = m_folder + "/" + node->name + ".log";
    const auto at = [](int port) { return "\"127.0.0.1:" + std::to_string(port) + "\"\n"; };
    std::ofstream file(node->settings);
    // deploy/settings.toml.in, as it is rendered for a machine of a small deployment.
    file << "node = \"" << node->name << "\"\ndata_center = \"" << zone << "\"\ncallers = " << at(node->front)
         << "ready = " << at(node->ready) << "address = \"127.0.0.1\"\npeer_port = " << node->peer
         << "\nprocessors = 0.25\nmetrics_port = " << node->metrics << "\nstore = " << at(node->store->port())
         << "instances = " << at(node->cloud->port())
         << "orders = \"dispatch\"\ncontracts = "
            "\"base,drain,config,cost,recover,sched,tenants,quota,places,platform,advice,upkeep,sharing\"\n[bounds]\n"
            "grace_s = 6\nlongest_lease_ms = 6000\nstatus_kept_s = 120\nnotice_ms = 4500\nmaintenance_s = 2\n"
            "move_s = 1.5\ninstance_fences = true\nstrict_keys = false\nkey_horizon_ms = 5000\n\n[limits]\n"
            "memory_mb = 260\nmax_fds = 4100\n[scheduling]\nadmission = true\nshares = true\n"
         << m_settings;
    file.close();
    nodes.push_back(std::move(node));
}

void World::startNode(std::size_t index)
{
    auto& node = *nodes[index];
    const auto process = ::fork();
    if (process == 0) {
        const int log = ::open(node.log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        ::dup2(log, 1);
        ::dup2(log, 2);
        ::prctl(PR_SET_PDEATHSIG, SIGKILL); // ends with this process, also if a time limit ends that one
        ::setenv("MARIGOLDLINK_NODE_FILE", node.settings.c_str(), 1);
        ::execl(m_program.c_str(), m_program.c_str(), nullptr);
        ::_exit(127);
    }
    node.process = process;
    note("process " + node.name + " is started");
}

void World::signalNode(std::size_t index, int signal)
{
    if (nodes[index]->process > 0)
        ::kill(nodes[index]->process, signal);
    note("process " + nodes[index]->name + " gets signal " + std::to_string(signal));
}

void World::killNode(std::size_t index)
{
    auto& node = *nodes[index];
    if (node.process <= 0)
        return;
    ::kill(node.process, SIGKILL);
    ::waitpid(node.process, nullptr, 0);
    node.process = 0;
    note("process " + node.name + " is killed");
}

bool World::isAlive(std::size_t index)
{
    auto& node = *nodes[index];
    if (node.process <= 0)
        return false;
    int status = 0;
    if (::waitpid(node.process, &status, WNOHANG) != node.process)
        return true;
    note("process " + node.name + " has ended by itself, wait status " + std::to_string(status));
    node.process = 0;
    return false;
}

std::optional<std::size_t> World::coordinator()
{
    const auto owner = store.get("marigold/owner");
    if (!owner)
        return std::nullopt;
    const auto text = owner->is_string() ? owner->get<std::string>() : owner->dump();
    for (std::size_t i = 0; i < nodes.size(); ++i) {
        if (text.find(":" + std::to_string(nodes[i]->peer)) != std::string::npos)
            return i;
    }
    return std::nullopt;
}

bool World::awaitCoordinator(Ms timeout)
{
    const auto until = nowMs() + timeout.count();
    while (nowMs() < until) {
        if (coordinator())
            return true;
        std::this_thread::sleep_for(Ms(20));
    }
    return false;
}

bool World::awaitReady(Ms timeout)
{
    const auto until = nowMs() + timeout.count();
    for (std::size_t i = 0; i < nodes.size(); ++i) {
        while (client(i, "GET", "/qa/").status != 200) {
            if (nowMs() > until)
                return false;
            std::this_thread::sleep_for(Ms(100));
        }
    }
    return true;
}

Reply World::client(std::size_t node, const std::string& method, const std::string& path, const Json& body, Ms timeout)
{
    const auto reply = call(nodes[node]->front, method, path, body.is_null() ? "" : body.dump(),
        { { "host", "jobs.example" }, { "credential", "key-a" }, { "content-type", "application/json" },
            { "deadline-ms", std::to_string(timeout.count()) } },
        timeout);
    note("client to " + nodes[node]->name + ": " + method + " " + path + ": "
        + (reply.status ? std::to_string(reply.status) : "no answer") + " " + reply.body.substr(0, 200));
    return reply;
}

void World::setConfig(const Json& config) { store.put("op/config", config); }

Json World::config()
{
    const auto route = [](const char* name, const char* prefix, const char* service) {
        return Json { { "name", name }, { "host", "jobs.example" }, { "prefix", prefix }, { "kind", "non_idempotent" },
            { "timeout_ms", 3000 }, { "slo_ms", 2500 }, { "priority", 0 }, { "service", service }, { "attempts", 4 },
            { "stretch", 2.2 }, { "no_auth", false } };
    };
    const auto service = [](const char* name, bool isSpare) {
        return Json { { "name", name }, { "health_path", "/health" }, { "max_conns", 64 }, { "protocol", "h1" },
            { "tls", false }, { "rejects_overload", false }, { "spare", isSpare } };
    };
    const auto tenant = [](const char* name, const char* key) {
        return Json { { "name", name }, { "weight", 10 },
            { "max_count", { { "cpu", 0 }, { "mem_mb", 0 }, { "gpu", 0 } } }, { "api_keys", Json::array({ key }) } };
    };
    return { { "version", 7 }, { "routes", Json::array({ route("r-qa", "/qa/", "sa"), route("r-qb", "/qb/", "sb") }) },
        { "services", Json::array({ service("sa", false), service("sb", false), service("spare", true) }) },
        { "tenants", Json::array({ tenant("ta", "key-a"), tenant("tb", "key-b") }) }, { "limits", Json::object() } };
}

std::vector<Run> World::runs(const std::string& job)
{
    const std::lock_guard lock(mutex);
    std::vector<Run> found;
    for (const auto& run : allRuns) {
        if (job.empty() || run->task.starts_with(job + "."))
            found.push_back(*run);
    }
    return found;
}

std::vector<Upkeep> World::upkeeps()
{
    const std::lock_guard lock(mutex);
    return allUpkeeps;
}

std::vector<std::shared_ptr<Worker>> World::workers(const std::string& pool)
{
    const std::lock_guard lock(mutex);
    std::vector<std::shared_ptr<Worker>> found;
    for (const auto& machine : machines) {
        if (machine->worker && (pool.empty() || machine->pool == pool))
            found.push_back(machine->worker);
    }
    return found;
}

} // namespace standin
