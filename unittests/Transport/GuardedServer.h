// A server whose connections are guarded, with clients in the same process.
#pragma once

#include "LoopbackSockets.h"
#include "marigoldlink/Transport/ConnectionGuard.h"
#include "marigoldlink/Transport/HttpServer.h"

#include <memory>
#include <unistd.h>
#include <utility>
#include <vector>

namespace marigoldlink {

// The derived test starts the server.
class GuardedServer : public ::testing::Test {
protected:
    ~GuardedServer() override
    {
        for (const int each : m_sockets)
            ::close(each);
        runFor(Duration(50)); // the server disposes of its connections before the guard ends
    }

    int connect(int receiveBuffer = 0)
    {
        m_sockets.push_back(connectTo(m_endpoint, receiveBuffer));
        return m_sockets.back();
    }

    // Runs the loop until the condition holds, for a second at most. Returns whether it holds.
    template <typename Condition> bool runUntil(Condition condition)
    {
        const auto latest = m_loop.now() + Duration(1000);
        if (!std::exchange(m_isTicking, true))
            m_loop.every(Duration(2), [] {});
        m_loop.runUntil([&] { return condition() || m_loop.now() >= latest; });
        return condition();
    }

    void runFor(Duration time)
    {
        const auto until = m_loop.now() + time;
        runUntil([&] { return m_loop.now() >= until; });
    }

    EventLoop m_loop;
    std::unique_ptr<ConnectionGuard> m_guard; // outlives the server
    std::unique_ptr<HttpServer> m_server;
    Endpoint m_endpoint;

private:
    std::vector<int> m_sockets;
    bool m_isTicking { false };
};

} // namespace marigoldlink
