// Tracks h2o's sockets. Their read callback is wrapped, which shows the input buffer after each read.
#include "marigoldlink/Transport/ConnectionGuard.h"

#include "H2o.h"
#include "marigoldlink/Support/Log.h"

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <linux/sockios.h>
#include <list>
#include <netinet/in.h>
#include <optional>
#include <string>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <tuple>
#include <unordered_map>
#include <vector>

namespace marigoldlink {

namespace {

    constexpr Log s_log("limits");

    // A request with a header and a body of ordinary size fits. h2o's input buffers have powers of two.
    constexpr std::size_t s_smallBytes = 32768;
    constexpr std::size_t s_minSocketBuffer = 16384;
    constexpr std::size_t s_maxSocketBuffer = 65536;
    // Descriptors for files, and the largest part of a small number of descriptors.
    constexpr std::size_t s_fileDescriptors = 200;
    constexpr std::size_t s_maxFilePart = 4;
    // The budget is this part of the machine's memory. The rest is for jobs, the program, and the memory that the
    // allocator keeps beyond what is in use, up to the size of the budget.
    constexpr std::size_t s_memoryParts = 4;
    constexpr std::size_t s_bytesPerConnection = 32768;
    constexpr Duration s_sweepPeriod { 100 };
    constexpr Duration s_drainPeriod { 50 };
    constexpr Duration s_logWindow { 10000 };
    constexpr const char* s_endReason = "limit reached";
    constexpr const char* s_drainReason = "process is stopping";
    constexpr std::string_view s_headerEnd = "\r\n\r\n";
    constexpr std::string_view s_continueExpected = "100-continue";

    std::size_t threeQuarters(std::size_t value) { return value / 4 * 3; }

    std::size_t queueBytes(h2o_socket_t* socket, unsigned long which)
    {
        int bytes = 0;
        return ::ioctl(h2o_socket_get_fd(socket), which, &bytes) == 0 ? static_cast<std::size_t>(bytes) : 0;
    }

    // True if the client has sent something, or the end of the connection, that was not read yet.
    bool hasUnreadInput(h2o_socket_t* socket)
    {
        char next = 0;
        const auto received = ::recv(h2o_socket_get_fd(socket), &next, sizeof(next), MSG_PEEK | MSG_DONTWAIT);
        return received >= 0 || (errno != EAGAIN && errno != EINTR);
    }

} // namespace

std::string_view name(Limit limit)
{
    static constexpr std::array<std::string_view, limitCount> names { "held_bytes", "held_bytes_per_address",
        "connections", "connections_per_address", "header_bytes", "header_ms", "body_ms", "answer_ms", "rejected",
        "json", "job" };
    return names.at(static_cast<std::size_t>(limit));
}

ConnectionLimits ConnectionLimits::forMachine(std::size_t memoryMegabytes, std::size_t descriptors)
{
    ConnectionLimits limits;
    limits.memoryBytes = static_cast<std::int64_t>(memoryMegabytes) << 20;
    limits.heldBytes = (memoryMegabytes << 20) / s_memoryParts;
    limits.heldBytesPerAddress = threeQuarters(limits.heldBytes);
    // Half of the descriptors stay for connections to peers, the store and workers.
    const auto usable = descriptors - std::min(s_fileDescriptors, descriptors / s_maxFilePart);
    limits.connections = std::min(usable / 2, limits.heldBytes / s_bytesPerConnection);
    limits.connectionsPerAddress = threeQuarters(limits.connections);
    return limits;
}

std::size_t ConnectionLimits::socketBufferBytes() const
{
    return std::clamp(heldBytes / std::max<std::size_t>(connections, 1), s_minSocketBuffer, s_maxSocketBuffer);
}

class TrackedConnection {
public:
    enum class Phase {
        Waiting, // for the first byte of a request
        Reading,
        Serving, // the handler has the request; h2o does not read
        Answering, // the answer was handed to h2o
        Closing, // half-closed and read no more; waits for the client's acknowledgement of all that was sent
    };

