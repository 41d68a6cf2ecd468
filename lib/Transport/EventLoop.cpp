// Event loop on h2o's evloop, with a timer queue of its own and signals read through a flag.
#include "marigoldlink/Transport/EventLoop.h"

#include "H2o.h"

#include <algorithm>
#include <csignal>

namespace marigoldlink {

namespace {

    // The loop wakes at least this often, so that a signal is seen in time.
    constexpr Duration s_longestWait { 50 };

    volatile std::sig_atomic_t s_terminateRequested = 0;

    void requestTermination(int) { s_terminateRequested = 1; }

} // namespace

EventLoop::EventLoop()
    : m_native(h2o_evloop_create())
{
    std::signal(SIGPIPE, SIG_IGN);
}

TimePoint EventLoop::now() const { return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now()); }

EventLoop::Timer EventLoop::after(Duration delay, Callback callback)
{
    const Timer timer { now() + delay, m_nextTimer++ };
    m_timers.emplace(timer, std::move(callback));
    return timer;
}

void EventLoop::every(Duration period, Callback callback)
{
    after(period, [this, period, callback = std::move(callback)]() mutable {
        callback();
        every(period, std::move(callback));
    });
}

void EventLoop::onTerminate(Callback callback)
{
    m_onTerminate = std::move(callback);
    std::signal(SIGTERM, requestTermination);
    std::signal(SIGINT, requestTermination);
}

void EventLoop::pollSignals()
{
    if (!s_terminateRequested)
        return;
    s_terminateRequested = 0;
    if (m_onTerminate)
        m_onTerminate();
}

void EventLoop::runDueTimers()
{
    const auto time = now();
    while (!m_timers.empty() && m_timers.begin()->first.first <= time) {
        auto callback = std::move(m_timers.begin()->second);
        m_timers.erase(m_timers.begin());
        m_ranCallbacks = true;
        callback();
    }
}

void EventLoop::runPosted()
{
    const auto posted = std::exchange(m_posted, {});
    m_ranCallbacks |= !posted.empty();
    for (const auto& callback : posted)
        callback();
}

void EventLoop::turn()
{
    auto wait = s_longestWait;
    // What a callback wrote outside of the native loop completes in its next turn, which must not wait for events.
    if (std::exchange(m_ranCallbacks, false) || !m_posted.empty())
        wait = Duration(0);
    else if (!m_timers.empty())
        wait = std::clamp(m_timers.begin()->first.first - now(), Duration(0), s_longestWait);
    h2o_evloop_run(m_native, static_cast<std::int32_t>(wait.count()));
    runDueTimers();
    runPosted();
    pollSignals();
}

void EventLoop::run()
{
    while (!m_stopped)
        turn();
}

void EventLoop::runUntil(const std::function<bool()>& condition)
{
    while (!condition())
        turn();
}

} // namespace marigoldlink
