// Tests that data of timed-out calls is not delivered later, and that idle endpoints are evicted.
#include "marigoldlink/Transport/HttpClient.h"

#include "LoopbackSockets.h"

#include <filesystem>
#include <gtest/gtest.h>
#include <poll.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace marigoldlink {
namespace {

    constexpr Duration s_timeout { 50 };
    constexpr std::size_t s_bodyBytes = 200000; // exceeds the peer's receive buffer

    // A peer that accepts connections and reads nothing until readAll() is called.
    class UnresponsivePeer {
    public:
        UnresponsivePeer()
            : m_listener(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
        {
            const int receiveBytes = 4096;
            ::setsockopt(m_listener, SOL_SOCKET, SO_RCVBUF, &receiveBytes, sizeof(receiveBytes));
            m_endpoint = listenOnLoopback(m_listener);
        }
        ~UnresponsivePeer() { ::close(m_listener); }

        const Endpoint& endpoint() const { return m_endpoint; }

        // Whether a connection arrives within the given time.
        bool isConnectedWithin(Duration time) const
        {
            pollfd listener { m_listener, POLLIN, 0 };
            return ::poll(&listener, 1, static_cast<int>(time.count())) == 1;
        }

        struct Received {
            std::size_t bytes { 0 };
            bool isReset { false };
        };

        // Accepts the first connection and reads until it ends.
        Received readAll() const
        {
            const int connection = ::accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
            Received received;
            char buffer[4096];
            ssize_t size = 0;
            while ((size = ::recv(connection, buffer, sizeof(buffer), 0)) > 0)
                received.bytes += static_cast<std::size_t>(size);
            received.isReset = size < 0;
            ::close(connection);
            return received;
        }

    private:
        int m_listener;
        Endpoint m_endpoint;
    };

    HttpCall order(std::string body)
    {
        HttpCall call;
        call.method = "POST";
        call.body = std::move(body);
        call.timeout = s_timeout;
        return call;
    }

    class HttpClientTimeouts : public testing::Test {
    protected:
        HttpResult::Kind send(HttpCall call)
        {
            std::optional<HttpResult> result;
            m_client.send(m_peer.endpoint(), std::move(call), [&result](HttpResult ended) { result = ended; });
            if (m_pause > Duration(0))
                m_loop.post([this] { std::this_thread::sleep_for(m_pause); });
            m_loop.runUntil([&result] { return result.has_value(); });
            return result->kind;
        }

