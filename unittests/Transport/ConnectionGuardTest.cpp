// Tests of the limits on connections, incomplete requests and unread answers.
#include "GuardedServer.h"

#include <gtest/gtest.h>
#include <map>
#include <sys/socket.h>

namespace marigoldlink {
namespace {

    constexpr std::size_t s_largeBody = 200000;

    class Guarded : public GuardedServer {
    protected:
        void start(const ConnectionLimits& limits, std::string answer = "{}")
        {
            m_guard = std::make_unique<ConnectionGuard>(m_loop, limits, [this](Limit limit) { ++m_reached[limit]; });
            const HttpServer::Limits server { 262144, Duration(10000), m_guard.get(), ListenerKind::Callers };
            m_server = std::make_unique<HttpServer>(
                m_loop, server, [this, answer](const HttpRequest&, HttpResponderPtr responder) {
                    ++m_requests;
                    if (m_isAnswering)
                        responder->send({ 200, answer, "text/plain", {} });
                    else
                        m_responders.push_back(std::move(responder));
                });
            m_endpoint = m_server->listen({ "127.0.0.1", 0 });
        }

        void send(int socket, const std::string& bytes)
        {
            std::size_t sent = 0;
            for (int tries = 0; sent < bytes.size() && tries < 1000; ++tries) {
                const auto result
                    = ::send(socket, bytes.data() + sent, bytes.size() - sent, MSG_DONTWAIT | MSG_NOSIGNAL);
                if (result > 0)
                    sent += static_cast<std::size_t>(result);
                else if (errno != EAGAIN)
                    return;
                runFor(Duration(1));
            }
        }

        static std::string request(std::size_t size, std::size_t missing = 0)
        {
            return "POST /a HTTP/1.1\r\nhost: a\r\ncontent-length: " + std::to_string(size) + "\r\n\r\n"
                + std::string(size - missing, 'x');
        }

        // The first line of the answer; "closed" at the end of the connection; empty if neither comes within a second.
        std::string answer(int socket)
        {
            std::string text;
            runUntil([&] {
                char buffer[4096];
                const auto received = ::recv(socket, buffer, sizeof(buffer), MSG_DONTWAIT);
                if (received > 0)
                    text.append(buffer, static_cast<std::size_t>(received));
                else if (received == 0 || errno != EAGAIN)
                    text += text.empty() ? "closed\r\n" : "\r\n";
                return text.find("\r\n") != std::string::npos;
            });
            return text.substr(0, text.find("\r\n"));
        }

        struct Received {
            std::string text;
            bool isClosed { false }; // by the end of the connection, not by a reset

            std::size_t count(const std::string& word) const
            {
                std::size_t found = 0;
                for (auto at = text.find(word); at != std::string::npos; at = text.find(word, at + 1))
                    ++found;
                return found;
            }
        };

        // What arrives until the connection ends, at most for a second.
        Received receiveAll(int socket, std::size_t piece = 65536)
        {
            Received received;
            std::vector<char> buffer(piece);
            runUntil([&] {
                const auto size = ::recv(socket, buffer.data(), buffer.size(), MSG_DONTWAIT);
                if (size > 0)
                    received.text.append(buffer.data(), static_cast<std::size_t>(size));
                received.isClosed = size == 0;
                return size == 0 || (size < 0 && errno != EAGAIN);
            });
            return received;
        }

        // The same for an answer that takes longer to read.
        Received receiveSlowly(int socket)
        {
            Received all;
            for (int i = 0; i < 50 && !all.isClosed; ++i) {
                const auto part = receiveAll(socket);
                all.text += part.text;
                all.isClosed = part.isClosed;
            }
            return all;
        }

        static ConnectionLimits smallLimits()
        {
            ConnectionLimits limits;
            limits.heldBytes = 1 << 20;
            limits.heldBytesPerAddress = 1 << 20;
            limits.connections = 16;
            limits.connectionsPerAddress = 16;
            return limits;
        }

        std::map<Limit, int> m_reached;
        std::vector<HttpResponderPtr> m_responders;
        int m_requests { 0 };
        bool m_isAnswering { true };
    };

    // Guards against a process that runs out of memory by incomplete bodies, and against a budget that a flood of them
    // takes from ordinary requests.
    TEST_F(Guarded, IncompleteBodiesStayWithinTheBudgetAndSmallRequestsAreServed)
    {
        start(smallLimits());
        for (int i = 0; i < 10; ++i) {
            send(connect(), request(s_largeBody, 1));
            EXPECT_LE(m_guard->heldBytes(), 1U << 20);
        }
        EXPECT_GT(m_reached[Limit::HeldBytes], 0);
        const int ordinary = connect();
        send(ordinary, request(2000));
        EXPECT_EQ(answer(ordinary), "HTTP/1.1 200 OK");
    }

