// Stand-ins of the hosting platform for the review's scripts: HTTP, the key-value store, workers, the list of machines,
// a client, and the processes under test. Written from PROTOCOL.md and DEPLOY.md. All addresses are loopback addresses.
#pragma once

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <fstream>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <nlohmann/json.hpp>
#include <optional>
#include <poll.h>
#include <set>
#include <string>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace review {

using Json = nlohmann::json;

inline const char* const host = "127.0.0.1";

inline std::int64_t steadyMs()
{
    using namespace std::chrono;
    return duration_cast<milliseconds>(steady_clock::now().time_since_epoch()).count();
}

inline std::int64_t unixMs()
{
    using namespace std::chrono;
    return duration_cast<milliseconds>(system_clock::now().time_since_epoch()).count();
}

inline void sleepMs(std::int64_t ms)
{
    if (ms > 0)
        std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

// Writes record.txt. Times are milliseconds since the start.
class Record {
public:
    void open(const std::string& file)
    {
        m_file = std::fopen(file.c_str(), "w");
        m_start = steadyMs();
    }

    std::int64_t now() const { return steadyMs() - m_start; }

    __attribute__((format(printf, 2, 3))) void line(const char* format, ...)
    {
        std::lock_guard lock(m_mutex);
        if (!m_file)
            return;
        std::fprintf(m_file, "%8lld ", static_cast<long long>(now()));
        va_list arguments;
        va_start(arguments, format);
        std::vfprintf(m_file, format, arguments);
        va_end(arguments);
        std::fputc('\n', m_file);
        std::fflush(m_file);
    }

private:
    std::mutex m_mutex;
    std::FILE* m_file { nullptr };
    std::int64_t m_start { 0 };
};

inline Record record;

// Waits until the condition holds. Returns false after the timeout.
template <typename Condition> bool waitFor(std::int64_t timeoutMs, Condition condition)
{
    const auto end = steadyMs() + timeoutMs;
    while (!condition()) {
        if (steadyMs() > end)
            return false;
        sleepMs(10);
    }
    return true;
}

// HTTP ------------------------------------------------------------------------------------------------------------

struct Message {
    std::string method;
    std::string path;
    std::map<std::string, std::string> query;
    std::map<std::string, std::string> headers; // by lower-case name
    std::string body;
    int status { 0 };
};

struct Response {
    int status { 200 };
    Json body = Json::object();
    bool isLost { false }; // nothing is sent, and the connection is closed
};

inline std::string decodePercent(const std::string& text)
{
    std::string decoded;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size()) {
            decoded += static_cast<char>(std::strtol(text.substr(i + 1, 2).c_str(), nullptr, 16));
            i += 2;
        } else {
            decoded += text[i];
        }
    }
    return decoded;
}

// Reads one message with a body of known length. Returns nothing at the end of the connection or after the timeout.
inline std::optional<Message> readMessage(int descriptor, std::string& buffer, std::int64_t timeoutMs)
{
    const auto end = steadyMs() + timeoutMs;
    const auto readMore = [&] {
        pollfd waiting { descriptor, POLLIN, 0 };
        const auto left = end - steadyMs();
        if (left <= 0 || ::poll(&waiting, 1, static_cast<int>(left)) <= 0)
            return false;
        char part[65536];
        const auto size = ::recv(descriptor, part, sizeof(part), 0);
        if (size <= 0)
            return false;
        buffer.append(part, static_cast<std::size_t>(size));
        return true;
    };
    std::size_t headEnd = 0;
    while ((headEnd = buffer.find("\r\n\r\n")) == std::string::npos) {
        if (!readMore())
            return std::nullopt;
    }
    Message message;
    std::size_t lineStart = 0;
    bool isFirst = true;
    while (lineStart < headEnd) {
        auto lineEnd = buffer.find("\r\n", lineStart);
        const auto text = buffer.substr(lineStart, lineEnd - lineStart);
        lineStart = lineEnd + 2;
        if (isFirst) {
            isFirst = false;
            const auto first = text.find(' ');
            const auto second = text.find(' ', first + 1);
            if (text.starts_with("HTTP/")) {
                message.status = std::atoi(text.c_str() + first + 1);
                continue;
            }
            message.method = text.substr(0, first);
            auto target = text.substr(first + 1, second - first - 1);
            const auto question = target.find('?');
            message.path = target.substr(0, question);
            if (question != std::string::npos) {
                std::string rest = target.substr(question + 1);
                while (!rest.empty()) {
                    const auto next = rest.find('&');
                    const auto pair = rest.substr(0, next);
                    const auto equals = pair.find('=');
                    if (equals != std::string::npos)
                        message.query[pair.substr(0, equals)] = decodePercent(pair.substr(equals + 1));
                    rest = next == std::string::npos ? "" : rest.substr(next + 1);
                }
            }
            continue;
        }
        const auto colon = text.find(':');
        if (colon == std::string::npos)
            continue;
        auto name = text.substr(0, colon);
        for (auto& c : name)
            c = static_cast<char>(std::tolower(c));
        auto value = text.substr(colon + 1);
        value.erase(0, value.find_first_not_of(' '));
        message.headers[name] = value;
    }
    const auto length = message.headers.find("content-length");
    const auto size = length == message.headers.end() ? 0 : std::strtoull(length->second.c_str(), nullptr, 10);
    while (buffer.size() < headEnd + 4 + size) {
        if (!readMore())
            return std::nullopt;
    }
    message.body = buffer.substr(headEnd + 4, size);
    buffer.erase(0, headEnd + 4 + size);
    return message;
}

inline bool sendAll(int descriptor, const std::string& text)
{
    for (std::size_t sent = 0; sent < text.size();) {
        const auto size = ::send(descriptor, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
        if (size <= 0)
            return false;
        sent += static_cast<std::size_t>(size);
    }
    return true;
}

inline sockaddr_in loopback(int port)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    ::inet_pton(AF_INET, host, &address.sin_addr);
    return address;
}

inline void setNoDelay(int descriptor)
{
    const int enabled = 1;
    ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
}

// Serves requests with a thread for each connection, until the process ends.
class Server {
public:
    using Handler = std::function<Response(const Message&)>;

    explicit Server(Handler handler)
        : m_handler(std::move(handler))
    {
        listen(0);
    }

