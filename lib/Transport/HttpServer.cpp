// HTTP server on h2o's evloop.
#include "marigoldlink/Transport/HttpServer.h"

#include "H2o.h"
#include "marigoldlink/State/Errors.h"
#include "marigoldlink/Support/Log.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cassert>
#include <cerrno>
#include <cstring>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

namespace marigoldlink {

namespace {

    constexpr Log s_log("http");

    constexpr int s_listenBacklog = 1024;
    // Connections accepted in one iteration of the loop. Clients that connect again as soon as they are refused must
    // not keep it from its timers and other sockets.
    constexpr int s_maxAccepts = 64;
    constexpr std::uint64_t s_noTimeout = 86'400'000;
    constexpr int s_statusUnavailable = 503;
    // The request may have taken effect.
    constexpr int s_statusUnknown = 504;
    constexpr const char* s_retryAfter = "1";

    const char* reasonPhrase(int status)
    {
        if (status < 300)
            return "OK";
        if (status < 500)
            return "Refused";
        return "Failed";
    }

    // Approximate size of the response head that h2o writes by itself: status line, length, date and server.
    constexpr std::uint64_t s_responseHeadBytes = 140;
    constexpr std::uint64_t s_headerSeparatorBytes = 4;

    struct ByteCounters {
        std::uint64_t received { 0 };
        std::uint64_t sent { 0 };
    };

    struct Handler {
        h2o_handler_t super;
        HttpHandler* callback;
        ByteCounters* byteCounters;
    };

    std::uint64_t requestSize(const h2o_req_t* request)
    {
        auto bytes = request->method.len + request->path.len + request->entity.len;
        for (std::size_t i = 0; i < request->headers.size; ++i) {
            const auto& header = request->headers.entries[i];
            bytes += header.name->len + header.value.len + s_headerSeparatorBytes;
        }
        return bytes;
    }

    // Position behind the first occurrence of the word; the size of the text if there is none.
    std::size_t endOf(std::string_view text, std::string_view word)
    {
        const auto found = text.find(word);
        return found == std::string_view::npos ? text.size() : found + word.size();
    }

    // True if the client has sent more than this request.
    bool hasFurtherInput(const h2o_req_t* request)
    {
        auto* socket = request->conn->callbacks->get_socket(request->conn);
        const std::string_view input(socket->input->bytes, socket->input->size);
        // h2o also accepts lines that end with a line feed alone.
        const auto headerSize = std::min(endOf(input, "\n\r\n"), endOf(input, "\n\n"));
        if (input.size() > headerSize + request->entity.len)
            return true;
        char next = 0;
        return ::recv(h2o_socket_get_fd(socket), &next, sizeof(next), MSG_PEEK | MSG_DONTWAIT) > 0;
    }

    // Allocated in the request's memory pool; notifies the responder when h2o disposes of the request.
    struct RequestGuard;

    class Responder final : public HttpResponder {
    public:
        Responder(h2o_req_t* request, ByteCounters& byteCounters)
            : m_request(request)
            , m_byteCounters(byteCounters)
            , m_connection(ConnectionGuard::find(request->conn->callbacks->get_socket(request->conn)))
        {
        }

        // False if the request must be refused.
        bool begin() { return !m_connection || ConnectionGuard::beginRequest(*m_connection); }

        void send(HttpResponse answer) override
        {
            if (!m_request)
                return;
            auto* request = m_request;
            m_request = nullptr;
            m_onClosed = nullptr;
            m_byteCounters.sent += s_responseHeadBytes + answer.body.size();
            // Also if the client has asked for it.
            const bool isLast = m_connection
                && (!request->http1_is_persistent
                    || (ConnectionGuard::isDraining(*m_connection)
                        && (!hasFurtherInput(request) || ConnectionGuard::isDrainOverdue(*m_connection))));
            if (m_connection)
                ConnectionGuard::beginAnswer(*m_connection, answer.body.size(), isLast);
            request->res.status = answer.status;
            request->res.reason = reasonPhrase(answer.status);
            request->res.content_length = answer.body.size();
            const auto type = h2o_strdup(&request->pool, answer.contentType.data(), answer.contentType.size());
            h2o_add_header(&request->pool, &request->res.headers, H2O_TOKEN_CONTENT_TYPE, nullptr, type.base, type.len);
            for (const auto& [headerName, value] : answer.headers) {
                const auto headerCopy = h2o_strdup(&request->pool, headerName.data(), headerName.size());
                const auto valueCopy = h2o_strdup(&request->pool, value.data(), value.size());
                h2o_add_header_by_str(&request->pool, &request->res.headers, headerCopy.base, headerCopy.len, 1,
                    nullptr, valueCopy.base, valueCopy.len);
            }
            if (isLast)
                request->http1_is_persistent = 0; // h2o writes "Connection: close"
            h2o_send_inline(request, answer.body.data(), answer.body.size());
            // h2o would close the connection although the client may have sent more, which resets it. The guard closes
            // it instead.
            if (isLast)
                request->http1_is_persistent = 1;
        }