    // Guards against an attacker who keeps a place by being first: the oldest of equally large ones goes.
    TEST_F(Guarded, TheOldestOfTheLargeRequestsIsEnded)
    {
        start(smallLimits());
        const int oldest = connect();
        send(oldest, request(s_largeBody, 1));
        runFor(Duration(300));
        const int middle = connect();
        send(middle, request(s_largeBody, 1));
        runFor(Duration(20));
        const int newest = connect();
        send(newest, request(s_largeBody, 1));
        const int last = connect();
        send(last, request(s_largeBody, 1));
        EXPECT_EQ(answer(oldest), "closed");
        send(last, "x");
        EXPECT_EQ(answer(last), "HTTP/1.1 200 OK");
    }

    // Guards against a limit that requests leave behind: a connection that is kept counts nothing between requests, and
    // is watched during each of them.
    TEST_F(Guarded, AKeptConnectionIsWatchedDuringEachRequest)
    {
        start(smallLimits());
        const int socket = connect();
        for (int i = 0; i < 5; ++i) {
            send(socket, request(s_largeBody));
            EXPECT_EQ(answer(socket), "HTTP/1.1 200 OK");
            runFor(Duration(10));
            EXPECT_EQ(m_guard->heldBytes(), 0U);
        }
        send(socket, "POST /a HTTP/1.1\r\nx: " + std::string(20000, 'x'));
        EXPECT_EQ(answer(socket), "closed");
        EXPECT_EQ(m_reached[Limit::HeaderBytes], 1);
        EXPECT_EQ(m_guard->connections(), 0U);
    }

    // Guards against open connections that lock out others.
    TEST_F(Guarded, NewConnectionsReplaceThoseThatSendNothing)
    {
        start(smallLimits());
        const int served = connect();
        send(served, request(10));
        EXPECT_EQ(answer(served), "HTTP/1.1 200 OK");
        for (int i = 0; i < 40; ++i) {
            connect();
            runFor(Duration(2));
            EXPECT_LE(m_guard->connections(), 12U);
        }
        EXPECT_GT(m_reached[Limit::Connections], 0);
        send(served, request(10));
        EXPECT_EQ(answer(served), "HTTP/1.1 200 OK") << "a connection with a request before is kept";
    }

    // Guards against requests and answers that are never completed.
    TEST_F(Guarded, SlowClientsAreGivenUp)
    {
        auto limits = smallLimits();
        limits.headerTime = Duration(200);
        limits.bodyTime = Duration(400);
        limits.answerTime = Duration(200);
        start(limits, std::string(600000, 'a'));
        const int header = connect();
        send(header, "POST /a HTTP/1.1\r\n");
        EXPECT_EQ(answer(header), "closed");
        EXPECT_EQ(m_reached[Limit::HeaderTime], 1);
        const int body = connect();
        send(body, request(100, 1));
        EXPECT_EQ(answer(body), "closed");
        EXPECT_EQ(m_reached[Limit::BodyTime], 1);
        send(connect(4096), request(10));
        EXPECT_TRUE(runUntil([&] { return m_reached[Limit::AnswerTime] == 1 && m_guard->connections() == 0; }));
        EXPECT_EQ(m_guard->heldBytes(), 0U);
    }

    // Guards against large requests in work that add up. A refused one never reaches the handler.
    TEST_F(Guarded, LargeRequestsAreRefusedWhileTooMuchIsInWork)
    {
        auto limits = smallLimits();
        limits.heldBytes
            = 5 << 18; // half of it is room for two input buffers of 262,144 bytes, three quarters for three
        start(limits);
        m_isAnswering = false;
        send(connect(), request(s_largeBody));
        send(connect(), request(s_largeBody));
        EXPECT_TRUE(runUntil([&] { return m_requests == 2; }));
        const int third = connect();
        send(third, request(s_largeBody));
        EXPECT_EQ(answer(third), "HTTP/1.1 503 Failed");
        EXPECT_EQ(m_requests, 2);
        for (const auto& responder : m_responders)
            responder->send({});
        m_isAnswering = true;
        runFor(Duration(20));
        send(third, request(s_largeBody));
        EXPECT_EQ(answer(third), "HTTP/1.1 200 OK");
    }

