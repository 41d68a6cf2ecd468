// Tests that connections with a request that was sent whole, or an answer that is half sent, are not ended to make room
// or for a time that has passed.
#include "GuardedServer.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <sys/socket.h>
#include <thread>

namespace marigoldlink {
namespace {

    // More than the event loop reads from in one iteration.
    constexpr int s_manyConnections = 400;
    const std::string s_request = "POST /a HTTP/1.1\r\nhost: a\r\ncontent-length: 2\r\n\r\n{}";

    class ConnectionEnds : public GuardedServer {
    protected:
        static ConnectionLimits limitsOf(std::size_t connections)
        {
            ConnectionLimits limits;
            limits.connections = connections;
            limits.connectionsPerAddress = connections;
            return limits;
        }

        void start(ConnectionLimits limits, Duration idleTime = Duration(10000), std::string answer = "{}")
        {
            m_answer = std::move(answer);
            limits.idleTime = idleTime;
            m_guard = std::make_unique<ConnectionGuard>(m_loop, limits, [](Limit) {});
            const HttpServer::Limits server { 262144, idleTime, m_guard.get(), ListenerKind::Callers };
            m_server = std::make_unique<HttpServer>(
                m_loop, server, [this](const HttpRequest&, const HttpResponderPtr& responder) {
                    responder->send({ 200, m_answer, "text/plain", {} });
                });
            m_endpoint = m_server->listen({ "127.0.0.1", 0 });
        }

        // Does not run the loop.
        static void send(int socket, std::string_view text)
        {
            EXPECT_EQ(::send(socket, text.data(), text.size(), MSG_NOSIGNAL), static_cast<ssize_t>(text.size()));
        }

        // Whether a whole answer arrives within a second.
        bool isAnswered(int socket)
        {
            std::string text;
            bool isEnded = false;
            const auto isWhole = [&] {
                const auto head = text.find("\r\n\r\n");
                return head != std::string::npos && text.size() - head - 4 >= m_answer.size();
            };
            runUntil([&] {
                char buffer[65536];
                const auto received = ::recv(socket, buffer, sizeof(buffer), MSG_DONTWAIT);
                if (received > 0)
                    text.append(buffer, static_cast<std::size_t>(received));
                else
                    isEnded = received == 0 || errno != EAGAIN;
                return isEnded || isWhole();
            });
            return isWhole();
        }

        // Connections that were served and wait for the next request.
        std::vector<int> connectServed(int count)
        {
            std::vector<int> sockets;
            for (int i = 0; i < count; ++i) {
                sockets.push_back(connect());
                send(sockets.back(), s_request);
            }
            for (const int each : sockets)
                EXPECT_TRUE(isAnswered(each));
            return sockets;
        }

        int countAnswered(const std::vector<int>& sockets)
        {
            return static_cast<int>(
                std::count_if(sockets.begin(), sockets.end(), [this](int each) { return isAnswered(each); }));
        }

        std::string m_answer;
    };

    // Guards against new clients that end each other: at the limit of connections each one that was accepted replaced
    // the one before, whose request was not read yet.
    TEST_F(ConnectionEnds, ABurstOfNewConnectionsReplacesIdleOnes)
    {
        start(limitsOf(16)); // 12 for callers
        connectServed(12);
        std::vector<int> burst;
        for (int i = 0; i < 8; ++i) {
            burst.push_back(connect());
            send(burst.back(), s_request);
        }
        EXPECT_EQ(countAnswered(burst), 8);
    }

    // Guards against a request that is lost because its connection was idle the longest when a new one was accepted.
    TEST_F(ConnectionEnds, AConnectionWithAnUnreadRequestIsNotReplaced)
    {
        start(limitsOf(16)); // 12 for callers
        const auto served = connectServed(12);
        const int added = connect();
        send(served.front(), s_request);
        send(added, s_request);
        EXPECT_TRUE(isAnswered(served.front()));
        EXPECT_TRUE(isAnswered(added));
    }