        bool isOpen() const override { return m_request; }

        bool hasCallerLeft() const override
        {
            if (!m_request)
                return true;
            auto* socket = m_request->conn->callbacks->get_socket(m_request->conn);
            char next = 0;
            const auto received = ::recv(h2o_socket_get_fd(socket), &next, sizeof(next), MSG_PEEK | MSG_DONTWAIT);
            return received == 0 || (received < 0 && errno != EAGAIN && errno != EINTR);
        }

        void onClosed(std::function<void()> callback) override { m_onClosed = std::move(callback); }

        void requestDisposed()
        {
            m_request = nullptr;
            if (const auto connection = std::exchange(m_connection, nullptr))
                ConnectionGuard::endRequest(*connection);
            if (auto callback = std::exchange(m_onClosed, nullptr))
                callback();
        }

    private:
        h2o_req_t* m_request;
        ByteCounters& m_byteCounters;
        std::shared_ptr<TrackedConnection> m_connection; // until the request is disposed of
        std::function<void()> m_onClosed;
    };

    struct RequestGuard {
        std::shared_ptr<Responder> responder;
    };

    void disposeGuard(void* memory)
    {
        auto* guard = static_cast<RequestGuard*>(memory);
        guard->responder->requestDisposed();
        guard->~RequestGuard();
    }

    std::string_view toStringView(const h2o_iovec_t& text) { return { text.base, text.len }; }

    int onRequest(h2o_handler_t* self, h2o_req_t* request)
    {
        auto& handler = *reinterpret_cast<Handler*>(self);
        handler.byteCounters->received += requestSize(request);
        auto responder = std::make_shared<Responder>(request, *handler.byteCounters);
        void* memory = h2o_mem_alloc_shared(&request->pool, sizeof(RequestGuard), disposeGuard);
        new (memory) RequestGuard { responder };
        if (!responder->begin()) {
            responder->send({ s_statusUnavailable, "{}", "application/json", { { "retry-after", s_retryAfter } } });
            return 0;
        }

        HttpRequest incoming;
        incoming.method = toStringView(request->method);
        const auto target = toStringView(request->path);
        const auto question = target.find('?');
        incoming.path = target.substr(0, question);
        incoming.query = question == std::string_view::npos ? std::string_view() : target.substr(question + 1);
        incoming.body = toStringView(request->entity);
        incoming.authority = toStringView(request->authority);
        incoming.native = request;
        // An exception must not pass through h2o, which is written in C.
        try {
            (*handler.callback)(incoming, responder);
        } catch (const std::exception& error) {
            s_log.error("Request failed.", { { "reason", error.what() } });
            responder->send({ s_statusUnknown, "{}", "application/json", {} });
        }
        return 0;
    }

    std::string decodePercent(std::string_view text)
    {
        std::string decoded;
        for (std::size_t i = 0; i < text.size(); ++i) {
            if (text[i] != '%' || i + 2 >= text.size()) {
                decoded += text[i];
                continue;
            }
            decoded += static_cast<char>(std::strtol(std::string(text.substr(i + 1, 2)).c_str(), nullptr, 16));
            i += 2;
        }
        return decoded;
    }

} // namespace

std::string_view HttpRequest::header(std::string_view lowerCaseName) const
{
    const auto* request = static_cast<const h2o_req_t*>(native);
    for (std::size_t i = 0; i < request->headers.size; ++i) {
        const auto& header = request->headers.entries[i];
        if (toStringView(*header.name) == lowerCaseName)
            return toStringView(header.value);
    }
    return {};
}

std::string HttpRequest::parameter(std::string_view name) const
{
    auto rest = query;
    while (!rest.empty()) {
        const auto end = rest.find('&');
        const auto pair = rest.substr(0, end);
        const auto equals = pair.find('=');
        if (pair.substr(0, equals) == name)
            return equals == std::string_view::npos ? std::string() : decodePercent(pair.substr(equals + 1));
        rest = end == std::string_view::npos ? std::string_view() : rest.substr(end + 1);
    }
    return {};
}

struct HttpServer::Impl {
    EventLoop& loop;
    HttpHandler handler;
    ByteCounters byteCounters {};
    h2o_globalconf_t config {};
    h2o_context_t context {};
    h2o_accept_ctx_t acceptContext {};
    ConnectionGuard* guard { nullptr };
    ListenerKind listenerKind { ListenerKind::Callers };
    h2o_socket_t* listener { nullptr };

