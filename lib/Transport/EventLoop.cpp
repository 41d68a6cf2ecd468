// Event loop based on h2o's evloop, with its own timer queue. Signal handlers set flags that the loop polls.
#include "marigoldlink/Transport/EventLoop.h"

#include "H2o.h"

#include <algorithm>
#include <csignal>
#include <ctime>
#include <fcntl.h>
#include <system_error>
#include <unistd.h>

namespace marigoldlink {

namespace {

    // Upper bound for one wait. Signals, sockets and timers end it earlier.
    constexpr Duration s_maxWait { 60000 };
    // Posted callbacks that post further ones run in the same iteration up to this depth. The rest waits for the next
    // iteration, so that sockets and timers are served.
    constexpr int s_maxPostedDepth = 8;

    volatile std::sig_atomic_t s_terminateRequested = 0;
    volatile std::sig_atomic_t s_reloadRequested = 0;
    // Write end of the pipe through which signal handlers wake the loop.
    volatile int s_signalPipe = -1;

    void wakeLoop()
    {
        const char byte = 0;
        // The result can be ignored: a full pipe wakes the loop as well.
        [[maybe_unused]] const auto written = ::write(s_signalPipe, &byte, 1);
    }

    void requestTermination(int)
    {
        s_terminateRequested = 1;
        wakeLoop();
    }

    void requestReload(int)
    {
        s_reloadRequested = 1;
        wakeLoop();
    }

    void discardInput(h2o_socket_t* socket, const char* error)
    {
        if (!error)
            h2o_buffer_consume(&socket->input, socket->input->size);
    }

} // namespace

EventLoop::EventLoop()
    : m_native(h2o_evloop_create())
{
    std::signal(SIGPIPE, SIG_IGN);
}

void EventLoop::watchSignals()
{
    if (s_signalPipe >= 0)
        return;
    int ends[2];
    if (::pipe2(ends, O_NONBLOCK | O_CLOEXEC))
        throw std::system_error(errno, std::generic_category(), "cannot create the signal pipe");
    s_signalPipe = ends[1];
    h2o_socket_read_start(h2o_evloop_socket_create(m_native, ends[0], 0), discardInput);
}

TimePoint EventLoop::now() const
{
    timespec time {};
    ::clock_gettime(CLOCK_BOOTTIME, &time);
    return TimePoint(std::chrono::duration_cast<Duration>(
        std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec)));
}

EventLoop::Timer EventLoop::after(Duration delay, Callback callback)
{
    const Timer timer { now() + delay, m_nextTimer++ };
    m_timers.emplace(timer, std::move(callback));
    return timer;
}

std::uint64_t EventLoop::onIteration(Callback callback)
{
    m_onIteration.emplace(m_nextOnIteration, std::move(callback));
    return m_nextOnIteration++;
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
    watchSignals();
    std::signal(SIGTERM, requestTermination);
    std::signal(SIGINT, requestTermination);
}

void EventLoop::onReload(Callback callback)
{
    m_onReload = std::move(callback);
    watchSignals();
    std::signal(SIGHUP, requestReload);
}

void EventLoop::pollSignals()
{
    if (s_terminateRequested) {
        s_terminateRequested = 0;
        if (m_onTerminate)
            m_onTerminate();
    }
    if (s_reloadRequested) {
        s_reloadRequested = 0;
        if (m_onReload)
            m_onReload();
    }
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
    for (int depth = 0; depth < s_maxPostedDepth && !m_posted.empty(); ++depth) {
        const auto posted = std::exchange(m_posted, {});
        m_ranCallbacks = true;
        for (const auto& callback : posted)
            callback();
    }
}

void EventLoop::runIteration()
{
    ++m_iterations;
    auto wait = s_maxWait;
    // Writes issued by callbacks outside of the native loop complete in its next iteration, which must not block.
    if (std::exchange(m_ranCallbacks, false) || !m_posted.empty())
        wait = Duration(0);
    else if (!m_timers.empty())
        wait = std::clamp(m_timers.begin()->first.first - now(), Duration(0), s_maxWait);
    h2o_evloop_run(m_native, static_cast<std::int32_t>(wait.count()));
    runDueTimers();
    runPosted();
    for (const auto& [number, callback] : m_onIteration)
        callback();
    pollSignals();
}

void EventLoop::run()
{
    while (!m_stopped)
        runIteration();
}

void EventLoop::runUntil(const std::function<bool()>& condition)
{
    while (!condition())
        runIteration();
}

} // namespace marigoldlink