    int port() const { return m_port; }

    // Resets all connections and refuses new ones, as a process does that was killed.
    void crash()
    {
        std::lock_guard lock(m_mutex);
        ::shutdown(m_listener, SHUT_RDWR);
        ::close(m_listener);
        m_listener = -1;
        for (const int descriptor : m_connections) {
            const linger reset { 1, 0 };
            ::setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
            ::shutdown(descriptor, SHUT_RDWR);
        }
    }

    // Listens on the same port again.
    void restart() { listen(m_port); }

private:
    void listen(int port)
    {
        const int listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int enabled = 1;
        ::setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof(enabled));
        auto address = loopback(port);
        socklen_t length = sizeof(address);
        if (::bind(listener, reinterpret_cast<sockaddr*>(&address), length) || ::listen(listener, 1024)) {
            std::perror("listen");
            std::_Exit(2);
        }
        ::getsockname(listener, reinterpret_cast<sockaddr*>(&address), &length);
        m_port = ntohs(address.sin_port);
        {
            std::lock_guard lock(m_mutex);
            m_listener = listener;
        }
        std::thread([this, listener] {
            while (true) {
                const int descriptor = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
                if (descriptor < 0)
                    return;
                setNoDelay(descriptor);
                {
                    std::lock_guard lock(m_mutex);
                    m_connections.insert(descriptor);
                }
                std::thread([this, descriptor] { serve(descriptor); }).detach();
            }
        }).detach();
    }

    void serve(int descriptor)
    {
        std::string buffer;
        while (const auto request = readMessage(descriptor, buffer, 300000)) {
            const auto response = m_handler(*request);
            if (response.isLost)
                break;
            const auto body = response.body.dump();
            if (!sendAll(descriptor,
                    "HTTP/1.1 " + std::to_string(response.status)
                        + " Status\r\ncontent-type: application/json\r\ncontent-length: " + std::to_string(body.size())
                        + "\r\n\r\n" + body))
                break;
        }
        std::lock_guard lock(m_mutex);
        m_connections.erase(descriptor);
        ::close(descriptor);
    }

    Handler m_handler;
    int m_port { 0 };
    std::mutex m_mutex;
    int m_listener { -1 };
    std::set<int> m_connections;
};

// Sends one request on a connection of its own. Status 0: no answer in time.
inline Message call(int port, const std::string& method, const std::string& target,
    const std::map<std::string, std::string>& headers, const std::string& body, std::int64_t timeoutMs)
{
    Message none;
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const auto address = loopback(port);
    if (::connect(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof(address))) {
        ::close(descriptor);
        return none;
    }
    setNoDelay(descriptor);
    std::string text = method + " " + target + " HTTP/1.1\r\ncontent-length: " + std::to_string(body.size()) + "\r\n";
    for (const auto& [name, value] : headers)
        text += name + ": " + value + "\r\n";
    text += "\r\n" + body;
    std::string buffer;
    auto response = sendAll(descriptor, text) ? readMessage(descriptor, buffer, timeoutMs) : std::nullopt;
    ::close(descriptor);
    return response.value_or(none);
}

// The store -------------------------------------------------------------------------------------------------------

inline std::string encodeBase64(const std::string& bytes)
{
    static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    text.reserve(bytes.size() * 4 / 3 + 4);
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        std::uint32_t group = static_cast<unsigned char>(bytes[i]) << 16;
        if (i + 1 < bytes.size())
            group |= static_cast<std::uint32_t>(static_cast<unsigned char>(bytes[i + 1])) << 8;
        if (i + 2 < bytes.size())
            group |= static_cast<unsigned char>(bytes[i + 2]);
        text += digits[group >> 18];
        text += digits[group >> 12 & 63];
        text += i + 1 < bytes.size() ? digits[group >> 6 & 63] : '=';
        text += i + 2 < bytes.size() ? digits[group & 63] : '=';
    }
    return text;
}

inline std::string decodeBase64(const std::string& text)
{
    static const std::vector<int> values = [] {
        std::vector<int> table(256, -1);
        const std::string digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
        for (std::size_t i = 0; i < digits.size(); ++i)
            table[static_cast<unsigned char>(digits[i])] = static_cast<int>(i);
        return table;
    }();
    std::string bytes;
    bytes.reserve(text.size() * 3 / 4);
    std::uint32_t group = 0;
    int bits = 0;
    for (const char c : text) {
        const int value = values[static_cast<unsigned char>(c)];
        if (value < 0)
            break;
        group = group << 6 | static_cast<std::uint32_t>(value);
        bits += 6;
        if (bits >= 8) {
            bits -= 8;
            bytes += static_cast<char>(group >> bits & 255);
        }
    }
    return bytes;
}

// The platform's key-value store. It listens on one port for each process under test, so that it can turn one away.
class Store {
public:
    static constexpr std::size_t valueBytes = 1048576;
    static constexpr std::size_t maxTxnEntries = 32;
    static constexpr std::size_t pageItems = 500;
    static constexpr std::size_t pageBytes = 1048576;
    static constexpr std::int64_t answerMs = 4;

    explicit Store(std::size_t ports)
    {
        for (std::size_t i = 0; i < ports; ++i) {
            m_busy.push_back(std::make_unique<std::atomic<bool>>(false));
            m_servers.push_back(
                std::make_unique<Server>([this, i](const Message& request) { return handle(request, i); }));
        }
        std::thread([this] {
            while (true) {
                sleepMs(10);
                expireLeases();
            }
        }).detach();
    }

    int port(std::size_t i) const { return m_servers[i]->port(); }

    // While set, the store answers this process with 503.
    void setBusy(std::size_t i, bool isBusy)
    {
        record.line("store: %s process %zu", isBusy ? "turns away" : "serves again", i);
        *m_busy[i] = isBusy;
    }

    // Writes of the operator and of the workers.
    void put(const std::string& key, const std::string& value)
    {
        std::lock_guard lock(m_mutex);
        ++m_revision;
        write(key, value, 0);
        m_changed.notify_all();
    }

    void remove(const std::string& key)
    {
        std::lock_guard lock(m_mutex);
        ++m_revision;
        erase(key);
        m_changed.notify_all();
    }