    // Guards against an answer that is cut to make room while other connections are idle.
    TEST_F(ConnectionEnds, AConnectionWithAHalfSentAnswerIsNotReplaced)
    {
        start(limitsOf(16), Duration(10000), std::string(600000, 'a')); // 12 for callers
        connectServed(11);
        const int slow = connect(4096);
        send(slow, s_request);
        runFor(Duration(50));
        send(connect(), s_request);
        runFor(Duration(50));
        EXPECT_TRUE(isAnswered(slow));
    }

    // Guards against clients that lock out others by reading nothing.
    TEST_F(ConnectionEnds, AConnectionWithAHalfSentAnswerIsReplacedIfNoneIsIdle)
    {
        start(limitsOf(16), Duration(10000), std::string(600000, 'a')); // 12 for callers
        for (int i = 0; i < 12; ++i)
            send(connect(4096), s_request);
        runFor(Duration(50));
        const int added = connect();
        send(added, s_request);
        EXPECT_TRUE(isAnswered(added));
    }

    // Guards against whole requests that are lost after a pause of the process: the time for their headers had passed
    // before the loop had read from all connections.
    TEST_F(ConnectionEnds, AHeaderThatArrivedDuringAPauseIsReadBeforeItsTimeIsJudged)
    {
        auto limits = limitsOf(1000);
        limits.headerTime = Duration(300);
        start(limits);
        std::vector<int> sockets;
        for (int i = 0; i < s_manyConnections; ++i) {
            sockets.push_back(connect());
            send(sockets.back(), std::string_view(s_request).substr(0, 10));
        }
        runFor(Duration(100));
        for (const int each : sockets)
            send(each, std::string_view(s_request).substr(10));
        std::this_thread::sleep_for(Duration(400));
        EXPECT_EQ(countAnswered(sockets), s_manyConnections);
    }

    // Guards against whole requests that are lost after a pause of the process: the idle time of their connections had
    // passed before the loop had read from all of them.
    TEST_F(ConnectionEnds, ARequestThatArrivedDuringAPauseIsReadBeforeTheIdleTimeIsJudged)
    {
        start(limitsOf(1000), Duration(600));
        const auto sockets = connectServed(s_manyConnections);
        for (const int each : sockets)
            send(each, s_request);
        std::this_thread::sleep_for(Duration(700));
        EXPECT_EQ(countAnswered(sockets), s_manyConnections);
    }

    // The same for a single connection, which the loop reads before its timers.
    TEST_F(ConnectionEnds, ARequestThatArrivesAtTheEndOfTheIdleTimeIsServed)
    {
        start(limitsOf(16), Duration(300));
        const auto sockets = connectServed(1);
        runFor(Duration(200));
        send(sockets.front(), s_request);
        std::this_thread::sleep_for(Duration(200));
        EXPECT_TRUE(isAnswered(sockets.front()));
    }

    // Guards against connections that are kept for ever.
    TEST_F(ConnectionEnds, AnIdleConnectionIsEnded)
    {
        start(limitsOf(16), Duration(300));
        const auto sockets = connectServed(2);
        EXPECT_EQ(m_guard->connections(), 2U);
        EXPECT_TRUE(runUntil([this] { return m_guard->connections() == 0; }));
        char byte = 0;
        EXPECT_EQ(::recv(sockets.front(), &byte, 1, MSG_DONTWAIT), 0) << "a reset could discard an answer";
    }

    // Guards against a request whose second part arrives after the idle time, although its own time has not passed.
    TEST_F(ConnectionEnds, TheIdleTimeDoesNotEndARequestThatHasBegun)
    {
        start(limitsOf(16), Duration(300));
        const auto sockets = connectServed(1);
        runFor(Duration(250));
        send(sockets.front(), std::string_view(s_request).substr(0, 10));
        runFor(Duration(100));
        send(sockets.front(), std::string_view(s_request).substr(10));
        EXPECT_TRUE(isAnswered(sockets.front()));
    }

} // namespace
} // namespace marigoldlink