    TEST_F(Guarded, BodiesAboveTheLimitAndOtherProtocolsAreRejected)
    {
        start(smallLimits());
        const int announced = connect();
        send(announced, "POST /a HTTP/1.1\r\nhost: a\r\ncontent-length: 262145\r\n\r\n");
        EXPECT_EQ(answer(announced).substr(0, 12), "HTTP/1.1 413");
        EXPECT_EQ(m_reached[Limit::Rejected], 1);
        send(connect(), "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n");
        EXPECT_TRUE(runUntil([&] { return m_guard->connections() == 0; }));
        EXPECT_EQ(m_requests, 0);
    }

    // Guards against a stop that cannot be explained: the counts tell apart what is due on each connection.
    TEST_F(Guarded, CountsTellWhatIsDueOnEachConnection)
    {
        start(smallLimits(), std::string(600000, 'a'));
        connect();
        send(connect(), request(100, 1));
        send(connect(4096), request(10));
        EXPECT_TRUE(runUntil([&] { return m_requests == 1; }));
        m_isAnswering = false;
        send(connect(), request(10));
        EXPECT_TRUE(runUntil([&] { return m_requests == 2; }));
        const auto counts = m_guard->counts(ListenerKind::Callers);
        EXPECT_EQ(counts.open, 4U);
        EXPECT_EQ(counts.partial, 1U);
        EXPECT_EQ(counts.unread, 0U);
        EXPECT_EQ(counts.unanswered, 1U);
        EXPECT_EQ(counts.unsent, 1U);
        EXPECT_EQ(m_guard->counts(ListenerKind::Internal).open, 0U);
        m_responders.front()->send({});
    }

    // Guards against clients that go on using a connection until the process is gone: the last answer tells them to
    // leave.
    TEST_F(Guarded, ADrainedConnectionIsClosedAfterAnAnswerThatSaysSo)
    {
        start(smallLimits());
        const int socket = connect();
        send(socket, request(10));
        EXPECT_EQ(answer(socket), "HTTP/1.1 200 OK");
        m_guard->drain(ListenerKind::Callers, Duration(10000));
        send(socket, request(10));
        const auto received = receiveAll(socket);
        EXPECT_EQ(received.count("HTTP/1.1 200 OK"), 1U) << received.text;
        EXPECT_EQ(received.count("Connection: close"), 1U) << received.text;
        EXPECT_TRUE(received.isClosed);
        EXPECT_TRUE(runUntil([&] { return m_guard->connections(ListenerKind::Callers) == 0; }));
    }

    // Guards against pipelined requests that are dropped behind an answer that closes the connection.
    TEST_F(Guarded, ADrainedConnectionAnswersAllPipelinedRequests)
    {
        start(smallLimits());
        m_isAnswering = false;
        const int socket = connect();
        send(socket, request(10) + request(10) + request(10));
        EXPECT_TRUE(runUntil([&] { return m_requests == 1; }));
        m_isAnswering = true;
        m_guard->drain(ListenerKind::Callers, Duration(10000));
        m_responders.front()->send({});
        const auto received = receiveAll(socket);
        EXPECT_EQ(received.count("HTTP/1.1 200 OK"), 3U) << received.text;
        EXPECT_EQ(received.count("Connection: close"), 1U) << received.text;
        EXPECT_TRUE(received.isClosed);
    }

    // Guards against clients that are never told to leave, since they send the next request before they have an answer.
    TEST_F(Guarded, ADrainedConnectionSaysSoAlsoToAClientThatAlwaysPipelines)
    {
        start(smallLimits());
        m_isAnswering = false;
        const int socket = connect();
        send(socket, request(10) + request(10));
        EXPECT_TRUE(runUntil([&] { return m_requests == 1; }));
        m_guard->drain(ListenerKind::Callers, Duration(100));
        runFor(Duration(150));
        m_isAnswering = true;
        m_responders.front()->send({});
        const auto received = receiveAll(socket);
        EXPECT_EQ(received.count("HTTP/1.1 200 OK"), 2U) << received.text;
        EXPECT_EQ(received.count("Connection: close"), 2U) << received.text;
        EXPECT_TRUE(received.isClosed);
    }

    // Guards against requests that are lost because they were read in part when the process stopped.
    TEST_F(Guarded, ADrainedConnectionWaitsForTheRestOfARequest)
    {
        start(smallLimits());
        const int socket = connect();
        send(socket, request(10, 1));
        m_guard->drain(ListenerKind::Callers, Duration(0));
        runFor(Duration(300));
        send(socket, "x");
        const auto received = receiveAll(socket);
        EXPECT_EQ(received.count("HTTP/1.1 200 OK"), 1U) << received.text;
        EXPECT_TRUE(received.isClosed);
    }