    ConnectionGuard::Impl* guard { nullptr };
    h2o_socket_t* socket { nullptr };
    h2o_socket_cb read { nullptr }; // h2o's callback
    std::uint32_t address { 0 };
    ListenerKind listener { ListenerKind::Callers };
    Phase phase { Phase::Waiting };
    TimePoint since; // start of the phase
    std::size_t held { 0 };
    std::size_t answerBytes { 0 };
    bool hasServed { false };
    bool isHeaderComplete { false };
    bool isEnding { false }; // shut down; h2o closes it in the next iteration
    bool isCloseAnnounced { false }; // by the last answer

    bool isLarge() const { return held > s_smallBytes; }
    // h2o releases the memory at once, or when it sees the end of the connection. While a request is in work, it does
    // not.
    bool canEnd() const { return !isEnding && phase != Phase::Serving; }
    // The client may not have received all of an answer.
    bool isSending() const { return phase == Phase::Answering || phase == Phase::Closing; }
};

struct ConnectionGuard::Impl {
    using Connection = TrackedConnection;
    using ConnectionPtr = std::shared_ptr<Connection>;
    using Phase = Connection::Phase;

    struct Sums {
        std::size_t connections { 0 };
        std::size_t held { 0 };
    };

    EventLoop& loop;
    ConnectionLimits limits;
    Callback onReached;
    std::unordered_map<Connection*, ConnectionPtr> connections;
    std::unordered_map<std::uint32_t, Sums> byAddress; // has the addresses of open connections only
    std::array<std::size_t, 2> byListener {};
    std::size_t held { 0 };
    std::size_t heldByLarge { 0 };
    std::size_t heldInWork { 0 };
    Connection* reading { nullptr }; // whose read callback runs now
    std::vector<std::weak_ptr<Connection>> ended; // whose request has ended in this iteration
    std::array<std::optional<Duration>, 2> drainIdleTimes; // by listener; set while its connections are drained
    TimePoint drainingSince; // of the first of them
    EventLoop::Timer sweepTimer;
    std::optional<EventLoop::Timer> drainTimer;
    std::uint64_t iterationHook { 0 };
    std::array<std::uint64_t, limitCount> unlogged {};
    bool hasUnlogged { false };
    TimePoint lastLog;
    bool hasLogged { false };

    Impl(EventLoop& eventLoop, ConnectionLimits connectionLimits, Callback callback)
        : loop(eventLoop)
        , limits(connectionLimits)
        , onReached(std::move(callback))
    {
        iterationHook = loop.onIteration([this] { watchAgain(); });
        scheduleSweep();
    }

    ~Impl()
    {
        loop.cancel(sweepTimer);
        if (drainTimer)
            loop.cancel(*drainTimer);
        loop.cancelOnIteration(iterationHook);
        for (const auto& [key, connection] : connections) {
            connection->socket->on_close.cb = nullptr;
            connection->guard = nullptr;
            unwatch(*connection);
        }
    }

    Impl(const Impl&) = delete;
    Impl& operator=(const Impl&) = delete;

    static void onClose(void* data)
    {
        auto* connection = static_cast<Connection*>(data);
        connection->guard->closed(*connection);
    }

    static void onRead(h2o_socket_t* socket, const char* error)
    {
        auto* connection = static_cast<Connection*>(socket->on_close.data);
        auto* guard = connection->guard;
        if (error) {
            connection->read(socket, error);
            return;
        }
        guard->reading = connection;
        connection->read(socket, nullptr);
        // h2o may have closed the connection, which resets the member.
        if (std::exchange(guard->reading, nullptr) == connection)
            guard->hasRead(*connection);
    }

    static void unwatch(const Connection& connection)
    {
        if (connection.socket->_cb.read == onRead)
            connection.socket->_cb.read = connection.read;
    }

    static void watch(Connection& connection)
    {
        auto& read = connection.socket->_cb.read;
        if (read && read != onRead) {
            connection.read = read;
            read = onRead;
        }
    }

    void closed(Connection& connection)
    {
        if (reading == &connection)
            reading = nullptr;
        setHeld(connection, 0);
        --byListener[static_cast<std::size_t>(connection.listener)];
        const auto sums = byAddress.find(connection.address);
        if (--sums->second.connections == 0)
            byAddress.erase(sums);
        connection.socket = nullptr;
        connections.erase(&connection);
    }