    std::string value(const std::string& key)
    {
        std::lock_guard lock(m_mutex);
        const auto found = m_items.find(key);
        return found == m_items.end() ? "" : found->second.value;
    }

    std::size_t rejectedWrites() const { return m_rejectedWrites; }
    // When the last write of the system was carried out.
    std::int64_t lastWriteMs() const { return m_lastWriteMs; }
    std::size_t largestValue() const { return m_largestValue; }

private:
    struct Item {
        std::string value;
        std::uint64_t revision { 0 };
        std::uint64_t created { 0 };
        std::uint64_t lease { 0 };
    };
    struct Event {
        std::uint64_t revision;
        std::string key;
        bool isDeletion;
        Item item;
    };
    struct Lease {
        std::int64_t ttlMs;
        std::int64_t endsAt;
    };

    static Json itemJson(const std::string& key, const Item& item)
    {
        return { { "key", key }, { "value", encodeBase64(item.value) }, { "rev", item.revision },
            { "create_revision", item.created }, { "lease", item.lease } };
    }

    // All changes of one write have the same revision.
    void write(const std::string& key, const std::string& value, std::uint64_t lease)
    {
        auto& item = m_items[key];
        if (!item.created)
            item.created = m_revision;
        item.value = value;
        item.revision = m_revision;
        item.lease = lease;
        note({ m_revision, key, false, item });
    }

    void erase(const std::string& key)
    {
        if (!m_items.erase(key))
            return;
        note({ m_revision, key, true, {} });
    }

    void note(Event event)
    {
        m_events.push_back(std::move(event));
        if (m_events.size() > s_maxEvents) {
            m_historyFrom = m_events.front().revision;
            m_events.pop_front();
        }
    }

    void expireLeases()
    {
        std::lock_guard lock(m_mutex);
        const auto now = steadyMs();
        for (auto lease = m_leases.begin(); lease != m_leases.end();) {
            if (lease->second.endsAt > now) {
                ++lease;
                continue;
            }
            endLease(lease->first);
            lease = m_leases.erase(lease);
        }
    }

    void endLease(std::uint64_t id)
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
        m_changed.notify_all();
    }

    Response handle(const Message& request, std::size_t process)
    {
        if (*m_busy[process])
            return { 503, Json::object(), false };
        sleepMs(answerMs);
        if (request.path == "/-/kv-range")
            return range(request);
        if (request.path == "/-/kv-watch")
            return watch(request, process);
        if (request.path == "/-/kv-txn")
            return txn(request);
        if (request.path == "/-/kv-key")
            return key(request);
        if (request.path == "/-/kv-lease") {
            std::lock_guard lock(m_mutex);
            const auto ttl = Json::parse(request.body).at("ttl_ms").get<std::int64_t>();
            const auto id = ++m_lastLease;
            m_leases[id] = { ttl, steadyMs() + ttl };
            return { 200, { { "lease", id }, { "ttl_ms", ttl } }, false };
        }
        const std::string keep = "/-/kv-keep/";
        const std::string end = "/-/kv-lease-end/";
        std::lock_guard lock(m_mutex);
        if (request.path.starts_with(keep)) {
            const auto id = std::strtoull(request.path.c_str() + keep.size(), nullptr, 10);
            const auto found = m_leases.find(id);
            if (found == m_leases.end())
                return { 404, Json::object(), false };
            found->second.endsAt = steadyMs() + found->second.ttlMs;
            return { 200, { { "lease", id }, { "ttl_ms", found->second.ttlMs } }, false };
        }
        if (request.path.starts_with(end)) {
            const auto id = std::strtoull(request.path.c_str() + end.size(), nullptr, 10);
            if (!m_leases.erase(id))
                return { 404, Json::object(), false };
            endLease(id);
            return {};
        }
        return { 404, Json::object(), false };
    }

    Response key(const Message& request)
    {
        std::lock_guard lock(m_mutex);
        const auto found = m_items.find(request.query.at("key"));
        if (found == m_items.end())
            return { 404, Json::object(), false };
        auto body = itemJson(found->first, found->second);
        body["current_rev"] = m_revision;
        return { 200, body, false };
    }

    Response range(const Message& request)
    {
        std::lock_guard lock(m_mutex);
        const auto prefix = request.query.at("prefix");
        const auto after = request.query.find("after");
        auto position = after == request.query.end() ? m_items.lower_bound(prefix) : m_items.upper_bound(after->second);
        Json items = Json::array();
        std::size_t bytes = 0;
        bool hasMore = false;
        for (; position != m_items.end() && position->first.starts_with(prefix); ++position) {
            if (items.size() >= pageItems || bytes >= pageBytes) {
                hasMore = true;
                break;
            }
            bytes += position->second.value.size();
            items.push_back(itemJson(position->first, position->second));
        }
        return { 200, { { "items", items }, { "has_more", hasMore }, { "current_rev", m_revision } }, false };
    }

    Response watch(const Message& request, std::size_t process)
    {
        const auto prefix = request.query.at("prefix");
        const auto after = std::strtoull(request.query.at("after").c_str(), nullptr, 10);
        const auto until = steadyMs() + std::atoll(request.query.at("wait_ms").c_str());
        std::unique_lock lock(m_mutex);
        while (true) {
            if (after < m_historyFrom)
                return { 410, Json::object(), false };
            // A watch that is waiting may be cut.
            if (*m_busy[process])
                return { 503, Json::object(), true };
            Json events = Json::array();
            for (auto event = m_events.rbegin(); event != m_events.rend() && event->revision > after; ++event) {
                if (!event->key.starts_with(prefix))
                    continue;
                if (event->isDeletion)
                    events.push_back({ { "key", event->key }, { "rev", event->revision }, { "deleted", true } });
                else
                    events.push_back(itemJson(event->key, event->item));
            }
            std::reverse(events.begin(), events.end());
            const auto left = until - steadyMs();
            if (!events.empty() || left <= 0)
                return { 200, { { "events", events }, { "current_rev", m_revision } }, false };
            m_changed.wait_for(lock, std::chrono::milliseconds(std::min<std::int64_t>(left, 50)));
        }
    }

    Response txn(const Message& request)
    {
        const auto body = Json::parse(request.body);
        std::lock_guard lock(m_mutex);
        const auto expect = body.value("expect", Json::array());
        const auto puts = body.value("puts", Json::array());
        const auto deletes = body.value("deletes", Json::array());
        std::vector<std::pair<std::string, std::string>> values;
        for (const auto& put : puts)
            values.emplace_back(put.at("key").get<std::string>(), decodeBase64(put.at("value").get<std::string>()));
        for (const auto& [name, bytes] : values) {
            m_largestValue = std::max(m_largestValue.load(), bytes.size());
            if (bytes.size() > valueBytes || name.size() > 200) {
                if (!m_rejectedWrites++)
                    record.line("store: rejects a write: the value of %s has %zu bytes, at most %zu are allowed",
                        name.c_str(), bytes.size(), valueBytes);
                return { 400, { { "error", "value too large" } }, false };
            }
            if (name.starts_with("op/") || name.starts_with("servers/"))
                return { 403, Json::object(), false };
        }
        if (expect.size() + puts.size() + deletes.size() > maxTxnEntries)
            return { 400, { { "error", "too many entries" } }, false };
        bool isMet = true;
        Json current = Json::array();
        for (const auto& row : expect) {
            const auto name = row.at("key").get<std::string>();
            const auto found = m_items.find(name);
            const auto revision = found == m_items.end() ? 0 : found->second.revision;
            isMet &= revision == row.at("rev").get<std::uint64_t>();
            if (found != m_items.end())
                current.push_back(itemJson(name, found->second));
        }
        if (!isMet)
            return { 412, { { "items", current } }, false };
        for (const auto& put : puts) {
            const auto lease = put.value<std::uint64_t>("lease", 0);
            if (lease && !m_leases.contains(lease))
                return { 404, Json::object(), false };
        }
        ++m_revision;
        for (std::size_t i = 0; i < values.size(); ++i)
            write(values[i].first, values[i].second, puts[i].value<std::uint64_t>("lease", 0));
        for (const auto& name : deletes)
            erase(name.get<std::string>());
        m_lastWriteMs = record.now();
        m_changed.notify_all();
        return { 200, { { "rev", m_revision } }, false };
    }

    static constexpr std::size_t s_maxEvents = 4000;

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, Item> m_items;
    std::deque<Event> m_events;
    std::uint64_t m_revision { 1 };
    std::uint64_t m_historyFrom { 0 };
    std::map<std::uint64_t, Lease> m_leases;
    std::uint64_t m_lastLease { 100 };
    std::atomic<std::size_t> m_rejectedWrites { 0 };
    std::atomic<std::size_t> m_largestValue { 0 };
    std::atomic<std::int64_t> m_lastWriteMs { 0 };
    std::vector<std::unique_ptr<std::atomic<bool>>> m_busy;
    std::vector<std::unique_ptr<Server>> m_servers;
};