        EventLoop m_loop;
        HttpClient m_client { m_loop };
        UnresponsivePeer m_peer;
        Duration m_pause { 0 }; // blocks the process for this long while the connection is established
    };

} // namespace

// Guards against delivery of calls after their timeout. During a network partition of a data centre the data of a call
// stays in the send buffer. When the partition healed, the kernel delivered moves that the coordinator had given up
// five seconds before.
TEST_F(HttpClientTimeouts, UnacknowledgedBytesAreDroppedOnTimeout)
{
    EXPECT_EQ(send(order(std::string(s_bodyBytes, 'x'))), HttpResult::Kind::Lost);
    const auto received = m_peer.readAll();
    EXPECT_TRUE(received.isReset) << "the kernel delivered data of a call that had timed out";
    EXPECT_LT(received.bytes, s_bodyBytes);
}

// A process that was paused while connecting must not send a call whose timeout has passed.
TEST_F(HttpClientTimeouts, CallThatExpiresDuringAPauseIsNotSent)
{
    m_pause = s_timeout * 2;
    EXPECT_EQ(send(order("{}")), HttpResult::Kind::NotSent);
    EXPECT_EQ(m_peer.readAll().bytes, 0u);
}

// Guards against a journal write that waits for the end of the loop's iteration.
TEST_F(HttpClientTimeouts, ACallSentAtOnceDoesNotWaitForTheLoop)
{
    auto call = order("{}");
    call.sendAtOnce = true;
    m_client.send(m_peer.endpoint(), std::move(call), [](const HttpResult&) {});
    EXPECT_TRUE(m_peer.isConnectedWithin(Duration(1000)));
}

// Guards against connection pools that are never evicted. Thousands of workers come and go in a day as instances change
// pools, each with its own address. The client kept timers for each of these addresses, and every iteration of the
// event loop visited all of them.
TEST(HttpClientEndpoints, IdleEndpointsAreEvicted)
{
    EventLoop loop;
    HttpClient client(loop, Duration(500));
    const auto answerAtOnce = [](const HttpRequest&, const HttpResponderPtr& responder) {
        responder->send({ 200, "{}", "application/json", {} });
    };
    std::vector<std::unique_ptr<HttpServer>> servers;
    std::vector<Endpoint> endpoints;
    for (int i = 0; i < 20; ++i) {
        servers.push_back(std::make_unique<HttpServer>(loop, HttpServer::Limits {}, answerAtOnce));
        endpoints.push_back(servers.back()->listen({ "127.0.0.1", 0 }));
    }
    std::size_t answered = 0;
    const auto call = [&](const Endpoint& endpoint) {
        client.send(endpoint, {}, [&answered](const HttpResult& result) { answered += result.isOk(); });
    };
    for (const auto& endpoint : endpoints)
        call(endpoint);
    loop.runUntil([&] { return answered == endpoints.size(); });
    EXPECT_EQ(client.endpointCount(), endpoints.size());
    // Calls to one endpoint continue.
    loop.every(Duration(50), [&] { call(endpoints.front()); });
    loop.runUntil([&] { return client.endpointCount() == 1; });
    const auto before = answered;
    loop.runUntil([&] { return answered >= before + 5; });
    EXPECT_EQ(client.endpointCount(), 1u);
    call(endpoints.back());
    loop.runUntil([&] { return client.endpointCount() == 2; });
    loop.runUntil([&] { return client.endpointCount() == 1; });
}

std::ptrdiff_t openDescriptors()
{
    return std::distance(std::filesystem::directory_iterator("/proc/self/fd"), std::filesystem::directory_iterator());
}

// Guards against connections that stay open after bursts of calls: with a thousand workers they would exceed the limit
// of open files.
TEST(HttpClientEndpoints, IdleConnectionsAreClosedBeforeTheirEndpointIsEvicted)
{
    constexpr std::size_t burst = 5;
    EventLoop loop;
    HttpClient client(loop, Duration(60000));
    std::vector<HttpResponderPtr> held;
    HttpServer server(loop, HttpServer::Limits {}, [&](const HttpRequest&, const HttpResponderPtr& responder) {
        held.push_back(responder);
        if (held.size() < burst)
            return; // all calls of the burst are in flight at once
        for (const auto& waiting : std::exchange(held, {}))
            waiting->send({ 200, "{}", "application/json", {} });
    });
    const auto endpoint = server.listen({ "127.0.0.1", 0 });
    const auto before = openDescriptors();
    std::size_t answered = 0;
    for (std::size_t i = 0; i < burst; ++i)
        client.send(endpoint, {}, [&answered](const HttpResult& result) { answered += result.isOk(); });
    loop.runUntil([&] { return answered == burst; });
    EXPECT_GE(openDescriptors(), before + static_cast<std::ptrdiff_t>(burst));
    const auto deadline = loop.now() + Duration(15000);
    loop.every(Duration(100), [] {}); // wakes the loop
    loop.runUntil([&] { return openDescriptors() <= before || loop.now() >= deadline; });
    EXPECT_LE(openDescriptors(), before);
    EXPECT_EQ(client.endpointCount(), 1u);
}

// A peer that answers one request on each connection, as long as it is told to, and then ends the connection.
class ClosingPeer {
public:
    enum class End { Close, HalfClose, Reset, UnansweredClose };

