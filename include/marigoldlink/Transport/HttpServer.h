// HTTP/1.1 server on h2o. Request and response bodies are not streamed.
#pragma once

#include "marigoldlink/State/Types.h"
#include "marigoldlink/Transport/ConnectionGuard.h"
#include "marigoldlink/Transport/EventLoop.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace marigoldlink {

using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

struct HttpResponse {
    int status { 200 };
    std::string body;
    std::string contentType { "application/json" };
    HttpHeaders headers;
};

// A request with its complete body. Valid only during the call of the handler.
struct HttpRequest {
    std::string_view method;
    std::string_view path; // without the query
    std::string_view query; // without the question mark
    std::string_view authority; // value of the Host header, which h2o does not list among the headers
    std::string_view body;
    const void* native { nullptr };

    // Value of a header by its lower-case name; empty if absent.
    std::string_view header(std::string_view lowerCaseName) const;
    // Value of a query parameter; empty if absent.
    std::string parameter(std::string_view name) const;
};

// Sends the response to one request, at any later time. A second response, or one to a caller that has disconnected, is
// dropped.
class HttpResponder {
public:
    virtual ~HttpResponder() = default;
    virtual void send(HttpResponse) = 0;
    // False once the response was sent or the caller has disconnected.
    virtual bool isOpen() const = 0;
    // True if the caller has disconnected or closed its sending half; asks the socket. An HTTP/1.1 connection is not
    // read while a request on it is pending, so isOpen() and onClosed() do not tell there.
    virtual bool hasCallerLeft() const = 0;
    // Calls back once if the caller disconnects before the response is sent.
    virtual void onClosed(std::function<void()>) = 0;
};

using HttpResponderPtr = std::shared_ptr<HttpResponder>;
using HttpHandler = std::function<void(const HttpRequest&, HttpResponderPtr)>;

class HttpServer {
public:
    struct Limits {
        std::size_t bodyBytes { 1024 * 1024 };
        Duration requestTimeout { 10000 }; // of a whole request, and of a connection without one
        ConnectionGuard* guard { nullptr }; // must outlive the server; nullptr: connections are not limited
        ListenerKind listener { ListenerKind::Callers };
    };

    HttpServer(EventLoop&, Limits, HttpHandler);
    ~HttpServer();

    // Listens on the endpoint and returns the bound one. Port 0 lets the kernel choose a port.
    // Throws Error(InvalidSettings) if the address cannot be bound.
    Endpoint listen(const Endpoint&);

    // Accepts the connections that wait, and closes the listening socket. Open connections are kept.
    void stopListening();

    // Total bytes of requests and responses, with an estimate for the headers that h2o adds.
    std::uint64_t bytesReceived() const;
    std::uint64_t bytesSent() const;

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace marigoldlink