    // Guards against answers that are cut off because they were handed to the HTTP library but not sent.
    TEST_F(Guarded, ADrainedConnectionSendsAnAnswerToItsLastByte)
    {
        constexpr std::size_t size = 600000;
        start(smallLimits(), std::string(size, 'a'));
        const int socket = connect(4096);
        send(socket, request(10));
        EXPECT_TRUE(runUntil([&] { return m_requests == 1; }));
        m_guard->drain(ListenerKind::Callers, Duration(0));
        runFor(Duration(200));
        EXPECT_EQ(m_guard->connections(ListenerKind::Callers), 1U);
        const auto all = receiveSlowly(socket);
        EXPECT_GE(all.text.size(), size);
        EXPECT_TRUE(all.isClosed);
        EXPECT_TRUE(runUntil([&] { return m_guard->connections(ListenerKind::Callers) == 0; }));
    }

    // Guards against an answer whose end is discarded, since its client sent another request while it was being sent.
    TEST_F(Guarded, ADrainedConnectionAnswersARequestThatComesDuringTheLastAnswer)
    {
        constexpr std::size_t size = 600000;
        start(smallLimits(), std::string(size, 'a'));
        const int socket = connect(4096);
        m_guard->drain(ListenerKind::Callers, Duration(10000));
        send(socket, request(10));
        EXPECT_TRUE(runUntil([&] { return m_requests == 1; }));
        send(socket, request(10));
        const auto all = receiveSlowly(socket);
        EXPECT_GE(all.text.size(), 2 * size);
        EXPECT_TRUE(all.isClosed);
    }

    // Guards against the same after the answer was written to the kernel: the connection is closed only once the client
    // has acknowledged all of it.
    TEST_F(Guarded, ADrainedConnectionIsNotResetBeforeItsAnswerIsAcknowledged)
    {
        constexpr std::size_t size = 40000;
        start(smallLimits(), std::string(size, 'a'));
        const int socket = connect(4096);
        m_guard->drain(ListenerKind::Callers, Duration(10000));
        send(socket, request(10));
        EXPECT_TRUE(runUntil([&] { return m_requests == 1; }));
        runFor(Duration(100));
        send(socket, request(10));
        runFor(Duration(200));
        const auto received = receiveAll(socket);
        EXPECT_EQ(m_requests, 1) << "the connection was half-closed";
        EXPECT_GE(received.text.size(), size);
        EXPECT_TRUE(received.isClosed);
    }

    // Guards against a stop that waits for clients that send nothing, and against one that resets them.
    TEST_F(Guarded, ADrainedConnectionIsClosedWhenItIsIdle)
    {
        start(smallLimits());
        const int socket = connect();
        send(socket, request(10));
        EXPECT_EQ(answer(socket), "HTTP/1.1 200 OK");
        m_guard->drain(ListenerKind::Callers, Duration(200));
        runFor(Duration(100));
        send(connect(), "POST /a HTTP/1.1\r\n");
        EXPECT_EQ(m_guard->connections(), 2U);
        EXPECT_TRUE(receiveAll(socket).isClosed);
        EXPECT_TRUE(runUntil([&] { return m_guard->connections() == 1; }));
        runFor(Duration(300));
        EXPECT_EQ(m_guard->connections(), 1U) << "a request was read in part";
    }

    // Guards against requests on connections that were opened but not accepted when the listener closed.
    TEST_F(Guarded, StopListeningServesConnectionsThatWait)
    {
        start(smallLimits());
        const int socket = connect();
        const auto text = request(10);
        EXPECT_EQ(::send(socket, text.data(), text.size(), 0), static_cast<ssize_t>(text.size()));
        m_server->stopListening();
        EXPECT_EQ(answer(socket), "HTTP/1.1 200 OK");
    }

    // Guards against an answer whose end is discarded by a reset: its client asked to close, and an empty line follows
    // its request, which servers should ignore (RFC 9112, section 2.2).
    TEST_F(Guarded, AnAnswerToAClientThatAsksToCloseIsNotReset)
    {
        constexpr std::size_t size = 40000;
        start(smallLimits(), std::string(size, 'a'));
        const int socket = connect(4096);
        m_guard->drain(ListenerKind::Callers, Duration(10000));
        send(socket, "GET /a HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n");
        EXPECT_TRUE(runUntil([&] { return m_requests == 1; }));
        runFor(Duration(100));
        send(socket, "\r\n");
        runFor(Duration(100));
        const auto received = receiveAll(socket);
        EXPECT_GE(received.text.size(), size);
        EXPECT_TRUE(received.isClosed);
    }