// Workers ---------------------------------------------------------------------------------------------------------

struct WorkerSpec {
    std::string id;
    std::string service;
    std::string zone;
    std::string machine;
    std::string kind;
    std::string rack;
    std::int64_t cpu { 64000 };
    std::int64_t memory { 131072 };
};

// A start that a worker has carried out.
struct Run {
    std::string task;
    std::int64_t number { 0 };
    std::string worker;
    std::string checkpoint; // that the start carried
    std::int64_t startedAt { 0 }; // as record.now()
    std::int64_t endedAt { -1 };
    std::string how;
    std::int64_t notedAt { -1 }; // when `acked` reached its end
    bool isLapsedBetween { false }; // the lease lapsed between its end and that
};

// How a task behaves.
struct Behaviour {
    std::int64_t workMs { 400 };
    bool savesCheckpoints { false };
    std::size_t gang { 0 }; // number of tasks of its gang; 0: no gang
    bool fails { false }; // instead of ending as done
};

// The gangs of all workers. The members of a run work once all of them are present and carry the same checkpoint. They
// end together; if one ends otherwise, the others are broken.
class Gangs {
public:
    enum class State { Waiting, Working, Done, Broken };
    struct View {
        State state { State::Waiting };
        std::string checkpoint; // the newest
    };

    static constexpr std::int64_t checkpointMs = 1000;

    void join(
        const std::string& run, const std::string& task, const Behaviour& behaviour, const std::string& checkpoint)
    {
        std::lock_guard lock(m_mutex);
        auto& gang = m_gangs[run];
        gang.behaviour = behaviour;
        gang.members[task] = checkpoint;
        if (gang.beganAt >= 0 || gang.members.size() < behaviour.gang)
            return;
        for (const auto& [other, value] : gang.members) {
            if (value != checkpoint)
                return;
        }
        gang.beganAt = steadyMs();
        gang.base = std::strtoll(checkpoint.substr(0, s_digits).c_str(), nullptr, 16);
    }

    void leave(const std::string& run, const std::string& task)
    {
        std::lock_guard lock(m_mutex);
        auto& gang = m_gangs[run];
        gang.members.erase(task);
        gang.isBroken |= gang.beganAt >= 0 && !isDone(gang);
    }

    View view(const std::string& run, const std::string& task)
    {
        std::lock_guard lock(m_mutex);
        const auto& gang = m_gangs[run];
        const auto member = gang.members.find(task);
        View view { State::Waiting, member == gang.members.end() ? "" : member->second };
        if (gang.beganAt < 0)
            return view;
        const auto saved = (progress(gang) - gang.base) / checkpointMs * checkpointMs;
        if (saved > 0) {
            char text[17];
            std::snprintf(text, sizeof(text), "%08llx7a21d94b", static_cast<unsigned long long>(gang.base + saved));
            view.checkpoint = text;
        }
        view.state = gang.isBroken ? State::Broken : isDone(gang) ? State::Done : State::Working;
        return view;
    }

private:
    struct Gang {
        Behaviour behaviour;
        std::map<std::string, std::string> members; // the checkpoint that each start carried
        std::int64_t beganAt { -1 };
        std::int64_t base { 0 };
        bool isBroken { false };
    };

    static constexpr std::size_t s_digits = 8; // of a checkpoint: the work that it holds, in milliseconds

    static std::int64_t progress(const Gang& gang) { return gang.base + steadyMs() - gang.beganAt; }
    static bool isDone(const Gang& gang) { return gang.beganAt >= 0 && progress(gang) >= gang.behaviour.workMs; }

    std::mutex m_mutex;
    std::map<std::string, Gang> m_gangs;
};

