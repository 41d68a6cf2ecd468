// HTTP client on h2o's http1client, with one socket pool per endpoint.
#include "marigoldlink/Transport/HttpClient.h"

#include "H2o.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cassert>
#include <map>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unordered_map>

namespace marigoldlink {

namespace {

    constexpr std::size_t s_maxPooledConnections = 4096;
    constexpr std::uint64_t s_pooledIdleMilliseconds = 5000;
    constexpr Duration s_poolMaintenancePeriod { 1000 };
    constexpr std::uint64_t s_ioTimeoutMilliseconds = 120000;

    std::string entityTag(const h2o_header_t* headers, std::size_t count)
    {
        for (std::size_t i = 0; i < count; ++i) {
            if (headers[i].name == &H2O_TOKEN_ETAG->buf)
                return { headers[i].value.base, headers[i].value.len };
        }
        return {};
    }

    bool hasFraming(const h2o_header_t* headers, std::size_t count)
    {
        for (std::size_t i = 0; i < count; ++i) {
            if (headers[i].name == &H2O_TOKEN_CONTENT_LENGTH->buf
                || headers[i].name == &H2O_TOKEN_TRANSFER_ENCODING->buf)
                return true;
        }
        return false;
    }

    // Makes close() reset the connection and discard data that the peer has not acknowledged. Otherwise the kernel
    // would keep retransmitting it, and could still deliver it many seconds later, after a network partition has
    // healed.
    void discardUnsentOnClose(h2o_socket_t* socket)
    {
        const linger reset { 1, 0 };
        ::setsockopt(h2o_socket_get_fd(socket), SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
    }

} // namespace

struct HttpClient::Impl {
    // Connection pool of one endpoint.
    struct Pool {
        h2o_socketpool_t native {};
        std::size_t calls { 0 }; // in flight
        TimePoint lastUsed;
    };

    struct Call {
        Impl* owner;
        Pool* pool { nullptr };
        Callback callback;
        std::string head;
        std::string body;
        h2o_iovec_t buffers[2] {};
        h2o_http1client_t* client { nullptr };
        HttpResult outcome;
        // Invariant: true once the request was handed to the socket.
        bool sent { false };
        bool discardUnsentOnExit { false };
        bool isConnecting { false }; // true during the call of connect()
        TimePoint deadline;
        std::uint64_t id { 0 };
        EventLoop::Timer timeout;
    };

    Impl(EventLoop& eventLoop, Duration idle)
        : loop(eventLoop)
        , idleTime(idle)
    {
        h2o_linklist_init_anchor(&poolTimers);
        queue = h2o_multithread_create_queue(loop.native());
        h2o_multithread_register_receiver(queue, &receiver, h2o_hostinfo_getaddr_receiver);
        h2o_timeout_init(loop.native(), &ioTimeout, s_ioTimeoutMilliseconds);
        context.loop = loop.native();
        context.getaddr_receiver = &receiver;
        context.io_timeout = &ioTimeout;
    }

    // The loop may go on, so nothing of this client may remain in its lists.
    ~Impl()
    {
        for (auto& [id, call] : calls) {
            loop.cancel(call->timeout);
            if (call->client)
                h2o_http1client_cancel(call->client);
        }
        for (auto& [endpoint, slot] : pools)
            h2o_socketpool_dispose(&slot->native);
        h2o_timeout_dispose(loop.native(), &ioTimeout);
        h2o_multithread_unregister_receiver(queue, &receiver);
        h2o_multithread_destroy_queue(queue);
    }

    Impl(const Impl&) = delete;
    Impl& operator=(const Impl&) = delete;

    EventLoop& loop;
    Duration idleTime; // after which the pool of an endpoint is evicted
    h2o_multithread_queue_t* queue { nullptr };
    h2o_multithread_receiver_t receiver {};
    h2o_timeout_t ioTimeout {};
    h2o_http1client_ctx_t context {};
    h2o_linklist_t poolTimers {}; // invariant: holds the timer of each pool in pools
    std::map<Endpoint, std::unique_ptr<Pool>> pools;
    std::unordered_map<std::uint64_t, std::unique_ptr<Call>> calls;
    std::uint64_t nextCall { 1 };
    std::uint64_t sent { 0 };
    std::uint64_t received { 0 };

