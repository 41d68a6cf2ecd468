// HTTP/1.1 client on h2o with pooled connections, without pipelining.
//
// Each connection carries one request at a time, and is closed when its call times out. A late response can therefore
// never be taken for the response to another request.
#pragma once

#include "marigoldlink/Transport/EventLoop.h"
#include "marigoldlink/Transport/HttpServer.h"

#include <functional>
#include <memory>
#include <string>

namespace marigoldlink {

struct HttpResult {
    enum class Kind {
        Answered, // A complete response arrived.
        NotSent, // No byte of the request was sent.
        Lost, // The request may have been received, but no complete response arrived.
    };

    Kind kind { Kind::NotSent };
    int status { 0 };
    std::string body;
    std::string entityTag; // value of the ETag header

    bool isOk() const { return kind == Kind::Answered && status == 200; }
};

struct HttpCall {
    std::string method { "GET" };
    std::string target { "/" };
    std::string body;
    HttpHeaders headers;
    // On timeout the connection is reset, so that data which the peer has not received yet is never delivered.
    Duration timeout { 1000 };
    // Discard data that the peer has not received also when this process exits.
    bool discardUnsentOnExit { false };
    // Send within send() and not at the end of the loop's iteration. In the callback of a call to the same endpoint
    // this needs another connection, as that call's is not yet free.
    bool sendAtOnce { false };
};

class HttpClient {
public:
    using Callback = std::function<void(HttpResult)>;

    // Longer than the longest interval between two calls to an endpoint in use.
    static constexpr Duration defaultIdleTime { 10000 };

    // An endpoint without calls for the idle time is evicted and its connections are closed.
    explicit HttpClient(EventLoop&, Duration idleTime = defaultIdleTime);
    ~HttpClient();

    // Sends the call. The callback runs exactly once, and never before this function returns.
    void send(const Endpoint&, HttpCall, Callback);

    // Number of endpoints with a connection pool.
    std::size_t endpointCount() const;

    // Total bytes of request heads and bodies sent, and of responses received.
    std::uint64_t bytesSent() const;
    std::uint64_t bytesReceived() const;

private:
    struct Impl;
    std::shared_ptr<Impl> m_impl; // the event loop holds a weak reference
};

} // namespace marigoldlink