inline Gangs gangs;

class Worker {
public:
    using BehaviourOf = std::function<Behaviour(const std::string& task)>;
    // What happens to an order: it is carried out and answered (0), or it gets no answer and is carried out after so
    // many milliseconds, or when releaseHeld() is called.
    static constexpr std::int64_t untilReleased = -1;
    using FateOf = std::function<std::int64_t(Worker&, const Message&, const Json&)>;

    static constexpr std::int64_t beatMs = 1500;
    static constexpr std::int64_t holdMaxMs = 6000;
    static constexpr std::int64_t gangTimeoutMs = 3000;
    static constexpr std::size_t listedEnds = 500;

    Worker(WorkerSpec spec, Store& store, BehaviourOf behaviourOf, FateOf fateOf, std::string quietJob)
        : m_spec(std::move(spec))
        , m_store(store)
        , m_behaviourOf(std::move(behaviourOf))
        , m_fateOf(std::move(fateOf))
        , m_quietJob(std::move(quietJob))
        , m_server([this](const Message& request) { return receive(request); })
    {
        begin();
        std::thread([this] {
            while (true) {
                sleepMs(5);
                advance();
            }
        }).detach();
    }

    const std::string& id() const { return m_spec.id; }
    const WorkerSpec& spec() const { return m_spec; }
    int port() const { return m_server.port(); }

    // Ends everything at once, without a word.
    void crash()
    {
        {
            std::lock_guard lock(m_mutex);
            record.line("worker %s: crashes with %zu tasks", m_spec.id.c_str(), m_running.size());
            m_isUp = false;
            for (auto& [task, active] : m_running) {
                active.run->endedAt = record.now();
                active.run->how = "crashed";
                if (!active.gang.empty())
                    gangs.leave(active.gang, task);
            }
            m_running.clear();
            m_ended.clear();
        }
        m_server.crash();
        m_ends.notify_all();
    }

    // Starts again under the same id, and knows nothing of before.
    void restart()
    {
        {
            std::lock_guard lock(m_mutex);
            begin();
        }
        m_server.restart();
        record.line(
            "worker %s: is up again under its id, born %lld", m_spec.id.c_str(), static_cast<long long>(m_born));
    }

    void releaseHeld() { m_isHeldReleased = true; }

    std::vector<Run> runs()
    {
        std::lock_guard lock(m_mutex);
        return { m_runs.begin(), m_runs.end() };
    }

    std::size_t runningTasks()
    {
        std::lock_guard lock(m_mutex);
        return m_running.size();
    }

    std::size_t runningTasks(const std::string& job)
    {
        std::lock_guard lock(m_mutex);
        std::size_t count = 0;
        for (const auto& [task, active] : m_running)
            count += task.starts_with(job + ".");
        return count;
    }

    // The tasks here whose newest checkpoint no response has listed yet.
    bool hasUnlistedCheckpoint()
    {
        std::lock_guard lock(m_mutex);
        return std::any_of(m_running.begin(), m_running.end(), [this](const auto& entry) {
            const auto checkpoint = checkpointOf(entry.first, entry.second);
            return !checkpoint.empty() && m_listed[entry.first] != checkpoint;
        });
    }

    std::int64_t acked()
    {
        std::lock_guard lock(m_mutex);
        return m_acked;
    }

    std::size_t unnotedEnds()
    {
        std::lock_guard lock(m_mutex);
        return m_ended.size();
    }

    std::int64_t born()
    {
        std::lock_guard lock(m_mutex);
        return m_born;
    }

    // Carries out an order.
    Response carryOut(const Message& request, const Json& body, bool isLate = false)
    {
        std::unique_lock lock(m_mutex);
        if (!m_isUp)
            return { 503, Json::object(), true };
        const auto expected = request.headers.find("expect-instance");
        if (expected != request.headers.end() && expected->second != m_spec.id)
            return reply(421, "");
        const auto fence = body.value<std::int64_t>("fence", 0);
        if (fence < m_fence)
            return reply(409, "fence");
        m_fence = fence;
        if (request.path == "/-/run-start")
            return start(body);
        if (request.path == "/-/run-stop")
            return stop(body);
        if (request.path == "/-/pace")
            return reply(200, "");
        if (request.path == "/-/hold")
            return hold(body, lock, isLate);
        return { 404, Json::object(), false };
    }

private:
    struct Active {
        Run* run;
        std::int64_t beganAt;
        Behaviour behaviour;
        std::string gang; // the run of its gang; empty: no gang
        std::int64_t stopsAt { -1 };
    };
    struct End {
        std::int64_t number;
        Run* run;
        std::string checkpoint;
    };

    void begin()
    {
        m_born = unixMs();
        m_startedAt = steadyMs();
        m_fence = 0;
        m_leaseEnd = 0;
        m_acked = 0;
        m_lastEnd = 0;
        m_seq = 0;
        m_lastRun.clear();
        m_isUp = true;
        m_nextBeat = 0;
    }

    bool isQuiet(const std::string& task) const { return !m_quietJob.empty() && task.starts_with(m_quietJob + "."); }

    std::int64_t clock() const { return steadyMs() - m_startedAt; }

    Response reply(int status, const std::string& reason) const
    {
        Json body { { "clock_ms", clock() } };
        if (!reason.empty())
            body["reason"] = reason;
        return { status, body, false };
    }

    Response receive(const Message& request)
    {
        if (request.method == "GET")
            return {};
        const auto body = Json::parse(request.body, nullptr, false);
        if (!body.is_object())
            return { 400, Json::object(), false };
        const auto fate = m_fateOf ? m_fateOf(*this, request, body) : 0;
        if (!fate)
            return carryOut(request, body);
        record.line("worker %s: gets %s %s; no answer, carried out %s", m_spec.id.c_str(), request.path.c_str(),
            request.body.c_str(), fate < 0 ? "later" : ("in " + std::to_string(fate) + " ms").c_str());
        std::thread([this, request, body, fate, arrivedAt = steadyMs()] {
            if (fate >= 0)
                sleepMs(fate);
            else
                waitFor(12000, [this] { return m_isHeldReleased.load(); });
            const auto response = carryOut(request, body, true);
            record.line("worker %s: carries out, %lld ms after its arrival, %s %s -> %d %s", m_spec.id.c_str(),
                static_cast<long long>(steadyMs() - arrivedAt), request.path.c_str(), request.body.c_str(),
                response.isLost ? 0 : response.status, response.body.dump().c_str());
        }).detach();
        sleepMs(5000); // the sender has given up by then
        return { 503, Json::object(), true };
    }