    // Guards against a client whose lines end with a line feed alone, which h2o accepts, that no answer tells to leave.
    TEST_F(Guarded, ADrainedConnectionIsClosedAfterARequestWithBareLineFeeds)
    {
        start(smallLimits());
        const int socket = connect();
        m_guard->drain(ListenerKind::Callers, Duration(10000));
        send(socket, "GET /a HTTP/1.1\nhost: a\n\n");
        const auto received = receiveAll(socket);
        EXPECT_EQ(received.count("HTTP/1.1 200 OK"), 1U) << received.text;
        EXPECT_EQ(received.count("Connection: close"), 1U) << received.text;
        EXPECT_TRUE(received.isClosed);
    }

    // Guards against a stop that waits for a client which always has a further request on the way.
    TEST_F(Guarded, ADrainedConnectionEndsUnderAClientThatPipelinesWithoutAnEnd)
    {
        start(smallLimits());
        const int socket = connect();
        m_guard->drain(ListenerKind::Callers, Duration(100));
        send(socket, request(10) + request(10, 5));
        Received all;
        int sent = 0;
        for (; sent < 200 && !all.count("Connection: close"); ++sent) {
            send(socket, std::string(5, 'x') + request(10, 5));
            runFor(Duration(10));
            char buffer[4096];
            const auto size = ::recv(socket, buffer, sizeof(buffer), MSG_DONTWAIT);
            if (size > 0)
                all.text.append(buffer, static_cast<std::size_t>(size));
            if (size == 0)
                break;
        }
        EXPECT_LT(sent, 200) << "no answer of " << m_requests << " told the client to leave";
    }

    // Guards against a client with chunked bodies that no answer tells to leave.
    TEST_F(Guarded, ADrainedConnectionIsClosedAfterAChunkedRequest)
    {
        start(smallLimits());
        const int socket = connect();
        m_guard->drain(ListenerKind::Callers, Duration(10000));
        send(socket, "POST /a HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n");
        const auto received = receiveAll(socket);
        EXPECT_EQ(received.count("Connection: close"), 1U) << received.text;
        EXPECT_TRUE(received.isClosed);
    }

    // Guards against a request with `Expect: 100-continue` that is cut off between its header and its body.
    TEST_F(Guarded, ADrainedConnectionWaitsForABodyThatItAskedFor)
    {
        start(smallLimits());
        const int socket = connect();
        m_guard->drain(ListenerKind::Callers, Duration(0));
        send(socket, "POST /a HTTP/1.1\r\nhost: a\r\nexpect: 100-continue\r\ncontent-length: 2\r\n\r\n");
        EXPECT_EQ(answer(socket), "HTTP/1.1 100 Continue");
        runFor(Duration(300));
        send(socket, "ab");
        const auto received = receiveAll(socket);
        EXPECT_EQ(received.count("HTTP/1.1 200 OK"), 1U) << received.text;
        EXPECT_EQ(received.count("Connection: close"), 1U) << received.text;
        EXPECT_TRUE(received.isClosed);
    }

    // Guards against an answer that is dropped since its client has half-closed the connection.
    TEST_F(Guarded, ADrainedConnectionAnswersAHalfClosedClient)
    {
        start(smallLimits());
        m_isAnswering = false;
        const int socket = connect();
        send(socket, request(10) + request(10));
        EXPECT_TRUE(runUntil([&] { return m_requests == 1; }));
        ::shutdown(socket, SHUT_WR);
        m_guard->drain(ListenerKind::Callers, Duration(0));
        runFor(Duration(200));
        m_isAnswering = true;
        m_responders.front()->send({});
        const auto received = receiveAll(socket);
        EXPECT_EQ(received.count("HTTP/1.1 200 OK"), 2U) << received.text;
        EXPECT_TRUE(received.isClosed);
    }

    // The smallest and the largest instance of the fleets.
    TEST(ConnectionLimits, FollowFromTheMachine)
    {
        const auto small = ConnectionLimits::forMachine(160, 4100);
        EXPECT_EQ(small.heldBytes, std::size_t { 40 } << 20);
        EXPECT_EQ(small.connections, 1280U);
        const auto large = ConnectionLimits::forMachine(512, 8192);
        EXPECT_EQ(large.heldBytes, std::size_t { 128 } << 20);
        EXPECT_EQ(large.connections, 3996U);
        EXPECT_LE(2 * large.connections + 200, 8192U);
    }

} // namespace
} // namespace marigoldlink
