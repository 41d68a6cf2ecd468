// Tests of what an HTTP server knows of its callers' connections.
#include "marigoldlink/Transport/HttpServer.h"

#include "LoopbackSockets.h"

#include <gtest/gtest.h>
#include <unistd.h>

namespace marigoldlink {
namespace {

    class HttpServerCallers : public testing::Test {
    protected:
        HttpServerCallers()
            : m_endpoint(m_server.listen({ "127.0.0.1", 0 }))
            , m_socket(connectTo(m_endpoint))
        {
        }

        ~HttpServerCallers() override { disconnect(); }

        void disconnect()
        {
            if (m_socket >= 0)
                ::close(std::exchange(m_socket, -1));
        }

        void sendRequest()
        {
            const std::string request = "POST /a HTTP/1.1\r\nhost: a\r\ncontent-length: 2\r\n\r\n{}";
            EXPECT_EQ(::send(m_socket, request.data(), request.size(), 0), static_cast<ssize_t>(request.size()));
        }

        // Runs the loop until the condition holds, for a second at most. Returns whether it holds.
        template <typename Condition> bool runUntil(Condition condition)
        {
            const auto latest = m_loop.now() + Duration(1000);
            m_loop.every(Duration(10), [] {});
            m_loop.runUntil([&] { return condition() || m_loop.now() >= latest; });
            return condition();
        }

        EventLoop m_loop;
        HttpResponderPtr m_responder;
        HttpServer m_server { m_loop, {},
            [this](const HttpRequest&, HttpResponderPtr responder) { m_responder = std::move(responder); } };
        Endpoint m_endpoint;
        int m_socket { -1 };
    };

    TEST_F(HttpServerCallers, ACallerThatWaitsIsConnected)
    {
        sendRequest();
        ASSERT_TRUE(runUntil([this] { return m_responder != nullptr; }));
        EXPECT_FALSE(m_responder->hasCallerLeft());
        EXPECT_TRUE(m_responder->isOpen());
    }

    TEST_F(HttpServerCallers, ACallerThatDisconnectsBeforeTheAnswerIsNoticed)
    {
        sendRequest();
        ASSERT_TRUE(runUntil([this] { return m_responder != nullptr; }));
        disconnect();
        EXPECT_TRUE(runUntil([this] { return m_responder->hasCallerLeft(); }));
    }

    TEST_F(HttpServerCallers, ACallerThatHadDisconnectedWhenItsRequestIsReadIsNoticed)
    {
        sendRequest();
        disconnect();
        ASSERT_TRUE(runUntil([this] { return m_responder != nullptr; }));
        EXPECT_TRUE(runUntil([this] { return m_responder->hasCallerLeft(); }));
    }

} // namespace
} // namespace marigoldlink
