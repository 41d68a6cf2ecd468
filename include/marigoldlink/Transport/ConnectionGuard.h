// Bounds of what a process holds for its clients: connections, incomplete requests and unread answers.
#pragma once

#include "marigoldlink/State/Types.h"
#include "marigoldlink/Transport/EventLoop.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string_view>

struct st_h2o_socket_t;

namespace marigoldlink {

// Limits that a client can reach.
enum class Limit {
    HeldBytes,
    HeldBytesPerAddress,
    Connections,
    ConnectionsPerAddress,
    HeaderBytes,
    HeaderTime,
    BodyTime,
    AnswerTime,
    Rejected, // requests that do not parse, or whose body is announced or grown past the limit
    Json, // documents with too deep nesting or too many values
    Job, // jobs with too many tasks or too long a specification
};
constexpr std::size_t limitCount = 11;

// Value of the label `limit` of the metric.
std::string_view name(Limit);

struct ConnectionLimits {
    std::int64_t memoryBytes { std::int64_t { 160 } << 20 }; // of the machine
    // Incomplete requests, requests in work and unread answers, over all listeners.
    std::size_t heldBytes { std::size_t { 40 } << 20 };
    std::size_t heldBytesPerAddress { std::size_t { 30 } << 20 };
    std::size_t connections { 1280 }; // over all listeners
    std::size_t connectionsPerAddress { 960 };
    std::size_t headerBytes { 16384 };
    Duration headerTime { 3000 }; // from the first byte of a request to the end of its header
    Duration bodyTime { 10000 }; // from the first byte of a request to its end
    Duration answerTime { 10000 }; // from the answer to the time at which the client has read it
    Duration idleTime { 16000 }; // of a connection without a request; clients may keep one for 15,000 ms

    // The defaults for a machine.
    static ConnectionLimits forMachine(std::size_t memoryMegabytes, std::size_t descriptors);

    // Size of the kernel's buffer of one connection, in each direction.
    std::size_t socketBufferBytes() const;
};

// Who connects to a listener. Each kind may use three quarters of the connections, so that neither locks out the other.
enum class ListenerKind { Callers, Internal };

// The connections of a kind of listener, and what is due on them.
struct ConnectionCounts {
    std::size_t open { 0 };
    std::size_t partial { 0 }; // a request was read in part
    std::size_t unread { 0 }; // between two requests, with bytes that were not read yet
    std::size_t unanswered { 0 }; // a whole request was read, and its answer was not handed over yet
    std::size_t unsent { 0 }; // the client has not acknowledged the last byte of an answer
};

class TrackedConnection;

// Tracks the connections of all HTTP servers of a process and ends those that exceed a limit.
//
// A connection counts with the capacity of its input buffer and, while an answer is unread, with the size of the answer
// and the kernel's send queue. Above the budget, the connection with the largest product of bytes and age is ended.
// Connections that hold no more than a small request are ended only if the small ones alone exceed their reserved part.
class ConnectionGuard {
public:
    using Callback = std::function<void(Limit)>;

    // onReached: called each time that a limit is reached
    ConnectionGuard(EventLoop&, ConnectionLimits, Callback onReached);
    ~ConnectionGuard();
    ConnectionGuard(const ConnectionGuard&) = delete;
    ConnectionGuard& operator=(const ConnectionGuard&) = delete;

    const ConnectionLimits& limits() const;
    // Counts a limit that was reached, and writes a line to the log if the last one is long enough ago.
    void report(Limit);

    // Called by HttpServer.

    // Returns false if the new connection must be closed.
    bool admit(st_h2o_socket_t*, ListenerKind);
    // Called when the server has begun to read from the connection.
    void watch(st_h2o_socket_t*);
    // The connection of a socket that was admitted; nullptr for other sockets.
    static std::shared_ptr<TrackedConnection> find(st_h2o_socket_t*);
    // Called with a complete request. Returns false if it must be refused, because requests in work hold too much.
    static bool beginRequest(TrackedConnection&);
    // Whether the connection is to be closed after an answer behind which no request has been sent.
    static bool isDraining(const TrackedConnection&);
    // Whether it has been drained for longer than its idle time, in which its client has always sent the next request
    // before it had the answer to the last one.
    static bool isDrainOverdue(const TrackedConnection&);
    // isLast: the answer tells the client that the connection will be closed
    static void beginAnswer(TrackedConnection&, std::size_t bytes, bool isLast);
    static void endRequest(TrackedConnection&);

    // Closes the connections of this kind, also those that are opened later, before the process ends. A connection is
    // half-closed after an answer that says so, or once its client has sent nothing for idleTime, and closed when the
    // client has acknowledged the last byte. It is not half-closed while a request is unread, read in part or
    // unanswered; what arrives later is not read. After idleTime each answer says so, also one behind which further
    // requests wait. A later call replaces idleTime.
    void drain(ListenerKind, Duration idleTime);

    // Bytes and connections that count now.
    std::size_t heldBytes() const;
    std::size_t connections() const;
    std::size_t connections(ListenerKind) const;
    // Asks the kernel about each connection.
    ConnectionCounts counts(ListenerKind) const;

private:
    friend class TrackedConnection;
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace marigoldlink
