// The single event loop of a process: sockets, timers and stop requests, all on one thread.
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

    // Monotonic time in milliseconds. It counts the time that the instance was suspended, in which leases run out.
    TimePoint now() const;

    // Identifies a timer that was started with after().
    using Timer = std::pair<TimePoint, std::uint64_t>;

    // Runs the callback once after the delay.
    Timer after(Duration delay, Callback);
    // Forgets a timer. Does nothing when it has run.
    void cancel(const Timer& timer) { m_timers.erase(timer); }

    // Runs the callback at the end of this turn of the loop.
    void post(Callback callback) { m_posted.push_back(std::move(callback)); }

    // Runs the callback again and again with the period between two runs, until the loop ends.
    void every(Duration period, Callback);

    // Runs the loop until stop() is called.
    void run();
    // Runs the loop until the condition holds, which is checked after each turn.
    void runUntil(const std::function<bool()>& condition);
    void stop() { m_stopped = true; }

    // Calls the callback on the loop when SIGTERM or SIGINT arrives.
    void onTerminate(Callback);
    // Calls the callback on the loop when SIGHUP arrives.
    void onReload(Callback);

    st_h2o_evloop_t* native() { return m_native; }

private:
    void turn();
    void runDueTimers();
    void runPosted();
    void pollSignals();
    void watchSignals();

    st_h2o_evloop_t* m_native;
    std::map<Timer, Callback> m_timers;
    std::uint64_t m_nextTimer { 0 };
    std::vector<Callback> m_posted;
    Callback m_onTerminate;
    Callback m_onReload;
    bool m_ranCallbacks { false };
    bool m_stopped { false };
};

} // namespace marigoldlink