    void add(h2o_socket_t* socket, std::uint32_t address, ListenerKind listener)
    {
        auto connection = std::make_shared<Connection>();
        connection->guard = this;
        connection->socket = socket;
        connection->address = address;
        connection->listener = listener;
        connection->since = loop.now();
        socket->on_close.cb = onClose;
        socket->on_close.data = connection.get();
        ++byListener[static_cast<std::size_t>(listener)];
        ++byAddress[address].connections;
        connections.emplace(connection.get(), std::move(connection));
    }

    void setHeld(Connection& connection, std::size_t bytes)
    {
        const auto change = [&](std::size_t& sum) { sum = sum - connection.held + bytes; };
        change(held);
        change(byAddress[connection.address].held);
        if (connection.phase == Phase::Serving)
            change(heldInWork);
        if (connection.isLarge())
            heldByLarge -= connection.held;
        connection.held = bytes;
        if (connection.isLarge())
            heldByLarge += bytes;
    }

    void setPhase(Connection& connection, Phase phase)
    {
        if (connection.phase == Phase::Serving)
            heldInWork -= connection.held;
        connection.phase = phase;
        if (connection.phase == Phase::Serving)
            heldInWork += connection.held;
        connection.since = loop.now();
    }

    void update(Connection& connection, std::size_t kernelBytes = 0)
    {
        if (connection.isEnding)
            return;
        const auto* input = connection.socket->input;
        setHeld(connection, (input->bytes ? input->capacity : 0) + connection.answerBytes + kernelBytes);
    }

    void hasRead(Connection& connection)
    {
        const bool isBetweenRequests = connection.phase == Phase::Waiting || connection.phase == Phase::Reading;
        const auto size = connection.socket->input->size;
        if (isBetweenRequests && !connection.socket->_cb.read)
            noteStopped(connection);
        else if (connection.phase == Phase::Waiting && size)
            setPhase(connection, Phase::Reading);
        watch(connection);
        update(connection);
        if (connection.phase == Phase::Reading && size > limits.headerBytes && !isHeaderComplete(connection))
            return end(connection, Limit::HeaderBytes);
        keepBudget(connection.address);
    }

    // h2o has stopped to read without calling the handler: it answers with an error, or asks the client to go on.
    void noteStopped(Connection& connection)
    {
        const auto* input = connection.socket->input;
        const std::string_view text(input->bytes ? input->bytes : "", std::min(input->size, limits.headerBytes));
        if (text.find(s_continueExpected) == std::string_view::npos)
            report(Limit::Rejected);
        setPhase(connection, Phase::Reading);
    }

    bool isHeaderComplete(Connection& connection) const
    {
        if (!connection.isHeaderComplete) {
            const auto* input = connection.socket->input;
            const auto size = std::min(input->size, limits.headerBytes);
            connection.isHeaderComplete
                = std::string_view(input->bytes ? input->bytes : "", size).find(s_headerEnd) != std::string_view::npos;
        }
        return connection.isHeaderComplete;
    }

    // Ends connections until the sums are within the budget.
    void keepBudget(std::uint32_t address)
    {
        const auto endWhile = [this](const auto& isOver, Limit limit, const auto& isCandidate) {
            while (isOver()) {
                auto* victim = largestAndOldest(isCandidate);
                if (!victim)
                    return;
                end(*victim, limit);
            }
        };
        endWhile([this] { return heldByLarge > threeQuarters(limits.heldBytes); }, Limit::HeldBytes,
            [](const Connection& each) { return each.isLarge(); });
        endWhile([this] { return held > limits.heldBytes; }, Limit::HeldBytes, [](const Connection&) { return true; });
        endWhile(
            [this, address] {
                const auto sums = byAddress.find(address);
                return sums != byAddress.end() && sums->second.held > limits.heldBytesPerAddress;
            },
            Limit::HeldBytesPerAddress, [address](const Connection& each) { return each.address == address; });
    }

    template <typename Predicate> Connection* largestAndOldest(const Predicate& isCandidate)
    {
        const auto now = loop.now();
        Connection* found = nullptr;
        std::uint64_t highest = 0;
        for (const auto& [key, connection] : connections) {
            if (!connection->canEnd() || !connection->held || !isCandidate(*connection))
                continue;
            const auto age = static_cast<std::uint64_t>((now - connection->since).count() + 1);
            if (const auto score = connection->held * age; score > highest) {
                highest = score;
                found = connection.get();
            }
        }
        return found;
    }