    Pool* pool(const Endpoint& endpoint)
    {
        auto& slot = pools[endpoint];
        if (slot)
            return slot.get();
        slot = std::make_unique<Pool>();
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(endpoint.port);
        ::inet_pton(AF_INET, endpoint.address.c_str(), &address.sin_addr);
        h2o_socketpool_init_by_address(
            &slot->native, reinterpret_cast<sockaddr*>(&address), sizeof(address), 0, s_maxPooledConnections);
        h2o_socketpool_set_timeout(&slot->native, loop.native(), s_pooledIdleMilliseconds);
        // Every iteration of the loop visits all its timers. Those of a thousand pools, which only close idle
        // connections, are run by maintainPools() instead.
        auto* link = &slot->native._interval_cb.timeout._link;
        h2o_linklist_unlink(link);
        h2o_linklist_insert(&poolTimers, link);
        return slot.get();
    }

    // Closes idle connections, and evicts idle pools: the endpoints of removed workers are never used again.
    void maintainPools()
    {
        const auto now = loop.now();
        for (auto& [endpoint, slot] : pools)
            h2o_timeout_run(loop.native(), &slot->native._interval_cb.timeout, h2o_now(loop.native()));
        std::erase_if(pools, [&](const auto& entry) {
            if (entry.second->calls || now - entry.second->lastUsed < idleTime)
                return false;
            h2o_socketpool_dispose(&entry.second->native);
            return true;
        });
    }

    void finish(Call* call, HttpResult::Kind kind)
    {
        auto found = calls.find(call->id);
        assert(found != calls.end() && "a call must finish exactly once");
        auto owned = std::move(found->second);
        calls.erase(found);
        loop.cancel(owned->timeout);
        if (owned->pool) {
            --owned->pool->calls;
            owned->pool->lastUsed = loop.now();
        }
        owned->outcome.kind = kind;
        received += owned->outcome.body.size();
        owned->callback(std::move(owned->outcome));
    }

    void connect(Call* call, const Endpoint& endpoint)
    {
        call->pool = pool(endpoint);
        ++call->pool->calls;
        call->isConnecting = true;
        h2o_http1client_connect_with_pool(&call->client, call, &context, &call->pool->native, onConnect);
        call->isConnecting = false;
    }

    // Does not run the callback before send() returns.
    void connectFailed(Call* call)
    {
        if (!call->isConnecting) {
            finish(call, HttpResult::Kind::NotSent);
            return;
        }
        loop.post([this, id = call->id] {
            if (const auto found = calls.find(id); found != calls.end())
                finish(found->second.get(), HttpResult::Kind::NotSent);
        });
    }

    static h2o_http1client_head_cb onConnect(
        h2o_http1client_t* client, const char* error, h2o_iovec_t** buffers, std::size_t* count, int* isHead)
    {
        auto* call = static_cast<Call*>(client->data);
        // After a pause of the process the connection may become ready before the timeout timer runs.
        if (error || call->owner->loop.now() >= call->deadline) {
            call->client = nullptr;
            call->owner->connectFailed(call);
            return nullptr;
        }
        if (call->discardUnsentOnExit)
            discardUnsentOnClose(client->sock);
        call->sent = true;
        call->buffers[0] = h2o_iovec_init(call->head.data(), call->head.size());
        call->buffers[1] = h2o_iovec_init(call->body.data(), call->body.size());
        *buffers = call->buffers;
        *count = call->body.empty() ? 1 : 2;
        *isHead = 0;
        return onHead;
    }