    void extend(const Json& body)
    {
        const auto deadline = body.value<std::int64_t>("deadline_ms", 0);
        m_leaseEnd = std::max(m_leaseEnd, std::min(deadline, clock() + holdMaxMs));
    }

    Response start(const Json& body)
    {
        const auto task = body.at("task").get<std::string>();
        const auto number = body.at("run").get<std::int64_t>();
        if (body.at("deadline_ms").get<std::int64_t>() <= clock())
            return reply(409, "late");
        extend(body);
        const auto known = m_running.find(task);
        if (known != m_running.end() && known->second.run->number == number)
            return reply(200, "");
        const auto last = m_lastRun.find(task);
        if (known != m_running.end() || (last != m_lastRun.end() && number <= last->second))
            return reply(409, "old");
        const auto behaviour = m_behaviourOf(task);
        const auto checkpoint = body.value("last_checkpoint", "");
        m_runs.push_back({ task, number, m_spec.id, checkpoint, record.now(), -1, "", -1, false });
        auto& active = m_running[task] = { &m_runs.back(), steadyMs(), behaviour, "", -1 };
        if (behaviour.gang) {
            active.gang = task.substr(0, task.rfind('.')) + "#" + std::to_string(number);
            gangs.join(active.gang, task, behaviour, checkpoint);
        }
        if (!isQuiet(task))
            record.line("worker %s: starts %s run %lld%s%s", m_spec.id.c_str(), task.c_str(),
                static_cast<long long>(number), checkpoint.empty() ? "" : " with last_checkpoint ", checkpoint.c_str());
        return reply(200, "");
    }

    Response stop(const Json& body)
    {
        const auto task = body.at("task").get<std::string>();
        const auto number = body.at("run").get<std::int64_t>();
        auto& last = m_lastRun[task];
        last = std::max(last, number);
        const auto known = m_running.find(task);
        if (known != m_running.end() && known->second.run->number <= number && known->second.stopsAt < 0)
            known->second.stopsAt = steadyMs() + 100;
        if (!isQuiet(task))
            record.line("worker %s: is told to stop %s run %lld", m_spec.id.c_str(), task.c_str(),
                static_cast<long long>(number));
        return reply(200, "");
    }

    Response hold(const Json& body, std::unique_lock<std::mutex>& lock, bool isLate)
    {
        extend(body);
        const auto acked = body.value<std::int64_t>("acked", 0);
        m_acked = std::max(m_acked, acked);
        while (!m_ended.empty() && m_ended.front().number <= acked) {
            auto& run = *m_ended.front().run;
            run.notedAt = record.now();
            if (!isQuiet(run.task))
                record.line("worker %s: end %lld of %s run %lld (%s) is taken note of, acked %lld%s", m_spec.id.c_str(),
                    static_cast<long long>(m_ended.front().number), run.task.c_str(),
                    static_cast<long long>(run.number), run.how.c_str(), static_cast<long long>(acked),
                    isLate ? ", by an order that is carried out late" : "");
            m_ended.pop_front();
        }
        const auto wait = isLate ? 0 : std::min<std::int64_t>(body.value<std::int64_t>("wait_ms", 0), 2000);
        const auto born = m_born;
        if (wait > 0 && m_ended.empty())
            m_ends.wait_for(lock, std::chrono::milliseconds(wait),
                [this, born] { return !m_ended.empty() || !m_isUp || m_born != born; });
        if (!m_isUp || m_born != born)
            return { 503, Json::object(), true };
        Json running = Json::array();
        for (const auto& [task, active] : m_running) {
            const auto checkpoint = checkpointOf(task, active);
            const bool isWaiting = !active.gang.empty() && gangs.view(active.gang, task).state == Gangs::State::Waiting;
            running.push_back({ task, active.run->number, checkpoint, isWaiting ? 0 : 100, 10 });
            m_listed[task] = checkpoint;
        }
        Json ended = Json::array();
        for (const auto& end : m_ended) {
            if (ended.size() >= listedEnds)
                break;
            ended.push_back({ end.number, end.run->task, end.run->number, end.run->how, end.checkpoint });
        }
        return { 200, { { "clock_ms", clock() }, { "born", m_born }, { "running", running }, { "ended_runs", ended } },
            false };
    }

    std::string checkpointOf(const std::string& task, const Active& active) const
    {
        return active.behaviour.gang && active.behaviour.savesCheckpoints ? gangs.view(active.gang, task).checkpoint
                                                                          : "";
    }

    void endRun(std::map<std::string, Active>::iterator position, const char* how)
    {
        const auto& active = position->second;
        auto& run = *active.run;
        const auto checkpoint = checkpointOf(run.task, active);
        run.endedAt = record.now();
        run.how = how;
        auto& last = m_lastRun[run.task];
        last = std::max(last, run.number);
        m_ended.push_back({ ++m_lastEnd, &run, checkpoint });
        if (!active.gang.empty())
            gangs.leave(active.gang, run.task);
        if (!isQuiet(run.task))
            record.line("worker %s: end %lld: %s run %lld %s %s", m_spec.id.c_str(), static_cast<long long>(m_lastEnd),
                run.task.c_str(), static_cast<long long>(run.number), how, checkpoint.c_str());
    }

    const char* howEnded(const std::string& task, const Active& active, bool isLapsed) const
    {
        const auto now = steadyMs();
        if (isLapsed)
            return "lapsed";
        if (active.stopsAt >= 0 && active.stopsAt <= now)
            return "stopped";
        if (active.gang.empty())
            return now - active.beganAt < active.behaviour.workMs ? nullptr
                : active.behaviour.fails                          ? "failed"
                                                                  : "done";
        switch (gangs.view(active.gang, task).state) {
        case Gangs::State::Waiting:
            return now - active.beganAt >= gangTimeoutMs ? "alone" : nullptr;
        case Gangs::State::Working:
            return nullptr;
        case Gangs::State::Done:
            return "done";
        case Gangs::State::Broken:
            return "broken";
        }
        return nullptr;
    }

