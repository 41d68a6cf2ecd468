// HTTP server of a process: HTTP/1.1 and HTTP/2 by h2o, whole request bodies in, whole answers out.
#pragma once

#include "marigoldlink/State/Types.h"
#include "marigoldlink/Transport/EventLoop.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace marigoldlink {

using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

struct HttpAnswer {
    int status { 200 };
    std::string body;
    std::string contentType { "application/json" };
    HttpHeaders headers;
};

// A request with its whole body. Valid only during the call of the handler.
struct HttpRequest {
    std::string_view method;
    std::string_view path; // without the query
    std::string_view query; // without the question mark
    std::string_view authority; // the Host header, which the library keeps apart from the others
    std::string_view body;
    const void* native { nullptr };

    // Value of a header by its lower-case name; empty when it is absent.
    std::string_view header(std::string_view lowerCaseName) const;
    // Value of a query parameter; empty when it is absent.
    std::string parameter(std::string_view name) const;
};

// Answers one request, at any later time. A second answer, or one to a caller that left, is dropped.
class HttpResponder {
public:
    virtual ~HttpResponder() = default;
    virtual void send(HttpAnswer) = 0;
    // False once the answer was sent or the caller closed its connection.
    virtual bool isOpen() const = 0;
    // Calls back once if the caller leaves before it was answered.
    virtual void onClosed(std::function<void()>) = 0;
};

using HttpResponderPtr = std::shared_ptr<HttpResponder>;
using HttpHandler = std::function<void(const HttpRequest&, HttpResponderPtr)>;

class HttpServer {
public:
    struct Limits {
        std::size_t bodyBytes { 1024 * 1024 };
        Duration requestTimeout { 10000 };
    };

    HttpServer(EventLoop&, Limits, HttpHandler);
    ~HttpServer();

    // Listens on the endpoint and returns the one in use, with the kernel's choice in place of port 0.
    // Throws Error(InvalidSettings) when the address cannot be bound.
    Endpoint listen(const Endpoint&);

    // Closes the listening socket. Connections that are open go on.
    void stopListening();

    // Bytes of requests and answers so far, with an estimate for what the library adds to the heads.
    std::uint64_t bytesReceived() const;
    std::uint64_t bytesSent() const;

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace marigoldlink
