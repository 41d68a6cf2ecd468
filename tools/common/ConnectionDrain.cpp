// Polls the number of open connections.
#include "ConnectionDrain.h"

#include "marigoldlink/Support/Log.h"

#include <string>
#include <utility>

namespace marigoldlink {

namespace {

    constexpr Log s_log("drain");
    constexpr Duration s_pollPeriod { 20 };
    // Covers the period with which the limits of connections are checked.
    constexpr Duration s_limitCheckMargin { 500 };

    void poll(EventLoop& loop, const ConnectionGuard& guard, ListenerKind listener, TimePoint deadline,
        std::function<void()> onEnded)
    {
        const auto open = guard.connections(listener);
        if (open > 0 && loop.now() < deadline) {
            loop.after(s_pollPeriod, [&loop, &guard, listener, deadline, onEnded = std::move(onEnded)]() mutable {
                poll(loop, guard, listener, deadline, std::move(onEnded));
            });
            return;
        }
        if (open > 0) {
            const auto counts = guard.counts(listener);
            s_log.warning("Clients did not end their connections in time.",
                { { "connections", std::to_string(counts.open) }, { "partial", std::to_string(counts.partial) },
                    { "unread", std::to_string(counts.unread) }, { "unanswered", std::to_string(counts.unanswered) },
                    { "unsent", std::to_string(counts.unsent) } });
        }
        onEnded();
    }

} // namespace

void waitForConnections(
    EventLoop& loop, const ConnectionGuard& guard, ListenerKind listener, std::function<void()> onEnded)
{
    s_log.info("Waiting for connections to end.", { { "connections", std::to_string(guard.connections(listener)) } });
    const auto& limits = guard.limits();
    const auto deadline = loop.now() + limits.bodyTime + limits.answerTime + s_limitCheckMargin;
    poll(loop, guard, listener, deadline, std::move(onEnded));
}

} // namespace marigoldlink