    static void onAccept(h2o_socket_t* listener, const char* error)
    {
        if (error)
            return;
        static_cast<Impl*>(listener->data)->accept(s_maxAccepts);
    }

    void accept(int count)
    {
        for (int i = 0; i < count; ++i) {
            h2o_socket_t* socket = h2o_evloop_socket_accept(listener);
            if (!socket)
                return;
            if (guard && !guard->admit(socket, listenerKind)) {
                h2o_socket_close(socket);
                continue;
            }
            h2o_accept(&acceptContext, socket);
            if (guard)
                guard->watch(socket);
        }
    }

    void closeListener()
    {
        if (!listener)
            return;
        h2o_socket_read_stop(listener);
        h2o_socket_close(listener);
        listener = nullptr;
    }
};

HttpServer::HttpServer(EventLoop& loop, Limits limits, HttpHandler handler)
    : m_impl(new Impl { loop, std::move(handler) })
{
    h2o_config_init(&m_impl->config);
    m_impl->config.max_request_entity_size = limits.bodyBytes;
    // h2o's timer ends a connection whose request it has read in part, or not at all after a pause of the process. The
    // guard judges these times by what has arrived.
    if (limits.guard)
        m_impl->config.http1.req_timeout = s_noTimeout;
    else
        m_impl->config.http1.req_timeout = static_cast<std::uint64_t>(limits.requestTimeout.count());
    // HTTP/2 streams have buffers of their own, which the guard does not see. No client needs it.
    m_impl->config.http1.upgrade_to_http2 = 0;
    m_impl->guard = limits.guard;
    m_impl->listenerKind = limits.listener;
    auto* host = h2o_config_register_host(&m_impl->config, h2o_iovec_init(H2O_STRLIT("default")), 65535);
    auto* path = h2o_config_register_path(host, "/", 0);
    auto* native = reinterpret_cast<Handler*>(h2o_create_handler(path, sizeof(Handler)));
    native->super.on_req = onRequest;
    native->callback = &m_impl->handler;
    native->byteCounters = &m_impl->byteCounters;
    h2o_context_init(&m_impl->context, loop.native(), &m_impl->config);
    m_impl->acceptContext.ctx = &m_impl->context;
    m_impl->acceptContext.hosts = m_impl->config.hosts;
}

HttpServer::~HttpServer() { m_impl->closeListener(); }

Endpoint HttpServer::listen(const Endpoint& endpoint)
{
    assert(!m_impl->listener && "a server can listen on one endpoint only");
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const int enabled = 1;
    ::setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof(enabled));
    if (m_impl->guard) {
        // Accepted connections inherit the sizes. They bound what the kernel holds for clients that send without an end
        // or do not read.
        const auto bytes = static_cast<int>(m_impl->guard->limits().socketBufferBytes());
        ::setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof(bytes));
        ::setsockopt(descriptor, SOL_SOCKET, SO_SNDBUF, &bytes, sizeof(bytes));
    }
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(endpoint.port);
    ::inet_pton(AF_INET, endpoint.address.c_str(), &address.sin_addr);
    socklen_t length = sizeof(address);
    if (::bind(descriptor, reinterpret_cast<sockaddr*>(&address), length) || ::listen(descriptor, s_listenBacklog)) {
        const std::string reason = std::strerror(errno);
        ::close(descriptor);
        throw Error(ErrorKind::InvalidSettings, "cannot listen on " + endpoint.text() + ": " + reason);
    }
    ::getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &length);
    m_impl->listener = h2o_evloop_socket_create(m_impl->loop.native(), descriptor, H2O_SOCKET_FLAG_DONT_READ);
    m_impl->listener->data = m_impl.get();
    h2o_socket_read_start(m_impl->listener, Impl::onAccept);
    return { endpoint.address, ntohs(address.sin_port) };
}

std::uint64_t HttpServer::bytesReceived() const { return m_impl->byteCounters.received; }
std::uint64_t HttpServer::bytesSent() const { return m_impl->byteCounters.sent; }

void HttpServer::stopListening()
{
    if (!m_impl->listener)
        return;
    // Requests may have been sent on connections that wait to be accepted.
    m_impl->accept(s_listenBacklog);
    m_impl->closeListener();
}

} // namespace marigoldlink