    // The n-th connection is served and ended by the n-th entry; later ones are answered and kept.
    explicit ClosingPeer(std::vector<End> ends)
        : m_listener(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
        , m_ends(std::move(ends))
    {
        m_endpoint = listenOnLoopback(m_listener);
        m_thread = std::thread([this] { serve(); });
    }

    ~ClosingPeer()
    {
        ::shutdown(m_listener, SHUT_RDWR);
        m_thread.join();
        ::close(m_listener);
        for (const int each : m_kept)
            ::close(each);
    }

    const Endpoint& endpoint() const { return m_endpoint; }

private:
    void serve()
    {
        const std::string answer = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}";
        for (std::size_t number = 0;; ++number) {
            const int connection = ::accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (connection < 0)
                return;
            std::string request;
            char buffer[4096];
            while (request.find("\r\n\r\n") == std::string::npos) {
                const auto size = ::recv(connection, buffer, sizeof(buffer), 0);
                if (size <= 0)
                    break;
                request.append(buffer, static_cast<std::size_t>(size));
            }
            const auto end = number < m_ends.size() ? std::optional(m_ends[number]) : std::nullopt;
            if (end != End::UnansweredClose)
                ::send(connection, answer.data(), answer.size(), MSG_NOSIGNAL);
            if (!end) {
                m_kept.push_back(connection);
            } else if (*end == End::HalfClose) {
                ::shutdown(connection, SHUT_WR);
                m_kept.push_back(connection);
            } else {
                if (*end == End::Reset) {
                    std::this_thread::sleep_for(Duration(20)); // a reset would discard an answer that was not read
                    const linger reset { 1, 0 };
                    ::setsockopt(connection, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
                }
                ::close(connection);
            }
        }
    }

    int m_listener;
    std::vector<End> m_ends;
    std::vector<int> m_kept;
    Endpoint m_endpoint;
    std::thread m_thread;
};

// Guards against calls that are lost on a kept connection which the peer has ended: an instance that stops closes all
// of them, and a call that was written on one has no known outcome.
TEST(HttpClientConnections, AConnectionThatThePeerHasEndedIsNotUsedAgain)
{
    using End = ClosingPeer::End;
    for (const auto end : { End::Close, End::HalfClose, End::Reset }) {
        EventLoop loop;
        ClosingPeer peer({ end });
        HttpClient client(loop);
        for (int i = 0; i < 2; ++i) {
            std::optional<HttpResult> result;
            client.send(peer.endpoint(), {}, [&result](const HttpResult& ended) { result = ended; });
            loop.runUntil([&result] { return result.has_value(); });
            EXPECT_TRUE(result->isOk()) << "call " << i << ", end " << static_cast<int>(end);
            std::this_thread::sleep_for(Duration(60)); // the loop does not see the end of the connection
        }
    }
}

// Guards against a call that is taken for one without effect: the peer had read it when it ended the connection.
TEST(HttpClientConnections, ACallWhoseConnectionEndsWithoutAnAnswerMayHaveTakenEffect)
{
    EventLoop loop;
    ClosingPeer peer({ ClosingPeer::End::UnansweredClose });
    HttpClient client(loop);
    std::optional<HttpResult> result;
    client.send(peer.endpoint(), {}, [&result](const HttpResult& ended) { result = ended; });
    loop.runUntil([&result] { return result.has_value(); });
    EXPECT_EQ(result->kind, HttpResult::Kind::Lost);
}

// Guards against a loop that never returns: a client that was destroyed left its timers in the lists of the event loop,
// and the next client was allocated in its place.
TEST(HttpClientEndpoints, AClientLeavesNothingInTheLoopWhenItIsDestroyed)
{
    EventLoop loop;
    HttpServer server(loop, HttpServer::Limits {}, [](const HttpRequest&, const HttpResponderPtr& responder) {
        responder->send({ 200, "{}", "application/json", {} });
    });
    const auto endpoint = server.listen({ "127.0.0.1", 0 });
    for (int i = 0; i < 3; ++i) {
        HttpClient client(loop);
        bool isAnswered = false;
        client.send(endpoint, {}, [&isAnswered](const HttpResult& result) { isAnswered = result.isOk(); });
        loop.runUntil([&] { return isAnswered; });
        client.send(endpoint, {}, [](const HttpResult&) { ADD_FAILURE() << "the client was destroyed before"; });
    }
    const auto end = loop.now() + Duration(100);
    loop.after(Duration(100), [] {});
    loop.runUntil([&] { return loop.now() >= end; });
}

} // namespace marigoldlink
