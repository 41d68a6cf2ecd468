// HTTP client of a process: pooled HTTP/1.1 connections by h2o, one request at a time on each.
//
// One request a connection keeps answers from crossing: a late answer belongs to a connection that was closed.
#pragma once

#include "marigoldlink/Transport/EventLoop.h"
#include "marigoldlink/Transport/HttpServer.h"

#include <functional>
#include <memory>
#include <string>

namespace marigoldlink {

struct HttpOutcome {
    enum class Kind {
        Answered, // The whole answer arrived.
        NotSent, // No byte of the request left this process.
        Lost, // The request may have been received; no whole answer arrived.
    };

    Kind kind { Kind::NotSent };
    int status { 0 };
    std::string body;
    std::string entityTag; // of the answer's ETag header

    bool isOk() const { return kind == Kind::Answered && status == 200; }
};

struct HttpCall {
    std::string method { "GET" };
    std::string target { "/" };
    std::string body;
    HttpHeaders headers;
    // When it is over the connection is reset, and what the peer has not received by then never reaches it.
    Duration timeout { 1000 };
    // What the peer has not received is dropped as well when this process ends.
    bool endsWithProcess { false };
};

class HttpClient {
public:
    using Callback = std::function<void(HttpOutcome)>;

    // Longer than the longest pause between two calls to an endpoint that is in use.
    static constexpr Duration standardIdleTime { 10000 };

    // Connections to an endpoint that was not called for the idle time are closed, and the endpoint is forgotten.
    explicit HttpClient(EventLoop&, Duration idleTime = standardIdleTime);
    ~HttpClient();

    // Sends the call and calls back exactly once, never before this function returns.
    void send(const Endpoint&, HttpCall, Callback);

    // Endpoints that are not forgotten.
    std::size_t endpoints() const;

    // Bytes of request heads and bodies sent so far, and of answers received.
    std::uint64_t bytesSent() const;
    std::uint64_t bytesReceived() const;

private:
    struct Impl;
    std::shared_ptr<Impl> m_impl; // the loop knows it weakly
};

} // namespace marigoldlink