    void advance()
    {
        bool hasEnd = false;
        Json entry;
        {
            std::lock_guard lock(m_mutex);
            if (!m_isUp)
                return;
            const auto now = steadyMs();
            const bool isLapsed = clock() >= m_leaseEnd;
            if (isLapsed) {
                for (auto& end : m_ended)
                    end.run->isLapsedBetween = true;
            }
            for (auto position = m_running.begin(); position != m_running.end();) {
                const auto current = position++;
                const char* how = howEnded(current->first, current->second, isLapsed);
                if (!how)
                    continue;
                endRun(current, how);
                m_running.erase(current);
                hasEnd = true;
            }
            if (now >= m_nextBeat) {
                m_nextBeat = now + beatMs;
                entry = { { "service", m_spec.service }, { "addr", std::string(host) + ":" + std::to_string(port()) },
                    { "zone", m_spec.zone }, { "version", "1" }, { "slots", 8 }, { "state", "ready" },
                    { "cold_left_ms", 0 }, { "seq", ++m_seq }, { "born", m_born }, { "machine", m_spec.machine },
                    { "capacity", { { "cpu", m_spec.cpu }, { "mem_mb", m_spec.memory } } },
                    { "labels", { m_spec.kind, m_spec.rack } } };
            }
        }
        if (hasEnd)
            m_ends.notify_all();
        if (!entry.is_null())
            m_store.put("servers/" + m_spec.id, entry.dump());
    }

    WorkerSpec m_spec;
    Store& m_store;
    BehaviourOf m_behaviourOf;
    FateOf m_fateOf;
    std::string m_quietJob; // whose runs are not recorded one by one
    std::mutex m_mutex;
    std::condition_variable m_ends;
    std::list<Run> m_runs; // of all incarnations
    std::map<std::string, Active> m_running;
    std::deque<End> m_ended;
    std::map<std::string, std::string> m_listed; // the checkpoint that the last response listed, by task
    std::map<std::string, std::int64_t> m_lastRun; // that was stopped or has ended here
    std::int64_t m_born { 0 };
    std::int64_t m_startedAt { 0 };
    std::int64_t m_fence { 0 };
    std::int64_t m_leaseEnd { 0 };
    std::int64_t m_acked { 0 };
    std::int64_t m_lastEnd { 0 };
    std::int64_t m_seq { 0 };
    std::int64_t m_nextBeat { 0 };
    bool m_isUp { false };
    std::atomic<bool> m_isHeldReleased { false };
    Server m_server;
};

// The list of machines. Each machine stays in its pool; calls that would change it are refused as busy.
class Machines {
public:
    Machines()
        : m_server([this](const Message& request) { return handle(request); })
    {
    }

    void add(const WorkerSpec& spec)
    {
        std::lock_guard lock(m_mutex);
        m_rows.push_back({ { "machine", spec.machine }, { "pool", spec.service }, { "state", "up" },
            { "zone", spec.zone }, { "labels", { spec.kind, spec.rack } },
            { "capacity", { { "cpu", spec.cpu }, { "mem_mb", spec.memory } } }, { "id", spec.id } });
    }

    int port() const { return m_server.port(); }

private:
    Response handle(const Message& request)
    {
        std::lock_guard lock(m_mutex);
        if (request.path == "/-/machines")
            return { 200, { { "machines", m_rows }, { "next_token", nullptr } }, false };
        return { 409, { { "reason", "busy" } }, false };
    }

    std::mutex m_mutex;
    Json m_rows = Json::array();
    Server m_server;
};

// The processes under test ----------------------------------------------------------------------------------------

class Node {
public:
    Node(std::size_t number, std::string folder, int storePort, int machinesPort)
        : m_name("edge-z" + std::to_string(number + 1) + "-1")
        , m_folder(std::move(folder))
        , m_front(freePort())
        , m_ready(freePort())
        , m_peer(freePort())
        , m_metrics(freePort())
    {
        const auto address = [](int port) { return "\"" + std::string(host) + ":" + std::to_string(port) + "\"\n"; };
        std::ofstream(settingsFile()) << "node = \"" << m_name << "\"\ndata_center = \"z" << number + 1
                                      << "\"\ncallers = " << address(m_front) << "ready = " << address(m_ready)
                                      << "address = \"" << host << "\"\npeer_port = " << m_peer
                                      << "\nprocessors = 0.25\nmetrics_port = " << m_metrics
                                      << "\nstore = " << address(storePort) << "instances = " << address(machinesPort)
                                      << "orders = \"dispatch\"\n"
                                         "contracts = \"base,drain,config,cost,recover,sched,tenants,quota,places,"
                                         "platform,advice,upkeep,sharing\"\n"
                                         "[bounds]\ngrace_s = 6\nlongest_lease_ms = 6000\nstatus_kept_s = 120\n"
                                         "notice_ms = 4500\nmaintenance_s = 2\nmove_s = 1.5\ninstance_fences = true\n"
                                         "strict_keys = false\nkey_horizon_ms = 5000\n"
                                         "[limits]\nmemory_mb = 260\nmax_fds = 4100\n"
                                         "[scheduling]\nadmission = true\nshares = true\n";
    }

    ~Node() { kill(); }

    const std::string& name() const { return m_name; }
    int front() const { return m_front; }
    pid_t process() const { return m_process; }