    // The connection that is closed to make room for a new one: without a request so far, or idle for the longest time.
    // A request that is about to be read is not lost for a new connection, and an answer only if nothing else can end.
    template <typename Predicate> Connection* leastUseful(const Predicate& isCandidate)
    {
        Connection* found = nullptr;
        const auto rank
            = [](const Connection& each) { return std::make_tuple(each.isSending(), each.hasServed, each.since); };
        for (const auto& [key, connection] : connections) {
            if (connection->canEnd() && isCandidate(*connection) && (!found || rank(*connection) < rank(*found))
                && !hasUnread(*connection))
                found = connection.get();
        }
        return found;
    }

    // The client has sent bytes that h2o will read in the next iteration.
    static bool hasUnread(const Connection& connection)
    {
        return connection.socket->_cb.read && queueBytes(connection.socket, SIOCINQ) > 0;
    }

    // Ends the connection with a reset, which also discards what the kernel holds for it.
    void end(Connection& connection, Limit limit)
    {
        report(limit);
        auto* socket = connection.socket;
        const linger reset { 1, 0 };
        ::setsockopt(h2o_socket_get_fd(socket), SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
        if (connection.phase == Phase::Closing) {
            connection.read(socket, s_endReason);
            return;
        }
        const bool isReading
            = (connection.phase == Phase::Waiting || connection.phase == Phase::Reading) && socket->_cb.read;
        if (isReading) {
            unwatch(connection);
            socket->_cb.read(socket, s_endReason); // h2o closes the connection and releases its memory
            return;
        }
        setHeld(connection, 0);
        connection.isEnding = true;
        ::shutdown(h2o_socket_get_fd(socket), SHUT_RDWR);
    }

    // h2o closes the connection, after what the kernel still sends.
    void endIdle(Connection& connection)
    {
        if (!connection.socket->_cb.read)
            return;
        unwatch(connection);
        connection.socket->_cb.read(connection.socket, s_endReason);
    }

    // h2o replaces the read callback when it begins to read the next request.
    void watchAgain()
    {
        if (ended.empty())
            return;
        for (const auto& each : std::exchange(ended, {})) {
            const auto connection = each.lock();
            if (!connection || !connection->socket)
                continue;
            watch(*connection);
            update(*connection);
            if (connection->phase == Phase::Waiting && connection->socket->input->size)
                setPhase(*connection, Phase::Reading);
            if (connection->isCloseAnnounced)
                beginClose(*connection);
        }
    }

    std::optional<Duration> drainIdleTime(const Connection& connection) const
    {
        return drainIdleTimes.at(static_cast<std::size_t>(connection.listener));
    }

    bool isDraining() const
    {
        return std::any_of(
            drainIdleTimes.begin(), drainIdleTimes.end(), [](const auto& time) { return time.has_value(); });
    }

    void scheduleDrain()
    {
        if (drainTimer)
            return;
        drainTimer = loop.after(s_drainPeriod, [this] {
            drainTimer.reset();
            if (drain() || isDraining())
                scheduleDrain();
        });
    }

    // Returns whether connections are being closed.
    bool drain()
    {
        std::vector<ConnectionPtr> all;
        for (const auto& [key, connection] : connections) {
            if (connection->isCloseAnnounced || drainIdleTime(*connection))
                all.push_back(connection);
        }
        const auto now = loop.now();
        for (const auto& connection : all) {
            if (!connection->socket)
                continue;
            const auto idleTime = drainIdleTime(*connection);
            const bool isIdle = idleTime && now - std::max(connection->since, drainingSince) >= *idleTime;
            if (connection->phase == Phase::Closing) {
                if (!queueBytes(connection->socket, SIOCOUTQ))
                    connection->read(connection->socket, s_drainReason); // h2o closes the connection
            } else if (connection->isCloseAnnounced || isIdle) {
                beginClose(*connection);
            }
        }
        return !all.empty();
    }

    // Half-closes a connection on which nothing is due. A close at once would reset the connection if the client sends
    // more, and with it discard the end of an answer.
    void beginClose(Connection& connection)
    {
        auto* socket = connection.socket;
        if (connection.phase != Phase::Waiting || connection.isEnding || socket->input->size || hasUnreadInput(socket))
            return;
        watch(connection);
        if (!connection.read)
            return;
        h2o_socket_read_stop(socket);
        ::shutdown(h2o_socket_get_fd(socket), SHUT_WR);
        setPhase(connection, Phase::Closing);
        scheduleDrain();
    }

    void scheduleSweep()
    {
        sweepTimer = loop.after(s_sweepPeriod, [this] {
            sweep();
            scheduleSweep();
        });
    }

    void sweep()
    {
        std::vector<ConnectionPtr> all;
        all.reserve(connections.size());
        for (const auto& [key, connection] : connections)
            all.push_back(connection);
        const auto now = loop.now();
        for (const auto& connection : all) {
            if (connection->socket && !connection->isEnding)
                check(*connection, now);
        }
        for (const auto& connection : all) {
            if (connection->socket)
                keepBudget(connection->address);
            if (held <= limits.heldBytesPerAddress)
                break;
        }
        if (hasUnlogged && now - lastLog >= s_logWindow)
            logLimits();
    }

    void check(Connection& connection, TimePoint now)
    {
        watch(connection);
        const auto time = now - connection.since;
        switch (connection.phase) {
        case Phase::Waiting:
            update(connection);
            if (time > limits.idleTime && !hasUnread(connection))
                endIdle(connection);
            break;
        case Phase::Reading:
            update(connection);
            // After a pause of the process the rest may have arrived in time. The loop reads from a limited number of
            // connections in one iteration.
            if (hasUnread(connection))
                break;
            if (time > limits.headerTime && !isHeaderComplete(connection))
                end(connection, Limit::HeaderTime);
            else if (time > limits.bodyTime)
                end(connection, Limit::BodyTime);
            break;
        case Phase::Serving:
            update(connection, queueBytes(connection.socket, SIOCINQ));
            break;
        case Phase::Answering:
        case Phase::Closing:
            update(connection, queueBytes(connection.socket, SIOCOUTQ));
            if (time > limits.answerTime)
                end(connection, Limit::AnswerTime);
            break;
        }
    }

    void report(Limit limit)
    {
        ++unlogged[static_cast<std::size_t>(limit)];
        hasUnlogged = true;
        if (onReached)
            onReached(limit);
        if (!hasLogged || loop.now() - lastLog >= s_logWindow)
            logLimits();
    }

    void logLimits()
    {
        std::string counts;
        for (std::size_t i = 0; i < limitCount; ++i) {
            if (unlogged[i])
                counts += (counts.empty() ? "" : ",") + std::string(name(Limit(i))) + ':' + std::to_string(unlogged[i]);
        }
        s_log.warning("Limits for clients were reached.",
            { { "limits", counts }, { "held_bytes", std::to_string(held) },
                { "connections", std::to_string(connections.size()) } });
        unlogged = {};
        hasUnlogged = false;
        hasLogged = true;
        lastLog = loop.now();
    }
};

ConnectionGuard::ConnectionGuard(EventLoop& loop, ConnectionLimits limits, Callback onReached)
    : m_impl(std::make_unique<Impl>(loop, limits, std::move(onReached)))
{
}

ConnectionGuard::~ConnectionGuard() = default;

const ConnectionLimits& ConnectionGuard::limits() const { return m_impl->limits; }
void ConnectionGuard::report(Limit limit) { m_impl->report(limit); }
std::size_t ConnectionGuard::heldBytes() const { return m_impl->held; }
std::size_t ConnectionGuard::connections() const { return m_impl->connections.size(); }
std::size_t ConnectionGuard::connections(ListenerKind listener) const
{
    return m_impl->byListener.at(static_cast<std::size_t>(listener));
}

ConnectionCounts ConnectionGuard::counts(ListenerKind listener) const
{
    using Phase = TrackedConnection::Phase;
    ConnectionCounts counts;
    for (const auto& [key, connection] : m_impl->connections) {
        if (connection->listener != listener)
            continue;
        ++counts.open;
        if (connection->phase == Phase::Serving)
            ++counts.unanswered;
        else if (connection->phase == Phase::Reading)
            ++counts.partial;
        else if (connection->phase == Phase::Waiting && queueBytes(connection->socket, SIOCINQ))
            ++counts.unread;
        if (connection->phase == Phase::Answering || queueBytes(connection->socket, SIOCOUTQ))
            ++counts.unsent;
    }
    return counts;
}

bool ConnectionGuard::admit(st_h2o_socket_t* socket, ListenerKind listener)
{
    sockaddr_in peer {};
    socklen_t length = sizeof(peer);
    ::getpeername(h2o_socket_get_fd(socket), reinterpret_cast<sockaddr*>(&peer), &length);
    const std::uint32_t address = peer.sin_addr.s_addr;
    const auto makeRoom = [this](Limit limit, const auto& isCandidate) {
        auto* victim = m_impl->leastUseful(isCandidate);
        if (victim)
            m_impl->end(*victim, limit);
        else
            m_impl->report(limit);
        return victim != nullptr;
    };
    const auto& limits = m_impl->limits;
    const auto hasRoom = [&] {
        const auto sums = m_impl->byAddress.find(address);
        return m_impl->connections.size() < limits.connections
            && m_impl->byListener[static_cast<std::size_t>(listener)] < threeQuarters(limits.connections)
            && (sums == m_impl->byAddress.end() || sums->second.connections < limits.connectionsPerAddress);
    };
    // Those that are closed and only wait for an acknowledgement make room first.
    if (m_impl->drainTimer && !hasRoom())
        m_impl->drain();
    const auto sums = m_impl->byAddress.find(address);
    if (sums != m_impl->byAddress.end() && sums->second.connections >= limits.connectionsPerAddress
        && !makeRoom(
            Limit::ConnectionsPerAddress, [address](const TrackedConnection& each) { return each.address == address; }))
        return false;
    if (m_impl->byListener[static_cast<std::size_t>(listener)] >= threeQuarters(limits.connections)
        && !makeRoom(
            Limit::Connections, [listener](const TrackedConnection& each) { return each.listener == listener; }))
        return false;
    if (m_impl->connections.size() >= limits.connections
        && !makeRoom(Limit::Connections, [](const TrackedConnection&) { return true; }))
        return false;
    m_impl->add(socket, address, listener);
    return true;
}

std::shared_ptr<TrackedConnection> ConnectionGuard::find(st_h2o_socket_t* socket)
{
    if (socket->on_close.cb != Impl::onClose)
        return nullptr;
    auto* connection = static_cast<TrackedConnection*>(socket->on_close.data);
    return connection->guard->connections.at(connection);
}

void ConnectionGuard::watch(st_h2o_socket_t* socket)
{
    if (const auto connection = find(socket))
        Impl::watch(*connection);
}

bool ConnectionGuard::beginRequest(TrackedConnection& connection)
{
    auto* guard = connection.guard;
    if (!guard)
        return true;
    guard->update(connection);
    guard->setPhase(connection, TrackedConnection::Phase::Serving);
    if (!connection.isLarge() || guard->heldInWork <= guard->limits.heldBytes / 2)
        return true;
    guard->report(Limit::HeldBytes);
    return false;
}

void ConnectionGuard::drain(ListenerKind listener, Duration idleTime)
{
    if (!m_impl->isDraining())
        m_impl->drainingSince = m_impl->loop.now();
    m_impl->drainIdleTimes.at(static_cast<std::size_t>(listener)) = idleTime;
    m_impl->scheduleDrain();
}

bool ConnectionGuard::isDraining(const TrackedConnection& connection)
{
    return connection.guard && connection.guard->drainIdleTime(connection);
}

bool ConnectionGuard::isDrainOverdue(const TrackedConnection& connection)
{
    return isDraining(connection)
        && connection.guard->loop.now() - connection.guard->drainingSince
        >= *connection.guard->drainIdleTime(connection);
}

void ConnectionGuard::beginAnswer(TrackedConnection& connection, std::size_t bytes, bool isLast)
{
    if (!connection.guard)
        return;
    connection.isCloseAnnounced = isLast;
    connection.guard->setPhase(connection, TrackedConnection::Phase::Answering);
    connection.answerBytes = bytes;
    connection.guard->update(connection);
}

void ConnectionGuard::endRequest(TrackedConnection& connection)
{
    auto* guard = connection.guard;
    if (!guard || !connection.socket)
        return;
    connection.answerBytes = 0;
    connection.hasServed = true;
    connection.isHeaderComplete = false;
    guard->setPhase(connection, TrackedConnection::Phase::Waiting);
    guard->ended.push_back(guard->connections.at(&connection));
}

} // namespace marigoldlink
