// The single-threaded event loop of a process: sockets, timers and signals.
#pragma once

#include "marigoldlink/State/Types.h"

#include <functional>
#include <map>
#include <utility>
#include <vector>

struct st_h2o_evloop_t;

namespace marigoldlink {

class EventLoop {
public:
    using Callback = std::function<void()>;

    EventLoop();
    EventLoop(const EventLoop&) = delete;
    EventLoop& operator=(const EventLoop&) = delete;

    // Monotonic time in milliseconds. Includes time during which the instance was suspended, since leases expire then
    // too.
    TimePoint now() const;

    // Identifies a timer started by after().
    using Timer = std::pair<TimePoint, std::uint64_t>;

    // Runs the callback once, after the delay.
    Timer after(Duration delay, Callback);
    // Cancels a timer. Has no effect if the timer has already run.
    void cancel(const Timer& timer) { m_timers.erase(timer); }

    // Runs the callback at the end of the current iteration of the loop. So do callbacks that it posts, up to a limited
    // depth.
    void post(Callback callback) { m_posted.push_back(std::move(callback)); }

    // Runs the callback at the end of each iteration of the loop. Unlike post(), it does not make the loop run once
    // more. Returns a number for cancelOnIteration().
    std::uint64_t onIteration(Callback);
    void cancelOnIteration(std::uint64_t number) { m_onIteration.erase(number); }

    // Runs the callback repeatedly until the loop ends. The period is the time from the end of one run to the next run.
    void every(Duration period, Callback);

    // Runs the loop until stop() is called.
    void run();
    // Runs the loop until the condition holds. The condition is checked before each iteration.
    void runUntil(const std::function<bool()>& condition);
    void stop() { m_stopped = true; }

    // Number of iterations since the start.
    std::uint64_t iterations() const { return m_iterations; }

    // Calls the callback on the loop when SIGTERM or SIGINT arrives.
    void onTerminate(Callback);
    // Calls the callback on the loop when SIGHUP arrives.
    void onReload(Callback);

    st_h2o_evloop_t* native() { return m_native; }

private:
    void runIteration();
    void runDueTimers();
    void runPosted();
    void pollSignals();
    void watchSignals();

    st_h2o_evloop_t* m_native;
    std::map<Timer, Callback> m_timers;
    std::uint64_t m_nextTimer { 0 };
    std::uint64_t m_iterations { 0 };
    std::vector<Callback> m_posted;
    std::map<std::uint64_t, Callback> m_onIteration;
    std::uint64_t m_nextOnIteration { 0 };
    Callback m_onTerminate;
    Callback m_onReload;
    bool m_ranCallbacks { false };
    bool m_stopped { false };
};

} // namespace marigoldlink