    void start()
    {
        const auto log = m_folder + "/" + m_name + ".log";
        const auto settings = "MARIGOLDLINK_NODE_FILE=" + settingsFile();
        m_process = ::fork();
        if (!m_process) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL); // also if this process is killed
            std::FILE* output = std::fopen(log.c_str(), "a");
            ::dup2(::fileno(output), 1);
            ::dup2(::fileno(output), 2);
            const rlimit descriptors { 4100, 4100 };
            ::setrlimit(RLIMIT_NOFILE, &descriptors);
            char* arguments[] = { const_cast<char*>("target/platform/marigold-node"), nullptr };
            char* environment[] = { const_cast<char*>(settings.c_str()), nullptr };
            ::execve(arguments[0], arguments, environment);
            std::_Exit(127);
        }
        record.line("%s: started", m_name.c_str());
    }

    void signal(int number)
    {
        if (m_process > 0)
            ::kill(m_process, number);
    }

    // Waits for the end of the process and returns its status, or nothing if it runs on.
    std::optional<int> ended(std::int64_t timeoutMs)
    {
        int status = 0;
        if (m_process <= 0 || !waitFor(timeoutMs, [&] { return ::waitpid(m_process, &status, WNOHANG) == m_process; }))
            return std::nullopt;
        m_process = -1;
        return status;
    }

    void kill()
    {
        if (m_process <= 0)
            return;
        ::kill(m_process, SIGCONT);
        ::kill(m_process, SIGKILL);
        ::waitpid(m_process, nullptr, 0);
        m_process = -1;
        record.line("%s: killed", m_name.c_str());
    }

    std::int64_t residentMegabytes() const
    {
        std::ifstream status("/proc/" + std::to_string(m_process) + "/status");
        for (std::string line; std::getline(status, line);) {
            if (line.starts_with("VmRSS:"))
                return std::atoll(line.c_str() + 6) / 1024;
        }
        return 0;
    }

    bool isReady() const { return call(m_ready, "GET", "/-/ready", { { "host", host } }, "", 500).status == 200; }

    bool isCoordinator() const
    {
        const auto metrics = call(m_metrics, "GET", "/metrics", { { "host", host } }, "", 500).body;
        return metrics.find("\nmarigold_is_coordinator 1") != std::string::npos;
    }

private:
    std::string settingsFile() const { return m_folder + "/" + m_name + ".toml"; }

    // A port below those that the kernel gives to connections, so that it stays free until the process listens.
    static int freePort()
    {
        constexpr int first = 12000;
        constexpr int count = 18000;
        static int next = static_cast<int>(::getpid()) * 37 % count;
        while (true) {
            const int port = first + next++ % count;
            const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
            const auto address = loopback(port);
            const bool isFree = !::bind(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof(address));
            ::close(descriptor);
            if (isFree)
                return port;
        }
    }

    std::string m_name;
    std::string m_folder;
    int m_front;
    int m_ready;
    int m_peer;
    int m_metrics;
    pid_t m_process { -1 };
};

// A deployment with one host and two tenants
// -----------------------------------------------------------------------------

struct Answer {
    int status { 0 };
    std::string state;
};

class World {
public:
    World(std::string folder, std::size_t nodes)
        : store(nodes)
    {
        for (std::size_t i = 0; i < nodes; ++i)
            this->nodes.push_back(std::make_unique<Node>(i, folder, store.port(i), machines.port()));
    }

    Worker& addWorker(
        WorkerSpec spec, Worker::BehaviourOf behaviourOf, Worker::FateOf fateOf = {}, std::string quietJob = "")
    {
        machines.add(spec);
        workers.push_back(std::make_unique<Worker>(
            std::move(spec), store, std::move(behaviourOf), std::move(fateOf), std::move(quietJob)));
        return *workers.back();
    }

    static Json route(const std::string& name, const std::string& service)
    {
        return { { "name", "r-" + name }, { "host", "jobs.example" }, { "prefix", "/" + name + "/" },
            { "kind", "non_idempotent" }, { "timeout_ms", 3000 }, { "slo_ms", 600 }, { "priority", 0 },
            { "service", service }, { "attempts", 3 }, { "stretch", 1.6 }, { "no_auth", false } };
    }

    void configure(int version, const Json& routes, const std::vector<std::string>& services)
    {
        Json list = Json::array();
        for (const auto& name : services)
            list.push_back({ { "name", name }, { "rejects_overload", false } });
        auto tenants = Json::array();
        for (const char* number : { "1", "2" })
            tenants.push_back({ { "name", std::string("t-") + number }, { "weight", 1 },
                { "api_keys", { std::string("key-") + number } } });
        std::string names;
        for (const auto& row : routes)
            names += " " + row.at("prefix").get<std::string>();
        store.put("op/config",
            Json { { "version", version }, { "routes", routes }, { "services", list }, { "tenants", tenants },
                { "limits", Json::object() } }
                .dump());
        record.line("operator: configuration %d is acknowledged, routes%s", version, names.c_str());
    }

    void start()
    {
        for (auto& node : nodes)
            node->start();
    }

    bool awaitReady()
    {
        return waitFor(15000, [&] {
            for (auto& node : nodes) {
                if (!node->isReady())
                    return false;
            }
            return true;
        });
    }

    // The process that says in its metrics that it is the coordinator, or -1.
    int coordinator()
    {
        for (std::size_t i = 0; i < nodes.size(); ++i) {
            if (nodes[i]->process() > 0 && nodes[i]->isCoordinator())
                return static_cast<int>(i);
        }
        return -1;
    }

    Answer request(std::size_t node, const std::string& method, const std::string& target, const std::string& body = "",
        std::int64_t deadlineMs = 3000, bool isQuiet = false, const char* key = "key-1")
    {
        const auto response = call(nodes[node]->front(), method, target,
            { { "host", "jobs.example" }, { "credential", key }, { "content-type", "application/json" },
                { "deadline-ms", std::to_string(deadlineMs) } },
            body, deadlineMs);
        Answer answer { response.status, "" };
        const auto json = Json::parse(response.body, nullptr, false);
        if (json.is_object())
            answer.state = json.value("state", "");
        if (!isQuiet)
            record.line("client: %s %s at %s -> %d %s", method.c_str(), target.c_str(), nodes[node]->name().c_str(),
                answer.status, answer.state.c_str());
        return answer;
    }

    // Submits until the job is accepted.
    bool submit(std::size_t node, const std::string& target, const std::string& body, std::int64_t timeoutMs = 10000)
    {
        const auto end = steadyMs() + timeoutMs;
        while (steadyMs() < end) {
            if (request(node, "POST", target, body).status == 200)
                return true;
            sleepMs(300);
        }
        return false;
    }

    bool awaitState(std::size_t node, const std::string& target, const std::string& state, std::int64_t timeoutMs)
    {
        return waitFor(timeoutMs, [&] {
            sleepMs(40);
            return request(node, "GET", target, "", 3000, true).state == state;
        });
    }

    Store store;
    Machines machines;
    std::vector<std::unique_ptr<Worker>> workers;
    std::vector<std::unique_ptr<Node>> nodes;
};

} // namespace review