    static h2o_http1client_body_cb onHead(h2o_http1client_t* client, const char* error, int, int status, h2o_iovec_t,
        h2o_header_t* headers, std::size_t count, int headBytes)
    {
        auto* call = static_cast<Call*>(client->data);
        call->owner->received += static_cast<std::uint64_t>(std::max(0, headBytes));
        const bool isEnd = error == h2o_http1client_error_is_eos;
        if (error && !isEnd) {
            call->client = nullptr;
            call->owner->finish(call, HttpResult::Kind::Lost);
            return nullptr;
        }
        call->outcome.status = status;
        call->outcome.entityTag = entityTag(headers, count);
        if (isEnd) {
            call->client = nullptr;
            const auto kind = hasFraming(headers, count) ? HttpResult::Kind::Answered : HttpResult::Kind::Lost;
            call->owner->finish(call, kind);
            return nullptr;
        }
        if (!hasFraming(headers, count)) {
            // Without framing a truncated body is indistinguishable from a complete one. Returning no callback closes
            // the connection.
            call->client = nullptr;
            call->owner->finish(call, HttpResult::Kind::Lost);
            return nullptr;
        }
        return onBody;
    }

    static int onBody(h2o_http1client_t* client, const char* error)
    {
        auto* call = static_cast<Call*>(client->data);
        if (error && error != h2o_http1client_error_is_eos) {
            call->client = nullptr;
            call->owner->finish(call, HttpResult::Kind::Lost);
            return -1;
        }
        auto* input = client->sock->input;
        call->outcome.body.append(input->bytes, input->size);
        h2o_buffer_consume(&client->sock->input, input->size);
        if (error) {
            call->client = nullptr;
            call->owner->finish(call, HttpResult::Kind::Answered);
        }
        return 0;
    }

    void expire(std::uint64_t id)
    {
        auto found = calls.find(id);
        if (found == calls.end())
            return;
        auto* call = found->second.get();
        if (call->client) {
            if (call->client->sock)
                discardUnsentOnClose(call->client->sock);
            h2o_http1client_cancel(call->client);
        }
        finish(call, call->sent ? HttpResult::Kind::Lost : HttpResult::Kind::NotSent);
    }
};

HttpClient::HttpClient(EventLoop& loop, Duration idleTime)
    : m_impl(std::make_unique<Impl>(loop, idleTime))
{
    loop.every(s_poolMaintenancePeriod, [weak = std::weak_ptr(m_impl)] {
        if (const auto impl = weak.lock())
            impl->maintainPools();
    });
}

std::size_t HttpClient::endpointCount() const { return m_impl->pools.size(); }

HttpClient::~HttpClient() = default;

std::uint64_t HttpClient::bytesSent() const { return m_impl->sent; }
std::uint64_t HttpClient::bytesReceived() const { return m_impl->received; }

void HttpClient::send(const Endpoint& endpoint, HttpCall request, Callback callback)
{
    auto call = std::make_unique<Impl::Call>();
    auto* rawCall = call.get();
    rawCall->owner = m_impl.get();
    rawCall->callback = std::move(callback);
    rawCall->id = m_impl->nextCall++;
    rawCall->head = request.method + " " + request.target + " HTTP/1.1\r\nhost: " + endpoint.text()
        + "\r\nconnection: keep-alive\r\ncontent-length: " + std::to_string(request.body.size()) + "\r\n";
    for (const auto& [headerName, value] : request.headers)
        rawCall->head += headerName + ": " + value + "\r\n";
    rawCall->head += "\r\n";
    rawCall->body = std::move(request.body);
    rawCall->discardUnsentOnExit = request.discardUnsentOnExit;
    rawCall->deadline = m_impl->loop.now() + request.timeout;
    m_impl->sent += rawCall->head.size() + rawCall->body.size();
    m_impl->calls.emplace(rawCall->id, std::move(call));
    rawCall->timeout
        = m_impl->loop.after(request.timeout, [impl = m_impl.get(), id = rawCall->id] { impl->expire(id); });
    if (request.sendAtOnce) {
        m_impl->connect(rawCall, endpoint);
        return;
    }
    m_impl->loop.post([weak = std::weak_ptr(m_impl), id = rawCall->id, endpoint] {
        const auto impl = weak.lock();
        if (!impl)
            return;
        if (const auto found = impl->calls.find(id); found != impl->calls.end())
            impl->connect(found->second.get(), endpoint);
    });
}

} // namespace marigoldlink
